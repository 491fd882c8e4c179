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

// Bounds of the callers' interface.
const (
	maxBodyBytes = 4 << 20
	maxPrompt    = 1 << 20
	maxTokens    = 1 << 16
	readTimeout  = 30 * time.Second
	idleTimeout  = 75 * time.Second
)

// prefixBlockBytes is the length of a block of a prompt in bytes, by which
// requests with a common prefix are recognised.
const prefixBlockBytes = 256

// metricsName is the name of the node's expvar map.
const metricsName = "kumquathinge"

// Build wires a node and opens its sockets. Its error carries
// core.CodeListenFailed if an address can't be listened on, and
// core.CodeConfigInvalid for a wrong operator or file of a certificate.
func Build(cfg Config, log *logrus.Logger, opts ...Option) (*Node, error) {
	var opt options
	for _, set := range opts {
		set(&opt)
	}
	con := dig.New()
	for _, prv := range []any{
		func() (Config, *logrus.Logger, options) { return cfg, log, opt },
		func() func() time.Time { return time.Now },
		newMetrics, newStopper, newTLS, newListeners, newFacts, newPlatform, newListTask, newBeatTask,
		newStore, newWorlds, newGate, newProbeTask, newQueue, newJobs,
		newControl, newLimiter, newCacheTask, newFront, newAdmin, newOperators, newNode,
	} {
		if err := con.Provide(prv); err != nil {
			return nil, eris.Wrap(err, "wiring")
		}
	}
	var nod *Node
	err := con.Invoke(func(got *Node) { nod = got })
	if err != nil {
		return nil, dig.RootCause(err)
	}
	return nod, nil
}

// newMetrics returns the node's map of counters.
func newMetrics() *expvar.Map { return new(expvar.Map).Init() }

// newFacts returns what the start file says of the node.
func newFacts(cfg Config, lis *listeners) *facts {
	return &facts{base: core.Heartbeat{
		Node:        cfg.Node,
		Zone:        cfg.Zone,
		Addr:        cmp.Or(cfg.Advertise, lis.peers.Addr().String()),
		Incarnation: core.Incarnation(uuid.NewString()),
	}}
}

// newPlatform returns the clients of the platform's services.
func newPlatform(cfg Config, opt options) (core.Log, core.VMLister) {
	if opt.log == nil {
		opt.log = logs.New("http://" + cfg.Log)
	}
	if opt.lister == nil {
		opt.lister = vms.New(cfg.VMs)
	}
	return opt.log, opt.lister
}

// newListTask returns the task that follows the VM list.
func newListTask(src core.VMLister, log *logrus.Logger, now func() time.Time) *lister {
	return newLister(src, log, now)
}

// newBeatTask returns the task that exchanges beats.
func newBeatTask(cfg Config, opt options, fac *facts, lst *lister, sec *tls.Config, log *logrus.Logger, now func() time.Time) *beater {
	return newBeater(fac.beat, fac.merge, lst, cfg.Seeds, opt.dial, sec, log, now)
}

// newStore returns the task that owns the folded state.
func newStore(cfg Config, fac *facts, src core.Log, bet *beater, log *logrus.Logger, now func() time.Time) *store.Store {
	return store.New(store.Config{
		Node:        cfg.Node,
		Incarnation: fac.base.Incarnation,
		Log:         src,
		Peers:       bet.peers,
		Nodes:       bet.names,
		Now:         now,
		Logger:      log,
	})
}

// newWorlds returns the reader of the store's views.
func newWorlds(cfg Config, sto *store.Store) *worlds {
	return &worlds{zone: cfg.Zone, view: sto.View}
}

// newGate returns the gate of the zone.
func newGate(wls *worlds) *gate.Gate { return gate.New(wls.get().bound) }

// newProbeTask returns the task that probes the zone's engines.
func newProbeTask(cfg Config, lst *lister, wls *worlds, gat *gate.Gate, fac *facts, now func() time.Time) *prober {
	lost := func(grps []core.GroupName) {
		if prt := fac.cur.Load(); prt != nil {
			prt.srv.GroupsLost(grps...)
		}
	}
	return newProber(cfg.Zone, lst, wls.get, gat, now, lost)
}

// newQueue returns the admission task.
func newQueue(now func() time.Time) *queue.Queue { return queue.New(queue.Config{Clock: now}) }

// jobsIn are the parts that requests pass through.
type jobsIn struct {
	dig.In

	Config Config
	Lister *lister
	Beater *beater
	Prober *prober
	Store  *store.Store
	Worlds *worlds
	Gate   *gate.Gate
	Queue  *queue.Queue
	Stop   *stopper
	Facts  *facts
	Now    func() time.Time
}

// newJobs returns the path of requests.
func newJobs(inp jobsIn) *jobs {
	jbs := &jobs{
		node:  inp.Config.Node,
		zone:  inp.Config.Zone,
		world: inp.Worlds.get,
		lst:   inp.Lister,
		bet:   inp.Beater,
		prb:   inp.Prober,
		gat:   inp.Gate,
		que:   inp.Queue,
		now:   inp.Now,
		stop:  inp.Stop,
		ready: func() bool { return inp.Store.Status().Ready },
	}
	jbs.cho = newChooser(inp.Now)
	jbs.srv = serve.New(serve.Config{
		Node:          inp.Config.Node,
		Incarnation:   inp.Facts.base.Incarnation,
		Gate:          inp.Gate,
		Chooser:       jbs.cho,
		Backends:      jbs,
		Claims:        claims{sto: inp.Store, bet: inp.Beater},
		Forwarder:     jbs,
		Policy:        jbs.policy,
		Now:           inp.Now,
		Rand:          rand.Uint64,
		ShareSuspects: inp.Beater.tell,
		MayIsolate:    jbs.isolates,
		PrefixBlocks:  func(txt string) []uint64 { return route.Blocks(txt, prefixBlockBytes) },
	})
	inp.Facts.cur.Store(&parts{sto: inp.Store, srv: jbs.srv, que: inp.Queue, stp: inp.Stop})
	return jbs
}

// newControl returns the zone's control task.
func newControl(inp jobsIn, jbs *jobs, log *logrus.Logger) *controller {
	return &controller{
		self:   inp.Config.Node,
		zone:   inp.Config.Zone,
		world:  inp.Worlds.get,
		lst:    inp.Lister,
		bet:    inp.Beater,
		prb:    inp.Prober,
		gat:    inp.Gate,
		sto:    inp.Store,
		flying: jbs.srv.InFlight,
		log:    log,
		now:    inp.Now,
		rep: repair.New(repair.Config{
			ProposedBy:  string(inp.Config.Node),
			NewRecordID: func() core.RecordID { return core.RecordID(uuid.NewString()) },
		}),
	}
}

// newCacheTask returns the task that follows the engines' prefix caches.
func newCacheTask(wls *worlds, prb *prober, jbs *jobs) *cacher {
	return newCacher(wls.get, prb, jbs.cho)
}

// newLimiter returns the task that feeds the queue.
func newLimiter(inp jobsIn) *limiter {
	return &limiter{
		self:  inp.Config.Node,
		zone:  inp.Config.Zone,
		world: inp.Worlds.get,
		lst:   inp.Lister,
		bet:   inp.Beater,
		gat:   inp.Gate,
		que:   inp.Queue,
		now:   inp.Now,
	}
}

// newFront returns the server for callers.
func newFront(jbs *jobs, log *logrus.Logger, met *expvar.Map, now func() time.Time) *front.Server {
	res := new(expvar.Map).Init()
	met.Set("results", res)
	return front.New(front.Config{
		MaxBodyBytes: maxBodyBytes,
		MaxPrompt:    maxPrompt,
		MaxTokens:    maxTokens,
		ReadTimeout:  readTimeout,
		IdleTimeout:  idleTimeout,
	}, jbs, log, res, now)
}

// newOperators returns the server for operators.
func newOperators(cfg Config, adm *admin) (*fasthttp.Server, error) {
	var ops []oper.Operator
	for _, opr := range cfg.Operators {
		ops = append(ops, oper.Operator{Name: opr.Name, KeyHash: opr.KeyHash})
	}
	api, err := oper.New(adm, oper.Config{Operators: ops})
	if err != nil {
		return nil, err
	}
	return api.Server(), nil
}
