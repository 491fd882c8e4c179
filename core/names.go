package core

// Offset is the position of an entry in the platform's log. The first entry
// has offset 1; zero is the position before it.
type Offset uint64

// Era is the time between two returns of the platform's log from an older copy
// of its entries. It is numbered from 1 on; zero means that none is stated.
type Era uint64

// Position is a position in the platform's log. Offsets are given out anew in
// each era, so that positions are ordered by era first.
type Position struct {
	Era    Era
	Offset Offset
}

// Before reports whether the position precedes another one.
func (pos Position) Before(other Position) bool {
	return pos.Era < other.Era || pos.Era == other.Era && pos.Offset < other.Offset
}

// NodeName is the name of an entry VM.
type NodeName string

// VMName is the name of a VM that runs a backend server.
type VMName string

// Zone is the name of an availability zone.
type Zone string

// Domain is the name of a fabric domain: VMs that share a fast interconnect.
type Domain string

// GroupName is the name of a serving group. It is unique within a deployment.
type GroupName string

// ModelName is the name of a model, for example "alerts-70b".
type ModelName string

// OrgName is the name of an organisation.
type OrgName string

// Incarnation identifies one run of a process. A restarted process has a new
// incarnation.
type Incarnation string

// AttemptID identifies one attempt to run a request on a backend server.
type AttemptID string

// RecordID identifies a log record. The writer chooses it before the append,
// so that it can find the record in the log if the response to the append is
// lost.
type RecordID string

// IdempotencyKey identifies, within an organisation, a request that must run
// at most once.
type IdempotencyKey string

// PromptPart identifies a part of a prompt that several requests may share.
type PromptPart string

// Role is the stage of inference that a group performs.
type Role string

// Roles of a group.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)
