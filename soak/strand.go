package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// Half of the cuts affect one node, the others most of the nodes.
	mostNodes = 0.5
	// minCut is the shortest time for which nodes are cut off from all servers, and
	// cutSpread by how much it may be longer.
	minCut    = 8 * time.Second
	cutSpread = 4 * time.Second
	// Of all first tries, minCutFailures and one in cutFailureInterval may fail at the
	// nodes that are cut off.
	minCutFailures     = 10
	cutFailureInterval = 50
)

// cutForms are the faults of the connections of a node that is cut off. They hang, are
// reset, or live on while new ones are refused. The target seed selects one.
var cutForms = []ConnFault{{DropUpstream: true, DropDownstream: true}, {Refuse: true, Reset: true}, {Refuse: true}}

// nodeCut is a period in which nodes reached no backend server.
type nodeCut struct {
	Period
	nodes []*Node
}

// nodeLinks identifies the nodes that open connections, and holds the faults of all
// connections of a node.
type nodeLinks struct {
	mu     sync.Mutex
	nodes  []*Node
	faults map[*Node]ConnFault
	cuts   []nodeCut
}

func (links *nodeLinks) addNode(node *Node) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.nodes = append(links.nodes, node)
}

// ownerOf returns the node whose process opened a connection, nil if there is none.
func (links *nodeLinks) ownerOf(conn *net.TCPConn) *Node {
	socket := socketOf(conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port)
	if socket == "" {
		return nil
	}
	links.mu.Lock()
	nodes := slices.Clone(links.nodes)
	links.mu.Unlock()
	for _, node := range nodes {
		if node.holds(socket) {
			return node
		}
	}
	return nil
}

// socketOf returns the name of the socket of an IPv4 connection in a process's list of
// files, empty if it is gone.
func socketOf(local, remote int) string {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	localHex, remoteHex := fmt.Sprintf(":%04X", local), fmt.Sprintf(":%04X", remote)
	for line := range strings.Lines(string(raw)) {
		if !strings.Contains(line, localHex) {
			continue
		}
		fields := strings.Fields(line)
		if strings.HasSuffix(fields[1], localHex) && strings.HasSuffix(fields[2], remoteHex) {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}

// holds reports whether the process of the node has a file of the name.
func (node *Node) holds(file string) bool {
	node.mu.Lock()
	cmd := node.cmd
	node.mu.Unlock()
	if cmd == nil {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)
	// Errors are ignored: the process may have ended.
	entries, _ := os.ReadDir(dir)
	return slices.ContainsFunc(entries, func(ent os.DirEntry) bool {
		target, err := os.Readlink(filepath.Join(dir, ent.Name()))
		return err == nil && target == file
	})
}

// faultOf returns the fault of the connections of a node.
func (links *nodeLinks) faultOf(node *Node) ConnFault {
	links.mu.Lock()
	defer links.mu.Unlock()
	return links.faults[node]
}

// cut applies a fault to the connections of the nodes, and returns the function that ends
// it.
func (links *nodeLinks) cut(nodes []*Node, fault ConnFault) func() {
	links.mu.Lock()
	defer links.mu.Unlock()
	idx := len(links.cuts)
	links.cuts = append(links.cuts, nodeCut{Period: Period{From: time.Now()}, nodes: nodes})
	for _, node := range nodes {
		links.faults[node] = fault
	}
	return func() {
		links.mu.Lock()
		defer links.mu.Unlock()
		links.cuts[idx].To = time.Now()
		for _, node := range nodes {
			delete(links.faults, node)
		}
	}
}

// cutsOf returns the periods in which the node was cut off.
func (links *nodeLinks) cutsOf(node *Node) []Period {
	links.mu.Lock()
	defer links.mu.Unlock()
	var out []Period
	for _, cut := range links.cuts {
		if slices.Contains(cut.nodes, node) {
			out = append(out, cut.Period)
		}
	}
	return out
}

// AddStranded adds nodes that are cut off from all backend servers to the faults of a
// seed, none to planned maintenance.
func AddStranded(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 8))
	if planned {
		return faults
	}
	return appendFaults(faults, rng, NodeStranded, 1, duration, minCut, cutSpread)
}

// injectStranded cuts one node, or most nodes, off from all backend servers.
func (dep *deployment) injectStranded(fault Fault, rng *rand.Rand) func() {
	num := 1
	if fault.Share >= mostNodes {
		num = max(1, min(len(dep.nodes)/2+1, len(dep.nodes)-1))
	}
	var nodes []*Node
	for _, idx := range rng.Perm(len(dep.nodes))[:num] {
		nodes = append(nodes, dep.nodes[idx])
	}
	form := cutForms[fault.TargetSeed%uint64(len(cutForms))]
	end := dep.links.cut(nodes, form)
	if form.Reset {
		for _, srv := range dep.allServers() {
			srv.proxy.ResetOwned(nodes)
		}
	}
	return end
}

// TryCount counts requests that are the first tries of clients, and those served.
type TryCount struct{ Sent, Served int }

// CutCount counts the first tries at nodes that were cut off, and those at the others.
type CutCount struct{ Cut, Others TryCount }

// Judge returns a violation if the first tries at the nodes that were cut off were served
// less than two thirds as often as those at the others, and more of them failed than the
// rules allow. It is empty otherwise.
func (cnt CutCount) Judge() string {
	failed := cnt.Cut.Sent - cnt.Cut.Served
	seldom := 3*cnt.Cut.Served*cnt.Others.Sent < 2*cnt.Others.Served*cnt.Cut.Sent
	if !seldom || failed*cutFailureInterval <= minCutFailures*cutFailureInterval+cnt.Cut.Sent+cnt.Others.Sent {
		return ""
	}
	return fmt.Sprintf("%d of %d first tries served at nodes that were cut off from all servers, %d of %d at the others", cnt.Cut.Served, cnt.Cut.Sent, cnt.Others.Served, cnt.Others.Sent)
}

// countCuts counts the first tries of each cut, from stableWindow after its begin to its
// end, at nodes that nothing else disturbed.
func (dep *deployment) countCuts() []CutCount {
	if dep.links == nil {
		return nil
	}
	var out []CutCount
	for _, cut := range dep.links.cuts {
		var cnt CutCount
		for _, call := range dep.calls.all() {
			if !call.first || call.cancelled || call.sentAt.Before(cut.From.Add(stableWindow)) || !call.sentAt.Before(cut.To) || !dep.inTouch(call) {
				continue
			}
			tries := &cnt.Others
			if slices.Contains(cut.nodes, call.node) {
				tries = &cnt.Cut
			}
			tries.Sent++
			if call.status/100 == 2 && call.complete && call.err == nil {
				tries.Served++
			}
		}
		out = append(out, cnt)
	}
	return out
}

// inTouch reports whether the node of the call ran without a disruption, a stop or a start
// and without a fault of the store, from stableWindow before the call to its end.
func (dep *deployment) inTouch(call *callRecord) bool {
	from := call.sentAt.Add(-stableWindow)
	overlaps := func(sp Period) bool { return sp.overlaps(from, call.endedAt) }
	terms, _, disruptions, lives := call.node.history()
	for _, at := range terms {
		disruptions = append(disruptions, Period{From: at, To: at.Add(call.node.settings.StopGrace)})
	}
	for _, life := range lives {
		disruptions = append(disruptions, Period{From: life.From, To: life.From})
	}
	return !slices.ContainsFunc(disruptions, overlaps) && !slices.ContainsFunc(dep.evacuated.storeFaults, overlaps)
}
