package gate

import (
	"time"

	"kumquathinge/core"
)

// Permit returns the right to dispatch to the group at now. The caller must
// read now from the clock right before the send.
//
// The error has core.CodeGroupUnknown if the group has no assignment,
// core.CodeDraining if the assignment is retired, the group is draining or a
// member is leaving, and core.CodeMemberMissing if a member has no probe, is
// unreachable, or its last probe is too old or doesn't show it ready in the
// assignment.
func (gate *Gate) Permit(group core.GroupName, now time.Time) (core.Permit, error) {
	entry, ok := gate.table.Load().groups[group]
	if !ok {
		return core.Permit{}, core.Errorf(core.CodeGroupUnknown, "group %q has no assignment", group)
	}
	if err := entry.checkOpen(); err != nil {
		return core.Permit{}, err
	}
	if len(entry.members) == 0 {
		return core.Permit{}, core.Errorf(core.CodeMemberMissing, "group %q has no members", group)
	}
	maxAge := gate.MaxProbeAge()
	var incarnation core.Incarnation
	for idx, srv := range entry.members {
		status := srv.status.Load()
		if err := entry.checkMember(idx, status, now, maxAge); err != nil {
			return core.Permit{}, err
		}
		if idx == 0 {
			incarnation = status.Probe.Incarnation
		}
	}
	return core.Permit{
		Group:        group,
		FencingToken: entry.assignment.FencingToken,
		Spec:         entry.assignment.Spec,
		Leader:       entry.assignment.VMs[0],
		Incarnation:  incarnation,
		IssuedAt:     now,
	}, nil
}

// Verify checks the head of a response against the permit under which the
// request was sent. The error has core.CodeCrossedAnswer if the chunk is not a
// head or if the process, the fencing token or the model differ.
func (gate *Gate) Verify(permit core.Permit, head core.Chunk) error {
	if !head.Head {
		return core.Errorf(core.CodeCrossedAnswer, "response of group %q does not begin with a head", permit.Group)
	}
	if head.Incarnation != permit.Incarnation {
		return core.Errorf(core.CodeCrossedAnswer, "incarnation %q responded for group %q, want %q",
			head.Incarnation, permit.Group, permit.Incarnation)
	}
	if head.FencingToken != permit.FencingToken {
		return core.Errorf(core.CodeCrossedAnswer, "fencing token %d in the response of group %q, want %d",
			head.FencingToken, permit.Group, permit.FencingToken)
	}
	if !head.Spec.Equal(permit.Spec) {
		return core.Errorf(core.CodeCrossedAnswer, "model %q version %q responded for group %q",
			head.Spec.Model, head.Spec.Version, permit.Group)
	}
	return nil
}

func (entry *groupEntry) checkOpen() error {
	if entry.assignment.Phase != core.PhaseAssigned {
		return core.Errorf(core.CodeDraining, "group %q is %s", entry.assignment.Group, entry.assignment.Phase)
	}
	if entry.draining {
		return core.Errorf(core.CodeDraining, "group %q is draining", entry.assignment.Group)
	}
	if entry.leavingMember != "" {
		return core.Errorf(core.CodeDraining, "member %q of group %q is leaving", entry.leavingMember, entry.assignment.Group)
	}
	return nil
}

func (entry *groupEntry) checkMember(idx int, status *ServerStatus, now time.Time, maxAge time.Duration) error {
	vmName := entry.assignment.VMs[idx]
	if status == nil || !status.Reachable() {
		return core.Errorf(core.CodeMemberMissing, "member %q of group %q is unreachable or has not been probed", vmName, entry.assignment.Group)
	}
	if !status.Fresh(now, maxAge) {
		return core.Errorf(core.CodeMemberMissing, "last probe of member %q of group %q is %v old", vmName, entry.assignment.Group, now.Sub(status.ProbeSentAt))
	}
	if status.Probe.Leaving {
		return core.Errorf(core.CodeDraining, "member %q of group %q reports that it is leaving", vmName, entry.assignment.Group)
	}
	if !status.ReadyIn(entry.assignment) {
		return core.Errorf(core.CodeMemberMissing, "member %q of group %q is %s in group %q with fencing token %d, want token %d",
			vmName, entry.assignment.Group, status.Probe.State, status.Probe.Group, status.Probe.FencingToken, entry.assignment.FencingToken)
	}
	return nil
}
