package entry

import (
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

	"kumquathinge/core/site"
	"kumquathinge/io/mirror"
	"kumquathinge/io/wire"
	"kumquathinge/platform"
)

// Timing of a planned stop.
const (
	// stopNotice is the time for which requests are taken after the order to
	// stop: the balancer asks once a second and needs two refusals.
	stopNotice = 2800 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 500 * time.Millisecond
	// stopPoll is the pause between two looks at what is still open.
	stopPoll = 50 * time.Millisecond
	// settingsPause is the pause between two looks at the settings file.
	settingsPause = 2 * time.Second
)

// Waits of followers for the first record. They bound the time after which a
// record is seen whose arrival the store did not tell of.
const (
	// followWait is for the operators' topic: a configuration is to be in
	// force within 2 s.
	followWait = 1200 * time.Millisecond
	// followWaitServers is for the servers' topic.
	followWaitServers = 2500 * time.Millisecond
	// followWaitNodes is for the nodes' topic. Its reads also confirm the
	// orderer.
	followWaitNodes = time.Second
)

// inboxSize is the number of news that wait for a follower.
const inboxSize = 64

// Connections to backend servers.
const (
	// dialBound is the wait for a connection; a round trip takes 2 ms.
	dialBound = 250 * time.Millisecond
	// ackBound is the time after which a connection ends whose other end
	// doesn't acknowledge.
	ackBound = 2 * time.Second
	// idleServer is the time for which an unused connection is kept. Servers
	// close theirs after a few seconds more.
	idleServer = 4 * time.Second
	// idleConns is the number of unused connections kept to a server.
	idleConns = 32
)

// Options are the parts of a node that its command line sets.
type Options struct {
	// MetricsPort is the TCP port of the metrics, zero for none.
	MetricsPort int
	// SettingsPath is the path of the settings file.
	SettingsPath string
	// Log gets the log lines; nil stands for standard output.
	Log io.Writer
	// StopNotice is the time for which a node that stops still takes requests;
	// zero stands for what the balancer needs.
	StopNotice time.Duration
}

// Node is the daemon of an entry VM.
type Node struct {
	opt Options
	set atomic.Pointer[site.Settings]
	log *logrus.Logger
	wtr *logWriter
	met *meter

	sta *state
	fro *front
	swe *sweeper
	prs *peers
	reg *registry
	enr *enroller
	ord *orderer
	fol []*follower
	poo *wire.Pools
}

// New returns a node with the settings set.
func New(opt Options, set site.Settings) *Node {
	nod := &Node{met: newMeter()}
	nod.set.Store(&set)
	if opt.Log == nil {
		opt.Log = os.Stdout
	}
	if opt.StopNotice == 0 {
		opt.StopNotice = stopNotice
	}
	nod.opt = opt
	nod.log, nod.wtr = newLogger(opt.Log, set.Node, nod.met.logDropped.Inc)
	now := time.Now()
	self := nodeRecord{Node: set.Node, Zone: set.Zone, Addr: net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort)), Life: now.UnixNano()}
	hea := newHealth(now)
	sto := platform.NewStore(set.StoreAddr)
	nod.sta = newState()
	nod.poo = wire.NewPools(wire.Config{DialTimeout: dialBound, IdleTimeout: idleServer, MaxIdle: idleConns, AckTimeout: ackBound, MaxBody: maxAnswer})
	lod := newLoads(set.Zone, func() site.Settings { return *nod.set.Load() })
	fwd := &forwarder{sta: nod.sta, poo: nod.poo, log: nod.log, met: nod.met, lod: lod}
	nod.swe = newSweeper(fwd, nod.log)
	nod.fro = newFront(nod.sta, fwd, nod.swe, nod.log, nod.met)
	nod.prs = newPeers(nod.sta, lod, hea, nod.log, nod.met, self, nod.fro.leaving.Load)
	nod.reg = newRegistry(nod.sta, hea, nod.log, nod.met)
	nod.enr = newEnroller(nod.sta, sto, nod.log, nod.met, self)
	nod.ord = &orderer{
		sta: nod.sta, hea: hea, sto: sto, svs: platform.NewServers(nod.poo), prs: nod.prs, lod: lod,
		log: nod.log, met: nod.met, self: self, reg: nod.reg, stop: nod.fro.leaving.Load, busy: nod.fro.arrived.Load,
	}
	cfr := &configurer{sta: nod.sta, log: nod.log, met: nod.met, changed: nod.reg.tableChanged}
	mir := mirror.NewClient(dialBound)
	follow := func(topic string, wait time.Duration, apply func(change)) {
		nod.fol = append(nod.fol, &follower{
			sto: sto, mir: mir, hea: hea, log: nod.log, met: nod.met, topic: topic, apply: apply, wait: wait,
			fresh: true, wake: make(chan struct{}, 1), inbox: make(chan news, inboxSize), latest: map[string]site.Record{},
			reads: func() bool { return nod.prs.reads(time.Now()) }, tell: nod.prs.tell,
		})
	}
	follow(platform.TopicOperator, followWait, cfr.apply)
	follow(platform.TopicServers, followWaitServers, nod.reg.apply)
	follow(platform.TopicNodes, followWaitNodes, nod.enr.apply)
	nod.prs.topics = nod.fol
	nod.prs.lost, nod.prs.orders, nod.prs.moved = nod.ord.lostIDs, nod.ord.active.Load, nod.ord.movedList
	nod.prs.reg = nod.reg
	return nod
}

// Run serves until the process is told to stop.
func (nod *Node) Run(ctx context.Context) error {
	set := nod.set.Load()
	callers, err := listen(ctx, set.CallerAddr)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	ready, err := listen(ctx, set.ReadinessAddr)
	if err != nil {
		return eris.Wrap(err, "listening for the balancer")
	}
	err = nod.prs.open()
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	var grp run.Group
	add := func(tsk func(context.Context) error) {
		tctx, cancel := context.WithCancel(context.Background())
		grp.Add(func() error { return tsk(tctx) }, func(error) { cancel() })
	}
	add(nod.wtr.run)
	add(nod.reg.run)
	for _, fol := range nod.fol {
		add(fol.run)
	}
	add(nod.enr.run)
	add(nod.prs.report)
	grp.Add(func() error { return nod.prs.receive(ctx) }, func(error) { _ = nod.prs.con.Close() })
	add(nod.ord.run)
	add(nod.swe.run)
	add(nod.prune)
	add(nod.watchSettings)
	nod.addServer(&grp, nod.fro.srv, callers)
	nod.addServer(&grp, nod.fro.readiness(), ready)
	err = nod.addMirror(&grp)
	if err != nil {
		return err
	}
	err = nod.addMetrics(&grp, set.IP)
	if err != nil {
		return err
	}
	grp.Add(func() error { return nod.stop(ctx) }, func(error) {})
	nod.log.WithFields(logrus.Fields{
		"event": "start", "zone": set.Zone, "callers": set.CallerAddr, "readiness": set.ReadinessAddr, "store": set.StoreAddr, "peers": nod.prs.self.Addr, "life": nod.prs.self.Life,
	}).Info("node started")
	return grp.Run()
}

// addServer adds an HTTP server on lis. Its requests have ended when the group
// stops, so it is cut then.
func (nod *Node) addServer(grp *run.Group, srv *fasthttp.Server, lis net.Listener) {
	grp.Add(func() error { return srv.Serve(lis) }, func(error) { _ = lis.Close() })
}

// addMirror adds the server of the topics for peers.
func (nod *Node) addMirror(grp *run.Group) error {
	lis, err := net.Listen("tcp", nod.prs.self.Addr)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	nod.addHTTP(grp, lis, mirror.Handler(mirrors(nod.fol)))
	return nil
}

// addMetrics adds the server of the metrics, if a port is set.
func (nod *Node) addMetrics(grp *run.Group, ip string) error {
	if nod.opt.MetricsPort == 0 {
		return nil
	}
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(nod.opt.MetricsPort)))
	if err != nil {
		return eris.Wrap(err, "listening for metrics")
	}
	nod.addHTTP(grp, lis, http.HandlerFunc(func(wtr http.ResponseWriter, _ *http.Request) { nod.met.write(wtr) }))
	return nil
}

// addHTTP adds a server of other processes than callers on lis.
func (nod *Node) addHTTP(grp *run.Group, lis net.Listener, hdl http.Handler) {
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: readBound, IdleTimeout: idleBound}
	grp.Add(func() error {
		err := srv.Serve(lis)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { _ = srv.Close() })
}

// stop waits for the order to stop, turns unready, and returns when the open
// requests have ended or the grace is over.
func (nod *Node) stop(ctx context.Context) error {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sig)
	select {
	case <-ctx.Done():
	case <-sig:
	}
	begin := time.Now()
	nod.fro.leaving.Store(true)
	nod.log.WithFields(logrus.Fields{"event": "stopping", "open": nod.swe.count()}).Info("told to stop; unready, requests in progress go on")
	end := begin.Add(nod.set.Load().StopGrace - stopMargin)
	for now := begin; now.Before(end); now = time.Now() {
		if now.Sub(begin) > nod.opt.StopNotice {
			nod.fro.refusing.Store(true)
			if nod.swe.count() == 0 {
				break
			}
		}
		sleep(context.Background(), stopPoll)
	}
	nod.enr.leave(context.Background())
	nod.log.WithFields(logrus.Fields{"event": "stop", "open": nod.swe.count(), "took": time.Since(begin)}).Info("node stopped")
	return nil
}

// prune closes the connections to servers that are gone.
func (nod *Node) prune(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, settingsPause)
		addrs := map[string]bool{}
		for _, srv := range nod.sta.view.Load().Servers() {
			addrs[srv.Addr] = true
		}
		nod.poo.Retain(func(addr string) bool { return addrs[addr] })
	}
	return nil
}

// watchSettings reads the settings again when the process is told to, and when
// the file has changed.
func (nod *Node) watchSettings(ctx context.Context) error {
	if nod.opt.SettingsPath == "" {
		<-ctx.Done()
		return nil
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGHUP)
	defer signal.Stop(sig)
	tic := time.NewTicker(settingsPause)
	defer tic.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return nil
		case <-sig:
			told = true
		case <-tic.C:
		}
		nod.reload(told)
	}
}

// reload takes the settings that may change while a process runs: the bounds.
func (nod *Node) reload(told bool) {
	set, err := platform.LoadSettings(nod.opt.SettingsPath)
	if err != nil {
		nod.log.WithFields(logrus.Fields{"event": "reload", "told": told, "error": err}).Error("settings can't be read; those in force stay")
		return
	}
	old := *nod.set.Load()
	if set == old {
		if told {
			nod.log.WithFields(logrus.Fields{"event": "reload", "told": told, "changed": false}).Info("settings have not changed")
		}
		return
	}
	if set.CallerAddr != old.CallerAddr || set.ReadinessAddr != old.ReadinessAddr || set.StoreAddr != old.StoreAddr || set.IP != old.IP {
		nod.log.WithFields(logrus.Fields{"event": "reload", "store": set.StoreAddr, "callers": set.CallerAddr}).Warn("addresses have changed; they are used from the next start on")
	}
	nod.set.Store(&set)
	nod.log.WithFields(logrus.Fields{"event": "reload", "told": told, "changed": true, "grace": set.StopGrace}).Info("settings changed")
}
