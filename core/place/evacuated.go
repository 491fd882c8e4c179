package place

import (
	"maps"
	"slices"
)

// dropEvacuatedPlans ends the plans of groups with a member in an evacuated zone. Members
// may have joined on their orders; after the return of the zone such a group is treated
// like one that an earlier orderer was forming.
func (pl *Planner) dropEvacuatedPlans(in Input) {
	if len(in.View.Evacuations().Zones()) == 0 {
		return
	}
	maps.DeleteFunc(pl.plans, func(_ string, plan *groupPlan) bool {
		return slices.ContainsFunc(plan.members, func(id string) bool { return pl.evacuated(in, id) })
	})
}

// evacuated reports whether a server is, or was last seen, in an evacuated zone.
func (pl *Planner) evacuated(in Input, id string) bool {
	hist := pl.servers[id]
	return hist != nil && in.View.Evacuated(hist.zone)
}
