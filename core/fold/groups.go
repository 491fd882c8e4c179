package fold

import (
	"fmt"
	"slices"
	"strings"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

const maxMembers = 64

// assign gives VMs to a group if none of them is held and the group's last
// assignment, if any, is the one that the record names and is retired.
func (sta *State) assign(asg *recd.Assign, lin *AuditLine) *core.Error {
	lin.Subject = string(asg.Group)
	lin.New = describe(asg.VMs, asg.Spec)
	old, had := sta.groups[asg.Group]
	lin.Old = describe(old.VMs, old.Spec)
	err := checkAssign(asg)
	if err != nil {
		return err
	}
	if old.FencingToken != asg.Base {
		return core.Errorf(core.CodeGeneration, "group %s was assigned at offset %d, this assignment was made from offset %d",
			asg.Group, old.FencingToken, asg.Base)
	}
	if had && old.Phase != core.PhaseRetired {
		return core.Errorf(core.CodeNotRetired, "the assignment of group %s at offset %d is not retired", asg.Group, old.FencingToken)
	}
	for _, vm := range asg.VMs {
		if hld, ok := sta.holds[vm]; ok {
			return core.Errorf(core.CodeVMHeld, "VM %s is held by group %s since offset %d", vm, hld.Group, hld.Order)
		}
	}
	err = sta.ruleGroup(asg)
	if err != nil {
		return err
	}
	for _, vm := range asg.VMs {
		sta.putHold(Hold{VM: vm, Group: asg.Group, Order: sta.offset})
	}
	sta.putGroup(core.Assignment{
		Group: asg.Group, Zone: asg.Zone, Domain: asg.Domain, VMs: slices.Clone(asg.VMs),
		Spec: asg.Spec, FencingToken: sta.offset, Phase: core.PhaseAssigned,
	})
	return nil
}

func checkAssign(asg *recd.Assign) *core.Error {
	if asg.Group == "" || asg.Zone == "" || asg.Domain == "" || asg.Spec.Model == "" {
		return core.Errorf(core.CodeRecordBad, "an assignment needs a group, a zone, a domain and a model")
	}
	if len(asg.VMs) == 0 || len(asg.VMs) > maxMembers {
		return core.Errorf(core.CodeRecordBad, "an assignment has %d VMs, not 1 to %d", len(asg.VMs), maxMembers)
	}
	set := core.NewSet[core.VMName]()
	for _, vm := range asg.VMs {
		if vm == "" || set.Has(vm) {
			return core.Errorf(core.CodeRecordBad, "VM %q has no name or stands twice", vm)
		}
		set.Add(vm)
	}
	return nil
}

// ruleGroup holds the assignment against the group's settings once rule
// RuleGroupSettings is in force.
func (sta *State) ruleGroup(asg *recd.Assign) *core.Error {
	if !sta.rules.Has(RuleGroupSettings) {
		return nil
	}
	cfg := sta.tre.Config(tree.GroupPath(asg.Spec.Model, asg.Group))
	if num := cfg.Int("group.size"); num != len(asg.VMs) {
		return core.Errorf(core.CodeGeneration, "group %s has %d VMs by its settings, not %d", asg.Group, num, len(asg.VMs))
	}
	if dom := cfg.String("group.domain"); dom != "" && dom != string(asg.Domain) {
		return core.Errorf(core.CodeMixedDomain, "group %s is in domain %s by its settings, not %s", asg.Group, dom, asg.Domain)
	}
	return nil
}

// retire ends the service of the group's assignment.
func (sta *State) retire(ret *recd.Retire, lin *AuditLine) *core.Error {
	lin.Subject = string(ret.Group)
	lin.New = string(core.PhaseRetired)
	lin.Note = ret.Reason
	asg, ok := sta.groups[ret.Group]
	if !ok {
		return core.Errorf(core.CodeGroupUnknown, "group %q was never assigned", ret.Group)
	}
	lin.Old = string(asg.Phase)
	if asg.FencingToken != ret.Base {
		return core.Errorf(core.CodeGeneration, "group %s was assigned at offset %d, not %d", ret.Group, asg.FencingToken, ret.Base)
	}
	if asg.Phase == core.PhaseRetired {
		return core.Errorf(core.CodeGeneration, "the assignment of group %s at offset %d is retired already", ret.Group, ret.Base)
	}
	asg.Phase = core.PhaseRetired
	asg.Reason = clip(ret.Reason)
	sta.putGroup(asg)
	return nil
}

// unload frees VMs that an assignment that serves no more still holds.
func (sta *State) unload(unl *recd.Unload, lin *AuditLine) *core.Error {
	lin.Subject = string(unl.Group)
	lin.Old = joinVMs(unl.VMs)
	asg, ok := sta.groups[unl.Group]
	if !ok {
		return core.Errorf(core.CodeGroupUnknown, "group %q was never assigned", unl.Group)
	}
	if asg.FencingToken == unl.Base && asg.Phase != core.PhaseRetired {
		return core.Errorf(core.CodeNotRetired, "the assignment of group %s at offset %d is not retired", unl.Group, unl.Base)
	}
	if len(unl.VMs) == 0 {
		return core.Errorf(core.CodeRecordBad, "the record names no VM")
	}
	for _, vm := range unl.VMs {
		hld, held := sta.holds[vm]
		if !held || hld.Group != unl.Group || hld.Order != unl.Base {
			return core.Errorf(core.CodeGeneration, "VM %q is not held by group %s since offset %d", vm, unl.Group, unl.Base)
		}
	}
	for _, vm := range unl.VMs {
		sta.dropHold(vm)
	}
	if asg.FencingToken == unl.Base {
		asg.VMs = slices.DeleteFunc(slices.Clone(asg.VMs), func(vm core.VMName) bool { return slices.Contains(unl.VMs, vm) })
		sta.putGroup(asg)
	}
	return nil
}

func (sta *State) putGroup(asg core.Assignment) {
	if old, ok := sta.groups[asg.Group]; ok {
		sta.sum -= itemHash(itemGroup, old)
	}
	sta.groups[asg.Group] = asg
	sta.sum += itemHash(itemGroup, asg)
	sta.grouped = nil
}

func (sta *State) putHold(hld Hold) {
	sta.holds[hld.VM] = hld
	sta.sum += itemHash(itemHold, hld)
	sta.held = nil
}

// dropHold frees the VM, which may stand twice in a record.
func (sta *State) dropHold(vm core.VMName) {
	hld, ok := sta.holds[vm]
	if !ok {
		return
	}
	sta.sum -= itemHash(itemHold, hld)
	delete(sta.holds, vm)
	sta.held = nil
}

func describe(vms []core.VMName, spc core.Spec) string {
	if len(vms) == 0 {
		return ""
	}
	return fmt.Sprintf("%s@%s %s %s on %s", spc.Model, spc.Version, spc.Role, strings.Join(spc.Adapters, "+"), joinVMs(vms))
}

func joinVMs(vms []core.VMName) string {
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, string(vm))
	}
	return strings.Join(out, ",")
}
