package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core/evac"
	"kumquathinge/core/keyed"
	"kumquathinge/core/quota"
	"kumquathinge/core/site"
	"kumquathinge/io/mirror"
	"kumquathinge/io/sock"
	"kumquathinge/io/wire"
	"kumquathinge/platform"
)

// settingsPollInterval is the interval between checks of the settings file.
const settingsPollInterval = 2 * time.Second

// Long-poll timeouts of the followers. They limit the delay of a record if the
// store fails to end the poll when the record arrives.
const (
	// pollTimeoutOperator is for the operators' topic. A configuration must
	// take effect within 2 s.
	pollTimeoutOperator = 1200 * time.Millisecond
	// pollTimeoutServers is for the servers' topic.
	pollTimeoutServers = 2500 * time.Millisecond
	// pollTimeoutNodes is for the nodes' topic. Its reads also confirm the term
	// of the orderer.
	pollTimeoutNodes = time.Second
)

// updateQueueSize is the number of updates from peers that can wait for a
// follower.
const updateQueueSize = 64

// Connections to backend servers.
const (
	// dialTimeout is the timeout for opening a connection. A round trip takes 2
	// ms.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is the time after which a connection is closed if the other
	// end does not acknowledge sent data.
	ackTimeout = 2 * time.Second
	// serverIdleTimeout is how long an unused connection is kept. Servers close
	// theirs a few seconds later.
	serverIdleTimeout = 4 * time.Second
	// maxIdleConns is the number of unused connections kept per server.
	maxIdleConns = 32
)

// Options are the parameters of a node that come from its command line.
type Options struct {
	// MetricsPort is the TCP port that serves metrics, zero to disable.
	MetricsPort int
	// SettingsPath is the path of the settings file, which is watched for
	// changes. Empty disables reloading.
	SettingsPath string
	// Log is the log output, standard output if nil.
	Log io.Writer
	// Listen opens the listener for callers. Nil selects TCP.
	Listen func(ctx context.Context, addr string) (net.Listener, error)
	// Dial opens connections to backend servers. Nil selects a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// DrainDelay is how long a stopping node accepts requests after it turns
	// not ready. Zero selects a default that suits the load balancer.
	DrainDelay time.Duration
}

// withDefaults returns the options with the defaults in place of zero values.
func (opts Options) withDefaults() Options {
	if opts.Log == nil {
		opts.Log = os.Stdout
	}
	if opts.Listen == nil {
		opts.Listen = listen
	}
	opts.DrainDelay = cmp.Or(opts.DrainDelay, drainDelay)
	return opts
}

// Node is the daemon of an entry VM.
type Node struct {
	options   Options
	settings  atomic.Pointer[site.Settings]
	log       *logrus.Logger
	logWriter *logWriter
	metrics   *nodeMetrics

	state     *sharedState
	frontend  *frontend
	monitor   *callMonitor
	peers     *peers
	registry  *serverRegistry
	registrar *nodeRegistrar
	orderer   *orderer
	followers []*follower
	pools     *wire.Pools
}

// New returns a node that has not started yet.
func New(opts Options, settings site.Settings) *Node {
	node := &Node{metrics: newNodeMetrics()}
	node.settings.Store(&settings)
	opts = opts.withDefaults()
	node.options = opts
	node.log, node.logWriter = newLogger(opts.Log, settings.Node, node.metrics.logDropped.Inc)
	now := time.Now()
	self := nodeRecord{Node: settings.Node, Zone: settings.Zone, Addr: net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)), Incarnation: now.UnixNano()}
	health := newStoreHealth(now)
	store := platform.NewStore(settings.StoreAddr)
	node.state = newSharedState()
	node.pools = wire.NewPools(connConfig(opts.Dial))
	loads := node.newLoads(settings, now)
	fwd := &forwarder{
		state: node.state, pools: node.pools, peerPools: wire.NewPools(connConfig(nil)), log: node.log, metrics: node.metrics, loads: loads,
		guard: newCrashGuard(self, loads, node.log, node.metrics), quota: quota.New(settings.MemoryBytes / memoryDivisor),
	}
	node.monitor = newCallMonitor(fwd, node.log)
	fwd.reach = newReachMonitor(node.monitor, node.pools, node.log, node.metrics)
	node.frontend = newFrontend(node.state, fwd, node.monitor, node.log, node.metrics, fwd.quota)
	node.frontend.callers.limit = func() int { return maxCallerConns(node.settings.Load().MaxFds) }
	node.peers = newPeers(node.state, loads, fwd.guard, health, node.log, node.metrics, self, node.frontend.draining.Load)
	node.peers.reach, fwd.peers, node.peers.relayAddr = fwd.reach, node.peers, relayAddr(settings)
	node.peers.arrivals = &arrivalRate{count: node.frontend.requestCount.Load}
	node.registry = newServerRegistry(node.state, health, node.log, node.metrics)
	fwd.noteLeaving = func(run site.ServerRun, request string) {
		node.registry.submitLeaving(leavingNotice{run: run, request: request})
	}
	node.registrar = newNodeRegistrar(node.state, store, node.log, node.metrics, self)
	node.orderer = &orderer{
		state: node.state, health: health, store: store, serverClient: platform.NewServers(node.pools), peers: node.peers, loads: loads,
		log: node.log, metrics: node.metrics, self: self, registry: node.registry, stallTimeout: func() time.Duration { return node.settings.Load().StallTimeout }, stopping: node.frontend.draining.Load, requestCount: node.frontend.requestCount.Load,
	}
	applier := &configApplier{state: node.state, log: node.log, metrics: node.metrics, onChange: node.registry.notifyTableChanged}
	fwd.resumed = &resumeGate{log: node.log, readAgain: node.confirmOperatorTopic, enabled: func() bool { return node.settings.Load().EvacuationTimeout > 0 }}
	evacuation := &evacuationApplier{zones: evac.NewState(), follower: func() *follower { return node.followers[operatorTopicIndex] }, state: node.state, log: node.log, metrics: node.metrics, onChange: node.registry.notifyTableChanged}
	operator := &operatorApplier{state: node.state, evacuation: evacuation, config: applier}
	mirrorClient := mirror.NewClient(dialTimeout)
	follow := func(topic string, wait time.Duration, apply func(topicChange), replica *keyed.Replica) {
		node.followers = append(node.followers, &follower{
			store: store, mirrorClient: mirrorClient, health: health, log: node.log, metrics: node.metrics, topic: topic, apply: apply, pollTimeout: wait,
			needsSnapshot: true, wake: make(chan struct{}, 1), updates: make(chan topicUpdate, updateQueueSize), replica: replica, eraChanged: node.recheckEra,
			readsStore: func() bool { return node.peers.readsStore(time.Now()) }, broadcast: node.peers.broadcast,
		})
	}
	follow(platform.TopicOperator, pollTimeoutOperator, operator.apply, newOperatorReplica())
	follow(platform.TopicServers, pollTimeoutServers, node.registry.apply, keyed.NewReplica(nil))
	follow(platform.TopicNodes, pollTimeoutNodes, node.registrar.apply, keyed.NewReplica(nil))
	node.followers[operatorTopicIndex].confirmed = fwd.resumed.confirmed
	node.peers.followers = node.followers
	node.peers.lostServers, node.peers.isOrderer, node.peers.observedStates = node.orderer.lostServerIDs, node.orderer.inCharge.Load, node.orderer.observedStates
	node.registry.cold = loads.cold
	node.peers.registry, node.peers.evacuation = node.registry, evacuation
	return node
}

// connConfig returns the limits of connections to backend servers and peers. dial opens
// connections, nil for a net.Dialer.
func connConfig(dial func(ctx context.Context, network, addr string) (net.Conn, error)) wire.Config {
	return wire.Config{Dial: dial, DialTimeout: dialTimeout, IdleTimeout: serverIdleTimeout, MaxIdle: maxIdleConns, AckTimeout: ackTimeout, MaxBody: maxSkippedResponse}
}

// relayAddr returns the node's address for requests that peers relay, empty if there is no
// port for them.
func relayAddr(settings site.Settings) string {
	if settings.RelayPort == 0 {
		return ""
	}
	return net.JoinHostPort(settings.IP, strconv.Itoa(settings.RelayPort))
}

// newLoads returns the tracker of the loads of servers, which limits the requests to cold
// ones.
func (node *Node) newLoads(settings site.Settings, now time.Time) *loadTracker {
	loads := newLoadTracker(settings.Zone, func() site.Settings { return *node.settings.Load() })
	loads.node = settings.Node
	loads.useEstimates(node.state.contended)
	loads.cold = newColdServers(loads, node.state, node.log, node.metrics, settings.Node, now)
	loads.cold.nodesRead = node.nodesRead
	return loads
}

// nodesRead reports whether the nodes topic has been read completely.
func (node *Node) nodesRead() bool {
	topic := node.followers[nodesTopicIndex]
	return topic.next() != site.Position{} && !topic.incomplete()
}

// recheckEra makes all followers check whether the era of the store has changed.
func (node *Node) recheckEra() {
	for _, follower := range node.followers {
		follower.recheck()
	}
}

// Run serves until ctx is done or the process receives SIGTERM or SIGINT. All tasks go on
// until the requests that are open then have ended. If a task ends by itself, so do the others
// and Run, at once and with an error: without one of them a node would work with old state.
func (node *Node) Run(ctx context.Context) error {
	settings := node.settings.Load()
	callers, err := node.options.Listen(ctx, settings.CallerAddr)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	ready, err := listen(ctx, settings.ReadinessAddr)
	if err != nil {
		return eris.Wrap(err, "listening for readiness checks")
	}
	err = node.peers.listen()
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	var grp run.Group
	node.addTasks(&grp)
	node.addServer(&grp, node.frontend.server, node.callerListener(callers))
	node.addServer(&grp, node.frontend.readinessServer(), sock.Listener{Listener: ready, Exhausted: node.frontend.exhausted})
	err = node.addRelay(ctx, &grp)
	if err != nil {
		return err
	}
	err = node.addMirror(&grp)
	if err != nil {
		return err
	}
	err = node.addMetrics(&grp, settings.IP)
	if err != nil {
		return err
	}
	node.addStop(ctx, &grp)
	node.log.WithFields(logrus.Fields{
		"event": "start", "zone": settings.Zone, "callers": settings.CallerAddr, "readiness": settings.ReadinessAddr, "store": settings.StoreAddr, "peers": node.peers.self.Addr, "life": node.peers.self.Incarnation,
	}).Info("node started")
	return grp.Run()
}

// addTasks adds the tasks of the node but for its servers.
func (node *Node) addTasks(grp *run.Group) {
	node.addTask(grp, "log", node.logWriter.run)
	node.addTask(grp, "registry", node.registry.run)
	node.addTask(grp, "resumption", node.frontend.forwarder.resumed.run)
	for _, follower := range node.followers {
		node.addTask(grp, "follower of "+follower.topic, follower.run)
	}
	node.addTask(grp, "registrar", node.registrar.run)
	node.addTask(grp, "heartbeats", node.peers.runHeartbeats)
	node.addTask(grp, "urgent heartbeats", node.peers.runUrgentHeartbeats)
	node.addTask(grp, "part checks", node.monitor.runPartChecks)
	node.addTask(grp, "datagrams", node.peers.receive)
	node.addTask(grp, "orderer", node.orderer.run)
	node.addTask(grp, "calls", node.monitor.run)
	node.addTask(grp, "reach", node.frontend.forwarder.reach.run)
	node.addTask(grp, "connections", node.pruneConns)
	node.addTask(grp, "settings", node.watchSettings)
}

// addTask adds a task that ends with its context. If it ends before, the group does.
func (node *Node) addTask(grp *run.Group, name string, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		err := task(ctx)
		if ctx.Err() == nil {
			return node.taskEnded(name, err)
		}
		return err
	}, func(error) { cancel() })
}

// taskEnded logs that a task has ended by itself, and returns the error that ends the group.
func (node *Node) taskEnded(name string, cause error) error {
	node.log.WithFields(logrus.Fields{"event": "task_ended", "task": name, "error": cause}).Error("a task has ended by itself; the process ends")
	return eris.Errorf("task %q has ended: %v", name, cause)
}

// addStop adds the task that ends the group on a stop signal. If another task ends first, it
// ends at once: the requests that are open can't be completed without that task.
func (node *Node) addStop(ctx context.Context, grp *run.Group) {
	interrupted, interrupt := context.WithCancel(context.Background())
	grp.Add(func() error { return node.awaitStop(ctx, interrupted) }, func(error) { interrupt() })
}

// callerListener returns a listener for callers with the time limits of the configuration.
func (node *Node) callerListener(lis net.Listener) net.Listener {
	return sock.Listener{Listener: lis, Timeouts: node.frontend.timeouts, Exhausted: node.frontend.exhausted}
}

// addServer adds an HTTP server for callers on lis. When the group stops, its
// requests have ended, so only the listener is closed.
func (node *Node) addServer(grp *run.Group, srv *fasthttp.Server, lis net.Listener) {
	grp.Add(func() error {
		err := srv.Serve(lis)
		if err != nil {
			return node.taskEnded("server at "+lis.Addr().String(), err)
		}
		return nil
	}, func(error) { _ = lis.Close() })
}

// addRelay adds the server for requests that peers relay, if there is a port for it.
func (node *Node) addRelay(ctx context.Context, grp *run.Group) error {
	if node.peers.relayAddr == "" {
		return nil
	}
	lis, err := listen(ctx, node.peers.relayAddr)
	if err != nil {
		return eris.Wrap(err, "listening for relayed requests")
	}
	node.addServer(grp, node.frontend.relayServer, sock.Listener{Listener: lis, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, Exhausted: node.frontend.exhausted})
	return nil
}

// addMirror adds the server from which peers fetch records of the topics.
func (node *Node) addMirror(grp *run.Group) error {
	lis, err := net.Listen("tcp", node.peers.self.Addr)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	node.addHTTP(grp, lis, mirror.Handler(mirrorSource(node.followers)))
	return nil
}

// addMetrics adds the metrics server if a port is set.
func (node *Node) addMetrics(grp *run.Group, ip string) error {
	if node.options.MetricsPort == 0 {
		return nil
	}
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(node.options.MetricsPort)))
	if err != nil {
		return eris.Wrap(err, "listening for metrics")
	}
	node.addHTTP(grp, lis, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { node.metrics.write(writer) }))
	return nil
}

// addHTTP adds an HTTP server on lis for clients other than callers.
func (node *Node) addHTTP(grp *run.Group, lis net.Listener, handler http.Handler) {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout}
	grp.Add(func() error {
		err := srv.Serve(lis)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { _ = srv.Close() })
}

// pruneConns closes the connections to servers and peers that no longer exist.
func (node *Node) pruneConns(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, settingsPollInterval)
		addrs := map[string]bool{}
		for _, srv := range node.state.view.Load().Servers() {
			addrs[srv.Addr] = true
		}
		node.pools.Retain(func(addr string) bool { return addrs[addr] })
		relays := map[string]bool{}
		node.peers.eachLive(time.Now(), func(hb *heartbeat) { relays[hb.RelayAddr] = true })
		node.frontend.forwarder.peerPools.Retain(func(addr string) bool { return relays[addr] })
	}
	return nil
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (node *Node) watchSettings(ctx context.Context) error {
	if node.options.SettingsPath == "" {
		<-ctx.Done()
		return nil
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGHUP)
	defer signal.Stop(sig)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-sig:
			requested = true
		case <-ticker.C:
		}
		node.reloadSettings(requested)
	}
}

// reloadSettings reads the settings file and applies changed limits. Changed
// addresses take effect at the next start only.
func (node *Node) reloadSettings(requested bool) {
	settings, err := platform.LoadSettings(node.options.SettingsPath)
	if err != nil {
		node.log.WithFields(logrus.Fields{"event": "reload", "told": requested, "error": err}).Error("cannot read settings; keeping the current ones")
		return
	}
	old := *node.settings.Load()
	if settings == old {
		if requested {
			node.log.WithFields(logrus.Fields{"event": "reload", "told": requested, "changed": false}).Info("settings have not changed")
		}
		return
	}
	if settings.CallerAddr != old.CallerAddr || settings.ReadinessAddr != old.ReadinessAddr || settings.StoreAddr != old.StoreAddr || settings.IP != old.IP {
		node.log.WithFields(logrus.Fields{"event": "reload", "store": settings.StoreAddr, "callers": settings.CallerAddr}).Warn("addresses have changed; they take effect at the next start")
	}
	node.settings.Store(&settings)
	node.frontend.quota.SetLimit(settings.MemoryBytes / memoryDivisor)
	node.log.WithFields(logrus.Fields{"event": "reload", "told": requested, "changed": true, "grace": settings.StopGrace}).Info("settings changed")
}
