package core

import (
	"slices"
	"time"
)

// Phase is the phase of an assignment.
type Phase string

// Phases of an assignment.
const (
	PhaseAssigned Phase = "assigned"
	PhaseRetired  Phase = "retired"
)

// Assignment is an accepted assignment of VMs to a group. Order is the offset
// of the record that made it and serves as the fencing number.
type Assignment struct {
	Group        GroupName `json:"group" cbor:"1,keyasint"`
	Zone         Zone      `json:"zone" cbor:"2,keyasint"`
	Domain       Domain    `json:"domain" cbor:"3,keyasint"`
	VMs          []VMName  `json:"vms" cbor:"4,keyasint"`
	Spec         Spec      `json:"spec" cbor:"5,keyasint"`
	FencingToken Offset    `json:"order" cbor:"6,keyasint"`
	Phase        Phase     `json:"phase" cbor:"7,keyasint"`
	Reason       string    `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
}

// Equal reports whether the specs are the same in every field. The order of
// adapters counts.
func (spec Spec) Equal(other Spec) bool {
	return spec.Model == other.Model &&
		spec.Version == other.Version &&
		spec.Role == other.Role &&
		slices.Equal(spec.Adapters, other.Adapters)
}

// Permit is the right to dispatch to a group, valid at the instant at which
// it was given. Leader is the member that takes requests.
type Permit struct {
	Group        GroupName
	FencingToken Offset
	Spec         Spec
	Leader       VMName
	Incarnation  Incarnation
	IssuedAt     time.Time
}

// Gate decides whether a group may be sent work now.
//
// Permit returns an error with CodeGroupUnknown, CodeMemberMissing or
// CodeDraining if it may not. Verify holds the head of an answer against the
// permit that the request was sent under and returns an error with
// CodeCrossedAnswer if another process, model or assignment answered.
type Gate interface {
	Permit(group GroupName, now time.Time) (Permit, error)
	Verify(permit Permit, head Chunk) error
}
