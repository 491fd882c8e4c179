package once

import (
	"time"

	"kumquathinge/core"
)

// ClaimStatus is the state of a key's claim in the replicated state.
// HeldLocally is set if this node holds the claim, Active if a machine of this
// process is processing it, Abandoned if a machine of this process finished
// without dispatching it, and HolderGone if the holder's process has ended.
// Done is set once an outcome is recorded.
type ClaimStatus struct {
	RecordID       core.RecordID `json:"record"`
	Offset         core.Offset   `json:"offset"`
	Digest         uint64        `json:"digest"`
	HeldLocally    bool          `json:"mine,omitempty"`
	Active         bool          `json:"live,omitempty"`
	Abandoned      bool          `json:"abandoned,omitempty"`
	HolderGone     bool          `json:"holder_gone,omitempty"`
	Done           bool          `json:"done,omitempty"`
	OutcomeUnknown bool          `json:"unknown,omitempty"`
	Reply          core.Reply    `json:"reply,omitzero"`
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events. The fields of Event that each kind uses are listed with it.
const (
	// EventStart starts the request. Fields: none.
	EventStart EventKind = "start"
	// EventClaimFound reports the claim that a lookup returned. Fields: Claim.
	EventClaimFound EventKind = "found"
	// EventNoClaim reports that the key has no claim. Fields: none.
	EventNoClaim EventKind = "absent"
	// EventLookupFailed reports that the lookup failed. Fields: Code.
	EventLookupFailed EventKind = "no_lookup"
	// EventClaimAccepted reports that the claim was accepted. Fields: Offset.
	EventClaimAccepted EventKind = "accepted"
	// EventClaimRejected reports that the claim was rejected. Fields: Code.
	EventClaimRejected EventKind = "rejected"
	// EventNotAppended reports that the record was definitely not appended.
	// Fields: Code, RetryAfter.
	EventNotAppended EventKind = "not_appended"
	// EventAppendUnknown reports that the record may have been appended.
	// Fields: none.
	EventAppendUnknown EventKind = "append_unknown"
	// EventReleased reports that a release was accepted or was not needed.
	// Fields: none.
	EventReleased EventKind = "released"
	// EventReply carries the complete response. Fields: Reply.
	EventReply EventKind = "ran"
	// EventNotRun reports that the dispatched request definitely did not run.
	// Fields: Code, RetryAfter.
	EventNotRun EventKind = "not_run"
	// EventOutcomeUnknown reports that the dispatched request ran at most once.
	// Fields: none.
	EventOutcomeUnknown EventKind = "unknown"
	// EventDeadline reports that the deadline has passed. Fields: none.
	EventDeadline EventKind = "deadline"
)

// Event is an input of a Machine.
type Event struct {
	Kind       EventKind     `json:"kind"`
	Claim      ClaimStatus   `json:"view,omitzero"`
	Offset     core.Offset   `json:"offset,omitempty"`
	Code       core.Code     `json:"code,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	Reply      core.Reply    `json:"reply,omitzero"`
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions. The fields of Action that each kind uses are listed with
// it.
const (
	// ActionLookup requests a lookup of the key's claim after a delay. Fields:
	// After.
	ActionLookup ActionKind = "lookup"
	// ActionClaim proposes the claim with a new record ID. Fields: RecordID.
	ActionClaim ActionKind = "claim"
	// ActionDispatch sends the request. It is emitted at most once. Fields:
	// ClaimOffset.
	ActionDispatch ActionKind = "dispatch"
	// ActionRecordResult proposes the record of the result. Fields:
	// ClaimOffset, OutcomeUnknown, Reply.
	ActionRecordResult ActionKind = "record"
	// ActionRelease proposes the release of the claim. Fields: ClaimOffset.
	ActionRelease ActionKind = "release"
	// ActionAbandon reports that the claim may still be accepted, although the
	// request was not and will not be dispatched. Fields: RecordID.
	ActionAbandon ActionKind = "abandon"
	// ActionDeliver sends a reply to the caller. Fields: Reply, Recorded.
	ActionDeliver ActionKind = "answer"
	// ActionFinish ends the request and is the last action. Fields: Code,
	// After.
	ActionFinish ActionKind = "finish"
)

// Action is an output of a Machine. Recorded is set if Reply was read from the
// log and not received by the machine's own dispatch. After is the delay of an
// ActionLookup, or the caller's retry delay in an ActionFinish.
type Action struct {
	Kind           ActionKind    `json:"kind"`
	RecordID       core.RecordID `json:"record,omitempty"`
	ClaimOffset    core.Offset   `json:"claim,omitempty"`
	OutcomeUnknown bool          `json:"unknown,omitempty"`
	Recorded       bool          `json:"recorded,omitempty"`
	Reply          core.Reply    `json:"reply,omitzero"`
	Code           core.Code     `json:"code,omitempty"`
	After          time.Duration `json:"after,omitempty"`
}
