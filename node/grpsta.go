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

// groups returns the status of every group that has VMs or should have, by
// name. Of other zones only those with VMs are known.
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
	for _, wanted := range adm.stateCache.get().wantedGroups {
		if wanted.Enabled && !wanted.Draining && !shown.Has(wanted.Group) {
			out = append(out, adm.waitingStatus(wanted, free))
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
		group.Reason = "in zone " + string(group.Zone) + ", ask an entry VM there"
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
func (adm *admin) waitingStatus(wanted repair.DesiredGroup, free map[core.Domain]int) oper.GroupStatus {
	group := oper.GroupStatus{
		Name:    wanted.Group,
		Model:   wanted.Spec.Model,
		Version: wanted.Spec.Version,
		Role:    wanted.Spec.Role,
		Zone:    wanted.Zone,
		Domain:  wanted.Domain,
		Members: []core.VMName{},
		Code:    core.CodeGroupUnknown,
		Reason:  waitReason(wanted, free),
	}
	if status := adm.store.Status(); !status.LogOK {
		group.Code = core.CodeLogDown
		group.Reason = "waits for the log, on which VMs are assigned"
	}
	return group
}

// waitReason tells what a group without VMs waits for. Free counts the free VMs of
// its zone by domain.
func waitReason(wanted repair.DesiredGroup, free map[core.Domain]int) string {
	most := 0
	for domain, num := range free {
		if wanted.Domain == "" || wanted.Domain == domain {
			most = max(most, num)
		}
	}
	switch {
	case wanted.Size <= 0:
		return "group.size is not set"
	case most >= wanted.Size:
		return fmt.Sprintf("%d VMs are free, to be assigned next", wanted.Size)
	case wanted.Domain != "":
		return fmt.Sprintf("waits for %d free VMs in fabric domain %s of zone %s, %d are free", wanted.Size, wanted.Domain, wanted.Zone, most)
	}
	return fmt.Sprintf("waits for %d free VMs in one fabric domain of zone %s, at most %d are free in one", wanted.Size, wanted.Zone, most)
}

// freeVMs counts the VMs of the zone that could be assigned, by domain: those that
// are empty by a fresh probe, belong to no group and do not leave.
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

// isFree reports whether a fresh probe shows an engine that stays and holds
// nothing.
func isFree(status gate.ServerStatus, now time.Time, maxProbeAge time.Duration) bool {
	return status.Fresh(now, maxProbeAge) && status.Probe.State == core.EngineEmpty && !status.Probe.Leaving
}

// errorDetail returns the text of err without the code, empty for nil.
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
