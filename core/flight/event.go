package flight

import (
	"time"

	"kumquathinge/core"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events. The fields of Event that each kind uses are listed with it.
const (
	// EventStart starts the request. Fields: none.
	EventStart EventKind = "start"
	// EventChosen names the group selected for the request. Fields: Group,
	// Spec.
	EventChosen EventKind = "chosen"
	// EventNoGroup reports that no group can take the request. Fields: Code,
	// RetryAfter.
	EventNoGroup EventKind = "no_group"
	// EventNotRun reports that an attempt definitely did not run. Fields:
	// Attempt, Code, RetryAfter.
	EventNotRun EventKind = "not_run"
	// EventHead reports that the head of a response arrived and was verified.
	// Fields: Attempt.
	EventHead EventKind = "head"
	// EventChunk carries one token. Fields: Attempt, Pos, Text.
	EventChunk EventKind = "chunk"
	// EventEnd reports the end of a stream. Fields: Attempt, Tokens,
	// FinishReason.
	EventEnd EventKind = "end"
	// EventReply carries the complete response of a plain service. Fields:
	// Attempt, Reply.
	EventReply EventKind = "reply"
	// EventFailed reports that an attempt's response is invalid, incomplete or
	// missing; the attempt may have run. Fields: Attempt, Code, RetryAfter.
	EventFailed EventKind = "broken"
	// EventRetryGranted reports that the retry budget allows another attempt.
	// Fields: Rand.
	EventRetryGranted EventKind = "granted"
	// EventRetryDenied reports that the retry budget is exhausted. Fields:
	// none.
	EventRetryDenied EventKind = "denied"
	// EventBackoffOver reports that the delay of ActionBackoff has elapsed.
	// Fields: none.
	EventBackoffOver EventKind = "waited"
	// EventDeadline reports that the deadline has passed. Fields: none.
	EventDeadline EventKind = "deadline"
	// EventCallerGone reports that the caller has disconnected. Fields: none.
	EventCallerGone EventKind = "gone"
)

// Event is an input of a Machine.
type Event struct {
	Kind         EventKind      `json:"kind"`
	Attempt      core.AttemptID `json:"attempt,omitempty"`
	Group        core.GroupName `json:"group,omitempty"`
	Spec         core.Spec      `json:"spec,omitzero"`
	Pos          int            `json:"pos,omitempty"`
	Text         string         `json:"text,omitempty"`
	Tokens       int            `json:"tokens,omitempty"`
	FinishReason string         `json:"reason,omitempty"`
	Reply        *core.Reply    `json:"reply,omitempty"`
	Code         core.Code      `json:"code,omitempty"`
	RetryAfter   time.Duration  `json:"after,omitempty"`
	Rand         uint64         `json:"rand,omitempty"`
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions. The fields of Action that each kind uses are listed with
// it.
const (
	// ActionChoose requests the selection of a group. Fields: Exclude, Spec.
	ActionChoose ActionKind = "choose"
	// ActionDispatch sends the request to the selected group. Fields: Attempt,
	// Group, Pos.
	ActionDispatch ActionKind = "dispatch"
	// ActionForward sends the request to another zone. Fields: Attempt, Pos.
	ActionForward ActionKind = "forward"
	// ActionDeliver sends a part of the response to the caller. Fields: Part.
	ActionDeliver ActionKind = "pass"
	// ActionCancel cancels an attempt at its server. Fields: Attempt, Group.
	ActionCancel ActionKind = "cancel"
	// ActionRequestRetry requests a retry from the node's retry budget.
	// Fields: none.
	ActionRequestRetry ActionKind = "retry"
	// ActionBackoff requests an EventBackoffOver after a delay. Fields: After.
	ActionBackoff ActionKind = "wait"
	// ActionFinish ends the request and is the last action. Fields: Code,
	// After.
	ActionFinish ActionKind = "finish"
)

// Action is an output of a Machine. For ActionChoose, Spec is set if the group
// must run exactly that spec. After is the delay of an ActionBackoff, or the
// caller's retry delay in an ActionFinish.
type Action struct {
	Kind    ActionKind             `json:"kind"`
	Attempt core.AttemptID         `json:"attempt,omitempty"`
	Group   core.GroupName         `json:"group,omitempty"`
	Exclude []core.GroupName       `json:"exclude,omitempty"`
	Spec    core.Option[core.Spec] `json:"-"`
	Pos     int                    `json:"pos,omitempty"`
	Part    core.Part              `json:"part,omitzero"`
	Code    core.Code              `json:"code,omitempty"`
	After   time.Duration          `json:"after,omitempty"`
}
