package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// Timings are the intervals, timeouts and sizes that a Follower uses.
type Timings struct {
	// ReadWait is how long a read of the log waits for a new entry.
	ReadWait time.Duration
	// ReadInterval is the minimum time between two reads of the log while no
	// proposal awaits its read-back.
	ReadInterval time.Duration
	// ReadTimeout is the time after which a pending read of the log counts as
	// failed, so that peers are queried.
	ReadTimeout time.Duration
	// PeerReadInterval is the minimum time between two reads from peers.
	PeerReadInterval time.Duration
	// MinRetryDelay and MaxRetryDelay limit the backoff before a failed call
	// is repeated.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// AppendInterval is the minimum time between two appends of this node.
	AppendInterval time.Duration
	// MaxAppendRate is the maximum number of appends per second of all live
	// entry VMs together. Zero means no limit.
	MaxAppendRate float64
	// SnapshotInterval is the number of entries after which a snapshot is due
	// if they have at least as many bytes as the last one. MinSnapshotInterval
	// is the minimum number of entries between two snapshots.
	SnapshotInterval    core.Offset
	MinSnapshotInterval core.Offset
	// SnapshotRankDelay is how much longer each entry VM waits than the one
	// ranked before it until it writes a due snapshot itself.
	SnapshotRankDelay time.Duration
	// MaxPageEntries is the maximum number of entries requested at once.
	MaxPageEntries int
	// ChunkBytes is the maximum size of a snapshot's chunks.
	ChunkBytes int
}

// DefaultTimings returns the timings for a deployment of a few entry VMs.
func DefaultTimings() Timings {
	return Timings{
		ReadWait:            500 * time.Millisecond,
		ReadInterval:        100 * time.Millisecond,
		ReadTimeout:         2 * time.Second,
		PeerReadInterval:    200 * time.Millisecond,
		MinRetryDelay:       100 * time.Millisecond,
		MaxRetryDelay:       2 * time.Second,
		AppendInterval:      10 * time.Millisecond,
		MaxAppendRate:       300,
		SnapshotInterval:    20_000,
		MinSnapshotInterval: 200,
		SnapshotRankDelay:   5 * time.Second,
		MaxPageEntries:      256,
		ChunkBytes:          192 << 10,
	}
}

// Config configures a Follower. Incarnation distinguishes this process from
// earlier ones of the same node: record IDs are made from Node and
// Incarnation.
type Config struct {
	Node        core.NodeName
	Incarnation core.Incarnation
	Timings     Timings
	Versions    fold.Versions
}

// Follower follows the log for one entry VM. It is not safe for concurrent
// use.
type Follower struct {
	cfg      Config
	state    *fold.State
	now      time.Time
	actions  []Action
	lastTick Tick

	logReads  logReader
	peerReads peerReader
	scan      *snapshotScanner
	proposer  proposer
	snapshots snapshotWriter
	hashes    hashChecker
	recent    entryCache

	// era is the era of state. former is the state that is served until state has
	// caught up with a later era, nil if state is served.
	era    core.Era
	former *formerState

	ready          bool
	stateInstalled bool
	// maxPeerOffset is the greatest offset of the peers that state no era.
	maxPeerPosition core.Position
	maxPeerOffset   core.Offset
	gapEnd          core.Offset
	confirmedAt     time.Time
}

// NewFollower returns a Follower at the beginning of the log.
func NewFollower(cfg Config) *Follower {
	if cfg.Versions == (fold.Versions{}) {
		cfg.Versions = fold.Supported
	}
	fol := &Follower{cfg: cfg, state: fold.NewFor(cfg.Versions)}
	fol.proposer.init(cfg)
	fol.hashes.init()
	return fol
}

// Step handles one event and returns the actions to perform. Time never goes
// back: an earlier now counts as the latest one seen.
func (fol *Follower) Step(event Event, now time.Time) []Action {
	if now.After(fol.now) {
		fol.now = now
	}
	fol.actions = nil
	switch typed := event.(type) {
	case Tick:
		fol.lastTick = typed
	case LogRead:
		fol.handleLogRead(typed)
	case PeerRead:
		fol.handlePeerRead(typed)
	case StateRead:
		fol.handleStateRead(typed)
	case Appended:
		fol.handleAppended(typed)
	case Proposed:
		fol.handleProposed(typed)
	case Encoded:
		fol.handleEncoded(typed)
	case Cancelled:
		fol.handleCancelled(typed)
	case PeerHash:
		fol.recordPeerPosition(typed.Position)
		if typed.Position.Era == fol.era {
			fol.hashes.compare(typed, fol.lastTick.LiveNodes)
		}
	}
	fol.startCalls()
	return fol.actions
}

// startCalls starts every call that is due.
func (fol *Follower) startCalls() {
	fol.startLogRead()
	fol.startPeerRead()
	fol.startSnapshot()
	fol.startAppend()
}

func (fol *Follower) emit(act Action) { fol.actions = append(fol.actions, act) }

// Status describes a Follower's health. Hash is the hash of the state at
// HashOffset in the era Era of the log, which is zero if none is stated. ConfirmedAt is the time at which the last read that reached the
// end of the log was sent. Code is core.CodeOK, or states the problem that
// Detail describes.
type Status struct {
	Era         core.Era
	Offset      core.Offset
	Hash        uint64
	HashOffset  core.Offset
	LogOK       bool
	Ready       bool
	Code        core.Code
	Detail      string
	ConfirmedAt time.Time
}

// Status returns the follower's health.
func (fol *Follower) Status() Status {
	code, text := fol.worstProblem()
	state := fol.State()
	return Status{
		Era:         fol.servedEra(),
		Offset:      state.Offset(),
		Hash:        state.Hash(),
		HashOffset:  state.Offset(),
		LogOK:       fol.logReads.reachable,
		Ready:       fol.isReady(),
		Code:        code,
		Detail:      text,
		ConfirmedAt: fol.confirmedAt,
	}
}

// worstProblem returns the most serious current problem, or core.CodeOK.
func (fol *Follower) worstProblem() (core.Code, string) {
	err := fol.state.Err()
	switch {
	case err != nil:
		return core.CodeOf(err), err.Error()
	case fol.hashes.mismatch() != "":
		return core.CodeHashAlarm, fol.hashes.mismatch()
	case fol.former != nil && fol.former.incomplete:
		return core.CodeLogGap, "the log came back from an older copy, and no complete state of it was found"
	case fol.former != nil:
		return core.CodeLogGap, "the log came back from an older copy and is being read again"
	case fol.logReads.earlierEra:
		return core.CodeLogGap, "the log states an earlier era than before: it serves an older copy"
	case fol.gapEnd != 0:
		return core.CodeLogGap, "the log no longer contains the entry after the state's offset"
	case fol.logReads.endsEarly:
		return core.CodeLogGap, "the log ends before the state's offset"
	case !fol.logReads.reachable:
		return core.CodeLogDown, "the log can't be read"
	case !fol.ready:
		return core.CodeNotReady, "the state has not caught up with the log"
	}
	return core.CodeOK, ""
}

// applyEntries applies the entries that follow the state's offset and ignores
// earlier ones.
func (fol *Follower) applyEntries(entries []core.Entry) {
	for _, ent := range entries {
		if ent.Offset <= fol.state.Offset() {
			continue
		}
		decisions := fol.state.Apply(ent)
		if fol.state.Offset() != ent.Offset {
			return
		}
		fol.recent.add(ent)
		fol.snapshots.countBytes(len(ent.Data), decisions, fol.state.SnapshotOffset())
		fol.hashes.record(ent.Offset, fol.state.Hash())
		if fol.former == nil {
			fol.resolve(decisions)
			fol.emit(Publish{})
		}
	}
	if fol.gapEnd != 0 && fol.state.Offset()+1 >= fol.gapEnd {
		fol.gapEnd = 0
		fol.scan = nil
	}
}

// installState replaces the state with a newer one. It returns false if the
// given state is not newer.
func (fol *Follower) installState(state *fold.State) bool {
	if state.Offset() <= fol.state.Offset() {
		return false
	}
	fol.state = state
	fol.recent.reset()
	fol.hashes.record(state.Offset(), state.Hash())
	fol.gapEnd = 0
	fol.scan = nil
	fol.stateInstalled = true
	if fol.former == nil {
		fol.resolveFromState()
		fol.emit(Publish{})
	}
	return true
}
