package node

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

// evacuatedRetryAfter is the time after which a caller may retry a job whose servers are
// all in evacuated zones.
const evacuatedRetryAfter = 3 * time.Second

// inService returns the zones that are not evacuated.
func (state *clusterState) inService(zones core.Set[core.Zone]) core.Set[core.Zone] {
	out := core.NewSet[core.Zone]()
	for _, zone := range zones.Sorted() {
		if !state.tree.Config(tree.ZonePath(zone)).Bool("zone.evacuated") {
			out.Add(zone)
		}
	}
	return out
}

// evacuatedError returns the error for a job that only the evacuated zones could serve.
func evacuatedError(zones core.Set[core.Zone]) error {
	return core.WithRetryAfter(core.Errorf(core.CodeZoneEvacuated, "zones %v are evacuated", zones.Sorted()), evacuatedRetryAfter)
}
