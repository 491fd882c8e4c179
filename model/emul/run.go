package emul

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kumquathinge/core/place"
	"kumquathinge/core/site"
)

// IdleReason is why a running server serves in no group.
type IdleReason string

// Reasons for which a server does not serve.
const (
	// IdleEmpty servers hold no model and load none.
	IdleEmpty IdleReason = "empty"
	// IdleLoading servers load a model.
	IdleLoading IdleReason = "loading"
	// IdleSpare servers hold a model and belong to no incomplete group.
	IdleSpare IdleReason = "spare"
	// IdleIncomplete servers belong to a group that does not serve.
	IdleIncomplete IdleReason = "incomplete"
)

// ModelResult is what a pattern gave for one model.
type ModelResult struct {
	Name string
	// GroupSeconds is the time that groups served, summed over the groups.
	GroupSeconds float64
	// Demand is the work that arrived and Served the part of it that the
	// serving groups can do, both in group-seconds.
	Demand, Served float64
}

// Result is what a planner achieved on a pattern.
type Result struct {
	Pattern string
	Models  []ModelResult
	// Worth is the worth of the served work as a fraction of that of all work.
	// Bound is the part that no planner exceeds.
	Worth, Bound float64
	// Idle maps reasons to the seconds that running servers served in no group.
	Idle map[IdleReason]float64
	// Outages are the times from the loss of a member to the return of a group
	// under the same name.
	Outages []time.Duration
	// Orders and Loads are their numbers, loads since the start of traffic.
	Orders, Loads int
	Violations    []string
	// Moves are the groups that were given up for another model.
	Moves []place.Move
	// Groups holds the number of serving groups of each model, once a second.
	Groups [][]int
}

const (
	// loadTimeConstant is the time constant of the measured utilisation.
	loadTimeConstant = 3 * time.Second
	// maxUtilisation is the utilisation of a model whose groups are full and
	// have prompts waiting.
	maxUtilisation = 1.3
)

// runner plays a pattern.
type runner struct {
	pat      *Pattern
	cluster  *Cluster
	planner  *place.Planner
	term     int64
	begin    time.Time
	pending  []Event
	deferred []deferredAction
	// base is the demand by model without its wave, demand with it.
	base, demand map[string]float64
	// reports reports the demand to the planner, nil if it isn't reported.
	reports  *demandReports
	measured map[string]float64
	broken   map[string]time.Time
	result   *Result
	bound    float64
	offered  float64
	served   float64
}

type deferredAction struct {
	at time.Time
	do func()
}

// Run plays a pattern with a new planner. The seed decides which servers an
// event concerns.
func Run(pat *Pattern, seed uint64) *Result { return newRunner(pat, seed).play() }

// RunDemand plays a pattern as Run does, with a planner that learns the demand.
func RunDemand(pat *Pattern, seed uint64) *Result {
	run := newRunner(pat, seed)
	run.reports = newDemandReports(seed)
	return run.play()
}

func (run *runner) play() *Result {
	pat := run.pat
	run.lead()
	for run.cluster.now.Sub(run.begin) < time.Duration(pat.Length) {
		run.fireEvents()
		run.updateDemand()
		run.cluster.SetUtilisation(run.utilisation())
		run.cluster.Step(run.planner)
		run.result.Moves = append(run.result.Moves, run.planner.TakeMoves()...)
		run.account()
	}
	res := run.result
	res.Worth, res.Bound = run.served/run.offered, run.bound/run.offered
	res.Orders, res.Loads, res.Violations = run.cluster.orderCount, run.cluster.LoadCount(), run.cluster.violations
	return res
}

func newRunner(pat *Pattern, seed uint64) *runner {
	run := &runner{
		pat: pat, term: 1, base: map[string]float64{}, demand: map[string]float64{}, measured: map[string]float64{}, broken: map[string]time.Time{},
		cluster: New(Config{Models: pat.models(), Slots: pat.Slots, LoadsPerSec: pat.LoadsPerSec, MaxConcurrentLoads: pat.ConcurrentLoads, Seed: seed}),
		result:  &Result{Pattern: pat.Name, Idle: map[IdleReason]float64{}},
	}
	run.planner = place.New(run.term)
	run.pending = slices.SortedStableFunc(slices.Values(pat.Events), func(one, two Event) int { return int(one.At - two.At) })
	for _, spec := range pat.Models {
		run.base[spec.Name], run.demand[spec.Name] = spec.Demand, spec.Demand
		run.result.Models = append(run.result.Models, ModelResult{Name: spec.Name})
	}
	for zone := range pat.Zones {
		for num := range pat.DomainsPerZone {
			run.cluster.AddServers(domainName(zone, num), pat.ServersPerDomain)
		}
	}
	return run
}

func domainName(zone, num int) string { return fmt.Sprintf("z%d.d%d", zone, num) }

// lead runs the time before traffic. Servers register over three seconds.
func (run *runner) lead() {
	cl := run.cluster
	cl.SetBeforeTraffic(true)
	for _, id := range cl.IDs() {
		cl.HideUntil(id, cl.now.Add(time.Duration(cl.rnd.Int64N(int64(3*time.Second)))))
	}
	cl.Run(run.planner, time.Duration(run.pat.Lead))
	cl.SetBeforeTraffic(false)
	run.begin = cl.now
}

// utilisation returns the smoothed utilisation of the models.
func (run *runner) utilisation() map[string]float64 {
	out := map[string]float64{}
	for name, demand := range run.demand {
		now := maxUtilisation
		if num := len(run.cluster.ServingHeads(name)); num > 0 {
			now = min(demand/float64(num), maxUtilisation)
		}
		if _, known := run.measured[name]; !known {
			run.measured[name] = now
		}
		run.measured[name] += float64(StepInterval) / float64(loadTimeConstant) * (now - run.measured[name])
		out[name] = run.measured[name]
	}
	return out
}

func (run *runner) fireEvents() {
	now := run.cluster.now
	for len(run.pending) > 0 && now.Sub(run.begin) >= time.Duration(run.pending[0].At) {
		evt := run.pending[0]
		run.pending = run.pending[1:]
		run.fire(evt)
	}
	run.deferred = slices.DeleteFunc(run.deferred, func(action deferredAction) bool {
		due := !now.Before(action.at)
		if due {
			action.do()
		}
		return due
	})
}

// after calls do when the duration has passed.
func (run *runner) after(dur Duration, do func()) {
	run.deferred = append(run.deferred, deferredAction{at: run.cluster.now.Add(time.Duration(dur)), do: do})
}

func (run *runner) fire(evt Event) {
	cl := run.cluster
	switch evt.Kind {
	case EventLose:
		for _, id := range run.pick(evt.Zone, evt.Count, true) {
			run.markBroken(id)
			cl.Kill(id)
		}
	case EventDark:
		run.darken(evt)
	case EventAdd:
		for range evt.Count {
			cl.AddServers(domainName(evt.Zone, cl.rnd.IntN(run.pat.DomainsPerZone)), 1)
		}
	case EventDrain:
		for _, id := range run.pick(evt.Zone, evt.Count, false) {
			cl.Drain(id)
			run.after(evt.For, func() { cl.Kill(id) })
		}
	case EventSlow:
		for _, id := range run.pick(evt.Zone, evt.Count, true) {
			cl.Slow(id, 4)
			run.after(evt.For, func() { cl.Slow(id, 1) })
		}
	case EventOrderer:
		run.term++
		run.planner = place.New(run.term)
		if run.reports != nil {
			run.reports = newDemandReports(uint64(run.term))
		}
	case EventDemand:
		run.base[evt.Model] *= evt.Factor
		run.after(evt.For, func() { run.base[evt.Model] /= evt.Factor })
	}
}

// darken stops all servers of a domain and starts others on their hosts.
func (run *runner) darken(evt Event) {
	cl := run.cluster
	domain := domainName(evt.Zone, cl.rnd.IntN(run.pat.DomainsPerZone))
	for _, id := range cl.IDs() {
		eng := cl.engines[id]
		if eng.server.Domain != domain || !eng.running {
			continue
		}
		run.markBroken(id)
		cl.Kill(id)
		run.after(evt.For, func() {
			staged := slices.Clone(eng.server.StagedModels)
			next := cl.AddServers(domain, 1)[0]
			cl.engines[next].server.StagedModels = staged
			cl.HideUntil(next, cl.now.Add(time.Duration(cl.rnd.Int64N(int64(time.Second)))))
		})
	}
}

// pick returns random running servers of a zone, at most count.
func (run *runner) pick(zone, count int, joined bool) []string {
	var ids []string
	for _, id := range run.cluster.IDs() {
		eng := run.cluster.engines[id]
		if eng.running && strings.HasPrefix(eng.server.Domain, fmt.Sprintf("z%d.", zone)) && (!joined || eng.server.Group.State == site.GroupOpen || eng.server.Group.Rank > 0) {
			ids = append(ids, id)
		}
	}
	run.cluster.rnd.Shuffle(len(ids), func(one, two int) { ids[one], ids[two] = ids[two], ids[one] })
	return ids[:min(count, len(ids))]
}

// markBroken records that the group of a server lost a member.
func (run *runner) markBroken(id string) {
	name := run.cluster.engines[id].server.Group.Name
	if _, known := run.broken[name]; name != "" && !known {
		run.broken[name] = run.cluster.now
	}
}

// account adds one interval to the result.
func (run *runner) account() {
	cl, res := run.cluster, run.result
	step := StepInterval.Seconds()
	serving := map[string]bool{}
	counts := make([]int, len(run.pat.Models))
	for idx, spec := range run.pat.Models {
		heads := cl.ServingHeads(spec.Name)
		counts[idx] = len(heads)
		for _, head := range heads {
			run.markServing(head, serving)
		}
		demand := run.demand[spec.Name]
		served := min(demand, float64(len(heads)))
		mod := &res.Models[idx]
		mod.GroupSeconds += step * float64(len(heads))
		mod.Demand += step * demand
		mod.Served += step * served
		run.offered += step * demand * spec.Worth
		run.served += step * served * spec.Worth
	}
	run.bound += step * run.boundNow()
	for id, eng := range cl.engines {
		if eng.running && !serving[id] {
			res.Idle[eng.idleReason()] += step
		}
	}
	if cl.now.Sub(run.begin)%time.Second < StepInterval {
		res.Groups = append(res.Groups, counts)
	}
}

// markServing records the members of a serving group, and the end of its
// outage.
func (run *runner) markServing(head *Engine, serving map[string]bool) {
	for _, id := range head.members {
		serving[id] = true
	}
	name := head.server.Group.Name
	if since, known := run.broken[name]; known {
		run.result.Outages = append(run.result.Outages, run.cluster.now.Sub(since))
		delete(run.broken, name)
	}
}

func (eng *Engine) idleReason() IdleReason {
	switch {
	case eng.joinLoad != nil:
		return IdleLoading
	case eng.server.Group.State != site.GroupNone && len(eng.members) > 1:
		return IdleIncomplete
	case len(eng.server.StagedModels) > 0:
		return IdleSpare
	}
	return IdleEmpty
}
