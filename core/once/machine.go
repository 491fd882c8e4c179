package once

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

const (
	lookupInterval       = 100 * time.Millisecond
	inProgressRetryAfter = time.Second

	defaultMaxReplyBytes = 16 << 10 // bytes
	maxClaimAttempts     = 4        // claims proposed by one machine, including those that lose a race
)

// Config is the configuration of one request.
type Config struct {
	// IDPrefix is the prefix of the record IDs of the claims. It must not have
	// been used before.
	IDPrefix core.RecordID
	// Digest is a hash of the request's content.
	Digest   uint64
	IssuedAt time.Time
	// Window is the retention time of keys. MaxClockSkew is the maximum
	// difference between the clocks of the caller and the nodes.
	Window       time.Duration
	MaxClockSkew time.Duration
	Deadline     time.Time
	// MaxReplyBytes is the maximum size of a recorded reply body, in bytes.
	// Zero selects a default.
	MaxReplyBytes int
}

type phase int

const (
	phaseNew phase = iota
	phaseLookup
	phaseClaiming
	phaseReleasing
	phaseInFlight
	phaseDone
)

// Machine is the state machine of one request that must run at most once. Use
// New. It is not safe for concurrent use.
type Machine struct {
	cfg            Config
	phase          phase
	claimUncertain bool
	orphanSeen     bool
	claimAttempts  int
	claimID        core.RecordID
	claimOffset    core.Offset
	dispatched     bool
	actions        []Action
}

// New returns the machine of a request. It panics if cfg.IDPrefix is empty.
func New(cfg Config) *Machine {
	if cfg.IDPrefix == "" {
		panic("once: IDPrefix is empty")
	}
	if cfg.MaxReplyBytes <= 0 {
		cfg.MaxReplyBytes = defaultMaxReplyBytes
	}
	return &Machine{cfg: cfg}
}

// Done reports whether the request is finished.
func (sm *Machine) Done() bool { return sm.phase == phaseDone }

// Dispatched reports whether the request was sent.
func (sm *Machine) Dispatched() bool { return sm.dispatched }

// Step processes an event and returns the resulting actions in order. The
// slice is valid until the next call. Late events are ignored.
func (sm *Machine) Step(evt Event, now time.Time) []Action {
	sm.actions = sm.actions[:0]
	switch sm.phase {
	case phaseNew:
		sm.handleStart(evt, now)
	case phaseLookup:
		sm.handleLookup(evt, now)
	case phaseClaiming:
		sm.handleClaim(evt, now)
	case phaseReleasing:
		sm.handleRelease(evt, now)
	case phaseInFlight:
		sm.handleInFlight(evt)
	}
	return sm.actions
}

func (sm *Machine) emit(act Action) { sm.actions = append(sm.actions, act) }

func (sm *Machine) handleStart(evt Event, now time.Time) {
	if evt.Kind != EventStart {
		return
	}
	if sm.outsideWindow(now) {
		sm.finish(core.CodeKeyExpired, 0)
		return
	}
	sm.lookup(0)
}

// outsideWindow reports whether the key may already have expired, or has an
// issue time from a clock that exceeds the maximum skew.
func (sm *Machine) outsideWindow(now time.Time) bool {
	issued := sm.cfg.IssuedAt
	oldest := now.Add(sm.cfg.MaxClockSkew - sm.cfg.Window)
	newest := now.Add(sm.cfg.MaxClockSkew)
	return issued.IsZero() || issued.Before(oldest) || issued.After(newest)
}

func (sm *Machine) lookup(after time.Duration) {
	sm.phase = phaseLookup
	sm.emit(Action{Kind: ActionLookup, After: after})
}

func (sm *Machine) handleLookup(evt Event, now time.Time) {
	if evt.Kind != EventDeadline && !now.Before(sm.cfg.Deadline) {
		evt = Event{Kind: EventDeadline}
	}
	switch evt.Kind {
	case EventClaimFound:
		sm.handleClaimFound(evt.Claim)
	case EventNoClaim:
		sm.handleNoClaim(now)
	case EventLookupFailed:
		sm.handleLookupFailed()
	case EventDeadline:
		sm.finishUndispatched(core.CodeDeadline)
	}
}

// handleNoClaim claims the key, or repeats the lookup if the outcome of the
// claim's append is still unknown.
func (sm *Machine) handleNoClaim(now time.Time) {
	switch {
	case sm.claimUncertain:
		sm.lookup(lookupInterval)
	case sm.outsideWindow(now):
		sm.finish(core.CodeKeyExpired, 0)
	case sm.claimAttempts >= maxClaimAttempts:
		sm.finishUndispatched(core.CodeKeyInProgress)
	default:
		sm.claimAttempts++
		sm.claimID = core.RecordID(fmt.Sprintf("%s.%d", sm.cfg.IDPrefix, sm.claimAttempts))
		sm.phase = phaseClaiming
		sm.emit(Action{Kind: ActionClaim, RecordID: sm.claimID})
	}
}

func (sm *Machine) handleLookupFailed() {
	if sm.claimUncertain {
		sm.lookup(lookupInterval)
		return
	}
	sm.finish(core.CodeClaimNoLog, 0)
}

func (sm *Machine) handleClaimFound(claim ClaimStatus) {
	switch {
	case claim.Digest != sm.cfg.Digest:
		sm.finishUndispatched(core.CodeKeyMismatch)
	case claim.Done && claim.OutcomeUnknown:
		sm.finishUndispatched(core.CodeUnknownOnce)
	case claim.Done:
		sm.emit(Action{Kind: ActionDeliver, Reply: claim.Reply, Recorded: true})
		sm.finishUndispatched(core.CodeOK)
	case sm.claimUncertain && claim.RecordID == sm.claimID:
		sm.dispatch(claim.Offset)
	case claim.Abandoned:
		sm.phase = phaseReleasing
		sm.emit(Action{Kind: ActionRelease, ClaimOffset: claim.Offset})
	case claim.HeldLocally && !claim.Active, !claim.HeldLocally && claim.HolderGone:
		sm.handleOrphan(claim)
	default:
		sm.finishUndispatched(core.CodeKeyInProgress)
	}
}

// handleOrphan handles a claim that no process is processing. Its holder may
// have recorded the outcome in the meantime, so a second lookup decides.
func (sm *Machine) handleOrphan(claim ClaimStatus) {
	if !sm.orphanSeen {
		sm.orphanSeen = true
		sm.lookup(lookupInterval)
		return
	}
	if claim.HeldLocally {
		sm.emit(Action{Kind: ActionRecordResult, ClaimOffset: claim.Offset, OutcomeUnknown: true})
	}
	sm.finishUndispatched(core.CodeUnknownOnce)
}

func (sm *Machine) handleClaim(evt Event, now time.Time) {
	switch evt.Kind {
	case EventClaimAccepted:
		sm.handleClaimAccepted(evt.Offset, now)
	case EventClaimRejected:
		sm.handleClaimRejected(evt.Code)
	case EventNotAppended:
		sm.finish(core.CodeClaimNoLog, evt.RetryAfter)
	case EventAppendUnknown:
		sm.claimUncertain = true
		sm.lookup(lookupInterval)
	case EventDeadline:
		sm.claimUncertain = true
		sm.finishUndispatched(core.CodeDeadline)
	}
}

func (sm *Machine) handleClaimAccepted(offset core.Offset, now time.Time) {
	if !now.Before(sm.cfg.Deadline) {
		sm.emit(Action{Kind: ActionRelease, ClaimOffset: offset})
		sm.finish(core.CodeDeadline, 0)
		return
	}
	sm.dispatch(offset)
}

func (sm *Machine) handleClaimRejected(code core.Code) {
	switch code {
	case core.CodeDuplicateRecord:
		// The record is in the log. A lookup returns whether it was accepted.
		sm.claimUncertain = true
		sm.lookup(0)
		return
	case core.CodeClaimTaken:
		sm.lookup(0)
		return
	}
	if !code.NotRun() {
		code = core.CodeClaimNoLog
	}
	sm.finish(code, 0)
}

func (sm *Machine) handleRelease(evt Event, now time.Time) {
	switch {
	case evt.Kind == EventDeadline || !now.Before(sm.cfg.Deadline):
		sm.finishUndispatched(core.CodeDeadline)
	case evt.Kind == EventReleased:
		sm.lookup(0)
	case evt.Kind == EventNotAppended || evt.Kind == EventAppendUnknown:
		sm.finishUndispatched(core.CodeClaimNoLog)
	}
}

// dispatch sends the request. It is called at most once.
func (sm *Machine) dispatch(offset core.Offset) {
	sm.claimUncertain = false
	sm.claimOffset = offset
	sm.phase = phaseInFlight
	sm.dispatched = true
	sm.emit(Action{Kind: ActionDispatch, ClaimOffset: offset})
}

func (sm *Machine) handleInFlight(evt Event) {
	switch evt.Kind {
	case EventReply:
		sm.emit(Action{Kind: ActionDeliver, Reply: evt.Reply})
		sm.recordReply(evt.Reply)
		sm.finish(core.CodeOK, 0)
	case EventNotRun:
		sm.emit(Action{Kind: ActionRelease, ClaimOffset: sm.claimOffset})
		sm.finish(evt.Code, evt.RetryAfter)
	case EventOutcomeUnknown:
		sm.emit(Action{Kind: ActionRecordResult, ClaimOffset: sm.claimOffset, OutcomeUnknown: true})
		sm.finish(core.CodeUnknownOnce, 0)
	}
}

// recordReply records the reply for resends, or only its status if it is too
// large.
func (sm *Machine) recordReply(reply core.Reply) {
	act := Action{Kind: ActionRecordResult, ClaimOffset: sm.claimOffset, Reply: reply}
	if len(reply.Body) > sm.cfg.MaxReplyBytes {
		act.OutcomeUnknown = true
		act.Reply = core.Reply{Attempt: reply.Attempt, Status: reply.Status, Type: reply.Type}
	}
	sm.emit(act)
}

// finishUndispatched ends a request that this machine did not dispatch.
func (sm *Machine) finishUndispatched(code core.Code) {
	if sm.claimUncertain {
		sm.emit(Action{Kind: ActionAbandon, RecordID: sm.claimID})
	}
	after := time.Duration(0)
	if code == core.CodeKeyInProgress {
		after = inProgressRetryAfter
	}
	sm.finish(code, after)
}

func (sm *Machine) finish(code core.Code, after time.Duration) {
	sm.phase = phaseDone
	sm.emit(Action{Kind: ActionFinish, Code: code, After: after})
}
