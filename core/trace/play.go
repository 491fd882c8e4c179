package trace

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/recd"
	"kumquathinge/core/repair"
)

const (
	// tickTime is the duration of a step while an action is in progress.
	tickTime = time.Second

	// maxStepWhenDown is the maximum duration of a step while a group is down
	// and the controllers only wait.
	maxStepWhenDown = 10 * time.Second

	maxProbeAge = 3 * time.Second
	orderLease  = 5 * time.Second

	// warmUpTime is the time for the initial loads, which is not measured.
	warmUpTime = 30 * time.Minute

	// settleTicks is the number of ticks without an action after which a
	// controller has no running timers except that for a missing member.
	settleTicks = 8

	// maxLoadTokens is the capacity of the weight store's token bucket, the
	// number of loads that it can start at the same time.
	maxLoadTokens = 4
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Deployment is a named set of weights for the policy.
type Deployment struct {
	Name           string
	DowntimeWeight float64
	StrandedWeight float64
	ReturnWait     time.Duration
}

// Result is the result of a replay. Downtime is the total time that desired
// groups were unable to serve. Stranded is the total time that VMs were healthy
// but not in a serving group, less the VMs that no desired group needs. Loads,
// Retired and Assigned are the numbers of loads, retired assignments and
// assignments.
type Result struct {
	Downtime time.Duration
	Stranded time.Duration
	Loads    int
	Retired  int
	Assigned int
}

// Cost returns the weighted sum of downtime and stranded time, in seconds.
func (res Result) Cost(weights Deployment) float64 {
	return weights.DowntimeWeight*res.Downtime.Seconds() + weights.StrandedWeight*res.Stranded.Seconds()
}

// simulation is the state of a replay.
type simulation struct {
	trace        *Trace
	deployment   Deployment
	now          time.Duration
	state        *fold.State
	pending      []recd.Record
	lastID       int
	vmNames      []core.VMName
	engines      map[core.VMName]*Engine
	zones        []*zoneState
	loadTokens   float64
	loadQueue    []core.VMName
	nextFault    int
	faultApplied bool
	fencing      core.Set[core.VMName]
	assignments  []core.Assignment
	holds        []fold.Hold
	result       Result
}

type zoneState struct {
	name          core.Zone
	gate          *gate.Gate
	controller    *repair.Controller
	vms           []core.VM
	desired       []repair.DesiredGroup
	surplusVMs    int
	servingGroups int
	strandedVMs   int
	idleTicks     int
	appliedOffset core.Offset
}

// Play replays the trace with the policy and returns the result.
func Play(tr *Trace, weights Deployment, policy repair.Policy) Result {
	sim := newSimulation(tr, weights, policy)
	for sim.now < tr.end {
		sim.step()
		dur := sim.stepTime()
		sim.accumulate(dur)
		sim.now += dur
	}
	return sim.result
}

func newSimulation(tr *Trace, weights Deployment, policy repair.Policy) *simulation {
	sim := &simulation{trace: tr, deployment: weights, state: fold.New(), engines: make(map[core.VMName]*Engine)}
	byName := make(map[core.Zone]*zoneState)
	for _, name := range tr.Zones() {
		zone := &zoneState{name: name, gate: gate.New(maxProbeAge)}
		zone.controller = repair.New(repair.Config{NewRecordID: sim.nextID, ProposedBy: string(name), Policy: policy})
		byName[name] = zone
		sim.zones = append(sim.zones, zone)
	}
	for _, vm := range tr.vms {
		zone := byName[vm.Zone]
		zone.vms = append(zone.vms, vm)
		zone.surplusVMs++
		sim.vmNames = append(sim.vmNames, vm.Name)
		sim.engines[vm.Name] = NewEngine(vm.Name, true)
	}
	for _, group := range tr.groups {
		zone := byName[group.Zone]
		zone.surplusVMs -= group.Size
		zone.desired = append(zone.desired, repair.DesiredGroup{
			Group:   group.Group,
			Zone:    group.Zone,
			Size:    group.Size,
			Spec:    core.Spec{Model: group.Model, Version: "1", Role: core.RoleBoth},
			Enabled: true,
		})
	}
	sim.fencing = core.NewSet(sim.vmNames...)
	return sim
}

func (sim *simulation) nextID() core.RecordID {
	sim.lastID++
	return core.RecordID(fmt.Sprintf("r%d", sim.lastID))
}

// stepTime returns the time until the next step: one tick while an action is in
// progress, longer while the controllers only wait.
func (sim *simulation) stepTime() time.Duration {
	idleTicks := settleTicks
	for _, zone := range sim.zones {
		idleTicks = min(idleTicks, zone.idleTicks)
	}
	if idleTicks < settleTicks || len(sim.pending) > 0 || sim.now < warmUpTime {
		return tickTime
	}
	until := sim.trace.end
	if sim.nextFault < len(sim.trace.faults) {
		until = seconds(sim.trace.faults[sim.nextFault].AtSeconds)
	}
	for _, zone := range sim.zones {
		if zone.servingGroups < len(zone.desired) {
			until = min(until, sim.now+maxStepWhenDown)
		}
	}
	return max(tickTime, until-sim.now)
}

// hasLoading reports whether a load is in progress in the zone.
func (sim *simulation) hasLoading(zone *zoneState) bool {
	for _, vm := range zone.vms {
		eng := sim.engines[vm.Name]
		if eng.Reachable() && eng.probe.State == core.EngineLoading {
			return true
		}
	}
	return false
}

// step executes everything that is due at the current time. It is called again
// after the time that stepTime returns.
func (sim *simulation) step() {
	sim.faultApplied = sim.applyFaults()
	sim.advanceLoads()
	sim.applyRecords()
	for _, zone := range sim.zones {
		sim.probe(zone)
		sim.measure(zone)
		sim.runController(zone)
	}
}

// applyRecords appends the records of the previous step to the log and applies
// them to the state.
func (sim *simulation) applyRecords() {
	for _, rec := range sim.pending {
		offset := sim.state.Offset() + 1
		data := recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}})
		for _, decision := range sim.state.Apply(core.Entry{Offset: offset, ID: rec.ID, At: startTime.Add(sim.now), Data: data}) {
			sim.countDecision(decision)
		}
	}
	if len(sim.pending) > 0 {
		sim.assignments, sim.holds = sim.state.Assignments(), sim.state.Holds()
	}
	sim.pending = nil
}

func (sim *simulation) countDecision(decision fold.Decision) {
	if !decision.Accepted() || sim.now < warmUpTime {
		return
	}
	switch decision.Kind {
	case fold.KindRetire:
		sim.result.Retired++
	case fold.KindAssign:
		sim.result.Assigned++
	}
}

func (sim *simulation) probe(zone *zoneState) {
	if zone.appliedOffset != sim.state.Offset() {
		zone.appliedOffset = sim.state.Offset()
		zone.gate.SetAssignments(sim.assignments)
	}
	leaving := core.NewSet[core.VMName]()
	changed := false
	for idx, vm := range zone.vms {
		eng := sim.engines[vm.Name]
		if eng.Reachable() {
			zone.gate.RecordProbe(eng.Probe(), startTime.Add(sim.now))
		} else {
			zone.gate.RecordFailure(vm.Name, startTime.Add(sim.now))
		}
		changed = changed || vm.Leaving != eng.leaving
		zone.vms[idx].Leaving = eng.leaving
		if eng.leaving {
			leaving.Add(vm.Name)
		}
	}
	if changed {
		zone.gate.SetLeaving(leaving)
	}
}

// runController runs a step of the zone's controller. It skips a controller
// whose groups all serve and that has been idle for more than settleTicks.
func (sim *simulation) runController(zone *zoneState) {
	zone.idleTicks++
	if sim.faultApplied || len(sim.pending) > 0 || sim.hasLoading(zone) {
		zone.idleTicks = 0
	}
	if zone.idleTicks > settleTicks && zone.servingGroups == len(zone.desired) {
		return
	}
	now := startTime.Add(sim.now)
	acts := zone.controller.Step(repair.Input{
		Now:         now,
		Zone:        zone.name,
		IsProposer:  true,
		LogOK:       true,
		ConfirmedAt: now,
		Assignments: sim.assignments,
		Holds:       sim.holds,
		Desired:     zone.desired,
		VMs:         zone.vms,
		Statuses:    zone.gate.Statuses(),
		FencingVMs:  sim.fencing,
		Settings: repair.Settings{
			DowntimeWeight: sim.deployment.DowntimeWeight,
			StrandedWeight: sim.deployment.StrandedWeight,
			ReturnTimeout:  sim.deployment.ReturnWait,
			LoadsPerMinute: sim.trace.loadsPerMinute / float64(len(sim.zones)),
			OrderLease:     orderLease,
			MaxProbeAge:    maxProbeAge,
		},
	})
	if len(acts) > 0 {
		zone.idleTicks = 0
	}
	for _, act := range acts {
		switch act := act.(type) {
		case repair.Propose:
			sim.pending = append(sim.pending, act.Record)
		case repair.SendOrder:
			sim.send(act)
		}
	}
}

func (sim *simulation) send(cmd repair.SendOrder) {
	eng := sim.engines[cmd.VM]
	wasAwaiting := eng.awaitingTransfer
	if eng.Order(cmd.Order) != nil || !eng.awaitingTransfer || wasAwaiting {
		return
	}
	sim.loadQueue = append(sim.loadQueue, cmd.VM)
	if sim.now >= warmUpTime {
		sim.result.Loads++
	}
}

// advanceLoads starts the queued loads that the weight store allows and
// advances the loads in progress by one tick.
func (sim *simulation) advanceLoads() {
	sim.loadTokens = min(maxLoadTokens, sim.loadTokens+sim.trace.loadsPerMinute*tickTime.Minutes())
	remaining := sim.loadQueue[:0]
	for _, name := range sim.loadQueue {
		eng := sim.engines[name]
		if !eng.awaitingTransfer {
			continue
		}
		if sim.loadTokens < 1 || !eng.Reachable() {
			remaining = append(remaining, name)
			continue
		}
		sim.loadTokens--
		eng.startTransfer(sim.trace.loadTimes[eng.Probe().Spec.Model])
	}
	sim.loadQueue = remaining
	for _, name := range sim.vmNames {
		sim.engines[name].advance(tickTime)
	}
}

func (sim *simulation) measure(zone *zoneState) {
	zone.servingGroups = 0
	servingVMs := 0
	for _, desired := range zone.desired {
		if _, err := zone.gate.Permit(desired.Group, startTime.Add(sim.now)); err == nil {
			zone.servingGroups++
			servingVMs += desired.Size
		}
	}
	healthy := 0
	for _, vm := range zone.vms {
		eng := sim.engines[vm.Name]
		if eng.Reachable() && !eng.leaving {
			healthy++
		}
	}
	zone.strandedVMs = max(0, healthy-servingVMs-zone.surplusVMs)
}

// accumulate adds the downtime and stranded time of all zones until the next
// step.
func (sim *simulation) accumulate(dur time.Duration) {
	if sim.now < warmUpTime {
		return
	}
	for _, zone := range sim.zones {
		sim.result.Downtime += time.Duration(len(zone.desired)-zone.servingGroups) * dur
		sim.result.Stranded += time.Duration(zone.strandedVMs) * dur
	}
}
