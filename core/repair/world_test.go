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
	bound = 3 * time.Second
	lease = 20 * time.Second
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec  = core.Spec{Model: "text", Version: "1", Role: core.RoleBoth}
)

// node is one entry VM: its fold of the log, its gate and controller, and the
// orders that it was about to send when it was paused.
type node struct {
	name      string
	state     *fold.State
	gte       *gate.Gate
	ctl       *repair.Controller
	confirmed time.Time
	orders    []repair.Send
	paused    bool
	holds     bool
	noLog     bool
	noPeers   bool
	proposer  bool
}

// world is one zone: engines, nodes and the log, in simulated time.
type world struct {
	now      time.Time
	log      []core.Entry
	nodes    []*node
	vms      []core.VM
	engines  map[core.VMName]*trace.Engine
	fencing  core.Set[core.VMName]
	draining core.Set[core.VMName]
	wanted   []repair.Wanted
	inFlight map[core.GroupName]int
	failed   func(format string, args ...any)

	// Faults: the next so many answers are lost after they took effect.
	loseAppends int
	loseOrders  int
	sent        int
	stale       map[core.VMName]core.Offset

	// ready is when an engine was last ready under an order.
	ready map[hold]time.Time
}

type hold struct {
	vm    core.VMName
	order core.Offset
}

func newWorld(failed func(string, ...any), nodes int, fencing bool, doms ...int) *world {
	wld := &world{
		now: start, engines: map[core.VMName]*trace.Engine{}, inFlight: map[core.GroupName]int{}, failed: failed,
		fencing: core.NewSet[core.VMName](), draining: core.NewSet[core.VMName](), stale: map[core.VMName]core.Offset{},
		ready: map[hold]time.Time{},
	}
	for dom, num := range doms {
		for idx := range num {
			vmn := core.VMName(fmt.Sprintf("d%d-%d", dom, idx))
			wld.vms = append(wld.vms, core.VM{Name: vmn, Zone: "z", Domain: core.Domain(fmt.Sprint("d", dom)), Kind: core.VMEngine})
			wld.engines[vmn] = trace.NewEngine(vmn, fencing)
			if fencing {
				wld.fencing.Add(vmn)
			}
		}
	}
	for idx := range nodes {
		nod := &node{name: fmt.Sprint("n", idx), state: fold.New(), gte: gate.New(bound), proposer: idx == 0}
		ids := 0
		nod.ctl = repair.New(repair.Config{By: nod.name, ID: func() core.RecordID {
			ids++
			return core.RecordID(fmt.Sprintf("%s-%d", nod.name, ids))
		}})
		wld.nodes = append(wld.nodes, nod)
	}
	return wld
}

func (wld *world) want(grp core.GroupName, size int) {
	wld.wanted = append(wld.wanted, repair.Wanted{Group: grp, Zone: "z", Size: size, Spec: spec, Enabled: true})
}

// append adds a record to the log. A writer that loses the answer appends the
// same record again.
func (wld *world) append(rec recd.Record) {
	data := recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}})
	for again := true; again; {
		again = wld.loseAppends > 0
		if again {
			wld.loseAppends--
		}
		wld.log = append(wld.log, core.Entry{Offset: core.Offset(len(wld.log) + 1), ID: rec.ID, At: wld.now, Data: data})
	}
}

// read lets the node fold the log to its end, and relay from a peer if it is
// cut off from the log only.
func (wld *world) read(nod *node) {
	if nod.noLog && nod.noPeers {
		return
	}
	for _, ent := range wld.log[nod.state.Offset():] {
		nod.state.Apply(ent)
	}
	nod.gte.SetAssignments(nod.state.Assignments())
	if !nod.noLog || wld.agrees(nod) {
		nod.confirmed = wld.now
	}
}

// agrees reports whether every peer of the node answers it and has folded the
// log as far.
func (wld *world) agrees(nod *node) bool {
	for _, per := range wld.nodes {
		if per.paused || per.noPeers || per.state.Offset() != nod.state.Offset() {
			return false
		}
	}
	return true
}

func (wld *world) probe(nod *node) {
	for _, vmx := range wld.vms {
		if eng := wld.engines[vmx.Name]; eng.Answers() {
			nod.gte.RecordProbe(eng.Probe(), wld.now)
		} else {
			nod.gte.RecordFailure(vmx.Name, wld.now)
		}
	}
	nod.gte.SetLeaving(wld.draining)
}

// input returns what the node knows.
func (wld *world) input(nod *node) repair.Input {
	return repair.Input{
		Now: wld.now, Zone: "z", Proposer: nod.proposer, LogOK: !nod.noLog, ZoneAgrees: wld.agrees(nod), Confirmed: nod.confirmed,
		Assignments: nod.state.Assignments(), Holds: nod.state.Holds(), Wanted: wld.wanted, VMs: wld.vms,
		Sights: nod.gte.Statuses(), Draining: wld.draining, Fencing: wld.fencing, InFlight: wld.inFlight,
		Weights: repair.Weights{Downtime: 1, Stranded: 1, ReturnWait: 20 * time.Second, Lease: lease, Bound: bound},
	}
}

// decide lets the node's controller take a step. Records are appended at once,
// orders wait in the node.
func (wld *world) decide(nod *node) {
	for _, act := range nod.ctl.Step(wld.input(nod)) {
		switch act := act.(type) {
		case repair.Propose:
			wld.append(act.Record)
		case repair.Send:
			nod.orders = append(nod.orders, act)
		}
	}
}

// flush sends the first num orders that wait in the node, each held against
// its right right before the send.
func (wld *world) flush(nod *node, num int) {
	for ; num > 0 && len(nod.orders) > 0; num-- {
		snd := nod.orders[0]
		nod.orders = nod.orders[1:]
		if order.CheckSend(snd.Request(nod.confirmed, wld.now, lease)) != nil {
			continue
		}
		wld.deliver(snd)
	}
}

// deliver carries out an order. A sender that loses the answer sends again. An
// engine that ignores numbers must still never get an order of an assignment
// older than one whose order it got before.
func (wld *world) deliver(snd repair.Send) {
	eng := wld.engines[snd.VM]
	for again := true; again; {
		again = wld.loseOrders > 0
		if again {
			wld.loseOrders--
		}
		if !eng.Answers() || eng.Order(snd.Order) != nil {
			continue
		}
		wld.sent++
		if snd.Order.Action != core.ActionLoad {
			continue
		}
		if snd.Order.FencingToken < wld.stale[snd.VM] {
			wld.failed("VM %s took the load order %d behind %d", snd.VM, snd.Order.FencingToken, wld.stale[snd.VM])
		}
		wld.stale[snd.VM] = snd.Order.FencingToken
	}
}

// tick lets a second pass for every node that is not paused.
func (wld *world) tick() {
	wld.now = wld.now.Add(time.Second)
	for _, eng := range wld.engines {
		eng.Loaded()
	}
	for _, nod := range wld.nodes {
		if nod.paused {
			continue
		}
		wld.read(nod)
		wld.probe(nod)
		wld.decide(nod)
		if !nod.holds {
			wld.flush(nod, len(nod.orders))
		}
	}
	wld.check()
}

func (wld *world) run(secs int) {
	for range secs {
		wld.tick()
	}
}

// until runs until cond holds, for at most secs.
func (wld *world) until(secs int, what string, cond func() bool) {
	for range secs {
		if cond() {
			return
		}
		wld.tick()
	}
	if !cond() {
		wld.failed("not within %d s: %s", secs, what)
	}
}

// truth returns the state that the whole log makes.
func (wld *world) truth() *fold.State {
	sta := fold.New()
	for _, ent := range wld.log {
		sta.Apply(ent)
	}
	return sta
}

// check asserts what must hold after every step: no VM in two live
// assignments, each VM of an assignment in its domain, and no permit at any
// node for a group of which a member is not ready.
func (wld *world) check() {
	for vmn, eng := range wld.engines {
		if prb := eng.Probe(); eng.Answers() && prb.State == core.EngineReady {
			wld.ready[hold{vmn, prb.FencingToken}] = wld.now
		}
	}
	held := map[core.VMName]core.GroupName{}
	for _, asn := range wld.truth().Assignments() {
		for _, vmn := range asn.VMs {
			if oth, ok := held[vmn]; ok {
				wld.failed("VM %s belongs to %s and %s", vmn, oth, asn.Group)
			}
			held[vmn] = asn.Group
		}
	}
	for _, nod := range wld.nodes {
		for _, asn := range nod.state.Assignments() {
			wld.checkPermit(nod, asn)
		}
	}
}

func (wld *world) checkPermit(nod *node, asn core.Assignment) {
	if _, err := nod.gte.Permit(asn.Group, wld.now); err != nil || nod.paused {
		return
	}
	for _, vmn := range asn.VMs {
		if at, ok := wld.ready[hold{vmn, asn.FencingToken}]; !ok || wld.now.Sub(at) >= bound {
			wld.failed("node %s may dispatch to %s though %s is not ready in it", nod.name, asn.Group, vmn)
		}
	}
}

// serving reports whether the first node may dispatch to the groups.
func (wld *world) serving(grps ...core.GroupName) func() bool {
	return func() bool {
		for _, grp := range grps {
			if _, err := wld.nodes[0].gte.Permit(grp, wld.now); err != nil {
				return false
			}
		}
		return true
	}
}

func (wld *world) asn(grp core.GroupName) core.Assignment {
	asn, _ := wld.truth().Assignment(grp)
	return asn
}

// pending gives group g a new version and stops when its load orders wait in
// the first node.
func (wld *world) pending(t *testing.T) *node {
	t.Helper()
	nod := wld.nodes[0]
	wld.wanted[0].Spec.Version = "2"
	wld.until(120, "new generation", func() bool { return wld.asn("g").Spec.Version == "2" })
	nod.holds = true
	wld.until(120, "its orders", func() bool { return len(nod.orders) >= 3 })
	return nod
}

func groupName(idx int) core.GroupName { return core.GroupName(fmt.Sprint("g", idx)) }
