package flight

import (
	"fmt"
	"slices"
	"time"

	"kumquathinge/core"
)

// Repeat tells when a request may be sent again.
type Repeat string

// Values of Repeat.
const (
	// RepeatAlways lets the request run more than once.
	RepeatAlways Repeat = "always"
	// RepeatNotRun lets the request be sent again only if it surely did not run.
	RepeatNotRun Repeat = "not_run"
	// RepeatNever lets the request be dispatched once.
	RepeatNever Repeat = "never"
)

const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Limits bounds a request.
type Limits struct {
	// Attempts is the largest number of dispatches, forwarding included.
	Attempts int
	Repeat   Repeat
	Deadline time.Time
	// From is the first position that the caller wants.
	From int
	// Forward lets the request be sent to another zone if this one has no
	// group for it.
	Forward bool
	// Stream is set for completions: their attempts bring a head first.
	Stream bool
}

type phase int

const (
	phaseNew phase = iota
	phaseChoosing
	phaseFlying
	phaseAsking
	phaseWaiting
	phaseDone
)

// Machine is the state of one request. It is made by New and has one owner.
type Machine struct {
	id       string
	lim      Limits
	phase    phase
	attempt  core.AttemptID
	group    core.GroupName
	spec     core.Spec
	remote   bool
	head     bool
	sent     int
	next     int
	passed   bool
	passSpec core.Spec
	exclude  []core.GroupName
	forwards int
	muted    bool
	unknown  core.Code
	notRun   core.Code
	after    time.Duration
	out      []Action
}

// New returns the machine of a request. The string id is the stem of the
// attempts' IDs and must be unique over all requests of the deployment. New
// panics if lim.Attempts is not positive.
func New(id string, lim Limits) *Machine {
	if lim.Attempts <= 0 {
		panic("flight: limit of attempts is not positive")
	}
	return &Machine{id: id, lim: lim, next: lim.From}
}

// Done reports whether the request is finished.
func (mac *Machine) Done() bool { return mac.phase == phaseDone }

// Dispatches returns how often the request was sent.
func (mac *Machine) Dispatches() int { return mac.sent }

// Next returns the position behind the last token that was passed on.
func (mac *Machine) Next() int { return mac.next }

// Step takes an event and returns what is to be done, in order. The slice is
// valid until the next call. Events that come late change nothing.
func (mac *Machine) Step(ev Event, now time.Time) []Action {
	mac.out = mac.out[:0]
	if mac.phase == phaseDone {
		return nil
	}
	switch ev.Kind {
	case EventStart:
		mac.start(now)
	case EventChosen:
		mac.chosen(ev, now)
	case EventNoGroup:
		mac.noGroup(ev)
	case EventGranted:
		mac.granted(ev, now)
	case EventDenied:
		mac.denied()
	case EventWaited:
		mac.waited(now)
	case EventDeadline:
		mac.expire(core.CodeDeadline)
	case EventGone:
		mac.gone()
	default:
		mac.answer(ev, now)
	}
	return mac.out
}

// answer takes an event of the current attempt.
func (mac *Machine) answer(ev Event, now time.Time) {
	if mac.phase != phaseFlying || ev.Attempt != mac.attempt {
		return
	}
	switch ev.Kind {
	case EventNotRun:
		mac.failed(ev, now, true)
	case EventHead:
		mac.head = true
	case EventChunk:
		mac.chunk(ev, now)
	case EventEnd:
		mac.end(ev, now)
	case EventReply:
		mac.reply(ev, now)
	case EventBroken:
		mac.failed(ev, now, false)
	}
}

func (mac *Machine) do(act Action) { mac.out = append(mac.out, act) }

func (mac *Machine) start(now time.Time) {
	if mac.phase == phaseNew {
		mac.choose(now)
	}
}

func (mac *Machine) choose(now time.Time) {
	if !now.Before(mac.lim.Deadline) {
		mac.expire(core.CodeDeadline)
		return
	}
	mac.phase = phaseChoosing
	act := Action{Kind: ActionChoose, Exclude: mac.exclude}
	if mac.passed {
		act.Spec = core.Some(mac.passSpec)
	}
	mac.do(act)
}

func (mac *Machine) chosen(ev Event, now time.Time) {
	if mac.phase != phaseChoosing {
		return
	}
	if !now.Before(mac.lim.Deadline) {
		mac.expire(core.CodeDeadline)
		return
	}
	if mac.passed && !sameOutput(ev.Spec, mac.passSpec) {
		mac.noGroup(Event{Code: core.CodeNoGroup})
		return
	}
	mac.group = ev.Group
	mac.spec = ev.Spec
	mac.remote = false
	mac.launch()
	mac.do(Action{Kind: ActionDispatch, Attempt: mac.attempt, Group: mac.group, Pos: mac.next})
}

// launch begins an attempt. From here on it may have run.
func (mac *Machine) launch() {
	mac.sent++
	mac.attempt = core.AttemptID(fmt.Sprintf("%s.%d", mac.id, mac.sent))
	mac.phase = phaseFlying
	mac.head = !mac.lim.Stream
}

func (mac *Machine) noGroup(ev Event) {
	if mac.phase != phaseChoosing {
		return
	}
	mac.after = ev.After
	if mac.lim.Forward && mac.forwards == 0 && !mac.passed && ev.Code != core.CodeQuarantined {
		mac.forwards++
		mac.group = ""
		mac.remote = true
		mac.launch()
		mac.head = true
		mac.do(Action{Kind: ActionForward, Attempt: mac.attempt, Pos: mac.next})
		return
	}
	mac.finishFailed(ev.Code)
}

func (mac *Machine) chunk(ev Event, now time.Time) {
	if !mac.head {
		mac.reject(core.CodeCutAnswer, now)
		return
	}
	if ev.Pos != mac.next {
		mac.reject(core.CodeCutAnswer, now)
		return
	}
	mac.next++
	if !mac.passed && !mac.remote {
		mac.passSpec = mac.spec
	}
	mac.passed = true
	mac.pass(core.Part{Pos: ev.Pos, Text: ev.Text})
}

func (mac *Machine) end(ev Event, now time.Time) {
	if !mac.head || ev.Tokens != mac.next {
		mac.reject(core.CodeCutAnswer, now)
		return
	}
	mac.pass(core.Part{Pos: mac.next, End: true, Tokens: ev.Tokens, FinishReason: ev.Reason})
	mac.finish(core.CodeOK)
}

func (mac *Machine) reply(ev Event, now time.Time) {
	if mac.lim.Stream || ev.Reply == nil {
		mac.reject(core.CodeCrossedAnswer, now)
		return
	}
	mac.pass(core.Part{Reply: ev.Reply, End: true})
	mac.finish(core.CodeOK)
}

func (mac *Machine) pass(prt core.Part) {
	if !mac.muted {
		mac.do(Action{Kind: ActionPass, Part: prt})
	}
}

// reject gives up an answer that is not whole or not this request's.
func (mac *Machine) reject(code core.Code, now time.Time) {
	mac.failed(Event{Code: code}, now, false)
}

// failed ends the current attempt, which surely did not run or may have.
func (mac *Machine) failed(ev Event, now time.Time, notRun bool) {
	mac.after = ev.After
	if notRun {
		mac.notRun = ev.Code
	} else {
		mac.unknown = unknownCode(ev.Code)
		mac.do(Action{Kind: ActionCancel, Attempt: mac.attempt, Group: mac.group})
	}
	if mac.group != "" && !slices.Contains(mac.exclude, mac.group) {
		mac.exclude = append(mac.exclude, mac.group)
	}
	mac.attempt = ""
	if !mac.mayRepeat() || (mac.remote && notRun) {
		mac.finishFailed(ev.Code)
		return
	}
	if !now.Before(mac.lim.Deadline) {
		mac.expire(core.CodeDeadline)
		return
	}
	mac.phase = phaseAsking
	mac.do(Action{Kind: ActionRetry})
}

// mayRepeat reports whether another attempt is allowed after what happened so
// far. An answer from another zone whose parts were passed on can't go on
// here, for what it ran is not known.
func (mac *Machine) mayRepeat() bool {
	switch {
	case mac.sent >= mac.lim.Attempts:
		return false
	case mac.remote && mac.passed:
		return false
	case mac.lim.Repeat == RepeatAlways:
		return true
	case mac.lim.Repeat == RepeatNotRun:
		return mac.unknown == core.CodeOK
	}
	return false
}

func (mac *Machine) granted(ev Event, now time.Time) {
	if mac.phase != phaseAsking {
		return
	}
	wait := Backoff(mac.sent, ev.Rand)
	if now.Add(wait).After(mac.lim.Deadline) {
		mac.finishFailed(core.CodeDeadline)
		return
	}
	mac.phase = phaseWaiting
	mac.do(Action{Kind: ActionWait, After: wait})
}

func (mac *Machine) denied() {
	if mac.phase == phaseAsking {
		mac.finishFailed(core.CodeRetryBudget)
	}
}

func (mac *Machine) waited(now time.Time) {
	if mac.phase == phaseWaiting {
		mac.choose(now)
	}
}

// expire ends the request because of its deadline or its caller.
func (mac *Machine) expire(code core.Code) {
	if mac.phase == phaseFlying {
		mac.unknown = core.CodeUnknownOutcome
		mac.do(Action{Kind: ActionCancel, Attempt: mac.attempt, Group: mac.group})
	}
	mac.finishFailed(code)
}

// gone takes the caller's leave. A request that must not be repeated goes on,
// so that its result can be kept for a resend.
func (mac *Machine) gone() {
	if mac.lim.Repeat == RepeatNever && mac.phase == phaseFlying {
		mac.muted = true
		return
	}
	mac.expire(core.CodeCallerGone)
}

// finishFailed ends the request with code, unless an attempt may have run:
// then the code must not be one of "not run".
func (mac *Machine) finishFailed(code core.Code) {
	switch {
	case mac.unknown != core.CodeOK && mac.lim.Repeat == RepeatNever:
		code = core.CodeUnknownOnce
	case mac.unknown != core.CodeOK:
		code = mac.unknown
	case code == core.CodeOK:
		code = core.CodeNoGroup
	}
	mac.finish(code)
}

func (mac *Machine) finish(code core.Code) {
	mac.phase = phaseDone
	act := Action{Kind: ActionFinish, Code: code}
	if code.NotRun() {
		act.After = mac.after
	}
	mac.do(act)
}

// unknownCode returns a code that does not state "not run".
func unknownCode(code core.Code) core.Code {
	if code == core.CodeOK || code.NotRun() {
		return core.CodeUnknownOutcome
	}
	return code
}

// sameOutput reports whether two specs give the same tokens.
func sameOutput(one, two core.Spec) bool {
	one.Role = two.Role
	return one.Equal(two)
}

// Backoff returns the wait before the attempt behind the number sent: a
// uniform share, taken from rnd, of a bound that doubles with each attempt
// (full jitter, after Brooker, "Exponential Backoff And Jitter", 2015).
func Backoff(sent int, rnd uint64) time.Duration {
	bound := backoffBase
	for num := 1; num < sent && bound < backoffMax; num++ {
		bound *= 2
	}
	bound = min(bound, backoffMax)
	return time.Duration(rnd % uint64(bound))
}
