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

// Config is what a Store is made from. Log and Peers are required. Peers
// returns the peers that can be asked now, Nodes the names of the live entry
// VMs with this one; a nil Nodes means this one alone. Run tells this process
// from earlier ones of the node; if empty, it is drawn from Rand.
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
	// TickInterval is the time between two looks at the clock, Refresh that between
	// two looks at the peers, CallBound the bound of one call.
	TickInterval        time.Duration
	PeerRefreshInterval time.Duration
	CallTimeout         time.Duration
}

const (
	defaultTickInterval        = 10 * time.Millisecond
	defaultPeerRefreshInterval = 500 * time.Millisecond
	defaultCallTimeout         = 2 * time.Second
	maxStateLag                = 256 // offsets
	inboxSize                  = 64
)

// Status is the health of the store.
type Status = tail.Status

// Store owns the folded state of one entry VM.
type Store struct {
	cfg        Config
	inbox      chan message
	stopped    chan struct{}
	view       atomic.Pointer[fold.View]
	status     atomic.Pointer[Status]
	changed    atomic.Pointer[chan struct{}]
	lastTicket atomic.Uint64

	// stateMu guards the state that was encoded last for peers.
	stateMu       sync.Mutex
	encodedState  []byte
	encodedOffset core.Offset
}

// New returns a Store that starts at the log's beginning. It panics if the
// configuration has no log, no peers function or no node name.
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

// Run follows the log until ctx ends. It returns nil then. Run must be called
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

// View returns the newest view of the state. It takes no lock.
func (st *Store) View() *fold.View { return st.view.Load() }

// Changed returns a channel that is closed when the view next changes. To miss
// no change, call Changed before View.
func (st *Store) Changed() <-chan struct{} { return *st.changed.Load() }

// Status returns the health of the store. It takes no lock.
func (st *Store) Status() Status { return *st.status.Load() }

// Propose appends the records in one batch with others that wait, and returns
// the verdict on each once they were read back. A record without an ID is
// given one. A proposal with IDs that were decided on before returns the old
// verdicts.
//
// An error carries core.CodeLogRefused if the records were surely not
// appended, core.CodeLogUnknown if they may have been when ctx ended, and
// core.CodeRecordBad or core.CodeTooLarge if they can't be.
func (st *Store) Propose(ctx context.Context, recs ...recd.Record) ([]fold.Verdict, error) {
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
		return got.Verdicts, got.Err
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
		return got.Verdicts, got.Err
	case <-st.stopped:
		return nil, unknownOutcomeError(recs)
	}
}

func unknownOutcomeError(recs []recd.Record) error {
	return core.Errorf(core.CodeLogUnknown, "it is not known whether the log took the records: ask by ID %s", recs[0].ID)
}

// Claim returns the claim of the key and whether there is one.
func (st *Store) Claim(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (fold.Claim, bool, error) {
	return query(ctx, st, func(loop *eventLoop) (fold.Claim, bool) { return loop.follower.State().Claim(org, key) })
}

// Verdict returns the verdict on the record and whether it is remembered.
func (st *Store) Verdict(ctx context.Context, id core.RecordID) (fold.Verdict, bool, error) {
	return query(ctx, st, func(loop *eventLoop) (fold.Verdict, bool) { return loop.follower.State().Verdict(id) })
}

// Relay returns at most max log entries from offset from on. Its error carries
// core.CodeLogGap if they are no longer kept here.
func (st *Store) Relay(from core.Offset, limit int) (core.Page, error) {
	page, err, queryErr := query(context.Background(), st, func(loop *eventLoop) (core.Page, error) { return loop.follower.Recent(from, limit) })
	if queryErr != nil {
		return core.Page{}, queryErr
	}
	return page, err
}

// State returns the encoded state, which may be a little older than the view.
// Its error carries core.CodeNotReady if this node has none.
func (st *Store) State() ([]byte, error) {
	st.stateMu.Lock()
	defer st.stateMu.Unlock()
	off := st.View().Offset()
	if st.encodedState != nil && off <= st.encodedOffset+maxStateLag {
		return st.encodedState, nil
	}
	snap, _, err := query(context.Background(), st, func(loop *eventLoop) (*fold.Snapshot, bool) { return loop.snapshot(), true })
	if err != nil {
		return nil, err
	}
	if snap == nil {
		return nil, core.Errorf(core.CodeNotReady, "node %s has no state yet", st.cfg.Node)
	}
	st.encodedState = snap.Encode()
	st.encodedOffset = snap.Offset()
	return st.encodedState, nil
}

// dropStaleState forgets the state encoded for peers once it is too old to be given
// away again.
func (st *Store) dropStaleState() {
	if !st.stateMu.TryLock() {
		return
	}
	defer st.stateMu.Unlock()
	if st.View().Offset() > st.encodedOffset+maxStateLag {
		st.encodedState = nil
	}
}

// ComparePeerHash holds the hash of a peer's state at an offset against the own one. A
// difference shows in Status as core.CodeHashAlarm.
func (st *Store) ComparePeerHash(node core.NodeName, offset core.Offset, hash uint64) {
	_ = st.send(context.Background(), message{event: tail.PeerHash{Node: node, Offset: offset, Hash: hash}})
}
