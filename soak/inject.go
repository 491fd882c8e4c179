package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
	"kumquathinge/stand"
)

const (
	// One of lateTermInterval stops on the traffic of a profile finds the process late by
	// up to maxTermDelay, as on a busy machine.
	lateTermInterval = 3
	maxTermDelay     = 700 * time.Millisecond
	// maxRestartDelay is the longest delay before a stopped or killed process is
	// restarted.
	maxRestartDelay = 2 * time.Second
	// entryTimeout is the time after which the store entry of a frozen server is
	// removed.
	entryTimeout = 3 * time.Second
	// drainGrace is the time beyond maxDrainDelay for which a draining server
	// still serves.
	drainGrace = 3 * time.Second
	// Delays of responses of the store and of backend servers, and of each
	// chunk of bytes on a connection.
	slowStoreDelay  = 250 * time.Millisecond
	slowServerDelay = 400 * time.Millisecond
	// slowServerFactor is by how much a slow server takes longer on the traffic of a
	// profile.
	slowServerFactor = 4
	slowLinkDelay    = 80 * time.Millisecond
	// endlessInterval is the time between two parts of a response without end.
	endlessInterval = time.Millisecond
)

// inject starts a fault, and returns the function that undoes it.
func (dep *deployment) inject(fault Fault) (func(), error) {
	rng := rand.New(rand.NewPCG(fault.TargetSeed, 1))
	var undo func()
	var err error
	disruptive := fault.Kind > LastPlanned && fault.Kind != NodeLateTerm && fault.Kind != Evacuate
	if disruptive {
		dep.disruptiveFaults.Add(1)
	}
	switch fault.Kind {
	case NodeTerm, NodeLateTerm, NodeHup, NodeKill, NodeKillAll, NodeFreeze:
		undo = dep.injectNodeFault(fault, rng)
	case Configure:
		err = dep.writeConfig()
		dep.scheduleVersionCheck()
	case StoreRestore:
		undo = dep.injectRestore(rng)
	case Evacuate:
		undo = dep.injectEvacuation(rng)
	case ServerRepeat:
		undo = dep.injectRepeat(fault, rng)
	case NodeStranded:
		undo = dep.injectStranded(fault, rng)
	case ServerWave:
		undo = dep.injectWave(fault, rng)
	case UploadBurst:
		undo = dep.injectUploads()
	case ServerUneven:
		undo = dep.injectUneven(fault, rng)
	case StoreRefuse, StoreDrop, StoreSilent, StoreSlow, StoreLost, StoreCompact:
		undo = dep.injectStoreFault(fault, rng)
	default:
		undo, err = dep.injectServerFault(fault, rng)
	}
	return func() {
		if undo != nil {
			undo()
		}
		if disruptive {
			dep.disruptiveFaults.Add(-1)
		}
	}, err
}

func (dep *deployment) injectNodeFault(fault Fault, rng *rand.Rand) func() {
	node := dep.nodes[rng.IntN(len(dep.nodes))]
	switch fault.Kind {
	case NodeTerm:
		if dep.options.Profile != nil && rng.IntN(lateTermInterval) == 0 {
			node.Delay(time.Duration(rng.Int64N(int64(maxTermDelay))))
		}
		node.Signal(syscall.SIGTERM, rand.N(maxRestartDelay))
	case NodeLateTerm:
		node.Delay(fault.Duration)
		node.Signal(syscall.SIGTERM, rand.N(maxRestartDelay))
	case NodeHup:
		node.Signal(syscall.SIGHUP, 0)
	case NodeKill:
		node.Signal(syscall.SIGKILL, rand.N(maxRestartDelay))
	case NodeKillAll:
		for _, each := range dep.nodes {
			each.Signal(syscall.SIGKILL, rand.N(maxRestartDelay))
		}
	case NodeFreeze:
		node.Signal(syscall.SIGSTOP, 0)
		return func() { node.Signal(syscall.SIGCONT, 0) }
	}
	return nil
}

// storeFaults maps the kinds of store faults to the fault of each call.
var storeFaults = map[Kind]platfk.Fault{
	StoreRefuse: {Status: http.StatusServiceUnavailable},
	StoreDrop:   {Drop: true},
	StoreSilent: {Hang: true},
	StoreSlow:   {Delay: slowStoreDelay},
	StoreLost:   {Drop: true, Applied: true},
}

// injectRestore makes the store refuse all calls. When that ends, it comes back from
// a copy, and what the operator and the servers wrote since is written again.
func (dep *deployment) injectRestore(rng *rand.Rand) func() {
	dep.mu.Lock()
	cp := dep.copies[rng.IntN(len(dep.copies))]
	dep.mu.Unlock()
	for _, node := range dep.nodes {
		node.storeEndpoint.SetFault(func(string, string) platfk.Fault { return storeFaults[StoreRefuse] })
		node.recordFault()
	}
	end := dep.beginStoreFault()
	return func() {
		restoredAt := time.Now()
		dep.store.Restore(cp)
		end()
		for _, node := range dep.nodes {
			node.storeEndpoint.SetFault(nil)
			node.recordFault()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(rewriteDelay))))
		dep.mu.Lock()
		dep.store.Append(platform.TopicOperator, platform.KeyConfig, dep.config)
		dep.rewriteEvacuations(restoredAt)
		dep.mu.Unlock()
		for _, srv := range dep.allServers() {
			if srv.removed.Load() {
				time.AfterFunc(entryTimeout, func() { dep.store.Append(platform.TopicServers, srv.ID(), nil) })
			} else if !srv.frozen.Load() {
				srv.Register()
			}
		}
	}
}

// rewriteDelay is the longest time after the store's return within which the operator
// and the servers write again what was lost.
const rewriteDelay = 1500 * time.Millisecond

// injectStoreFault compacts the store, or makes its calls fail for some nodes or
// for all of them.
func (dep *deployment) injectStoreFault(fault Fault, rng *rand.Rand) func() {
	if fault.Kind == StoreCompact {
		for _, topic := range []string{platform.TopicOperator, platform.TopicServers, platform.TopicNodes} {
			dep.store.Compact(topic)
		}
		return nil
	}
	var affected []*Node
	for _, node := range dep.nodes {
		if rng.Float64() < fault.Share || fault.Share > 0.6 {
			affected = append(affected, node)
		}
	}
	for _, node := range affected {
		node.storeEndpoint.SetFault(func(string, string) platfk.Fault { return storeFaults[fault.Kind] })
		node.recordFault()
	}
	end := dep.beginStoreFault()
	return func() {
		end()
		for _, node := range affected {
			node.storeEndpoint.SetFault(nil)
			node.recordFault()
		}
	}
}

// faultyResponse returns the response of a server with a fault of the kind.
func (dep *deployment) faultyResponse(kind Kind, req *http.Request) platfk.Response {
	resp := requestedWork(req)
	switch kind {
	case ServerSlow:
		if dep.options.Profile == nil {
			resp.Delay = slowServerDelay
		} else {
			resp.Delay *= slowServerFactor
		}
	case ServerFail:
		resp.Status = http.StatusInternalServerError
	case ServerRefuse:
		resp.Refuse = true
	case ServerCut:
		resp.CutAfter = 3
	case ServerStall:
		resp.StallAfter = 3
	case ServerGarble:
		resp = garbledResponse(resp, req)
	}
	return resp
}

// garbledResponse returns a response whose bytes are no answer to its request. Only
// streams go on without end: what is no stream is passed on as it comes, to clients that
// run in this process and hold it.
func garbledResponse(resp platfk.Response, req *http.Request) platfk.Response {
	switch draw := rand.IntN(6); {
	case draw == 0 && req.Header.Get(platform.HeaderModel) != "":
		resp.EndlessBody, resp.Delay = true, max(resp.Delay, endlessInterval)
	case draw <= 1:
		resp.EndlessHead, resp.Delay = true, max(resp.Delay, endlessInterval)
	case draw == 2:
		resp.LoseAfter, resp.LoseByReset = 1+rand.IntN(400), rand.IntN(2) == 0
	case draw <= 4:
		resp.Preamble = invalidAnswer(req)
	default:
		resp.Preamble = fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %016x\r\n%s: stamp-x\r\nContent-Length: 1\r\n\r\nx", platform.HeaderAttemptID, rand.Uint64(), platform.HeaderResponseStamp)
	}
	return resp
}

// invalidAnswer returns a response that names the request, and sometimes states that it was
// not executed, and whose header is invalid.
func invalidAnswer(req *http.Request) string {
	lines := fmt.Sprintf("%s: %s\r\n%s: stamp-x\r\n", platform.HeaderAttemptID, req.Header.Get(platform.HeaderAttemptID), platform.HeaderResponseStamp)
	if rand.IntN(2) == 0 {
		lines += platform.HeaderNotExecuted + ": 1\r\n"
	}
	answers := slices.Collect(maps.Values(stand.InvalidHeaders(lines, "x")))
	return answers[rand.IntN(len(answers))]
}

// connFaults maps the kinds of connection faults to those of the proxy.
var connFaults = map[Kind]ConnFault{LinkDelay: {Delay: slowLinkDelay}, LinkOut: {DropUpstream: true}, LinkIn: {DropDownstream: true}}

// injectServerFault injects a fault into one active server or its proxy.
func (dep *deployment) injectServerFault(fault Fault, rng *rand.Rand) (func(), error) {
	servers := dep.activeServers()
	srv := servers[rng.IntN(len(servers))]
	if fault.Kind == ServerDrain && fault.Share == membersOnly {
		srv = dep.memberOfOpenGroup(srv)
	}
	switch fault.Kind {
	case ServerDrain:
		return nil, dep.drainServer(srv)
	case ServerFreeze:
		return dep.freezeServer(srv, fault.Duration), nil
	case ServerCold:
		return dep.chillServer(srv, fault, rng), nil
	case LinkReset:
		end := srv.beginFault()
		srv.proxy.Reset()
		end()
		return nil, nil
	case LinkDelay:
		srv.proxy.SetFault(connFaults[fault.Kind])
		return func() { srv.proxy.SetFault(ConnFault{}) }, nil
	case LinkOut, LinkIn:
		end := srv.beginFault()
		srv.proxy.SetFault(connFaults[fault.Kind])
		return func() { srv.proxy.SetFault(ConnFault{}); end() }, nil
	case ServerSlow, ServerFail, ServerRefuse, ServerCut, ServerStall, ServerGarble:
		share := fault.Share
		srv.SetResponder(func(req *http.Request, _ int) platfk.Response {
			if rand.Float64() < share {
				return dep.faultyResponse(fault.Kind, req)
			}
			return requestedWork(req)
		})
		return func() { srv.SetResponder(healthyResponse) }, nil
	}
	return nil, fmt.Errorf("unknown fault kind %v", fault.Kind)
}

// membersOnly is the share of a fault that affects members of open groups other than
// their heads only.
const membersOnly = 1

// memberOfOpenGroup returns a member, not the head, of an open group, or other if there
// is none.
func (dep *deployment) memberOfOpenGroup(other *server) *server {
	for _, srv := range dep.activeServers() {
		group := srv.Group()
		if group == "" || srv.Serves(group) {
			continue
		}
		for _, head := range dep.activeServers() {
			if head.Serves(group) {
				return srv
			}
		}
	}
	return other
}

// drainServer adds a server and drains srv, unless another drain is in progress.
func (dep *deployment) drainServer(srv *server) error {
	if dep.drainInProgress() {
		return nil
	}
	service := engineService
	if srv.domain == "" {
		service = plainService
	}
	err := dep.addServer(service, srv.domain)
	if err != nil {
		return err
	}
	srv.Drain()
	dep.mu.Lock()
	srv.drainAckedAt, srv.draining = time.Now(), true
	dep.mu.Unlock()
	time.AfterFunc(maxDrainDelay+drainGrace, func() {
		srv.removed.Store(true)
		dep.store.Append(platform.TopicServers, srv.ID(), nil)
	})
	return nil
}

// drainInProgress reports whether a draining server has not yet been removed.
// Servers are drained one at a time.
func (dep *deployment) drainInProgress() bool {
	for _, srv := range dep.allServers() {
		if !srv.drainAckedAt.IsZero() && time.Since(srv.drainAckedAt) < maxDrainDelay+drainGrace {
			return true
		}
	}
	return false
}

// freezeServer freezes a server, and removes its entry from the store after
// entryTimeout if the fault lasts longer.
func (dep *deployment) freezeServer(srv *server, duration time.Duration) func() {
	end := srv.beginFault()
	srv.Freeze()
	srv.frozen.Store(true)
	if duration > entryTimeout {
		time.AfterFunc(entryTimeout, func() { dep.store.Append(platform.TopicServers, srv.ID(), nil) })
	}
	return func() {
		srv.frozen.Store(false)
		srv.Restart()
		end()
	}
}
