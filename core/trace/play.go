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
	tick   = time.Second
	coarse = 10 * time.Second
	bound  = 3 * time.Second
	lease  = 5 * time.Second

	// warmUp is the time for the first loads; it is not measured.
	warmUp = 30 * time.Minute

	// settle is the number of ticks without an action after which no timer of
	// a controller but that of a missing member runs.
	settle = 8

	// storeBurst is the number of loads that the weight store lets start at
	// once.
	storeBurst = 4
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Deployment is a name for weights of the policy.
type Deployment struct {
	Name     string
	Downtime float64
	Stranded float64
	Wait     time.Duration
}

// Result is what a run measured. Downtime adds up the time of every wanted
// group that could not serve. Stranded adds up the time of every VM that was
// healthy but not in a serving group, beyond the VMs that no wanted group
// needs. Loads, Retired and Assigned count what was done.
type Result struct {
	Downtime time.Duration
	Stranded time.Duration
	Loads    int
	Retired  int
	Assigned int
}

// Cost returns the weighted sum in seconds.
func (res Result) Cost(dep Deployment) float64 {
	return dep.Downtime*res.Downtime.Seconds() + dep.Stranded*res.Stranded.Seconds()
}

// run is the state of one replay.
type run struct {
	trc     *Trace
	dep     Deployment
	now     time.Duration
	state   *fold.State
	pending []recd.Record
	ids     int
	order   []core.VMName
	engines map[core.VMName]*Engine
	zones   []*zone
	store   float64
	queue   []core.VMName
	next    int
	fault   bool
	fencing core.Set[core.VMName]
	asns    []core.Assignment
	holds   []fold.Hold
	res     Result
}

type zone struct {
	name    core.Zone
	gte     *gate.Gate
	ctl     *repair.Controller
	vms     []core.VM
	wanted  []repair.DesiredGroup
	surplus int
	serving int
	idle    int
	calm    int
	applied core.Offset
}

// Play replays the trace under the policy and returns what it measured.
func Play(trc *Trace, dep Deployment, pol repair.Policy) Result {
	rnx := newRun(trc, dep, pol)
	for rnx.now < trc.end {
		rnx.step()
		dur := rnx.pace()
		rnx.account(dur)
		rnx.now += dur
	}
	return rnx.res
}

func newRun(trc *Trace, dep Deployment, pol repair.Policy) *run {
	rnx := &run{trc: trc, dep: dep, state: fold.New(), engines: make(map[core.VMName]*Engine)}
	byName := make(map[core.Zone]*zone)
	for _, nam := range trc.Zones() {
		zon := &zone{name: nam, gte: gate.New(bound)}
		zon.ctl = repair.New(repair.Config{NewRecordID: rnx.id, ProposedBy: string(nam), Policy: pol})
		byName[nam] = zon
		rnx.zones = append(rnx.zones, zon)
	}
	for _, vmx := range trc.vms {
		zon := byName[vmx.Zone]
		zon.vms = append(zon.vms, vmx)
		zon.surplus++
		rnx.order = append(rnx.order, vmx.Name)
		rnx.engines[vmx.Name] = NewEngine(vmx.Name, true)
	}
	for _, grp := range trc.groups {
		zon := byName[grp.Zone]
		zon.surplus -= grp.Size
		zon.wanted = append(zon.wanted, repair.DesiredGroup{
			Group:   grp.Group,
			Zone:    grp.Zone,
			Size:    grp.Size,
			Spec:    core.Spec{Model: grp.Model, Version: "1", Role: core.RoleBoth},
			Enabled: true,
		})
	}
	rnx.fencing = core.NewSet(rnx.order...)
	return rnx
}

func (rnx *run) id() core.RecordID {
	rnx.ids++
	return core.RecordID(fmt.Sprintf("r%d", rnx.ids))
}

// pace returns the time until the next step. It is a tick while something is
// under way and longer while controllers only wait.
func (rnx *run) pace() time.Duration {
	calm := settle
	for _, zon := range rnx.zones {
		calm = min(calm, zon.calm)
	}
	if calm < settle || len(rnx.pending) > 0 || rnx.now < warmUp {
		return tick
	}
	until := rnx.trc.end
	if rnx.next < len(rnx.trc.faults) {
		until = seconds(rnx.trc.faults[rnx.next].At)
	}
	for _, zon := range rnx.zones {
		if zon.serving < len(zon.wanted) {
			until = min(until, rnx.now+coarse)
		}
	}
	return max(tick, until-rnx.now)
}

// loading reports whether a load is under way in the zone.
func (rnx *run) loading(zon *zone) bool {
	for _, vmx := range zon.vms {
		eng := rnx.engines[vmx.Name]
		if eng.Answers() && eng.probe.State == core.EngineLoading {
			return true
		}
	}
	return false
}

// step lets happen what is due now. It comes after the time that pace gave has
// passed.
func (rnx *run) step() {
	rnx.fault = rnx.apply()
	rnx.load()
	rnx.fold()
	for _, zon := range rnx.zones {
		rnx.probe(zon)
		rnx.measure(zon)
		rnx.act(zon)
	}
}

// fold appends the records of the last step to the log and reads them back.
func (rnx *run) fold() {
	for _, rec := range rnx.pending {
		off := rnx.state.Offset() + 1
		data := recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}})
		for _, ver := range rnx.state.Apply(core.Entry{Offset: off, ID: rec.ID, At: epoch.Add(rnx.now), Data: data}) {
			rnx.count(ver)
		}
	}
	if len(rnx.pending) > 0 {
		rnx.asns, rnx.holds = rnx.state.Assignments(), rnx.state.Holds()
	}
	rnx.pending = nil
}

func (rnx *run) count(ver fold.Verdict) {
	if !ver.Accepted() || rnx.now < warmUp {
		return
	}
	switch ver.Kind {
	case fold.KindRetire:
		rnx.res.Retired++
	case fold.KindAssign:
		rnx.res.Assigned++
	}
}

func (rnx *run) probe(zon *zone) {
	if zon.applied != rnx.state.Offset() {
		zon.applied = rnx.state.Offset()
		zon.gte.SetAssignments(rnx.asns)
	}
	leaving := core.NewSet[core.VMName]()
	changed := false
	for idx, vmx := range zon.vms {
		eng := rnx.engines[vmx.Name]
		if eng.Answers() {
			zon.gte.RecordProbe(eng.Probe(), epoch.Add(rnx.now))
		} else {
			zon.gte.RecordFailure(vmx.Name, epoch.Add(rnx.now))
		}
		changed = changed || vmx.Leaving != eng.leaving
		zon.vms[idx].Leaving = eng.leaving
		if eng.leaving {
			leaving.Add(vmx.Name)
		}
	}
	if changed {
		zon.gte.SetLeaving(leaving)
	}
}

// act lets the zone's controller take a step. A controller whose groups all
// serve, and that has had nothing to do for a time, is passed over.
func (rnx *run) act(zon *zone) {
	zon.calm++
	if rnx.fault || len(rnx.pending) > 0 || rnx.loading(zon) {
		zon.calm = 0
	}
	if zon.calm > settle && zon.serving == len(zon.wanted) {
		return
	}
	now := epoch.Add(rnx.now)
	acts := zon.ctl.Step(repair.Input{
		Now:         now,
		Zone:        zon.name,
		IsProposer:  true,
		LogOK:       true,
		ConfirmedAt: now,
		Assignments: rnx.asns,
		Holds:       rnx.holds,
		Desired:     zon.wanted,
		VMs:         zon.vms,
		Statuses:    zon.gte.Statuses(),
		FencingVMs:  rnx.fencing,
		Settings: repair.Settings{
			DowntimeWeight: rnx.dep.Downtime,
			StrandedWeight: rnx.dep.Stranded,
			ReturnTimeout:  rnx.dep.Wait,
			LoadsPerMinute: rnx.trc.rate / float64(len(rnx.zones)),
			OrderLease:     lease,
			MaxProbeAge:    bound,
		},
	})
	if len(acts) > 0 {
		zon.calm = 0
	}
	for _, act := range acts {
		switch act := act.(type) {
		case repair.Propose:
			rnx.pending = append(rnx.pending, act.Record)
		case repair.SendOrder:
			rnx.send(act)
		}
	}
}

func (rnx *run) send(snd repair.SendOrder) {
	eng := rnx.engines[snd.VM]
	was := eng.waiting
	if eng.Order(snd.Order) != nil || !eng.waiting || was {
		return
	}
	rnx.queue = append(rnx.queue, snd.VM)
	if rnx.now >= warmUp {
		rnx.res.Loads++
	}
}

// load lets the weight store serve its queue and the engines load.
func (rnx *run) load() {
	rnx.store = min(storeBurst, rnx.store+rnx.trc.rate*tick.Minutes())
	rest := rnx.queue[:0]
	for _, vmn := range rnx.queue {
		eng := rnx.engines[vmn]
		if !eng.waiting {
			continue
		}
		if rnx.store < 1 || !eng.Answers() {
			rest = append(rest, vmn)
			continue
		}
		rnx.store--
		eng.fetch(rnx.trc.loads[eng.Probe().Spec.Model])
	}
	rnx.queue = rest
	for _, vmn := range rnx.order {
		rnx.engines[vmn].run(tick)
	}
}

func (rnx *run) measure(zon *zone) {
	zon.serving = 0
	busy := 0
	for _, wnt := range zon.wanted {
		if _, err := zon.gte.Permit(wnt.Group, epoch.Add(rnx.now)); err == nil {
			zon.serving++
			busy += wnt.Size
		}
	}
	healthy := 0
	for _, vmx := range zon.vms {
		eng := rnx.engines[vmx.Name]
		if eng.Answers() && !eng.leaving {
			healthy++
		}
	}
	zon.idle = max(0, healthy-busy-zon.surplus)
}

// account adds the state of all zones for the time until the next step.
func (rnx *run) account(dur time.Duration) {
	if rnx.now < warmUp {
		return
	}
	for _, zon := range rnx.zones {
		rnx.res.Downtime += time.Duration(len(zon.wanted)-zon.serving) * dur
		rnx.res.Stranded += time.Duration(zon.idle) * dur
	}
}
