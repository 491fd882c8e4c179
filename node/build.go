package node

import (
	"cmp"
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"kumquathinge/core"
	"kumquathinge/core/gate"
	"kumquathinge/core/repair"
	"kumquathinge/core/route"
	"kumquathinge/io/front"
	"kumquathinge/io/logs"
	"kumquathinge/io/oper"
	"kumquathinge/io/vms"
	"kumquathinge/queue"
	"kumquathinge/serve"
	"kumquathinge/store"
)

// Limits of the callers' interface.
const (
	maxBodyBytes = 4 << 20
	maxPrompt    = 1 << 20
	maxTokens    = 1 << 16
	readTimeout  = 30 * time.Second
	idleTimeout  = 75 * time.Second
)

// prefixBlockBytes is the length in bytes of the prompt blocks that are
// compared to find requests with a common prefix.
const prefixBlockBytes = 256

// metricsName is the name of the node's expvar map.
const metricsName = "kumquathinge"

// Build wires a node and opens its sockets. Its error carries
// core.CodeListenFailed if it can't listen on an address, and
// core.CodeConfigInvalid if an operator or a certificate file is invalid.
func Build(cfg Config, log *logrus.Logger, opts ...Option) (*Node, error) {
	var opt options
	for _, set := range opts {
		set(&opt)
	}
	container := dig.New()
	for _, provider := range []any{
		func() (Config, *logrus.Logger, options) { return cfg, log, opt },
		func() func() time.Time { return time.Now },
		newMetrics, newDrainTracker, newTLS, newListeners, newHeartbeatSource, newPlatform, newVMPollTask, newMembershipTask,
		newStore, newStateCache, newGate, newProbeTask, newQueue, newJobRunner,
		newControlTask, newLimitUpdater, newCacheTask, newFront, newAdmin, newOperators, newNode,
	} {
		if err := container.Provide(provider); err != nil {
			return nil, eris.Wrap(err, "wiring")
		}
	}
	var node *Node
	err := container.Invoke(func(got *Node) { node = got })
	if err != nil {
		return nil, dig.RootCause(err)
	}
	return node, nil
}

// newMetrics returns the node's map of counters.
func newMetrics() *expvar.Map { return new(expvar.Map).Init() }

// newHeartbeatSource returns the source of the node's heartbeats, with the
// values of the start file and a new incarnation.
func newHeartbeatSource(cfg Config, lis *listeners) *heartbeatSource {
	return &heartbeatSource{base: core.Heartbeat{
		Node:        cfg.Node,
		Zone:        cfg.Zone,
		Addr:        cmp.Or(cfg.Advertise, lis.peers.Addr().String()),
		Incarnation: core.Incarnation(uuid.NewString()),
	}}
}

// newPlatform returns the clients of the platform's log and VM list.
func newPlatform(cfg Config, opt options) (core.Log, core.VMLister) {
	if opt.log == nil {
		opt.log = logs.New("http://" + cfg.Log)
	}
	if opt.lister == nil {
		opt.lister = vms.New(cfg.VMs)
	}
	return opt.log, opt.lister
}

// newVMPollTask returns the task that polls the VM list.
func newVMPollTask(src core.VMLister, log *logrus.Logger, now func() time.Time) *vmListPoller {
	return newVMListPoller(src, log, now)
}

// newMembershipTask returns the task that exchanges heartbeats.
func newMembershipTask(cfg Config, opt options, source *heartbeatSource, vmPoller *vmListPoller, tlsCfg *tls.Config, log *logrus.Logger, now func() time.Time) *membership {
	return newMembership(source.heartbeat, source.merge, vmPoller, cfg.Seeds, opt.dial, tlsCfg, log, now)
}

// newStore returns the task that owns the replicated state.
func newStore(cfg Config, source *heartbeatSource, src core.Log, members *membership, log *logrus.Logger, now func() time.Time) *store.Store {
	return store.New(store.Config{
		Node:        cfg.Node,
		Incarnation: source.base.Incarnation,
		Log:         src,
		Peers:       members.peers,
		Nodes:       members.nodeNames,
		Now:         now,
		Logger:      log,
	})
}

// newStateCache returns the cache of what is derived from the store's views.
func newStateCache(cfg Config, stateStore *store.Store) *clusterStateCache {
	return &clusterStateCache{zone: cfg.Zone, view: stateStore.View}
}

// newGate returns the gate that permits work on the zone's groups.
func newGate(stateCache *clusterStateCache) *gate.Gate { return gate.New(stateCache.get().maxProbeAge) }

// newProbeTask returns the task that probes the zone's engines.
func newProbeTask(cfg Config, vmPoller *vmListPoller, stateCache *clusterStateCache, groupGate *gate.Gate, source *heartbeatSource, now func() time.Time) *engineProber {
	onCrash := func(groups []core.GroupName) {
		if parts := source.parts.Load(); parts != nil {
			parts.server.GroupsLost(groups...)
		}
	}
	return newEngineProber(cfg.Zone, vmPoller, stateCache.get, groupGate, now, onCrash)
}

// newQueue returns the admission queue.
func newQueue(now func() time.Time) *queue.Queue { return queue.New(queue.Config{Clock: now}) }

// dependencies are the parts of a node that several constructors need.
type dependencies struct {
	dig.In

	Config     Config
	VMPoller   *vmListPoller
	Membership *membership
	Prober     *engineProber
	Store      *store.Store
	StateCache *clusterStateCache
	Gate       *gate.Gate
	Queue      *queue.Queue
	Tracker    *drainTracker
	Heartbeats *heartbeatSource
	Now        func() time.Time
}

// newJobRunner returns the runner of jobs.
func newJobRunner(in dependencies) *jobRunner {
	jobs := &jobRunner{
		node:       in.Config.Node,
		zone:       in.Config.Zone,
		state:      in.StateCache.get,
		vmPoller:   in.VMPoller,
		membership: in.Membership,
		prober:     in.Prober,
		gate:       in.Gate,
		queue:      in.Queue,
		now:        in.Now,
		tracker:    in.Tracker,
		stateReady: func() bool { return in.Store.Status().Ready },
	}
	jobs.router = newSharedRouter(in.Now)
	jobs.server = serve.New(serve.Config{
		Node:          in.Config.Node,
		Incarnation:   in.Heartbeats.base.Incarnation,
		Gate:          in.Gate,
		Chooser:       jobs.router,
		Backends:      jobs,
		Claims:        storeClaims{store: in.Store, membership: in.Membership},
		Forwarder:     jobs,
		Policy:        jobs.policy,
		Now:           in.Now,
		Rand:          rand.Uint64,
		ShareSuspects: in.Membership.broadcast,
		MayIsolate:    jobs.allowsSuspects,
		PrefixBlocks:  func(text string) []uint64 { return route.Blocks(text, prefixBlockBytes) },
	})
	in.Heartbeats.parts.Store(&heartbeatParts{store: in.Store, server: jobs.server, queue: in.Queue, tracker: in.Tracker})
	return jobs
}

// newControlTask returns the task that controls the zone's groups.
func newControlTask(in dependencies, jobs *jobRunner, log *logrus.Logger) *zoneController {
	return &zoneController{
		self:       in.Config.Node,
		zone:       in.Config.Zone,
		state:      in.StateCache.get,
		vmPoller:   in.VMPoller,
		membership: in.Membership,
		prober:     in.Prober,
		gate:       in.Gate,
		store:      in.Store,
		inFlight:   jobs.server.InFlight,
		log:        log,
		now:        in.Now,
		repair: repair.New(repair.Config{
			ProposedBy:  string(in.Config.Node),
			NewRecordID: func() core.RecordID { return core.RecordID(uuid.NewString()) },
		}),
	}
}

// newCacheTask returns the task that polls the engines for prefix cache
// events.
func newCacheTask(stateCache *clusterStateCache, prober *engineProber, jobs *jobRunner) *cacheEventPoller {
	return newCacheEventPoller(stateCache.get, prober, jobs.router)
}

// newLimitUpdater returns the task that updates the limits of the queue.
func newLimitUpdater(in dependencies) *limitUpdater {
	return &limitUpdater{
		self:       in.Config.Node,
		zone:       in.Config.Zone,
		state:      in.StateCache.get,
		vmPoller:   in.VMPoller,
		membership: in.Membership,
		gate:       in.Gate,
		queue:      in.Queue,
		now:        in.Now,
	}
}

// newFront returns the server for callers.
func newFront(jobs *jobRunner, log *logrus.Logger, vars *expvar.Map, now func() time.Time) *front.Server {
	results := new(expvar.Map).Init()
	vars.Set("results", results)
	return front.New(front.Config{
		MaxBodyBytes:   maxBodyBytes,
		MaxPromptBytes: maxPrompt,
		MaxTokens:      maxTokens,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
	}, jobs, log, results, now)
}

// newOperators returns the server for operators.
func newOperators(cfg Config, adm *admin) (*fasthttp.Server, error) {
	var operators []oper.Operator
	for _, operator := range cfg.Operators {
		operators = append(operators, oper.Operator{Name: operator.Name, KeyHash: operator.KeyHash})
	}
	api, err := oper.New(adm, oper.Config{Operators: operators})
	if err != nil {
		return nil, err
	}
	return api.Server(), nil
}
