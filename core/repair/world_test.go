package repair_test

import (
	"fmt"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/order"
	"kumquathinge/core/recd"
	"kumquathinge/core/repair"
	"kumquathinge/core/trace"
)

const (
	maxProbeAge = 3 * time.Second
	orderLease  = 20 * time.Second
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec  = core.Spec{Model: "text", Version: "1", Role: core.RoleBoth}
)

// entryNode is one entry VM: its fold of the log, its gate and controller, and the
// orders that it was about to send when it was paused.
type entryNode struct {
	name             string
	state            *fold.State
	gate             *gate.Gate
	controller       *repair.Controller
	confirmedAt      time.Time
	pendingOrders    []repair.SendOrder
	paused           bool
	ordersHeld       bool
	logUnreachable   bool
	peersUnreachable bool
	proposer         bool
}

// simulation is one zone: engines, nodes and the log, in simulated time.
type simulation struct {
	now         time.Time
	log         []core.Entry
	nodes       []*entryNode
	vms         []core.VM
	engines     map[core.VMName]*trace.Engine
	fencingVMs  core.Set[core.VMName]
	drainingVMs core.Set[core.VMName]
	desired     []repair.DesiredGroup
	inFlight    map[core.GroupName]int
	fatalf      func(format string, args ...any)

	// Faults: the next so many answers are lost after they took effect.
	lostAppendReplies int
	lostOrderReplies  int
	ordersSent        int
	lastLoadTokenByVM map[core.VMName]core.Offset

	// lastReadyAt is when an engine was last ready under an order.
	lastReadyAt map[membership]time.Time
}

type membership struct {
	vm           core.VMName
	fencingToken core.Offset
}

func newSimulation(fatalf func(string, ...any), nodes int, fencing bool, doms ...int) *simulation {
	sim := &simulation{
		now: start, engines: map[core.VMName]*trace.Engine{}, inFlight: map[core.GroupName]int{}, fatalf: fatalf,
		fencingVMs: core.NewSet[core.VMName](), drainingVMs: core.NewSet[core.VMName](), lastLoadTokenByVM: map[core.VMName]core.Offset{},
		lastReadyAt: map[membership]time.Time{},
	}
	for dom, num := range doms {
		for idx := range num {
			vmn := core.VMName(fmt.Sprintf("d%d-%d", dom, idx))
			sim.vms = append(sim.vms, core.VM{Name: vmn, Zone: "z", Domain: core.Domain(fmt.Sprint("d", dom)), Kind: core.VMEngine})
			sim.engines[vmn] = trace.NewEngine(vmn, fencing)
			if fencing {
				sim.fencingVMs.Add(vmn)
			}
		}
	}
	for idx := range nodes {
		node := &entryNode{name: fmt.Sprint("n", idx), state: fold.New(), gate: gate.New(maxProbeAge), proposer: idx == 0}
		ids := 0
		node.controller = repair.New(repair.Config{ProposedBy: node.name, NewRecordID: func() core.RecordID {
			ids++
			return core.RecordID(fmt.Sprintf("%s-%d", node.name, ids))
		}})
		sim.nodes = append(sim.nodes, node)
	}
	return sim
}

func (sim *simulation) addGroup(grp core.GroupName, size int) {
	sim.desired = append(sim.desired, repair.DesiredGroup{Group: grp, Zone: "z", Size: size, Spec: spec, Enabled: true})
}

// appendRecord adds a record to the log. A writer that loses the answer appends the
// same record again.
func (sim *simulation) appendRecord(rec recd.Record) {
	data := recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}})
	for again := true; again; {
		again = sim.lostAppendReplies > 0
		if again {
			sim.lostAppendReplies--
		}
		sim.log = append(sim.log, core.Entry{Offset: core.Offset(len(sim.log) + 1), ID: rec.ID, At: sim.now, Data: data})
	}
}

// readLog lets the node fold the log to its end, and relay from a peer if it is
// cut off from the log only.
func (sim *simulation) readLog(node *entryNode) {
	if node.logUnreachable && node.peersUnreachable {
		return
	}
	for _, entry := range sim.log[node.state.Offset():] {
		node.state.Apply(entry)
	}
	node.gate.SetAssignments(node.state.Assignments())
	if !node.logUnreachable || sim.peersAgree(node) {
		node.confirmedAt = sim.now
	}
}

// peersAgree reports whether every peer of the node answers it and has folded the
// log as far.
func (sim *simulation) peersAgree(node *entryNode) bool {
	for _, peer := range sim.nodes {
		if peer.paused || peer.peersUnreachable || peer.state.Offset() != node.state.Offset() {
			return false
		}
	}
	return true
}

func (sim *simulation) probeServers(node *entryNode) {
	for _, vm := range sim.vms {
		if eng := sim.engines[vm.Name]; eng.Reachable() {
			node.gate.RecordProbe(eng.Probe(), sim.now)
		} else {
			node.gate.RecordFailure(vm.Name, sim.now)
		}
	}
	node.gate.SetLeaving(sim.drainingVMs)
}

// input returns what the node knows.
func (sim *simulation) input(node *entryNode) repair.Input {
	return repair.Input{
		Now: sim.now, Zone: "z", IsProposer: node.proposer, LogOK: !node.logUnreachable, PeersAgree: sim.peersAgree(node), ConfirmedAt: node.confirmedAt,
		Assignments: node.state.Assignments(), Holds: node.state.Holds(), Desired: sim.desired, VMs: sim.vms,
		Statuses: node.gate.Statuses(), DrainingVMs: sim.drainingVMs, FencingVMs: sim.fencingVMs, InFlightByGroup: sim.inFlight,
		Settings: repair.Settings{DowntimeWeight: 1, StrandedWeight: 1, ReturnTimeout: 20 * time.Second, OrderLease: orderLease, MaxProbeAge: maxProbeAge},
	}
}

// step lets the node's controller take a step. Records are appended at once,
// orders wait in the node.
func (sim *simulation) step(node *entryNode) {
	for _, act := range node.controller.Step(sim.input(node)) {
		switch act := act.(type) {
		case repair.Propose:
			sim.appendRecord(act.Record)
		case repair.SendOrder:
			node.pendingOrders = append(node.pendingOrders, act)
		}
	}
}

// sendPending sends the first num orders that wait in the node, each held against
// its right right before the send.
func (sim *simulation) sendPending(node *entryNode, num int) {
	for ; num > 0 && len(node.pendingOrders) > 0; num-- {
		send := node.pendingOrders[0]
		node.pendingOrders = node.pendingOrders[1:]
		if order.CheckSend(send.Request(node.confirmedAt, sim.now, orderLease)) != nil {
			continue
		}
		sim.deliverOrder(send)
	}
}

// deliverOrder carries out an order. A sender that loses the answer sends again. An
// engine that ignores numbers must still never get an order of an assignment
// older than one whose order it got before.
func (sim *simulation) deliverOrder(send repair.SendOrder) {
	eng := sim.engines[send.VM]
	for again := true; again; {
		again = sim.lostOrderReplies > 0
		if again {
			sim.lostOrderReplies--
		}
		if !eng.Reachable() || eng.Order(send.Order) != nil {
			continue
		}
		sim.ordersSent++
		if send.Order.Action != core.ActionLoad {
			continue
		}
		if send.Order.FencingToken < sim.lastLoadTokenByVM[send.VM] {
			sim.fatalf("VM %s took the load order %d behind %d", send.VM, send.Order.FencingToken, sim.lastLoadTokenByVM[send.VM])
		}
		sim.lastLoadTokenByVM[send.VM] = send.Order.FencingToken
	}
}

// tick lets a second pass for every node that is not paused.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(time.Second)
	for _, eng := range sim.engines {
		eng.FinishLoad()
	}
	for _, node := range sim.nodes {
		if node.paused {
			continue
		}
		sim.readLog(node)
		sim.probeServers(node)
		sim.step(node)
		if !node.ordersHeld {
			sim.sendPending(node, len(node.pendingOrders))
		}
	}
	sim.checkInvariants()
}

func (sim *simulation) run(secs int) {
	for range secs {
		sim.tick()
	}
}

// runUntil runs until cond holds, for at most secs.
func (sim *simulation) runUntil(secs int, what string, cond func() bool) {
	for range secs {
		if cond() {
			return
		}
		sim.tick()
	}
	if !cond() {
		sim.fatalf("not within %d s: %s", secs, what)
	}
}

// foldedState returns the state that the whole log makes.
func (sim *simulation) foldedState() *fold.State {
	state := fold.New()
	for _, entry := range sim.log {
		state.Apply(entry)
	}
	return state
}

// checkInvariants asserts what must hold after every step: no VM in two live
// assignments, each VM of an assignment in its domain, and no permit at any
// node for a group of which a member is not ready.
func (sim *simulation) checkInvariants() {
	for vmn, eng := range sim.engines {
		if probe := eng.Probe(); eng.Reachable() && probe.State == core.EngineReady {
			sim.lastReadyAt[membership{vmn, probe.FencingToken}] = sim.now
		}
	}
	held := map[core.VMName]core.GroupName{}
	for _, asn := range sim.foldedState().Assignments() {
		for _, vmn := range asn.VMs {
			if other, ok := held[vmn]; ok {
				sim.fatalf("VM %s belongs to %s and %s", vmn, other, asn.Group)
			}
			held[vmn] = asn.Group
		}
	}
	for _, node := range sim.nodes {
		for _, asn := range node.state.Assignments() {
			sim.checkPermit(node, asn)
		}
	}
}

func (sim *simulation) checkPermit(node *entryNode, asn core.Assignment) {
	if _, err := node.gate.Permit(asn.Group, sim.now); err != nil || node.paused {
		return
	}
	for _, vmn := range asn.VMs {
		if at, ok := sim.lastReadyAt[membership{vmn, asn.FencingToken}]; !ok || sim.now.Sub(at) >= maxProbeAge {
			sim.fatalf("node %s may dispatch to %s though %s is not ready in it", node.name, asn.Group, vmn)
		}
	}
}

// serving reports whether the first node may dispatch to the groups.
func (sim *simulation) serving(grps ...core.GroupName) func() bool {
	return func() bool {
		for _, grp := range grps {
			if _, err := sim.nodes[0].gate.Permit(grp, sim.now); err != nil {
				return false
			}
		}
		return true
	}
}

func (sim *simulation) assignment(grp core.GroupName) core.Assignment {
	asn, _ := sim.foldedState().Assignment(grp)
	return asn
}

// holdNewOrders gives group g a new version and stops when its load orders wait in
// the first node.
func (sim *simulation) holdNewOrders(t *testing.T) *entryNode {
	t.Helper()
	node := sim.nodes[0]
	sim.desired[0].Spec.Version = "2"
	sim.runUntil(120, "new generation", func() bool { return sim.assignment("g").Spec.Version == "2" })
	node.ordersHeld = true
	sim.runUntil(120, "its orders", func() bool { return len(node.pendingOrders) >= 3 })
	return node
}

func groupName(idx int) core.GroupName { return core.GroupName(fmt.Sprint("g", idx)) }
