package core

// Offset is the position of an entry in the platform's log. The first entry
// has offset 1; zero stands for the position before it.
type Offset uint64

// NodeName names an entry VM.
type NodeName string

// VMName names a VM that runs a backend server.
type VMName string

// Zone names an availability zone.
type Zone string

// Domain names a fabric domain: VMs that share a fast interconnect.
type Domain string

// GroupName names a serving group, unique within a deployment.
type GroupName string

// ModelName names a model, for example "alerts-70b".
type ModelName string

// OrgName names an organisation.
type OrgName string

// Incarnation identifies one run of a backend server process. A process that
// restarts reports another incarnation.
type Incarnation string

// AttemptID identifies one attempt to run a request on a backend server.
type AttemptID string

// RecordID identifies a log record. Its writer chooses it, so that a writer
// who lost the answer to an append can look for it.
type RecordID string

// IdempotencyKey identifies a request that must not be repeated, together with
// its organisation.
type IdempotencyKey string

// Role is the part of inference that a group performs.
type Role string

// Roles of a group.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)
