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

// entryNode is one entry VM: its fold of the log, its gate and controller, and
// the orders that it has not sent yet.
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

// simulation simulates one zone with engines, nodes and the log.
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

	// Faults: the numbers of responses to lose next, after the call took effect.
	lostAppendReplies int
	lostOrderReplies  int
	ordersSent        int
	lastLoadTokenByVM map[core.VMName]core.Offset

	// lastReadyAt is the time at which a VM was last ready with a fencing token.
	lastReadyAt map[membership]time.Time
}

type membership struct {
	vm           core.VMName
	fencingToken core.Offset
}

func newSimulation(fatalf func(string, ...any), nodes int, fencing bool, domains ...int) *simulation {
	sim := &simulation{
		now: start, engines: map[core.VMName]*trace.Engine{}, inFlight: map[core.GroupName]int{}, fatalf: fatalf,
		fencingVMs: core.NewSet[core.VMName](), drainingVMs: core.NewSet[core.VMName](), lastLoadTokenByVM: map[core.VMName]core.Offset{},
		lastReadyAt: map[membership]time.Time{},
	}
	for domain, num := range domains {
		for idx := range num {
			vmName := core.VMName(fmt.Sprintf("d%d-%d", domain, idx))
			sim.vms = append(sim.vms, core.VM{Name: vmName, Zone: "z", Domain: core.Domain(fmt.Sprint("d", domain)), Kind: core.VMEngine})
			sim.engines[vmName] = trace.NewEngine(vmName, fencing)
			if fencing {
				sim.fencingVMs.Add(vmName)
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

func (sim *simulation) addGroup(group core.GroupName, size int) {
	sim.desired = append(sim.desired, repair.DesiredGroup{Group: group, Zone: "z", Size: size, Spec: spec, Enabled: true})
}

// appendRecord appends a record to the log. If the response is lost, the writer
// appends the same record again.
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

// readLog makes the node fold the log to its end. If only the log is
// unreachable, the node reads it from its peers.
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

// peersAgree reports whether every peer of the node is reachable and has folded
// the log to the same offset.
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
		if engine := sim.engines[vm.Name]; engine.Reachable() {
			node.gate.RecordProbe(engine.Probe(), sim.now)
		} else {
			node.gate.RecordFailure(vm.Name, sim.now)
		}
	}
	node.gate.SetLeaving(sim.drainingVMs)
}

// input returns the node's view of the zone.
func (sim *simulation) input(node *entryNode) repair.Input {
	return repair.Input{
		Now: sim.now, Zone: "z", IsProposer: node.proposer, LogOK: !node.logUnreachable, PeersAgree: sim.peersAgree(node), ConfirmedAt: node.confirmedAt,
		Assignments: node.state.Assignments(), Holds: node.state.Holds(), Desired: sim.desired, VMs: sim.vms,
		Statuses: node.gate.Statuses(), DrainingVMs: sim.drainingVMs, FencingVMs: sim.fencingVMs, InFlightByGroup: sim.inFlight,
		Settings: repair.Settings{DowntimeWeight: 1, StrandedWeight: 1, ReturnTimeout: 20 * time.Second, OrderLease: orderLease, MaxProbeAge: maxProbeAge},
	}
}

// step runs the node's controller once. Records are appended at once, orders
// become pending in the node.
func (sim *simulation) step(node *entryNode) {
	for _, action := range node.controller.Step(sim.input(node)) {
		switch action := action.(type) {
		case repair.Propose:
			sim.appendRecord(action.Record)
		case repair.SendOrder:
			node.pendingOrders = append(node.pendingOrders, action)
		}
	}
}

// sendPending sends the first num pending orders of the node. It skips those
// that may no longer be sent.
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

// deliverOrder sends an order to its engine, again if the response is lost. It
// fails if an engine, also one that ignores fencing tokens, accepts a load order
// with an older token than that of an earlier load order.
func (sim *simulation) deliverOrder(send repair.SendOrder) {
	engine := sim.engines[send.VM]
	for again := true; again; {
		again = sim.lostOrderReplies > 0
		if again {
			sim.lostOrderReplies--
		}
		if !engine.Reachable() || engine.Order(send.Order) != nil {
			continue
		}
		sim.ordersSent++
		if send.Order.Action != core.ActionLoad {
			continue
		}
		if send.Order.FencingToken < sim.lastLoadTokenByVM[send.VM] {
			sim.fatalf("VM %s accepted a load order with token %d after one with token %d", send.VM, send.Order.FencingToken, sim.lastLoadTokenByVM[send.VM])
		}
		sim.lastLoadTokenByVM[send.VM] = send.Order.FencingToken
	}
}

// tick advances the time by one second and runs every node that is not paused.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(time.Second)
	for _, engine := range sim.engines {
		engine.FinishLoad()
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

// runUntil runs the simulation until cond holds, for at most secs seconds.
func (sim *simulation) runUntil(secs int, what string, cond func() bool) {
	for range secs {
		if cond() {
			return
		}
		sim.tick()
	}
	if !cond() {
		sim.fatalf("condition not reached within %d s: %s", secs, what)
	}
}

// foldedState returns the state folded from the whole log.
func (sim *simulation) foldedState() *fold.State {
	state := fold.New()
	for _, entry := range sim.log {
		state.Apply(entry)
	}
	return state
}

// checkInvariants checks that no VM is in the assignments of two groups, and
// that no node has a permit for a group with a member that was not ready within
// the maximum probe age.
func (sim *simulation) checkInvariants() {
	for vmName, engine := range sim.engines {
		if probe := engine.Probe(); engine.Reachable() && probe.State == core.EngineReady {
			sim.lastReadyAt[membership{vmName, probe.FencingToken}] = sim.now
		}
	}
	held := map[core.VMName]core.GroupName{}
	for _, assignment := range sim.foldedState().Assignments() {
		for _, vmName := range assignment.VMs {
			if other, ok := held[vmName]; ok {
				sim.fatalf("VM %s belongs to %s and %s", vmName, other, assignment.Group)
			}
			held[vmName] = assignment.Group
		}
	}
	for _, node := range sim.nodes {
		for _, assignment := range node.state.Assignments() {
			sim.checkPermit(node, assignment)
		}
	}
}

func (sim *simulation) checkPermit(node *entryNode, assignment core.Assignment) {
	if _, err := node.gate.Permit(assignment.Group, sim.now); err != nil || node.paused {
		return
	}
	for _, vmName := range assignment.VMs {
		if at, ok := sim.lastReadyAt[membership{vmName, assignment.FencingToken}]; !ok || sim.now.Sub(at) >= maxProbeAge {
			sim.fatalf("node %s may dispatch to group %s although VM %s is not ready in it", node.name, assignment.Group, vmName)
		}
	}
}

// serving returns a condition that holds while the first node may dispatch to
// all the groups.
func (sim *simulation) serving(groups ...core.GroupName) func() bool {
	return func() bool {
		for _, group := range groups {
			if _, err := sim.nodes[0].gate.Permit(group, sim.now); err != nil {
				return false
			}
		}
		return true
	}
}

func (sim *simulation) assignment(group core.GroupName) core.Assignment {
	assignment, _ := sim.foldedState().Assignment(group)
	return assignment
}

// holdNewOrders changes the model version of group g and runs until the first
// node, which it returns, holds the new load orders without sending them.
func (sim *simulation) holdNewOrders(t *testing.T) *entryNode {
	t.Helper()
	node := sim.nodes[0]
	sim.desired[0].Spec.Version = "2"
	sim.runUntil(120, "new generation", func() bool { return sim.assignment("g").Spec.Version == "2" })
	node.ordersHeld = true
	sim.runUntil(120, "load orders pending", func() bool { return len(node.pendingOrders) >= 3 })
	return node
}

func groupName(idx int) core.GroupName { return core.GroupName(fmt.Sprint("g", idx)) }
