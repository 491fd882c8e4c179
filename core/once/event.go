package once

import (
	"time"

	"kumquathinge/core"
)

// ClaimStatus is what the log's fold knows of a key. Mine is set if the claim's
// holder is this node, Live if a machine of this process still works on the
// claim, Abandoned if one of this process gave it up without dispatching, and
// HolderGone if the holder's process has ended. Done is set once an outcome is
// recorded.
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

// EventKind tells what happened.
type EventKind string

// Kinds of events. The fields of Event that a kind uses are named with it.
const (
	// EventStart begins the request. No field.
	EventStart EventKind = "start"
	// EventClaimFound is the claim that a look-up found: View.
	EventClaimFound EventKind = "found"
	// EventNoClaim states that the key has no claim. No field.
	EventNoClaim EventKind = "absent"
	// EventLookupFailed states that the look-up failed: Code.
	EventLookupFailed EventKind = "no_lookup"
	// EventClaimAccepted states that the claim was accepted: Offset.
	EventClaimAccepted EventKind = "accepted"
	// EventClaimRejected states that the claim was rejected: Code.
	EventClaimRejected EventKind = "rejected"
	// EventNotAppended states that the claim was surely not appended: Code.
	EventNotAppended EventKind = "not_appended"
	// EventAppendUnknown states that the claim may have been appended.
	EventAppendUnknown EventKind = "append_unknown"
	// EventReleased states that a release was accepted or was not needed.
	EventReleased EventKind = "released"
	// EventReply is the whole answer: Reply.
	EventReply EventKind = "ran"
	// EventNotRun states that the dispatch surely did not run: Code, After.
	EventNotRun EventKind = "not_run"
	// EventOutcomeUnknown states that the request ran at most once. No field.
	EventOutcomeUnknown EventKind = "unknown"
	// EventDeadline states that the deadline passed. No field.
	EventDeadline EventKind = "deadline"
)

// Event is one input of a Machine.
type Event struct {
	Kind       EventKind     `json:"kind"`
	Claim      ClaimStatus   `json:"view,omitzero"`
	Offset     core.Offset   `json:"offset,omitempty"`
	Code       core.Code     `json:"code,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	Reply      core.Reply    `json:"reply,omitzero"`
}

// ActionKind tells what is to be done.
type ActionKind string

// Kinds of actions. The fields of Action that a kind uses are named with it.
const (
	// ActionLookup asks for the key's claim, after the wait After.
	ActionLookup ActionKind = "lookup"
	// ActionClaim proposes the claim: Record, which is new for each proposal.
	ActionClaim ActionKind = "claim"
	// ActionDispatch sends the request. It is given at most once.
	ActionDispatch ActionKind = "dispatch"
	// ActionRecordResult proposes the result: Claim, Unknown, Reply.
	ActionRecordResult ActionKind = "record"
	// ActionRelease proposes to free the claim: Claim.
	ActionRelease ActionKind = "release"
	// ActionAbandon states that the claim may still be accepted, and that it
	// surely was not and will not be dispatched: Record.
	ActionAbandon ActionKind = "abandon"
	// ActionDeliver gives the caller a reply: Reply, Recorded.
	ActionDeliver ActionKind = "answer"
	// ActionFinish ends the request: Code, After. It is the last action.
	ActionFinish ActionKind = "finish"
)

// Action is one output of a Machine. Recorded tells a recorded reply from that
// of the machine's own dispatch.
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
