package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquathinge/core/site"
	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// Names and bounds of the deployment that a run plays.
const (
	host    = "soak.example"
	org     = "org-a"
	key     = "key-of-org-a"
	model   = "m1"
	engines = "engines"
	plain   = "plain"
	events  = 12
	// eventPause is the time between events of a stream.
	eventPause = 15 * time.Millisecond
	groupSize  = 2
	// stopGrace is the time that a node has to end.
	stopGrace = 8 * time.Second
	// configBound is the time within which a configuration is in force.
	configBound = 2 * time.Second
	// attempts is the number of servers that a repeatable request may be sent to.
	attempts = 2
	// rotationPause is the pause between two questions whether nodes are ready,
	// as the balancer asks.
	rotationPause = 500 * time.Millisecond
	// rotationMisses is the number of misses that take a node out of rotation.
	rotationMisses = 2
)

// world is a deployment under soak.
type world struct {
	opt   Options
	sto   *platfk.Store
	nodes []*Node

	mtx     sync.Mutex
	servers []*server
	version int64
	numbers int
	// ready are the nodes in rotation.
	ready []*Node

	rec recorder
	// later are checks that wait for a bound, late is what they found.
	later sync.WaitGroup
	late  []string
	// harm counts the faults in progress that may lose requests.
	harm atomic.Int64
}

// server is a backend server behind a proxy.
type server struct {
	*platfk.Server
	prx    *Proxy
	domain string
	// left is set for a server that has left.
	left bool
	// drained is when its leaving was acknowledged.
	drained time.Time
}

// newWorld starts a deployment.
func newWorld(opt Options) (*world, error) {
	wld := &world{opt: opt, sto: platfk.NewStore()}
	for num := range opt.Groups {
		for range groupSize {
			if err := wld.addServer(engines, fmt.Sprintf("d%d", num)); err != nil {
				return wld, err
			}
		}
		// A spare for each domain.
		if err := wld.addServer(engines, fmt.Sprintf("d%d", num)); err != nil {
			return wld, err
		}
	}
	for range opt.Plain {
		if err := wld.addServer(plain, ""); err != nil {
			return wld, err
		}
	}
	if err := wld.configure(); err != nil {
		return wld, err
	}
	for num := range opt.Nodes {
		if err := wld.addNode(num); err != nil {
			return wld, err
		}
	}
	return wld, nil
}

func (wld *world) close() {
	for _, nod := range wld.nodes {
		nod.close()
	}
	for _, srv := range wld.all() {
		srv.Close()
		srv.prx.Close()
	}
	wld.sto.Close()
}

func zone(num int) string { return fmt.Sprintf("z%d", num%3+1) }

// addNode starts an entry VM on a loopback address of its own.
func (wld *world) addNode(num int) error {
	nod := &Node{gate: wld.sto.NewEndpoint()}
	prx, err := NewProxy(nod.gate.Addr())
	if err != nil {
		return err
	}
	nod.prx = prx
	ip := fmt.Sprintf("%s.%d", wld.opt.Subnet, num+1)
	nod.set = site.Settings{
		Node: fmt.Sprintf("n%02d", num+1), IP: ip, Zone: zone(num), CallerAddr: net.JoinHostPort(ip, "19081"), ReadinessAddr: net.JoinHostPort(ip, "19082"),
		StoreAddr: prx.Addr(), PeerPort: 19083, StopGrace: stopGrace, MemoryBytes: 256 << 20, RetryRatio: 0.2, RetrySlack: 130, RetryWindow: 10 * time.Second,
	}
	wld.nodes = append(wld.nodes, nod)
	return nod.start(wld.opt.Dir, wld.opt.Program)
}

// addServer starts a backend server behind a proxy.
func (wld *world) addServer(service, domain string) error {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	wld.numbers++
	var prx *Proxy
	var err error
	srv := platfk.NewServer(wld.sto, platfk.ServerConfig{
		ID: fmt.Sprintf("s%03d", wld.numbers), Service: service, Zone: zone(wld.numbers), Domain: domain, Events: events,
		AdvertisedAddr: func(addr string) string {
			if prx == nil && err == nil {
				prx, err = NewProxy(addr)
			}
			if err != nil {
				return addr
			}
			return prx.Addr()
		},
	})
	if err != nil {
		srv.Close()
		return err
	}
	srv.SetResponder(usual)
	wld.servers = append(wld.servers, &server{Server: srv, prx: prx, domain: domain})
	return nil
}

// usual is how a sound server answers.
func usual(*http.Request, int) platfk.Response { return platfk.Response{Delay: eventPause} }

// all returns the servers, also those that have left.
func (wld *world) all() []*server {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	return append([]*server(nil), wld.servers...)
}

// present returns the servers that have not left.
func (wld *world) present() []*server {
	var out []*server
	for _, srv := range wld.all() {
		if !srv.left {
			out = append(out, srv)
		}
	}
	return out
}

func route(name string, knd site.RequestKind, service string, tries int) site.Route {
	return site.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: knd, Targets: []site.Target{{Service: service, Weight: 1}},
		Timeout: 4 * time.Second, TargetLatency: 200 * time.Millisecond, TargetEventGap: 250 * time.Millisecond, MaxAttempts: tries, Resumable: knd == site.KindStream,
	}
}

// configure writes the next version, whose last route names it.
func (wld *world) configure() error {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	wld.version++
	raw, err := platfk.ConfigDocument{
		Version: wld.version, ModelService: engines, PlainService: plain, Slots: 16, Model: model, Size: groupSize, Org: org, APIKey: key,
		Routes: []site.Route{
			route("stream", site.KindStream, engines, attempts), route("charge", site.KindAtMostOnce, plain, 1), route("read", site.KindIdempotent, plain, attempts),
			route(versionRoute(wld.version), site.KindIdempotent, plain, attempts),
		},
	}.Encode()
	if err != nil {
		return err
	}
	wld.sto.Append(platform.TopicOperator, platform.KeyConfig, raw)
	return nil
}

func versionRoute(version int64) string { return fmt.Sprintf("v%d", version) }

// watch keeps the nodes in rotation until done closes.
func (wld *world) watch(done <-chan struct{}) {
	misses := map[*Node]int{}
	cli := &http.Client{Timeout: rotationPause, Transport: &http.Transport{DisableKeepAlives: true}}
	tic := time.NewTicker(rotationPause)
	defer tic.Stop()
	for {
		var ready []*Node
		for _, nod := range wld.nodes {
			if askReady(cli, nod) {
				misses[nod] = 0
			} else {
				misses[nod]++
			}
			if misses[nod] < rotationMisses {
				ready = append(ready, nod)
			}
		}
		wld.mtx.Lock()
		wld.ready = ready
		wld.mtx.Unlock()
		select {
		case <-done:
			return
		case <-tic.C:
		}
	}
}

func askReady(cli *http.Client, nod *Node) bool {
	res, err := cli.Get("http://" + nod.set.ReadinessAddr + platform.PathReady)
	if err != nil {
		return false
	}
	return errors.Join(res.Body.Close()) == nil && res.StatusCode == http.StatusOK
}

// rotation returns the nodes that get new connections.
func (wld *world) rotation() []*Node {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	if len(wld.ready) == 0 {
		return wld.nodes
	}
	return wld.ready
}
