package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

const (
	// killDown is the longest pause before a killed process starts again.
	killDown = 2 * time.Second
	// entryLapse is the time after which the entry of a silent server goes.
	entryLapse = 3 * time.Second
	// drainTime is the time for which a server that leaves still serves, beyond
	// drainBound.
	drainTime = 3 * time.Second
	// slowStore and slowServer are added to answers.
	slowStore  = 250 * time.Millisecond
	slowServer = 400 * time.Millisecond
	linkDelay  = 80 * time.Millisecond
)

// apply injures the world, and returns what heals it after the fault's time.
func (wld *world) apply(flt Fault) (func(), error) {
	rng := rand.New(rand.NewPCG(flt.Pick, 1))
	var heal func()
	var err error
	if flt.Kind > LastPlanned {
		wld.harm.Add(1)
	}
	switch flt.Kind {
	case NodeTerm, NodeHup, NodeKill, Herd, NodeFreeze:
		heal = wld.strikeNodes(flt, rng)
	case Configure:
		err = wld.configure()
		wld.watchVersion()
	case StoreRefuse, StoreDrop, StoreSilent, StoreSlow, StoreLost, StoreForget:
		heal = wld.strikeStore(flt, rng)
	default:
		heal, err = wld.strikeServer(flt, rng)
	}
	return func() {
		if heal != nil {
			heal()
		}
		if flt.Kind > LastPlanned {
			wld.harm.Add(-1)
		}
	}, err
}

func (wld *world) strikeNodes(flt Fault, rng *rand.Rand) func() {
	nod := wld.nodes[rng.IntN(len(wld.nodes))]
	switch flt.Kind {
	case NodeTerm:
		nod.Signal(syscall.SIGTERM, rand.N(killDown))
	case NodeHup:
		nod.Signal(syscall.SIGHUP, 0)
	case NodeKill:
		nod.Signal(syscall.SIGKILL, rand.N(killDown))
	case Herd:
		for _, one := range wld.nodes {
			one.Signal(syscall.SIGKILL, rand.N(killDown))
		}
	case NodeFreeze:
		nod.Signal(syscall.SIGSTOP, 0)
		return func() { nod.Signal(syscall.SIGCONT, 0) }
	}
	return nil
}

// storeFaults are the faults of the store's calls by kind.
var storeFaults = map[Kind]platfk.Fault{
	StoreRefuse: {Status: http.StatusServiceUnavailable},
	StoreDrop:   {Drop: true},
	StoreSilent: {Hang: true},
	StoreSlow:   {Delay: slowStore},
	StoreLost:   {Drop: true, Applied: true},
}

// strikeStore lets the store fail some nodes, or all of them.
func (wld *world) strikeStore(flt Fault, rng *rand.Rand) func() {
	if flt.Kind == StoreForget {
		for _, top := range []string{platform.TopicOperator, platform.TopicServers, platform.TopicNodes} {
			wld.sto.Compact(top)
		}
		return nil
	}
	var hit []*Node
	for _, nod := range wld.nodes {
		if rng.Float64() < flt.Share || flt.Share > 0.6 {
			hit = append(hit, nod)
		}
	}
	for _, nod := range hit {
		nod.gate.SetFault(func(string, string) platfk.Fault { return storeFaults[flt.Kind] })
		nod.mark()
	}
	return func() {
		for _, nod := range hit {
			nod.gate.SetFault(nil)
			nod.mark()
		}
	}
}

// replies are the answers of servers that fail, by kind.
var replies = map[Kind]platfk.Response{
	ServerSlow:   {Delay: slowServer},
	ServerFail:   {Status: http.StatusInternalServerError, Delay: eventPause},
	ServerRefuse: {Refuse: true},
	ServerCut:    {CutAfter: 3, Delay: eventPause},
	ServerStall:  {StallAfter: 3, Delay: eventPause},
}

// harms are what proxies do to connections, by kind.
var harms = map[Kind]Harm{LinkDelay: {Delay: linkDelay}, LinkOut: {DropOut: true}, LinkIn: {DropIn: true}}

// strikeServer injures one server. One of each service is left alone.
func (wld *world) strikeServer(flt Fault, rng *rand.Rand) (func(), error) {
	srvs := wld.present()
	srv := srvs[rng.IntN(len(srvs))]
	switch flt.Kind {
	case ServerDrain:
		return nil, wld.drain(srv)
	case ServerDark:
		return wld.darken(srv, flt.For), nil
	case LinkReset:
		srv.prx.Reset()
		return nil, nil
	case LinkDelay, LinkOut, LinkIn:
		srv.prx.SetHarm(harms[flt.Kind])
		return func() { srv.prx.SetHarm(Harm{}) }, nil
	case ServerSlow, ServerFail, ServerRefuse, ServerCut, ServerStall:
		rep, share := replies[flt.Kind], flt.Share
		srv.SetResponder(func(*http.Request, int) platfk.Response {
			if rand.Float64() < share {
				return rep
			}
			return platfk.Response{Delay: eventPause}
		})
		return func() { srv.SetResponder(usual) }, nil
	}
	return nil, fmt.Errorf("fault %v is not known", flt.Kind)
}

// drain lets a server leave and another one come, unless few are left.
func (wld *world) drain(srv *server) error {
	if wld.draining() {
		return nil
	}
	service := engines
	if srv.domain == "" {
		service = plain
	}
	err := wld.addServer(service, srv.domain)
	if err != nil {
		return err
	}
	srv.Drain()
	wld.mtx.Lock()
	srv.drained, srv.left = time.Now(), true
	wld.mtx.Unlock()
	time.AfterFunc(drainBound+drainTime, func() { wld.sto.Append(platform.TopicServers, srv.ID(), nil) })
	return nil
}

// draining reports whether a server has left lately: they leave one by one.
func (wld *world) draining() bool {
	for _, srv := range wld.all() {
		if !srv.drained.IsZero() && time.Since(srv.drained) < drainBound+drainTime {
			return true
		}
	}
	return false
}

// darken silences a server; its entry goes if it stays silent.
func (wld *world) darken(srv *server, length time.Duration) func() {
	srv.Freeze()
	if length > entryLapse {
		time.AfterFunc(entryLapse, func() { wld.sto.Append(platform.TopicServers, srv.ID(), nil) })
	}
	return srv.Restart
}
