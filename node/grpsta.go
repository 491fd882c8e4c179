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
func (adm *admin) groups(vie *fold.View) []oper.GroupStatus {
	now := adm.now()
	fly := zoneInFlight(adm.bet.circle(), adm.self, adm.zone, adm.jbs.srv.InFlight())
	held := core.NewSet[core.GroupName]()
	for _, hld := range vie.Holds() {
		held.Add(hld.Group)
	}
	shown := core.NewSet[core.GroupName]()
	out := []oper.GroupStatus{}
	for _, asg := range vie.Assignments() {
		if asg.Phase == core.PhaseRetired && !held.Has(asg.Group) {
			continue
		}
		shown.Add(asg.Group)
		out = append(out, adm.assigned(asg, fly[asg.Group], now))
	}
	free := adm.free(vie, now)
	for _, wan := range adm.wls.get().wanted {
		if wan.Enabled && !wan.Draining && !shown.Has(wan.Group) {
			out = append(out, adm.waiting(wan, free))
		}
	}
	slices.SortFunc(out, func(one, two oper.GroupStatus) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

// assigned returns the status of a group that has VMs.
func (adm *admin) assigned(asg core.Assignment, fly int, now time.Time) oper.GroupStatus {
	grp := oper.GroupStatus{
		Name:     asg.Group,
		Model:    asg.Spec.Model,
		Version:  asg.Spec.Version,
		Role:     asg.Spec.Role,
		Zone:     asg.Zone,
		Domain:   asg.Domain,
		Phase:    asg.Phase,
		Order:    asg.FencingToken,
		Members:  asg.VMs,
		InFlight: fly,
	}
	if grp.Zone != adm.zone {
		grp.Code = core.CodeGroupUnknown
		grp.Why = "in zone " + string(grp.Zone) + ", ask an entry VM there"
		return grp
	}
	if asg.Phase == core.PhaseRetired {
		grp.Why = "draining: " + cmp.Or(asg.Reason, "retired")
		return grp
	}
	_, err := adm.jbs.gat.Permit(grp.Name, now)
	grp.Serving = err == nil
	grp.Code = core.CodeOf(err)
	grp.Why = detail(err)
	return grp
}

// waiting returns the status of a group that has no VMs yet.
func (adm *admin) waiting(wan repair.DesiredGroup, free map[core.Domain]int) oper.GroupStatus {
	grp := oper.GroupStatus{
		Name:    wan.Group,
		Model:   wan.Spec.Model,
		Version: wan.Spec.Version,
		Role:    wan.Spec.Role,
		Zone:    wan.Zone,
		Domain:  wan.Domain,
		Members: []core.VMName{},
		Code:    core.CodeGroupUnknown,
		Why:     lacks(wan, free),
	}
	if sta := adm.sto.Status(); !sta.LogOK {
		grp.Code = core.CodeLogDown
		grp.Why = "waits for the log, on which VMs are assigned"
	}
	return grp
}

// lacks tells what a group without VMs waits for. Free counts the free VMs of
// its zone by domain.
func lacks(wan repair.DesiredGroup, free map[core.Domain]int) string {
	most := 0
	for dom, num := range free {
		if wan.Domain == "" || wan.Domain == dom {
			most = max(most, num)
		}
	}
	switch {
	case wan.Size <= 0:
		return "group.size is not set"
	case most >= wan.Size:
		return fmt.Sprintf("%d VMs are free, to be assigned next", wan.Size)
	case wan.Domain != "":
		return fmt.Sprintf("waits for %d free VMs in fabric domain %s of zone %s, %d are free", wan.Size, wan.Domain, wan.Zone, most)
	}
	return fmt.Sprintf("waits for %d free VMs in one fabric domain of zone %s, at most %d are free in one", wan.Size, wan.Zone, most)
}

// free counts the VMs of the zone that could be assigned, by domain: those that
// are empty by a fresh probe, belong to no group and do not leave.
func (adm *admin) free(vie *fold.View, now time.Time) map[core.Domain]int {
	ros := adm.lst.roster()
	wor := adm.wls.get()
	lea := wor.leaving(ros)
	sgs := adm.jbs.gat.Statuses()
	out := make(map[core.Domain]int)
	for _, vmx := range ros.inZone(adm.zone, core.VMEngine) {
		_, held := vie.Holder(vmx.Name)
		if held || lea.Has(vmx.Name) || !empty(sgs[vmx.Name], now, wor.bound) {
			continue
		}
		out[vmx.Domain]++
	}
	return out
}

// empty reports whether a fresh probe shows an engine that stays and holds
// nothing.
func empty(sgt gate.ServerStatus, now time.Time, bound time.Duration) bool {
	return sgt.Fresh(now, bound) && sgt.Probe.State == core.EngineEmpty && !sgt.Probe.Leaving
}

// detail returns the text of err without the code, empty for nil.
func detail(err error) string {
	var cer *core.Error
	if errors.As(err, &cer) {
		return cer.Detail()
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
