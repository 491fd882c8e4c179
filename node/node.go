package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/tree"
	"kumquathinge/io/front"
	"kumquathinge/io/peer"
	"kumquathinge/queue"
	"kumquathinge/store"
)

// Timing of a planned stop.
const (
	unreadyDelay    = 2 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Node is the daemon of an entry VM.
type Node struct {
	config         Config
	log            *logrus.Logger
	metrics        *expvar.Map
	tracker        *drainTracker
	vmPoller       *vmListPoller
	membership     *membership
	prober         *engineProber
	controller     *zoneController
	limits         *limitUpdater
	cachePoller    *cacheEventPoller
	store          *store.Store
	queue          *queue.Queue
	jobs           *jobRunner
	stateCache     *clusterStateCache
	frontend       *front.Server
	operatorServer *fasthttp.Server
	heartbeats     *heartbeatSource
	listeners      *listeners
}

// newNode returns a node of the given parts.
func newNode(
	cfg Config, log *logrus.Logger, metrics *expvar.Map, tracker *drainTracker, vmPoller *vmListPoller,
	members *membership, prober *engineProber, ctl *zoneController, limits *limitUpdater, cachePoller *cacheEventPoller, stateStore *store.Store,
	reqQueue *queue.Queue, jobs *jobRunner, stateCache *clusterStateCache, frontend *front.Server, operatorServer *fasthttp.Server, source *heartbeatSource, lis *listeners,
) *Node {
	return &Node{
		config: cfg, log: log, metrics: metrics, tracker: tracker, vmPoller: vmPoller,
		membership: members, prober: prober, controller: ctl, limits: limits, cachePoller: cachePoller, store: stateStore,
		queue: reqQueue, jobs: jobs, stateCache: stateCache, frontend: frontend, operatorServer: operatorServer, heartbeats: source, listeners: lis,
	}
}

// Run runs the node until ctx ends and then stops it gracefully: the node
// becomes unready but continues to serve, then refuses new requests, waits for
// those in flight and ends every task. Its error carries core.CodeStopBound if
// requests were still in flight at the stop timeout. Run must be called only
// once.
func (node *Node) Run(ctx context.Context) error {
	var group run.Group
	for _, task := range []func(context.Context) error{
		node.vmPoller.run, node.membership.run, node.store.Run, node.prober.run,
		node.queue.Run, node.limits.run, node.cachePoller.run, node.controller.run, node.logChanges,
	} {
		addTask(&group, task)
	}
	node.addServers(&group, node.listeners)
	group.Add(func() error { return node.stop(ctx) }, func(error) {})
	addrs := node.Addrs()
	node.log.WithFields(logrus.Fields{
		"event":     "start",
		"node":      node.config.Node,
		"zone":      node.config.Zone,
		"callers":   addrs.Callers,
		"operators": addrs.Operators,
		"peers":     addrs.Peers,
		"metrics":   addrs.Metrics,
	}).Info("node started")
	err := group.Run()
	node.log.WithFields(logrus.Fields{"event": "stop", "node": node.config.Node, "code": core.CodeOf(err)}).Info("node stopped")
	return err
}

// addTask adds a task that ends with its context.
func addTask(group *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// addServers adds the servers for callers, operators, peers and metrics.
func (node *Node) addServers(group *run.Group, lis *listeners) {
	group.Add(func() error { return node.frontend.Serve(lis.callers) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = node.frontend.Shutdown(ctx)
	})
	node.operatorServer.Logger = serverLog{log: node.log, server: "operators"}
	group.Add(func() error { return node.operatorServer.Serve(lis.operators) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = node.operatorServer.ShutdownWithContext(ctx)
	})
	node.addHTTPServer(group, "peers", lis.peers, peer.Handler(&peerBackend{node: node}, peerKeepAliveInterval))
	node.addHTTPServer(group, "metrics", lis.metrics, node.metricsHandler())
}

// addHTTPServer adds an HTTP server on lis; name identifies it in the log.
func (node *Node) addHTTPServer(group *run.Group, name string, lis net.Listener, handler http.Handler) {
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          serverLog{log: node.log, server: name}.stdLogger(),
	}
	group.Add(func() error {
		err := srv.Serve(lis)
		if eris.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { _ = srv.Close() })
}

// stop waits for the end of ctx and then drains the node. It skips the delay
// between becoming unready and refusing requests on a node that never had any
// state, which no load balancer sends requests to.
func (node *Node) stop(ctx context.Context) error {
	<-ctx.Done()
	timeout := node.stateCache.get().tree.Config(tree.NodePath(node.config.Node)).Duration("stop.bound")
	stopCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	node.log.WithFields(logrus.Fields{"event": "drain", "bound": timeout.String(), "open": node.tracker.inFlight()}).Info("node draining")
	node.tracker.markUnready()
	if status := node.store.Status(); status.Ready || status.Offset > 0 {
		sleep(stopCtx, min(unreadyDelay, timeout/2))
	}
	node.tracker.close()
	return node.tracker.wait(stopCtx)
}

// sleep waits for the delay or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// logChanges logs the audit line of each change, accepted or rejected. After a
// return of the log it goes on with the changes that are decided from then on.
func (node *Node) logChanges(ctx context.Context) error {
	last, era := node.store.View().Offset(), node.store.Status().Era
	for {
		changed := node.store.Changed()
		view := node.store.View()
		now := node.store.Status().Era
		if now != era && era != 0 {
			node.log.WithFields(logrus.Fields{"event": "log_restored", "era": now, "offset": view.Offset(), "former_era": era, "former_offset": last}).
				Warn("the log came back from an older copy")
			last = view.Offset()
		}
		era = now
		for _, line := range view.Audit(last, maxAuditLines) {
			node.log.WithFields(logrus.Fields{
				"event":   "change",
				"offset":  line.Offset,
				"kind":    line.Kind,
				"by":      line.By,
				"subject": line.Subject,
				"key":     line.Key,
				"old":     line.Old,
				"new":     line.New,
				"code":    line.Code,
			}).Info("change decided")
		}
		last = view.Offset()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// maxAuditLines limits the lines logged for one change of the view.
const maxAuditLines = 256
