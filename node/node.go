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
	stopNotice      = 2 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Node is a wired entry VM.
type Node struct {
	cfg Config
	log *logrus.Logger
	met *expvar.Map
	stp *stopper
	lst *lister
	bet *beater
	prb *prober
	ctl *controller
	lim *limiter
	cac *cacher
	sto *store.Store
	que *queue.Queue
	jbs *jobs
	wls *worlds
	fro *front.Server
	ope *fasthttp.Server
	fac *facts
	lis *listeners
}

// newNode collects the parts.
func newNode(
	cfg Config, log *logrus.Logger, met *expvar.Map, stp *stopper, lst *lister,
	bet *beater, prb *prober, ctl *controller, lim *limiter, cac *cacher, sto *store.Store,
	que *queue.Queue, jbs *jobs, wls *worlds, fro *front.Server, ope *fasthttp.Server, fac *facts, lis *listeners,
) *Node {
	return &Node{
		cfg: cfg, log: log, met: met, stp: stp, lst: lst,
		bet: bet, prb: prb, ctl: ctl, lim: lim, cac: cac, sto: sto,
		que: que, jbs: jbs, wls: wls, fro: fro, ope: ope, fac: fac, lis: lis,
	}
}

// Run runs the node until ctx ends and then stops it gracefully: it turns
// unready, goes on serving, refuses new requests, waits for those in progress
// and then ends every task. Its error carries core.CodeStopBound if the stop
// cut requests. Run must be called once.
func (nod *Node) Run(ctx context.Context) error {
	var grp run.Group
	for _, tsk := range []func(context.Context) error{
		nod.lst.run, nod.bet.run, nod.sto.Run, nod.prb.run,
		nod.que.Run, nod.lim.run, nod.cac.run, nod.ctl.run, nod.report,
	} {
		addTask(&grp, tsk)
	}
	nod.addServers(&grp, nod.lis)
	grp.Add(func() error { return nod.stop(ctx) }, func(error) {})
	adr := nod.Addrs()
	nod.log.WithFields(logrus.Fields{
		"event":     "start",
		"node":      nod.cfg.Node,
		"zone":      nod.cfg.Zone,
		"callers":   adr.Callers,
		"operators": adr.Operators,
		"peers":     adr.Peers,
		"metrics":   adr.Metrics,
	}).Info("node started")
	err := grp.Run()
	nod.log.WithFields(logrus.Fields{"event": "stop", "node": nod.cfg.Node, "code": core.CodeOf(err)}).Info("node stopped")
	return err
}

// addTask adds a task that ends with its context.
func addTask(grp *run.Group, tsk func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error { return tsk(ctx) }, func(error) { cancel() })
}

// addServers adds the servers for callers, operators, peers and metrics.
func (nod *Node) addServers(grp *run.Group, lis *listeners) {
	grp.Add(func() error { return nod.fro.Serve(lis.callers) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = nod.fro.Shutdown(ctx)
	})
	nod.ope.Logger = serverLog{log: nod.log, server: "operators"}
	grp.Add(func() error { return nod.ope.Serve(lis.operators) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = nod.ope.ShutdownWithContext(ctx)
	})
	nod.addHTTP(grp, "peers", lis.peers, peer.Handler(&peerBackend{nod: nod}, peerKeepAlive))
	nod.addHTTP(grp, "metrics", lis.metrics, nod.metrics())
}

// addHTTP adds the server of the name on lis.
func (nod *Node) addHTTP(grp *run.Group, nam string, lis net.Listener, hdl http.Handler) {
	srv := &http.Server{
		Handler:           hdl,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          serverLog{log: nod.log, server: nam}.standard(),
	}
	grp.Add(func() error {
		err := srv.Serve(lis)
		if eris.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { _ = srv.Close() })
}

// stop waits for ctx and carries a planned stop out. A node that never had a
// state gets no requests, so there is no notice to wait for.
func (nod *Node) stop(ctx context.Context) error {
	<-ctx.Done()
	bound := nod.wls.get().tree.Config(tree.NodePath(nod.cfg.Node)).Duration("stop.bound")
	end, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	nod.log.WithFields(logrus.Fields{"event": "drain", "bound": bound.String(), "open": nod.stp.count()}).Info("node drains")
	nod.stp.notice()
	if sta := nod.sto.Status(); sta.Ready || sta.Offset > 0 {
		pause(end, min(stopNotice, bound/2))
	}
	nod.stp.close()
	return nod.stp.wait(end)
}

// pause waits for the time or until ctx ends.
func pause(ctx context.Context, dur time.Duration) {
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
}

// report logs each change that comes into force and follows the node's own
// draining setting.
func (nod *Node) report(ctx context.Context) error {
	last := nod.sto.View().Offset()
	for {
		chg := nod.sto.Changed()
		vie := nod.sto.View()
		for _, lin := range vie.Audit(last, maxAuditLines) {
			nod.log.WithFields(logrus.Fields{
				"event":   "change",
				"offset":  lin.Offset,
				"kind":    lin.Kind,
				"by":      lin.By,
				"subject": lin.Subject,
				"key":     lin.Key,
				"old":     lin.Old,
				"new":     lin.New,
				"code":    lin.Code,
			}).Info("change folded")
		}
		last = vie.Offset()
		select {
		case <-ctx.Done():
			return nil
		case <-chg:
		}
	}
}

// maxAuditLines bounds the lines logged for one change of the view.
const maxAuditLines = 256
