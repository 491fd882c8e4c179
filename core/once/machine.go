package once

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

const (
	lookupWait      = 100 * time.Millisecond
	inProgressAfter = time.Second

	defaultMaxReply = 16 << 10 // bytes
	maxClaims       = 4        // claims of one machine that lose a race
)

// Config describes one request.
type Config struct {
	// Stem is what the IDs of the claim's records begin with. It must never have
	// been used.
	Stem core.RecordID
	// Digest is a hash of the request's content.
	Digest uint64
	Issued time.Time
	// Window is the time for which keys are kept, ClockError the largest
	// difference between the clocks of caller and nodes.
	Window     time.Duration
	ClockError time.Duration
	Deadline   time.Time
	// MaxReply is the size of the largest reply that is recorded, in bytes.
	// Zero stands for a default.
	MaxReply int
}

type phase int

const (
	phaseNew phase = iota
	phaseLooking
	phaseClaiming
	phaseReleasing
	phaseFlying
	phaseDone
)

// Machine is the state of one request that must not be repeated. It is made
// by New and has one owner.
type Machine struct {
	cfg        Config
	phase      phase
	open       bool
	orphan     bool
	claims     int
	current    core.RecordID
	claim      core.Offset
	dispatched bool
	out        []Action
}

// New returns the machine of a request. It panics if cfg.Stem is empty.
func New(cfg Config) *Machine {
	if cfg.Stem == "" {
		panic("once: no stem of record IDs")
	}
	if cfg.MaxReply <= 0 {
		cfg.MaxReply = defaultMaxReply
	}
	return &Machine{cfg: cfg}
}

// Done reports whether the request is finished.
func (mac *Machine) Done() bool { return mac.phase == phaseDone }

// Dispatched reports whether the request was sent.
func (mac *Machine) Dispatched() bool { return mac.dispatched }

// Step takes an event and returns what is to be done, in order. The slice is
// valid until the next call. Events that come late change nothing.
func (mac *Machine) Step(ev Event, now time.Time) []Action {
	mac.out = mac.out[:0]
	switch mac.phase {
	case phaseNew:
		mac.start(ev, now)
	case phaseLooking:
		mac.looking(ev, now)
	case phaseClaiming:
		mac.claiming(ev, now)
	case phaseReleasing:
		mac.releasing(ev, now)
	case phaseFlying:
		mac.flying(ev)
	}
	return mac.out
}

func (mac *Machine) do(act Action) { mac.out = append(mac.out, act) }

func (mac *Machine) start(ev Event, now time.Time) {
	if ev.Kind != EventStart {
		return
	}
	if mac.expired(now) {
		mac.finish(core.CodeKeyExpired, 0)
		return
	}
	mac.lookup(0)
}

// expired reports whether the key may already be forgotten, or was issued by
// a clock that is further off than allowed for.
func (mac *Machine) expired(now time.Time) bool {
	iss := mac.cfg.Issued
	oldest := now.Add(mac.cfg.ClockError - mac.cfg.Window)
	newest := now.Add(mac.cfg.ClockError)
	return iss.IsZero() || iss.Before(oldest) || iss.After(newest)
}

func (mac *Machine) lookup(after time.Duration) {
	mac.phase = phaseLooking
	mac.do(Action{Kind: ActionLookup, After: after})
}

func (mac *Machine) looking(ev Event, now time.Time) {
	if ev.Kind != EventDeadline && !now.Before(mac.cfg.Deadline) {
		ev = Event{Kind: EventDeadline}
	}
	switch ev.Kind {
	case EventFound:
		mac.found(ev.View)
	case EventAbsent:
		mac.absent(now)
	case EventNoLookup:
		mac.noLookup()
	case EventDeadline:
		mac.giveUp(core.CodeDeadline)
	}
}

// absent claims the key, or looks again if an append is still open.
func (mac *Machine) absent(now time.Time) {
	switch {
	case mac.open:
		mac.lookup(lookupWait)
	case mac.expired(now):
		mac.finish(core.CodeKeyExpired, 0)
	case mac.claims >= maxClaims:
		mac.giveUp(core.CodeKeyInProgress)
	default:
		mac.claims++
		mac.current = core.RecordID(fmt.Sprintf("%s.%d", mac.cfg.Stem, mac.claims))
		mac.phase = phaseClaiming
		mac.do(Action{Kind: ActionClaim, Record: mac.current})
	}
}

func (mac *Machine) noLookup() {
	if mac.open {
		mac.lookup(lookupWait)
		return
	}
	mac.finish(core.CodeClaimNoLog, 0)
}

func (mac *Machine) found(vie View) {
	switch {
	case vie.Digest != mac.cfg.Digest:
		mac.giveUp(core.CodeKeyMismatch)
	case vie.Done && vie.Unknown:
		mac.giveUp(core.CodeUnknownOnce)
	case vie.Done:
		mac.do(Action{Kind: ActionAnswer, Reply: vie.Reply, Recorded: true})
		mac.giveUp(core.CodeOK)
	case mac.open && vie.Record == mac.current:
		mac.dispatch(vie.Offset)
	case vie.Abandoned:
		mac.phase = phaseReleasing
		mac.do(Action{Kind: ActionRelease, Claim: vie.Offset})
	case vie.Mine && !vie.Live, !vie.Mine && vie.HolderGone:
		mac.orphaned(vie)
	default:
		mac.giveUp(core.CodeKeyInProgress)
	}
}

// orphaned takes a claim on which no process works. Its holder may have
// recorded the outcome just now, so a second look decides.
func (mac *Machine) orphaned(vie View) {
	if !mac.orphan {
		mac.orphan = true
		mac.lookup(lookupWait)
		return
	}
	if vie.Mine {
		mac.do(Action{Kind: ActionRecord, Claim: vie.Offset, Unknown: true})
	}
	mac.giveUp(core.CodeUnknownOnce)
}

func (mac *Machine) claiming(ev Event, now time.Time) {
	switch ev.Kind {
	case EventAccepted:
		mac.accepted(ev.Offset, now)
	case EventRejected:
		mac.rejected(ev.Code)
	case EventNotAppended:
		mac.finish(core.CodeClaimNoLog, ev.After)
	case EventAppendUnknown:
		mac.open = true
		mac.lookup(lookupWait)
	case EventDeadline:
		mac.open = true
		mac.giveUp(core.CodeDeadline)
	}
}

func (mac *Machine) accepted(claim core.Offset, now time.Time) {
	if !now.Before(mac.cfg.Deadline) {
		mac.do(Action{Kind: ActionRelease, Claim: claim})
		mac.finish(core.CodeDeadline, 0)
		return
	}
	mac.dispatch(claim)
}

func (mac *Machine) rejected(code core.Code) {
	switch code {
	case core.CodeDuplicateRecord:
		// The record is in the log: the claim itself tells whether it was accepted.
		mac.open = true
		mac.lookup(0)
		return
	case core.CodeClaimTaken:
		mac.lookup(0)
		return
	}
	if !code.NotRun() {
		code = core.CodeClaimNoLog
	}
	mac.finish(code, 0)
}

func (mac *Machine) releasing(ev Event, now time.Time) {
	switch {
	case ev.Kind == EventDeadline || !now.Before(mac.cfg.Deadline):
		mac.giveUp(core.CodeDeadline)
	case ev.Kind == EventReleased:
		mac.lookup(0)
	case ev.Kind == EventNotAppended || ev.Kind == EventAppendUnknown:
		mac.giveUp(core.CodeClaimNoLog)
	}
}

// dispatch sends the request. The machine comes here once.
func (mac *Machine) dispatch(claim core.Offset) {
	mac.open = false
	mac.claim = claim
	mac.phase = phaseFlying
	mac.dispatched = true
	mac.do(Action{Kind: ActionDispatch, Claim: claim})
}

func (mac *Machine) flying(ev Event) {
	switch ev.Kind {
	case EventRan:
		mac.do(Action{Kind: ActionAnswer, Reply: ev.Reply})
		mac.record(ev.Reply)
		mac.finish(core.CodeOK, 0)
	case EventNotRun:
		mac.do(Action{Kind: ActionRelease, Claim: mac.claim})
		mac.finish(ev.Code, ev.After)
	case EventUnknown:
		mac.do(Action{Kind: ActionRecord, Claim: mac.claim, Unknown: true})
		mac.finish(core.CodeUnknownOnce, 0)
	}
}

// record keeps the reply for resends, or its status if it is too large.
func (mac *Machine) record(rep core.Reply) {
	act := Action{Kind: ActionRecord, Claim: mac.claim, Reply: rep}
	if len(rep.Body) > mac.cfg.MaxReply {
		act.Unknown = true
		act.Reply = core.Reply{Attempt: rep.Attempt, Status: rep.Status, Type: rep.Type}
	}
	mac.do(act)
}

// giveUp ends the request without a dispatch by this machine.
func (mac *Machine) giveUp(code core.Code) {
	if mac.open {
		mac.do(Action{Kind: ActionAbandon, Record: mac.current})
	}
	after := time.Duration(0)
	if code == core.CodeKeyInProgress {
		after = inProgressAfter
	}
	mac.finish(code, after)
}

func (mac *Machine) finish(code core.Code, after time.Duration) {
	mac.phase = phaseDone
	mac.do(Action{Kind: ActionFinish, Code: code, After: after})
}
