package node

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/repair"
	"kumquathinge/io/oper"
)

// groups returns the status of every group that has VMs or is enabled, sorted
// by name. Of other zones it returns only groups with VMs.
func (adm *admin) groups(view *fold.View) []oper.GroupStatus {
	now := adm.now()
	inFlight := zoneInFlight(adm.membership.liveNodes(), adm.self, adm.zone, adm.jobs.server.InFlight())
	held := core.NewSet[core.GroupName]()
	for _, hold := range view.Holds() {
		held.Add(hold.Group)
	}
	shown := core.NewSet[core.GroupName]()
	out := []oper.GroupStatus{}
	for _, assignment := range view.Assignments() {
		if assignment.Phase == core.PhaseRetired && !held.Has(assignment.Group) {
			continue
		}
		shown.Add(assignment.Group)
		out = append(out, adm.assignedStatus(assignment, inFlight[assignment.Group], now))
	}
	free := adm.freeVMs(view, now)
	for _, desired := range adm.stateCache.get().desiredGroups {
		if desired.Enabled && !desired.Draining && !shown.Has(desired.Group) {
			out = append(out, adm.waitingStatus(desired, free))
		}
	}
	slices.SortFunc(out, func(a, b oper.GroupStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// assignedStatus returns the status of a group that has VMs.
func (adm *admin) assignedStatus(assignment core.Assignment, inFlight int, now time.Time) oper.GroupStatus {
	group := oper.GroupStatus{
		Name:         assignment.Group,
		Model:        assignment.Spec.Model,
		Version:      assignment.Spec.Version,
		Role:         assignment.Spec.Role,
		Zone:         assignment.Zone,
		Domain:       assignment.Domain,
		Phase:        assignment.Phase,
		FencingToken: assignment.FencingToken,
		Members:      assignment.VMs,
		InFlight:     inFlight,
	}
	if group.Zone != adm.zone {
		group.Code = core.CodeGroupUnknown
		group.Reason = "in zone " + string(group.Zone) + "; query an entry VM of that zone"
		return group
	}
	if assignment.Phase == core.PhaseRetired {
		group.Reason = "draining: " + cmp.Or(assignment.Reason, "retired")
		return group
	}
	_, err := adm.jobs.gate.Permit(group.Name, now)
	group.Serving = err == nil
	group.Code = core.CodeOf(err)
	group.Reason = errorDetail(err)
	return group
}

// waitingStatus returns the status of a group that has no VMs yet.
func (adm *admin) waitingStatus(desired repair.DesiredGroup, free map[core.Domain]int) oper.GroupStatus {
	group := oper.GroupStatus{
		Name:    desired.Group,
		Model:   desired.Spec.Model,
		Version: desired.Spec.Version,
		Role:    desired.Spec.Role,
		Zone:    desired.Zone,
		Domain:  desired.Domain,
		Members: []core.VMName{},
		Code:    core.CodeGroupUnknown,
		Reason:  waitReason(desired, free),
	}
	if status := adm.store.Status(); !status.LogOK {
		group.Code = core.CodeLogDown
		group.Reason = "waits for the log, which assignments need"
	}
	return group
}

// waitReason returns why a group has no VMs yet, given the number of free VMs
// of its zone by domain.
func waitReason(desired repair.DesiredGroup, free map[core.Domain]int) string {
	most := 0
	for domain, num := range free {
		if desired.Domain == "" || desired.Domain == domain {
			most = max(most, num)
		}
	}
	switch {
	case desired.Size <= 0:
		return "group.size is not set"
	case most >= desired.Size:
		return fmt.Sprintf("%d VMs are free and will be assigned next", desired.Size)
	case desired.Domain != "":
		return fmt.Sprintf("waits for %d free VMs in fabric domain %s of zone %s, %d are free", desired.Size, desired.Domain, desired.Zone, most)
	}
	return fmt.Sprintf("waits for %d free VMs in one fabric domain of zone %s, at most %d are free in one", desired.Size, desired.Zone, most)
}

// freeVMs counts the zone's VMs that can be assigned, by domain: a recent
// probe found them empty, no group holds them, and they are not leaving.
func (adm *admin) freeVMs(view *fold.View, now time.Time) map[core.Domain]int {
	list := adm.vmPoller.list()
	state := adm.stateCache.get()
	leaving := state.leavingVMs(list)
	statuses := adm.jobs.gate.Statuses()
	out := make(map[core.Domain]int)
	for _, vm := range list.inZone(adm.zone, core.VMEngine) {
		_, held := view.Holder(vm.Name)
		if held || leaving.Has(vm.Name) || !isFree(statuses[vm.Name], now, state.maxProbeAge) {
			continue
		}
		out[vm.Domain]++
	}
	return out
}

// isFree reports whether a probe within maxProbeAge found an empty engine that
// is not leaving.
func isFree(status gate.ServerStatus, now time.Time, maxProbeAge time.Duration) bool {
	return status.Fresh(now, maxProbeAge) && status.Probe.State == core.EngineEmpty && !status.Probe.Leaving
}

// errorDetail returns the text of err without the code, or an empty string for
// nil.
func errorDetail(err error) string {
	var coreErr *core.Error
	if errors.As(err, &coreErr) {
		return coreErr.Detail()
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
