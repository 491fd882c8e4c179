package flight

import (
	"time"

	"kumquathinge/core"
)

// EventKind tells what happened.
type EventKind string

// Kinds of events. The fields of Event that a kind uses are named with it.
const (
	// EventStart begins the request. No field.
	EventStart EventKind = "start"
	// EventChosen names the group that may be sent the request: Group, Spec.
	EventChosen EventKind = "chosen"
	// EventNoGroup states that no group may: Code, After.
	EventNoGroup EventKind = "no_group"
	// EventNotRun states that an attempt surely did not run: Attempt, Code,
	// After.
	EventNotRun EventKind = "not_run"
	// EventHead is the verified head of an answer: Attempt.
	EventHead EventKind = "head"
	// EventChunk is a token: Attempt, Pos, Text.
	EventChunk EventKind = "chunk"
	// EventEnd is the end of a stream: Attempt, Tokens, Reason.
	EventEnd EventKind = "end"
	// EventReply is the whole answer of a plain service: Attempt, Reply.
	EventReply EventKind = "reply"
	// EventFailed states that an attempt's answer can't be used or did not
	// come: Attempt, Code, After.
	EventFailed EventKind = "broken"
	// EventRetryGranted lets the request be sent again: Rand.
	EventRetryGranted EventKind = "granted"
	// EventRetryDenied states that the node's retry budget is spent. No field.
	EventRetryDenied EventKind = "denied"
	// EventBackoffOver states that the wait of ActionWait is over. No field.
	EventBackoffOver EventKind = "waited"
	// EventDeadline states that the deadline passed. No field.
	EventDeadline EventKind = "deadline"
	// EventCallerGone states that the caller is gone. No field.
	EventCallerGone EventKind = "gone"
)

// Event is one input of a Machine.
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

// ActionKind tells what is to be done.
type ActionKind string

// Kinds of actions. The fields of Action that a kind uses are named with it.
const (
	// ActionChoose asks for a group: Exclude, Spec.
	ActionChoose ActionKind = "choose"
	// ActionDispatch sends the request to the group chosen: Attempt, Group, Pos.
	ActionDispatch ActionKind = "dispatch"
	// ActionForward sends the request to another zone: Attempt, Pos.
	ActionForward ActionKind = "forward"
	// ActionDeliver passes a part on to the caller: Part.
	ActionDeliver ActionKind = "pass"
	// ActionCancel gives up an attempt at its server: Attempt, Group.
	ActionCancel ActionKind = "cancel"
	// ActionRequestRetry asks the node's retry budget. No field.
	ActionRequestRetry ActionKind = "retry"
	// ActionBackoff asks for EventWaited after a time: After.
	ActionBackoff ActionKind = "wait"
	// ActionFinish ends the request: Code, After. It is the last action.
	ActionFinish ActionKind = "finish"
)

// Action is one output of a Machine. Spec is set for ActionChoose if the group
// must run exactly that.
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
