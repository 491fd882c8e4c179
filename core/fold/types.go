package fold

import (
	"time"

	"kumquathinge/core"
)

// Kinds of records, as named in decisions and audit lines.
const (
	KindSetting  = "setting"
	KindAssign   = "assign"
	KindRetire   = "retire"
	KindUnload   = "unload"
	KindClaim    = "claim"
	KindResult   = "result"
	KindRelease  = "release"
	KindSnapshot = "snapshot"
	KindRule     = "rule"
	KindBatch    = "batch"
)

// Decision is the result of applying a record. Code is core.CodeOK for an
// accepted record. Offset is that of the entry that contains the record. The
// decision on a duplicate has core.CodeDuplicateRecord; State.Decision returns
// the decision on the first appearance.
type Decision struct {
	Record core.RecordID `cbor:"1,keyasint"`
	Kind   string        `cbor:"2,keyasint"`
	By     string        `cbor:"3,keyasint,omitempty"`
	Code   core.Code     `cbor:"4,keyasint,omitempty"`
	Detail string        `cbor:"5,keyasint,omitempty"`
	Offset core.Offset   `cbor:"6,keyasint"`
}

// Accepted reports whether the record took effect.
func (decision Decision) Accepted() bool { return decision.Code == core.CodeOK }

// Err returns nil for an accepted record, otherwise an error with the
// decision's code.
func (decision Decision) Err() error {
	if decision.Accepted() {
		return nil
	}
	return core.Errorf(decision.Code, "record %s rejected at offset %d: %s", decision.Record, decision.Offset, decision.Detail)
}

// AuditLine is one accepted or rejected change of the settings or the
// assignments. Subject is the settings path, the group or the rule. Long texts
// are truncated.
type AuditLine struct {
	Offset  core.Offset   `json:"offset" cbor:"1,keyasint"`
	At      time.Time     `json:"at" cbor:"2,keyasint"`
	Record  core.RecordID `json:"record" cbor:"3,keyasint"`
	By      string        `json:"by" cbor:"4,keyasint"`
	Kind    string        `json:"kind" cbor:"5,keyasint"`
	Subject string        `json:"subject" cbor:"6,keyasint"`
	Key     string        `json:"key,omitempty" cbor:"7,keyasint,omitempty"`
	Old     string        `json:"old,omitempty" cbor:"8,keyasint,omitempty"`
	New     string        `json:"new,omitempty" cbor:"9,keyasint,omitempty"`
	Note    string        `json:"note,omitempty" cbor:"10,keyasint,omitempty"`
	Code    core.Code     `json:"code" cbor:"11,keyasint,omitempty"`
	Detail  string        `json:"detail,omitempty" cbor:"12,keyasint,omitempty"`
}

// Hold states that a group holds a VM since the assignment with the given
// fencing token. If the token is older than that of the group's current
// assignment, an earlier assignment has not unloaded the VM yet.
type Hold struct {
	VM           core.VMName    `cbor:"1,keyasint"`
	Group        core.GroupName `cbor:"2,keyasint"`
	FencingToken core.Offset    `cbor:"3,keyasint"`
}

// Claim is the accepted claim of a request that must run at most once. Issued
// is the latest issue time seen with the key. Outcome is nil while the request
// is in progress.
type Claim struct {
	Org     core.OrgName        `cbor:"1,keyasint"`
	Key     core.IdempotencyKey `cbor:"2,keyasint"`
	Offset  core.Offset         `cbor:"3,keyasint"`
	Record  core.RecordID       `cbor:"4,keyasint"`
	Holder  core.NodeName       `cbor:"5,keyasint"`
	Digest  uint64              `cbor:"6,keyasint"`
	Issued  time.Time           `cbor:"7,keyasint"`
	Outcome *Outcome            `cbor:"8,keyasint,omitempty"`
}

// Outcome is the recorded outcome of a claimed request. Unknown states only
// that it ran at most once.
type Outcome struct {
	Offset  core.Offset `cbor:"1,keyasint"`
	Unknown bool        `cbor:"2,keyasint,omitempty"`
	Reply   core.Reply  `cbor:"3,keyasint"`
}

type claimKey struct {
	org core.OrgName
	key core.IdempotencyKey
}
