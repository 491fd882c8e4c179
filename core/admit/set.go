package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// SetCapacity sets how many items of the model may run at once. With fewer
// slots than running items, nothing is admitted until enough have ended.
// Items that a new slot lets in are admitted by the next Tick. SetCapacity
// panics if slots is negative.
func (mac *Machine) SetCapacity(model core.ModelName, slots int) {
	if slots < 0 {
		panic("admit: negative capacity")
	}
	mac.pool(model).slots = slots
}

// SetDepth bounds how many items may wait for the model. Items beyond a lower
// bound are refused as new ones come. SetDepth panics if depth is negative.
func (mac *Machine) SetDepth(model core.ModelName, depth int) {
	if depth < 0 {
		panic("admit: negative depth")
	}
	mac.pool(model).depth = depth
}

// SetOrg sets an organisation's limits.
func (mac *Machine) SetOrg(name core.OrgName, lim OrgLimits) {
	og := mac.org(name)
	old := og.weight()
	og.limits = lim
	for _, pol := range mac.pools {
		if flw, ok := pol.flows[name]; ok && flw.index >= 0 {
			pol.weights += og.weight() - old
		}
	}
}

// SetShare sets the part of the organisation's limits that this entry VM may
// use, in [0, 1]. It is 1 until set. SetShare panics if share is out of range.
func (mac *Machine) SetShare(name core.OrgName, share float64) {
	if !(share >= 0 && share <= 1) {
		panic("admit: share out of [0, 1]")
	}
	mac.org(name).share = math.Max(share, minShare)
}

// minShare keeps an organisation with a limit from a share that would read as
// no limit at all.
const minShare = 1e-6

// Usage returns the organisations' demand at this entry VM: what was offered,
// refused items included, and what runs.
func (mac *Machine) Usage(now time.Time) map[core.OrgName]core.Usage {
	out := make(map[core.OrgName]core.Usage, len(mac.orgs))
	for name, og := range mac.orgs {
		og.demand.decay(mac.cfg.UsageTime, now)
		out[name] = core.Usage{
			Requests: og.demand.requests,
			Tokens:   og.demand.tokens,
			Running:  og.running,
		}
	}
	return out
}

// Depth is how many items of a model wait and run, and its slots.
type Depth struct {
	Model   core.ModelName
	Waiting int
	Running int
	Slots   int
	Wait    time.Duration // expected, for an organisation that has nothing waiting
}

// Depths returns the state of each model's queue, by name.
func (mac *Machine) Depths() []Depth {
	out := make([]Depth, 0, len(mac.pools))
	for _, pol := range mac.sorted() {
		out = append(out, Depth{
			Model: pol.model, Waiting: pol.waiting, Running: pol.running, Slots: pol.slots,
			Wait: seconds(pol.service(pol.backlog) / math.Max(1, float64(pol.slots))),
		})
	}
	return out
}

func (mac *Machine) org(name core.OrgName) *org {
	og, ok := mac.orgs[name]
	if !ok {
		og = &org{name: name, limits: mac.cfg.Default, share: 1}
		mac.orgs[name] = og
	}
	return og
}

func (mac *Machine) pool(model core.ModelName) *pool {
	pol, ok := mac.pools[model]
	if !ok {
		pol = &pool{model: model, credit: mac.cfg.Credit, depth: mac.cfg.MaxQueued, flows: make(map[core.OrgName]*flow)}
		mac.pools[model] = pol
	}
	return pol
}

func (mac *Machine) sorted() []*pool {
	out := make([]*pool, 0, len(mac.pools))
	for _, pol := range mac.pools {
		out = append(out, pol)
	}
	slices.SortFunc(out, func(pol, oth *pool) int { return cmp.Compare(pol.model, oth.model) })
	return out
}
