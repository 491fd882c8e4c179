package fold

import (
	"fmt"
	"slices"
	"strings"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

const maxGroupVMs = 64

// applyAssign assigns VMs to a group if no group holds any of them and the
// record's Base is the group's last assignment, if any, and that assignment is
// retired.
func (st *State) applyAssign(asg *recd.Assign, line *AuditLine) *core.Error {
	line.Subject = string(asg.Group)
	line.New = describeAssignment(asg.VMs, asg.Spec)
	old, exists := st.assignments[asg.Group]
	line.Old = describeAssignment(old.VMs, old.Spec)
	err := validateAssign(asg)
	if err != nil {
		return err
	}
	if old.FencingToken != asg.Base {
		return core.Errorf(core.CodeGeneration, "group %s was assigned at offset %d, this assignment was made from offset %d",
			asg.Group, old.FencingToken, asg.Base)
	}
	if exists && old.Phase != core.PhaseRetired {
		return core.Errorf(core.CodeNotRetired, "the assignment of group %s at offset %d is not retired", asg.Group, old.FencingToken)
	}
	for _, vm := range asg.VMs {
		if hold, ok := st.holds[vm]; ok {
			return core.Errorf(core.CodeVMHeld, "VM %s is held by group %s since offset %d", vm, hold.Group, hold.FencingToken)
		}
	}
	err = st.checkGroupSettings(asg)
	if err != nil {
		return err
	}
	for _, vm := range asg.VMs {
		st.putHold(Hold{VM: vm, Group: asg.Group, FencingToken: st.offset})
	}
	st.putAssignment(core.Assignment{
		Group: asg.Group, Zone: asg.Zone, Domain: asg.Domain, VMs: slices.Clone(asg.VMs),
		Spec: asg.Spec, FencingToken: st.offset, Phase: core.PhaseAssigned,
	})
	return nil
}

func validateAssign(asg *recd.Assign) *core.Error {
	if asg.Group == "" || asg.Zone == "" || asg.Domain == "" || asg.Spec.Model == "" {
		return core.Errorf(core.CodeRecordBad, "an assignment needs a group, a zone, a domain and a model")
	}
	if len(asg.VMs) == 0 || len(asg.VMs) > maxGroupVMs {
		return core.Errorf(core.CodeRecordBad, "an assignment has %d VMs, not 1 to %d", len(asg.VMs), maxGroupVMs)
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

// checkGroupSettings checks the assignment against the group's settings if
// rule RuleGroupSettings is in force.
func (st *State) checkGroupSettings(asg *recd.Assign) *core.Error {
	if !st.rules.Has(RuleGroupSettings) {
		return nil
	}
	cfg := st.settings.Config(tree.GroupPath(asg.Spec.Model, asg.Group))
	if num := cfg.Int("group.size"); num != len(asg.VMs) {
		return core.Errorf(core.CodeGeneration, "group %s has %d VMs by its settings, not %d", asg.Group, num, len(asg.VMs))
	}
	if domain := cfg.String("group.domain"); domain != "" && domain != string(asg.Domain) {
		return core.Errorf(core.CodeMixedDomain, "group %s is in domain %s by its settings, not %s", asg.Group, domain, asg.Domain)
	}
	return nil
}

// applyRetire retires the group's assignment.
func (st *State) applyRetire(retire *recd.Retire, line *AuditLine) *core.Error {
	line.Subject = string(retire.Group)
	line.New = string(core.PhaseRetired)
	line.Note = retire.Reason
	asg, ok := st.assignments[retire.Group]
	if !ok {
		return core.Errorf(core.CodeGroupUnknown, "group %q was never assigned", retire.Group)
	}
	line.Old = string(asg.Phase)
	if asg.FencingToken != retire.Base {
		return core.Errorf(core.CodeGeneration, "group %s was assigned at offset %d, not %d", retire.Group, asg.FencingToken, retire.Base)
	}
	if asg.Phase == core.PhaseRetired {
		return core.Errorf(core.CodeGeneration, "the assignment of group %s at offset %d is retired already", retire.Group, retire.Base)
	}
	asg.Phase = core.PhaseRetired
	asg.Reason = truncate(retire.Reason)
	st.putAssignment(asg)
	return nil
}

// applyUnload releases VMs that a retired assignment still holds.
func (st *State) applyUnload(unload *recd.Unload, line *AuditLine) *core.Error {
	line.Subject = string(unload.Group)
	line.Old = joinVMs(unload.VMs)
	asg, ok := st.assignments[unload.Group]
	if !ok {
		return core.Errorf(core.CodeGroupUnknown, "group %q was never assigned", unload.Group)
	}
	if asg.FencingToken == unload.Base && asg.Phase != core.PhaseRetired {
		return core.Errorf(core.CodeNotRetired, "the assignment of group %s at offset %d is not retired", unload.Group, unload.Base)
	}
	if len(unload.VMs) == 0 {
		return core.Errorf(core.CodeRecordBad, "the record names no VM")
	}
	for _, vm := range unload.VMs {
		hold, held := st.holds[vm]
		if !held || hold.Group != unload.Group || hold.FencingToken != unload.Base {
			return core.Errorf(core.CodeGeneration, "VM %q is not held by group %s since offset %d", vm, unload.Group, unload.Base)
		}
	}
	for _, vm := range unload.VMs {
		st.deleteHold(vm)
	}
	if asg.FencingToken == unload.Base {
		asg.VMs = slices.DeleteFunc(slices.Clone(asg.VMs), func(vm core.VMName) bool { return slices.Contains(unload.VMs, vm) })
		st.putAssignment(asg)
	}
	return nil
}

func (st *State) putAssignment(asg core.Assignment) {
	if old, ok := st.assignments[asg.Group]; ok {
		st.itemHashSum -= itemHash(itemAssignment, old)
	}
	st.assignments[asg.Group] = asg
	st.itemHashSum += itemHash(itemAssignment, asg)
	st.assignmentIndex = nil
}

func (st *State) putHold(hold Hold) {
	st.holds[hold.VM] = hold
	st.itemHashSum += itemHash(itemHold, hold)
	st.holdIndex = nil
}

// deleteHold releases the VM. A record may list a VM twice, so the hold may be
// gone.
func (st *State) deleteHold(vm core.VMName) {
	hold, ok := st.holds[vm]
	if !ok {
		return
	}
	st.itemHashSum -= itemHash(itemHold, hold)
	delete(st.holds, vm)
	st.holdIndex = nil
}

func describeAssignment(vms []core.VMName, spec core.Spec) string {
	if len(vms) == 0 {
		return ""
	}
	return fmt.Sprintf("%s@%s %s %s on %s", spec.Model, spec.Version, spec.Role, strings.Join(spec.Adapters, "+"), joinVMs(vms))
}

func joinVMs(vms []core.VMName) string {
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, string(vm))
	}
	return strings.Join(out, ",")
}
