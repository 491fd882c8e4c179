package oper

import (
	"encoding/json"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tree"
)

// Failure is the body of every answer that is not 2xx. ID and State are set
// if a change was attempted.
type Failure struct {
	Code   core.Code     `json:"code"`
	Error  string        `json:"error"`
	Path   tree.Path     `json:"path,omitempty"`
	ID     core.RecordID `json:"id,omitempty"`
	State  State         `json:"state,omitempty"`
	Offset core.Offset   `json:"offset,omitempty"`
}

// State tells what became of a change.
type State string

// States of a change.
const (
	// StateAccepted: in force from the offset on.
	StateAccepted State = "accepted"
	// StateRejected: the fold rejected it, it has no effect.
	StateRejected State = "rejected"
	// StateNotAccepted: it was surely not appended.
	StateNotAccepted State = "not_accepted"
	// StateUnknown: it may be appended; ask by its ID.
	StateUnknown State = "unknown"
)

// Change asks to set or unset one key of one node. Base is the version of the
// node that the change was made from, zero for a node never changed. ID is a
// UUID; the interface chooses one if it is empty.
type Change struct {
	ID    core.RecordID   `json:"id,omitempty"`
	Path  tree.Path       `json:"path"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	Base  *core.Offset    `json:"base"`
	Note  string          `json:"note,omitempty"`
}

// Drain asks to drain a VM, a group or an entry VM, or to end that if On is
// false. Model is needed only for a group that is in no assignment and stands
// below more than one model.
type Drain struct {
	ID    core.RecordID  `json:"id,omitempty"`
	Kind  DrainKind      `json:"kind"`
	Name  string         `json:"name"`
	Model core.ModelName `json:"model,omitempty"`
	On    *bool          `json:"on"`
	Note  string         `json:"note,omitempty"`
}

// DrainKind is what a Drain is for.
type DrainKind string

// Kinds of drain.
const (
	KindVM    DrainKind = "vm"
	KindGroup DrainKind = "group"
	KindNode  DrainKind = "node"
)

// Receipt tells what became of a change.
type Receipt struct {
	ID     core.RecordID `json:"id"`
	State  State         `json:"state"`
	Offset core.Offset   `json:"offset,omitempty"`
	Path   tree.Path     `json:"path,omitempty"`
	Key    string        `json:"key,omitempty"`
	Code   core.Code     `json:"code"`
	Detail string        `json:"detail,omitempty"`
}

// Settings are the values in force at one node. Version is the base of the
// next change of the node, and Applied the offset that the answer is as of.
type Settings struct {
	Path     tree.Path   `json:"path"`
	Version  core.Offset `json:"version"`
	Applied  core.Offset `json:"applied"`
	Children []tree.Path `json:"children,omitempty"`
	Values   []Setting   `json:"values"`
}

// Setting is one value in force. Origin is the node that sets it, or
// tree.OriginDefault; Version is the offset at which it was set there. The
// other fields are set if an explanation was asked for.
type Setting struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Origin  tree.Path       `json:"origin"`
	Version core.Offset     `json:"version,omitempty"`
	Type    tree.Type       `json:"type,omitempty"`
	Doc     string          `json:"doc,omitempty"`
	Sources []Source        `json:"chain,omitempty"`
}

// Source is a value of the key at a node that the path inherits from, nearest
// first; the last is the default. Only the first is in force.
type Source struct {
	Path    tree.Path       `json:"path"`
	Value   json.RawMessage `json:"value"`
	Version core.Offset     `json:"version,omitempty"`
}

// Audit is a part of the audit trail, oldest line first.
type Audit struct {
	Applied core.Offset      `json:"applied"`
	Lines   []fold.AuditLine `json:"lines"`
}

// Status is what one node knows of the whole system.
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

// LogStatus tells how the node follows the log.
type LogStatus struct {
	OK      bool        `json:"ok"`
	Applied core.Offset `json:"applied"`
	Hash    string      `json:"hash"`
	Detail  string      `json:"detail,omitempty"`
}

// GroupStatus is one serving group. Code and Why tell why it does not serve.
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

// VMStatus is one backend server. ProbeAge is the text of a duration, empty
// if the node has no probe of it.
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

// NodeStatus is one entry VM as it told of itself.
type NodeStatus struct {
	Name       core.NodeName `json:"name"`
	Zone       core.Zone     `json:"zone"`
	Addr       string        `json:"addr"`
	Live       bool          `json:"live"`
	Applied    core.Offset   `json:"applied"`
	Hash       string        `json:"hash"`
	HashOffset core.Offset   `json:"hash_at"`
	LogOK      bool          `json:"log_ok"`
	Stopping   bool          `json:"stopping"`
	Draining   bool          `json:"draining"`
	InFlight   int           `json:"in_flight"`
}

// Quarantined is a request that is refused because it crashed backend
// servers. Print is the fingerprint of its content in hexadecimal.
type Quarantined struct {
	Fingerprint string    `json:"print"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Groups is the answer to a request for the groups alone.
type Groups struct {
	Groups []GroupStatus `json:"groups"`
}

// VMs is the answer to a request for the VMs alone.
type VMs struct {
	VMs []VMStatus `json:"vms"`
}

// Nodes is the answer to a request for the nodes alone.
type Nodes struct {
	Nodes []NodeStatus `json:"nodes"`
}
