package oper

import (
	"encoding/json"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tree"
)

// Failure is the body of every response with a status other than 2xx. ID and
// State are set if a change was attempted.
type Failure struct {
	Code   core.Code     `json:"code"`
	Error  string        `json:"error"`
	Path   tree.Path     `json:"path,omitempty"`
	ID     core.RecordID `json:"id,omitempty"`
	State  State         `json:"state,omitempty"`
	Offset core.Offset   `json:"offset,omitempty"`
}

// State is the outcome of a change.
type State string

// States of a change.
const (
	// StateAccepted means that the change is in force from its offset on.
	StateAccepted State = "accepted"
	// StateRejected means that the fold rejected the change: it has no effect.
	StateRejected State = "rejected"
	// StateNotAccepted means that the change was definitely not appended.
	StateNotAccepted State = "not_accepted"
	// StateUnknown means that the change may have been appended; its outcome
	// can be queried by its ID.
	StateUnknown State = "unknown"
)

// Change is a request to set or unset one key of one settings node. Base is the
// version of the node that the change is based on, zero for a node never
// changed. ID is a UUID; the server generates one if it is empty.
type Change struct {
	ID    core.RecordID   `json:"id,omitempty"`
	Path  tree.Path       `json:"path"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	Base  *core.Offset    `json:"base"`
	Note  string          `json:"note,omitempty"`
}

// Drain is a request to drain a VM, a group or an entry VM, or to end its drain
// if On is false. Model is needed only for a group that has no assignment and
// whose name exists below more than one model.
type Drain struct {
	ID    core.RecordID  `json:"id,omitempty"`
	Kind  DrainKind      `json:"kind"`
	Name  string         `json:"name"`
	Model core.ModelName `json:"model,omitempty"`
	On    *bool          `json:"on"`
	Note  string         `json:"note,omitempty"`
}

// DrainKind is the kind of target of a Drain.
type DrainKind string

// Kinds of drain targets. KindNode is an entry VM.
const (
	KindVM    DrainKind = "vm"
	KindGroup DrainKind = "group"
	KindNode  DrainKind = "node"
)

// Receipt is the outcome of a change that has a decision. Offset is the log
// offset of the change.
type Receipt struct {
	ID     core.RecordID `json:"id"`
	State  State         `json:"state"`
	Offset core.Offset   `json:"offset,omitempty"`
	Path   tree.Path     `json:"path,omitempty"`
	Key    string        `json:"key,omitempty"`
	Code   core.Code     `json:"code"`
	Detail string        `json:"detail,omitempty"`
}

// Settings are the values in force at one settings node. Version is the base of
// the next change of the node; Applied is the log offset up to which the state
// was folded.
type Settings struct {
	Path     tree.Path   `json:"path"`
	Version  core.Offset `json:"version"`
	Applied  core.Offset `json:"applied"`
	Children []tree.Path `json:"children,omitempty"`
	Values   []Setting   `json:"values"`
}

// Setting is one value in force. Origin is the node that sets it, or
// tree.OriginDefault; Version is the offset at which it was set there. Type, Doc
// and Sources are set only if an explanation was requested.
type Setting struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Origin  tree.Path       `json:"origin"`
	Version core.Offset     `json:"version,omitempty"`
	Type    tree.Type       `json:"type,omitempty"`
	Doc     string          `json:"doc,omitempty"`
	Sources []Source        `json:"chain,omitempty"`
}

// Source is the value that the path itself or one of its ancestors sets for the
// key. Sources are ordered from the path to the root; the last is the default.
// Only the first is in force.
type Source struct {
	Path    tree.Path       `json:"path"`
	Value   json.RawMessage `json:"value"`
	Version core.Offset     `json:"version,omitempty"`
}

// Audit is a part of the audit trail, oldest line first. Applied is the log
// offset up to which the state was folded.
type Audit struct {
	Applied core.Offset      `json:"applied"`
	Lines   []fold.AuditLine `json:"lines"`
}

// Status is the state of the whole system as one node sees it. Code and Reason
// state its fault, if any.
type Status struct {
	Node       core.NodeName `json:"node"`
	Ready      bool          `json:"ready"`
	Code       core.Code     `json:"code,omitempty"`
	Reason     string        `json:"why,omitempty"`
	Log        LogStatus     `json:"log"`
	Groups     []GroupStatus `json:"groups"`
	VMs        []VMStatus    `json:"vms"`
	Nodes      []NodeStatus  `json:"nodes"`
	Quarantine []Quarantined `json:"quarantine"`
}

// LogStatus is the node's position in the log. OK is whether the log is
// reachable; Hash is the hash of the folded state at the offset Applied.
type LogStatus struct {
	OK      bool        `json:"ok"`
	Applied core.Offset `json:"applied"`
	Hash    string      `json:"hash"`
	Detail  string      `json:"detail,omitempty"`
}

// GroupStatus is the status of one serving group. Code and Reason state why it
// does not serve.
type GroupStatus struct {
	Name         core.GroupName `json:"name"`
	Model        core.ModelName `json:"model"`
	Version      string         `json:"version"`
	Role         core.Role      `json:"role"`
	Zone         core.Zone      `json:"zone"`
	Domain       core.Domain    `json:"domain"`
	Phase        core.Phase     `json:"phase"`
	FencingToken core.Offset    `json:"order"`
	Members      []core.VMName  `json:"members"`
	Serving      bool           `json:"serving"`
	Code         core.Code      `json:"code,omitempty"`
	Reason       string         `json:"why,omitempty"`
	InFlight     int            `json:"in_flight"`
}

// VMStatus is the status of one backend server. ProbeAge is the time since the
// last answered probe was sent, as a duration string, empty if there was none.
type VMStatus struct {
	Name         core.VMName      `json:"name"`
	Addr         string           `json:"addr"`
	Zone         core.Zone        `json:"zone"`
	Domain       core.Domain      `json:"domain,omitempty"`
	Kind         core.VMKind      `json:"kind"`
	Service      string           `json:"service,omitempty"`
	Group        core.GroupName   `json:"group,omitempty"`
	State        core.EngineState `json:"state,omitempty"`
	FencingToken core.Offset      `json:"order,omitempty"`
	ProbeAge     string           `json:"probe_age,omitempty"`
	Listed       bool             `json:"listed"`
	Leaving      bool             `json:"leaving"`
	Draining     bool             `json:"draining"`
	Stranded     bool             `json:"stranded"`
}

// NodeStatus is the status of one entry VM, from its own heartbeat. Hash is the
// hash of its folded state at HashOffset in the era Era of the log.
type NodeStatus struct {
	Name       core.NodeName `json:"name"`
	Zone       core.Zone     `json:"zone"`
	Addr       string        `json:"addr"`
	Live       bool          `json:"live"`
	Applied    core.Offset   `json:"applied"`
	Hash       string        `json:"hash"`
	HashOffset core.Offset   `json:"hash_at"`
	Era        core.Era      `json:"era,omitempty"`
	LogOK      bool          `json:"log_ok"`
	Stopping   bool          `json:"stopping"`
	Draining   bool          `json:"draining"`
	InFlight   int           `json:"in_flight"`
}

// Quarantined is a request that is refused because it crashed backend
// servers. Fingerprint is the hash of its content in hexadecimal.
type Quarantined struct {
	Fingerprint string    `json:"print"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Groups is the response of GET /v1/groups.
type Groups struct {
	Groups []GroupStatus `json:"groups"`
}

// VMs is the response of GET /v1/vms.
type VMs struct {
	VMs []VMStatus `json:"vms"`
}

// Nodes is the response of GET /v1/nodes.
type Nodes struct {
	Nodes []NodeStatus `json:"nodes"`
}
