package flight

import (
	"fmt"
	"slices"
	"time"

	"kumquathinge/core"
)

// RetryPolicy states when a request may be sent again.
type RetryPolicy string

// Retry policies.
const (
	// RetryAlways allows the request to run more than once.
	RetryAlways RetryPolicy = "always"
	// RetryIfNotRun allows another attempt only if no previous attempt can
	// have run.
	RetryIfNotRun RetryPolicy = "not_run"
	// RetryNever allows a single dispatch.
	RetryNever RetryPolicy = "never"
)

const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Limits are the limits on the attempts of a request.
type Limits struct {
	// MaxAttempts is the maximum number of dispatches, including forwards.
	MaxAttempts int
	Retry       RetryPolicy
	Deadline    time.Time
	// StartPos is the position of the first token to deliver.
	StartPos int
	// AllowForward allows forwarding to another zone if this zone has no group
	// for the request.
	AllowForward bool
	// Streaming is set for completions, whose responses start with a head.
	Streaming bool
}

type phase int

const (
	phaseNew phase = iota
	phaseChoosing
	phaseInFlight
	phaseAwaitingBudget
	phaseBackoff
	phaseDone
)

// Machine is the state machine of one request. Use New. It is not safe for
// concurrent use.
type Machine struct {
	id            string
	limits        Limits
	phase         phase
	attempt       core.AttemptID
	group         core.GroupName
	spec          core.Spec
	forwarded     bool
	headSeen      bool
	dispatches    int
	nextPos       int
	delivered     bool
	deliveredSpec core.Spec
	excluded      []core.GroupName
	forwards      int
	callerGone    bool
	unknownCode   core.Code
	notRunCode    core.Code
	retryAfter    time.Duration
	actions       []Action
}

// New returns the machine of a request. The string id is the prefix of the
// attempt IDs and must be unique over all requests of the deployment. New
// panics if limits.MaxAttempts is not positive.
func New(id string, limits Limits) *Machine {
	if limits.MaxAttempts <= 0 {
		panic("flight: MaxAttempts is not positive")
	}
	return &Machine{id: id, limits: limits, nextPos: limits.StartPos}
}

// Done reports whether the request is finished.
func (sm *Machine) Done() bool { return sm.phase == phaseDone }

// Dispatches returns the number of times the request was sent, including
// forwards.
func (sm *Machine) Dispatches() int { return sm.dispatches }

// NextPos returns the position after the last delivered token.
func (sm *Machine) NextPos() int { return sm.nextPos }

// Step processes an event and returns the resulting actions in order. The
// slice is valid until the next call. Late events are ignored.
func (sm *Machine) Step(evt Event, now time.Time) []Action {
	sm.actions = sm.actions[:0]
	if sm.phase == phaseDone {
		return nil
	}
	switch evt.Kind {
	case EventStart:
		sm.handleStart(now)
	case EventChosen:
		sm.handleChosen(evt, now)
	case EventNoGroup:
		sm.handleNoGroup(evt)
	case EventRetryGranted:
		sm.handleRetryGranted(evt, now)
	case EventRetryDenied:
		sm.handleRetryDenied()
	case EventBackoffOver:
		sm.handleBackoffOver(now)
	case EventDeadline:
		sm.abort(core.CodeDeadline)
	case EventCallerGone:
		sm.handleCallerGone()
	default:
		sm.handleAttemptEvent(evt, now)
	}
	return sm.actions
}

// handleAttemptEvent processes an event of the current attempt and ignores
// events of any other.
func (sm *Machine) handleAttemptEvent(evt Event, now time.Time) {
	if sm.phase != phaseInFlight || evt.Attempt != sm.attempt {
		return
	}
	switch evt.Kind {
	case EventNotRun:
		sm.failAttempt(evt, now, true)
	case EventHead:
		sm.headSeen = true
	case EventChunk:
		sm.handleChunk(evt, now)
	case EventEnd:
		sm.handleEnd(evt, now)
	case EventReply:
		sm.handleReply(evt, now)
	case EventFailed:
		sm.failAttempt(evt, now, false)
	}
}

func (sm *Machine) emit(act Action) { sm.actions = append(sm.actions, act) }

func (sm *Machine) handleStart(now time.Time) {
	if sm.phase == phaseNew {
		sm.requestGroup(now)
	}
}

func (sm *Machine) requestGroup(now time.Time) {
	if !now.Before(sm.limits.Deadline) {
		sm.abort(core.CodeDeadline)
		return
	}
	sm.phase = phaseChoosing
	act := Action{Kind: ActionChoose, Exclude: sm.excluded}
	if sm.delivered {
		act.Spec = core.Some(sm.deliveredSpec)
	}
	sm.emit(act)
}

func (sm *Machine) handleChosen(evt Event, now time.Time) {
	if sm.phase != phaseChoosing {
		return
	}
	if !now.Before(sm.limits.Deadline) {
		sm.abort(core.CodeDeadline)
		return
	}
	if sm.delivered && !sameOutput(evt.Spec, sm.deliveredSpec) {
		sm.handleNoGroup(Event{Code: core.CodeNoGroup})
		return
	}
	sm.group = evt.Group
	sm.spec = evt.Spec
	sm.forwarded = false
	sm.beginAttempt()
	sm.emit(Action{Kind: ActionDispatch, Attempt: sm.attempt, Group: sm.group, Pos: sm.nextPos})
}

// beginAttempt starts an attempt. From then on the attempt counts as possibly
// run.
func (sm *Machine) beginAttempt() {
	sm.dispatches++
	sm.attempt = core.AttemptID(fmt.Sprintf("%s.%d", sm.id, sm.dispatches))
	sm.phase = phaseInFlight
	sm.headSeen = !sm.limits.Streaming
}

func (sm *Machine) handleNoGroup(evt Event) {
	if sm.phase != phaseChoosing {
		return
	}
	sm.retryAfter = evt.RetryAfter
	if sm.limits.AllowForward && sm.forwards == 0 && !sm.delivered && evt.Code != core.CodeQuarantined {
		sm.forwards++
		sm.group = ""
		sm.forwarded = true
		sm.beginAttempt()
		sm.headSeen = true
		sm.emit(Action{Kind: ActionForward, Attempt: sm.attempt, Pos: sm.nextPos})
		return
	}
	sm.fail(evt.Code)
}

func (sm *Machine) handleChunk(evt Event, now time.Time) {
	if !sm.headSeen {
		sm.rejectResponse(core.CodeCutAnswer, now)
		return
	}
	if evt.Pos != sm.nextPos {
		sm.rejectResponse(core.CodeCutAnswer, now)
		return
	}
	sm.nextPos++
	if !sm.delivered && !sm.forwarded {
		sm.deliveredSpec = sm.spec
	}
	sm.delivered = true
	sm.deliver(core.Part{Pos: evt.Pos, Text: evt.Text})
}

func (sm *Machine) handleEnd(evt Event, now time.Time) {
	if !sm.headSeen || evt.Tokens != sm.nextPos {
		sm.rejectResponse(core.CodeCutAnswer, now)
		return
	}
	sm.deliver(core.Part{Pos: sm.nextPos, End: true, Tokens: evt.Tokens, FinishReason: evt.FinishReason})
	sm.finish(core.CodeOK)
}

func (sm *Machine) handleReply(evt Event, now time.Time) {
	if sm.limits.Streaming || evt.Reply == nil {
		sm.rejectResponse(core.CodeCrossedAnswer, now)
		return
	}
	sm.deliver(core.Part{Reply: evt.Reply, End: true})
	sm.finish(core.CodeOK)
}

func (sm *Machine) deliver(part core.Part) {
	if !sm.callerGone {
		sm.emit(Action{Kind: ActionDeliver, Part: part})
	}
}

// rejectResponse fails the current attempt because its response is incomplete
// or belongs to another request.
func (sm *Machine) rejectResponse(code core.Code, now time.Time) {
	sm.failAttempt(Event{Code: code}, now, false)
}

// failAttempt ends the current attempt. The flag notRun states that the
// attempt definitely did not run.
func (sm *Machine) failAttempt(evt Event, now time.Time, notRun bool) {
	sm.retryAfter = evt.RetryAfter
	if notRun {
		sm.notRunCode = evt.Code
	} else {
		sm.unknownCode = toUnknownCode(evt.Code)
		sm.emit(Action{Kind: ActionCancel, Attempt: sm.attempt, Group: sm.group})
	}
	if sm.group != "" && !slices.Contains(sm.excluded, sm.group) {
		sm.excluded = append(sm.excluded, sm.group)
	}
	sm.attempt = ""
	if !sm.mayRetry() || (sm.forwarded && notRun) {
		sm.fail(evt.Code)
		return
	}
	if !now.Before(sm.limits.Deadline) {
		sm.abort(core.CodeDeadline)
		return
	}
	sm.phase = phaseAwaitingBudget
	sm.emit(Action{Kind: ActionRequestRetry})
}

// mayRetry reports whether another attempt is allowed. A partly delivered
// response from another zone cannot be resumed here, because the spec that
// produced it is unknown.
func (sm *Machine) mayRetry() bool {
	switch {
	case sm.dispatches >= sm.limits.MaxAttempts:
		return false
	case sm.forwarded && sm.delivered:
		return false
	case sm.limits.Retry == RetryAlways:
		return true
	case sm.limits.Retry == RetryIfNotRun:
		return sm.unknownCode == core.CodeOK
	}
	return false
}

func (sm *Machine) handleRetryGranted(evt Event, now time.Time) {
	if sm.phase != phaseAwaitingBudget {
		return
	}
	delay := Backoff(sm.dispatches, evt.Rand)
	if now.Add(delay).After(sm.limits.Deadline) {
		sm.fail(core.CodeDeadline)
		return
	}
	sm.phase = phaseBackoff
	sm.emit(Action{Kind: ActionBackoff, After: delay})
}

func (sm *Machine) handleRetryDenied() {
	if sm.phase == phaseAwaitingBudget {
		sm.fail(core.CodeRetryBudget)
	}
}

func (sm *Machine) handleBackoffOver(now time.Time) {
	if sm.phase == phaseBackoff {
		sm.requestGroup(now)
	}
}

// abort ends the request because its deadline passed or its caller
// disconnected.
func (sm *Machine) abort(code core.Code) {
	if sm.phase == phaseInFlight {
		sm.unknownCode = core.CodeUnknownOutcome
		sm.emit(Action{Kind: ActionCancel, Attempt: sm.attempt, Group: sm.group})
	}
	sm.fail(code)
}

// handleCallerGone aborts the request after the caller disconnected. A request
// that must not be repeated continues, so that its result is available when
// the caller sends it again.
func (sm *Machine) handleCallerGone() {
	if sm.limits.Retry == RetryNever && sm.phase == phaseInFlight {
		sm.callerGone = true
		return
	}
	sm.abort(core.CodeCallerGone)
}

// fail ends the request with code. If an attempt may have run, it replaces the
// code by one that does not claim "not run".
func (sm *Machine) fail(code core.Code) {
	switch {
	case sm.unknownCode != core.CodeOK && sm.limits.Retry == RetryNever:
		code = core.CodeUnknownOnce
	case sm.unknownCode != core.CodeOK:
		code = sm.unknownCode
	case code == core.CodeOK:
		code = core.CodeNoGroup
	}
	sm.finish(code)
}

func (sm *Machine) finish(code core.Code) {
	sm.phase = phaseDone
	act := Action{Kind: ActionFinish, Code: code}
	if code.NotRun() {
		act.After = sm.retryAfter
	}
	sm.emit(act)
}

// toUnknownCode returns code, or CodeUnknownOutcome if code is CodeOK or
// claims "not run".
func toUnknownCode(code core.Code) core.Code {
	if code == core.CodeOK || code.NotRun() {
		return core.CodeUnknownOutcome
	}
	return code
}

// sameOutput reports whether the two specs produce the same tokens. The role
// has no influence on them.
func sameOutput(one, two core.Spec) bool {
	one.Role = two.Role
	return one.Equal(two)
}

// Backoff returns the delay before the next attempt after sent dispatches. The
// delay is uniform, derived from rnd, below a ceiling that doubles with each
// attempt (full jitter, after Brooker, "Exponential Backoff And Jitter",
// 2015).
func Backoff(sent int, rnd uint64) time.Duration {
	ceiling := initialBackoff
	for num := 1; num < sent && ceiling < maxBackoff; num++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, maxBackoff)
	return time.Duration(rnd % uint64(ceiling))
}
