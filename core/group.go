package core

import (
	"slices"
	"time"
)

// Phase is the lifecycle phase of an assignment.
type Phase string

// Phases of an assignment.
const (
	PhaseAssigned Phase = "assigned"
	PhaseRetired  Phase = "retired"
)

// Assignment is an accepted assignment of VMs to a group. FencingToken is the
// offset of the log record that created it. Reason states why the assignment
// was retired.
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

// Equal reports whether the two specs are equal in every field. Adapters are
// compared in order.
func (spec Spec) Equal(other Spec) bool {
	return spec.Model == other.Model &&
		spec.Version == other.Version &&
		spec.Role == other.Role &&
		slices.Equal(spec.Adapters, other.Adapters)
}

// Permit allows dispatching to a group. It is valid only at the instant at
// which it was issued. Leader is the member that accepts requests.
type Permit struct {
	Group        GroupName
	FencingToken Offset
	Spec         Spec
	Leader       VMName
	Incarnation  Incarnation
	IssuedAt     time.Time
}

// Gate decides whether requests may be sent to a group now.
//
// Permit returns an error with CodeGroupUnknown, CodeMemberMissing or
// CodeDraining if not. Verify compares the first chunk of a response with the
// permit under which the request was sent. It returns an error with
// CodeCrossedAnswer if the response comes from another process, model or
// assignment.
type Gate interface {
	Permit(group GroupName, now time.Time) (Permit, error)
	Verify(permit Permit, head Chunk) error
}
