package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/core/tail"
)

// Config configures a Store. Node, Log and Peers are required. Peers returns the
// peers that are currently reachable. Nodes returns the names of the running
// entry VMs including this one; if nil, only this one. Incarnation distinguishes
// this process from earlier ones of the node; if empty, it is drawn from Rand.
type Config struct {
	Node        core.NodeName
	Incarnation core.Incarnation
	Log         core.Log
	Peers       func() []core.Peer
	Nodes       func() []core.NodeName
	Now         func() time.Time
	Rand        *rand.Rand
	Timings     tail.Timings
	Versions    fold.Versions
	Logger      logrus.FieldLogger
	// TickInterval is the interval at which the follower's timers are checked,
	// PeerRefreshInterval that at which Peers and Nodes are called. CallTimeout
	// is the timeout of one call to the log or to a peer.
	TickInterval        time.Duration
	PeerRefreshInterval time.Duration
	CallTimeout         time.Duration
}

const (
	defaultTickInterval        = 10 * time.Millisecond
	defaultPeerRefreshInterval = 500 * time.Millisecond
	defaultCallTimeout         = 2 * time.Second
	maxStateLag                = 256 // offsets by which an encoded state may be older than the view
	inboxSize                  = 64
)

// Status is the health of a Store.
type Status = tail.Status

// Store maintains the replicated state of one entry VM.
type Store struct {
	cfg        Config
	inbox      chan message
	stopped    chan struct{}
	view       atomic.Pointer[fold.View]
	status     atomic.Pointer[Status]
	changed    atomic.Pointer[chan struct{}]
	lastTicket atomic.Uint64

	// stateMu guards the cached encoded state that peers request.
	stateMu         sync.Mutex
	encodedState    []byte
	encodedPosition core.Position
}

// New returns a Store that starts at the beginning of the log. It panics if Log,
// Peers or Node is missing.
func New(cfg Config) *Store {
	if cfg.Log == nil || cfg.Peers == nil || cfg.Node == "" {
		panic("store: Log, Peers and Node are required")
	}
	st := &Store{cfg: withDefaults(cfg), inbox: make(chan message, inboxSize), stopped: make(chan struct{})}
	st.view.Store(fold.New().View())
	st.status.Store(&Status{Code: core.CodeLogDown, Detail: "the store has not started"})
	ch := make(chan struct{})
	st.changed.Store(&ch)
	return st
}

func withDefaults(cfg Config) Config {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = core.Incarnation(fmt.Sprintf("%08x", cfg.Rand.Uint32()))
	}
	if cfg.Nodes == nil {
		cfg.Nodes = func() []core.NodeName { return []core.NodeName{cfg.Node} }
	}
	if cfg.Timings == (tail.Timings{}) {
		cfg.Timings = tail.DefaultTimings()
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = defaultTickInterval
	}
	if cfg.PeerRefreshInterval == 0 {
		cfg.PeerRefreshInterval = defaultPeerRefreshInterval
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	return cfg
}

// Run follows the log until ctx is done and then returns nil. It must be called
// once.
func (st *Store) Run(ctx context.Context) error {
	defer close(st.stopped)
	grp, groupCtx := errgroup.WithContext(ctx)
	loop := newEventLoop(st)
	grp.Go(func() error { return loop.run(groupCtx) })
	grp.Go(func() error { return loop.readLogs(groupCtx) })
	grp.Go(func() error { return loop.callPeers(groupCtx) })
	grp.Go(func() error { return loop.appendBatches(groupCtx) })
	grp.Go(func() error { return loop.encodeSnapshots(groupCtx) })
	err := grp.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// View returns the newest view of the state without locking.
func (st *Store) View() *fold.View { return st.view.Load() }

// Changed returns a channel that is closed when the view next changes. Call
// Changed before View, so that no change is missed.
func (st *Store) Changed() <-chan struct{} { return *st.changed.Load() }

// Status returns the health of the store without locking.
func (st *Store) Status() Status { return *st.status.Load() }

// Propose appends the records, batched with other pending ones, and returns the
// decision on each once it has been read back from the log. A record without an
// ID is assigned one. Records whose IDs already have decisions get those again.
//
// The error carries core.CodeLogRefused if the records were certainly not
// appended, core.CodeLogUnknown if the outcome was unknown when ctx ended, and
// core.CodeRecordBad or core.CodeTooLarge if the records are invalid.
func (st *Store) Propose(ctx context.Context, recs ...recd.Record) ([]fold.Decision, error) {
	recs = slices.Clone(recs)
	ticket := st.lastTicket.Add(1)
	for idx := range recs {
		if recs[idx].ID == "" {
			recs[idx].ID = core.RecordID(fmt.Sprintf("%s/%s/r%d.%d", st.cfg.Node, st.cfg.Incarnation, ticket, idx))
		}
	}
	answer := make(chan tail.ProposalResult, 1)
	err := st.send(ctx, message{event: tail.Proposed{ProposalID: ticket, Records: recs}, answer: answer})
	if err != nil {
		return nil, core.Errorf(core.CodeLogRefused, "the records were not appended: %v", err)
	}
	select {
	case got := <-answer:
		return got.Decisions, got.Err
	case <-st.stopped:
		return nil, unknownOutcomeError(recs)
	case <-ctx.Done():
	}
	err = st.send(context.WithoutCancel(ctx), message{event: tail.Cancelled{ProposalID: ticket}})
	if err != nil {
		return nil, unknownOutcomeError(recs)
	}
	select {
	case got := <-answer:
		return got.Decisions, got.Err
	case <-st.stopped:
		return nil, unknownOutcomeError(recs)
	}
}

func unknownOutcomeError(recs []recd.Record) error {
	return core.Errorf(core.CodeLogUnknown, "it is unknown whether the log appended the records: look them up by ID %s", recs[0].ID)
}

// Claim returns the claim of the key, and false if there is none.
func (st *Store) Claim(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (fold.Claim, bool, error) {
	return query(ctx, st, func(loop *eventLoop) (fold.Claim, bool) { return loop.follower.State().Claim(org, key) })
}

// Decision returns the decision on the record, and false if none is stored.
func (st *Store) Decision(ctx context.Context, id core.RecordID) (fold.Decision, bool, error) {
	return query(ctx, st, func(loop *eventLoop) (fold.Decision, bool) { return loop.follower.State().Decision(id) })
}

// Relay returns at most limit log entries from offset from on. The error carries
// core.CodeLogGap if this node no longer holds them.
func (st *Store) Relay(from core.Offset, limit int) (core.Page, error) {
	page, err, queryErr := query(context.Background(), st, func(loop *eventLoop) (core.Page, error) { return loop.follower.Recent(from, limit) })
	if queryErr != nil {
		return core.Page{}, queryErr
	}
	return page, err
}

// State returns the encoded state and its era. It may be up to maxStateLag offsets
// older than the view, but is of the same era. The error carries core.CodeNotReady
// if this node has no state.
func (st *Store) State() (core.PeerState, error) {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	if st.encodedState != nil && !st.encodedStateStale() {
		return core.PeerState{Era: st.encodedPosition.Era, Data: st.encodedState}, nil
	}
	snap, era, err := query(context.Background(), st, func(loop *eventLoop) (*fold.Snapshot, core.Era) {
		return loop.snapshot(), loop.follower.Status().Era
	})
	if err != nil {
		return core.PeerState{}, err
	}
	if snap == nil {
		return core.PeerState{}, core.Errorf(core.CodeNotReady, "node %s has no state yet", st.cfg.Node)
	}
	st.encodedState = snap.Encode()
	st.encodedPosition = core.Position{Era: era, Offset: snap.Offset()}
	return core.PeerState{Era: era, Data: st.encodedState}, nil
}

// encodedStateStale reports whether the cached encoded state is too old to be sent
// or of another era than the view.
func (st *Store) encodedStateStale() bool {
	status := st.Status()
	return status.Era != st.encodedPosition.Era || status.Offset > st.encodedPosition.Offset+maxStateLag
}

// dropStaleState frees the cached encoded state once it is too old to be sent.
func (st *Store) dropStaleState() {
	if !st.stateMu.TryLock() {
		return
	}
	defer st.stateMu.Unlock()
	if st.encodedStateStale() {
		st.encodedState = nil
	}
}

// ComparePeerHash compares the hash of a peer's state at a position with that of
// this node. A difference sets the code of Status to core.CodeHashAlarm.
func (st *Store) ComparePeerHash(node core.NodeName, pos core.Position, hash uint64) {
	_ = st.send(context.Background(), message{event: tail.PeerHash{Node: node, Position: pos, Hash: hash}})
}
