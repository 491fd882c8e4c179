package gate

import (
	"time"

	"kumquathinge/core"
)

// Permit returns the right to dispatch to grp at now. Now must be read from
// the clock right before the send.
//
// The error carries core.CodeGroupUnknown if no assignment of the group is
// known, core.CodeDraining if the assignment is retired, the group drains or a
// member is leaving, and core.CodeMemberMissing if the last probe of a member
// is absent, not younger than the bound, or shows anything but the member
// ready in the assignment.
func (gte *Gate) Permit(grp core.GroupName, now time.Time) (core.Permit, error) {
	ent, ok := gte.table.Load().groups[grp]
	if !ok {
		return core.Permit{}, core.Errorf(core.CodeGroupUnknown, "group %q has no assignment", grp)
	}
	if err := ent.open(); err != nil {
		return core.Permit{}, err
	}
	if len(ent.cells) == 0 {
		return core.Permit{}, core.Errorf(core.CodeMemberMissing, "group %q has no members", grp)
	}
	bound := gte.Bound()
	var inc core.Incarnation
	for idx, cel := range ent.cells {
		sgt := cel.sight.Load()
		if err := ent.member(idx, sgt, now, bound); err != nil {
			return core.Permit{}, err
		}
		if idx == 0 {
			inc = sgt.Probe.Incarnation
		}
	}
	return core.Permit{
		Group:        grp,
		FencingToken: ent.asn.FencingToken,
		Spec:         ent.asn.Spec,
		Leader:       ent.asn.VMs[0],
		Incarnation:  inc,
		IssuedAt:     now,
	}, nil
}

// Verify holds the head of an answer against the permit that its request was
// sent under. The error carries core.CodeCrossedAnswer if the chunk is not a
// head, or another process, order or model answered.
func (gte *Gate) Verify(per core.Permit, head core.Chunk) error {
	if !head.Head {
		return core.Errorf(core.CodeCrossedAnswer, "answer of group %q does not begin with a head", per.Group)
	}
	if head.Incarnation != per.Incarnation {
		return core.Errorf(core.CodeCrossedAnswer, "incarnation %q answered for group %q, want %q",
			head.Incarnation, per.Group, per.Incarnation)
	}
	if head.FencingToken != per.FencingToken {
		return core.Errorf(core.CodeCrossedAnswer, "order %d answered for group %q, want %d",
			head.FencingToken, per.Group, per.FencingToken)
	}
	if !head.Spec.Equal(per.Spec) {
		return core.Errorf(core.CodeCrossedAnswer, "model %q version %q answered for group %q",
			head.Spec.Model, head.Spec.Version, per.Group)
	}
	return nil
}

func (ent *entry) open() error {
	if ent.asn.Phase != core.PhaseAssigned {
		return core.Errorf(core.CodeDraining, "group %q is %s", ent.asn.Group, ent.asn.Phase)
	}
	if ent.draining {
		return core.Errorf(core.CodeDraining, "group %q is draining", ent.asn.Group)
	}
	if ent.leaving != "" {
		return core.Errorf(core.CodeDraining, "member %q of group %q is leaving", ent.leaving, ent.asn.Group)
	}
	return nil
}

func (ent *entry) member(idx int, sgt *Sight, now time.Time, bound time.Duration) error {
	vmn := ent.asn.VMs[idx]
	if sgt == nil || !sgt.Seen() {
		return core.Errorf(core.CodeMemberMissing, "member %q of group %q is missing", vmn, ent.asn.Group)
	}
	if !sgt.Fresh(now, bound) {
		return core.Errorf(core.CodeMemberMissing, "probe of member %q of group %q is %v old", vmn, ent.asn.Group, now.Sub(sgt.Sent))
	}
	if sgt.Probe.Leaving {
		return core.Errorf(core.CodeDraining, "member %q of group %q reports that it leaves", vmn, ent.asn.Group)
	}
	if !sgt.Holds(ent.asn) {
		return core.Errorf(core.CodeMemberMissing, "member %q of group %q is %s in %q at order %d, want order %d",
			vmn, ent.asn.Group, sgt.Probe.State, sgt.Probe.Group, sgt.Probe.FencingToken, ent.asn.FencingToken)
	}
	return nil
}
