package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// Timings are the times and sizes by which a Follower works.
type Timings struct {
	// ReadWait is how long a read of the log waits for an entry.
	ReadWait time.Duration
	// ReadEvery is the least time between two reads of the log while no
	// proposal waits for one.
	ReadEvery time.Duration
	// ReadBound is the time after which a read of the log counts as failed for
	// the purpose of asking peers.
	ReadBound time.Duration
	// RelayEvery is the least time between two reads from peers.
	RelayEvery time.Duration
	// RetryMin and RetryMax bound the time before a failed call is made again.
	RetryMin time.Duration
	RetryMax time.Duration
	// AppendEvery is the least time between two appends of this node.
	AppendEvery time.Duration
	// AppendBudget is the number of appends per second that all live entry
	// VMs together may make. Zero stands for no bound.
	AppendBudget float64
	// SnapshotEvery is the number of entries after which a snapshot is due if
	// they have as many bytes as the last one, SnapshotMin the least number
	// between two.
	SnapshotEvery core.Offset
	SnapshotMin   core.Offset
	// SnapshotStep is the time by which the next entry VM in rank waits longer
	// for a snapshot to appear.
	SnapshotStep time.Duration
	// PageMax is the number of entries asked for at once.
	PageMax int
	// ChunkBytes is the size of a snapshot's chunks.
	ChunkBytes int
}

// DefaultTimings returns the timings of a deployment of a few entry VMs.
func DefaultTimings() Timings {
	return Timings{
		ReadWait:      500 * time.Millisecond,
		ReadEvery:     100 * time.Millisecond,
		ReadBound:     2 * time.Second,
		RelayEvery:    200 * time.Millisecond,
		RetryMin:      100 * time.Millisecond,
		RetryMax:      2 * time.Second,
		AppendEvery:   10 * time.Millisecond,
		AppendBudget:  300,
		SnapshotEvery: 20_000,
		SnapshotMin:   200,
		SnapshotStep:  5 * time.Second,
		PageMax:       256,
		ChunkBytes:    192 << 10,
	}
}

// Config is what a Follower is made from. Run tells this process from earlier
// ones of the same node: record IDs are made from both.
type Config struct {
	Node    core.NodeName
	Run     core.Incarnation
	Timings Timings
	Program fold.Versions
}

// Follower follows the log for one entry VM. It belongs to one goroutine.
type Follower struct {
	cfg  Config
	sta  *fold.State
	now  time.Time
	out  []Action
	tick Tick

	log    logLane
	peers  peerLane
	scan   *scanner
	props  proposer
	snaps  snapshotter
	hashes hashLog
	recent ring

	ready     bool
	adopted   bool
	seen      core.Offset
	gap       core.Offset
	confirmed time.Time
}

// NewFollower returns a Follower at the log's beginning.
func NewFollower(cfg Config) *Follower {
	if cfg.Program == (fold.Versions{}) {
		cfg.Program = fold.Supported
	}
	fol := &Follower{cfg: cfg, sta: fold.NewFor(cfg.Program)}
	fol.props.init(cfg)
	fol.hashes.init()
	return fol
}

// State returns the folded state, which the Follower goes on changing.
func (fol *Follower) State() *fold.State { return fol.sta }

// Step takes one event and returns what is to be done. Times never go back:
// an earlier now counts as the latest one seen.
func (fol *Follower) Step(evt Event, now time.Time) []Action {
	if now.After(fol.now) {
		fol.now = now
	}
	fol.out = nil
	switch typ := evt.(type) {
	case Tick:
		fol.tick = typ
	case LogRead:
		fol.logRead(typ)
	case PeerRead:
		fol.peerRead(typ)
	case StateRead:
		fol.stateRead(typ)
	case Appended:
		fol.appended(typ)
	case Proposed:
		fol.proposed(typ)
	case Encoded:
		fol.encoded(typ)
	case GivenUp:
		fol.givenUp(typ)
	case PeerHash:
		fol.seen = max(fol.seen, typ.At)
		fol.hashes.compare(typ, fol.tick.Nodes)
	}
	fol.next()
	return fol.out
}

// next starts whatever may be started now.
func (fol *Follower) next() {
	fol.nextLog()
	fol.nextPeer()
	fol.nextSnapshot()
	fol.nextAppend()
}

func (fol *Follower) do(act Action) { fol.out = append(fol.out, act) }

// Status is what a Follower knows of its own health. Hash is the hash of the
// state at HashAt. Confirmed is the time at which the last read that reached
// the log's end was sent. Code is core.CodeOK or tells what is wrong.
type Status struct {
	Offset    core.Offset
	Hash      uint64
	HashAt    core.Offset
	LogOK     bool
	Ready     bool
	Code      core.Code
	Detail    string
	Confirmed time.Time
}

// Status returns the state of the follower's health.
func (fol *Follower) Status() Status {
	cod, txt := fol.trouble()
	return Status{
		Offset:    fol.sta.Offset(),
		Hash:      fol.sta.Hash(),
		HashAt:    fol.sta.Offset(),
		LogOK:     fol.log.ok,
		Ready:     fol.ready && fol.gap == 0 && fol.sta.Err() == nil && !fol.hashes.outvoted(),
		Code:      cod,
		Detail:    txt,
		Confirmed: fol.confirmed,
	}
}

// trouble returns the most serious thing that is wrong.
func (fol *Follower) trouble() (core.Code, string) {
	err := fol.sta.Err()
	switch {
	case err != nil:
		return core.CodeOf(err), err.Error()
	case fol.hashes.alarm() != "":
		return core.CodeHashAlarm, fol.hashes.alarm()
	case fol.gap != 0:
		return core.CodeLogGap, "the log no longer holds the entry behind the state's offset"
	case fol.log.behind:
		return core.CodeLogGap, "the log ends before the state's offset"
	case !fol.log.ok:
		return core.CodeLogDown, "the log can't be read"
	case !fol.ready:
		return core.CodeNotReady, "the state has not caught up"
	}
	return core.CodeOK, ""
}

// apply folds the entries that follow the state's offset and ignores those
// before it.
func (fol *Follower) apply(ents []core.Entry) {
	for _, ent := range ents {
		if ent.Offset <= fol.sta.Offset() {
			continue
		}
		vers := fol.sta.Apply(ent)
		if fol.sta.Offset() != ent.Offset {
			return
		}
		fol.recent.add(ent)
		fol.snaps.count(len(ent.Data), vers, fol.sta.SnapshotOffset())
		fol.hashes.note(ent.Offset, fol.sta.Hash())
		fol.settle(vers)
		fol.do(Publish{})
	}
	if fol.gap != 0 && fol.sta.Offset()+1 >= fol.gap {
		fol.gap = 0
		fol.scan = nil
	}
}

// adopt replaces the state by a newer one.
func (fol *Follower) adopt(sta *fold.State) bool {
	if sta.Offset() <= fol.sta.Offset() {
		return false
	}
	fol.sta = sta
	fol.recent.reset()
	fol.hashes.note(sta.Offset(), sta.Hash())
	fol.gap = 0
	fol.scan = nil
	fol.adopted = true
	fol.settleAdopted()
	fol.do(Publish{})
	return true
}
