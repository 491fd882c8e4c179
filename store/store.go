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
	Node    core.NodeName
	Run     core.Incarnation
	Log     core.Log
	Peers   func() []core.Peer
	Nodes   func() []core.NodeName
	Now     func() time.Time
	Rand    *rand.Rand
	Timings tail.Timings
	Program fold.Program
	Logger  logrus.FieldLogger
	// Tick is the time between two looks at the clock, Refresh that between
	// two looks at the peers, CallBound the bound of one call.
	Tick      time.Duration
	Refresh   time.Duration
	CallBound time.Duration
}

const (
	defaultTick      = 10 * time.Millisecond
	defaultRefresh   = 500 * time.Millisecond
	defaultCallBound = 2 * time.Second
	stateReuse       = 256 // offsets
	inboxSize        = 64
)

// Status is the health of the store.
type Status = tail.Status

// Store owns the folded state of one entry VM.
type Store struct {
	cfg     Config
	inbox   chan message
	done    chan struct{}
	view    atomic.Pointer[fold.View]
	status  atomic.Pointer[Status]
	changed atomic.Pointer[chan struct{}]
	ticket  atomic.Uint64

	// stateMut guards the state that was encoded last for peers.
	stateMut sync.Mutex
	state    []byte
	stateAt  core.Offset
}

// New returns a Store that starts at the log's beginning. It panics if the
// configuration has no log, no peers function or no node name.
func New(cfg Config) *Store {
	if cfg.Log == nil || cfg.Peers == nil || cfg.Node == "" {
		panic("store: Log, Peers and Node are required")
	}
	str := &Store{cfg: withDefaults(cfg), inbox: make(chan message, inboxSize), done: make(chan struct{})}
	str.view.Store(fold.New().View())
	str.status.Store(&Status{Code: core.CodeLogDown, Detail: "the store has not started"})
	chn := make(chan struct{})
	str.changed.Store(&chn)
	return str
}

func withDefaults(cfg Config) Config {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Run == "" {
		cfg.Run = core.Incarnation(fmt.Sprintf("%08x", cfg.Rand.Uint32()))
	}
	if cfg.Nodes == nil {
		cfg.Nodes = func() []core.NodeName { return []core.NodeName{cfg.Node} }
	}
	if cfg.Timings == (tail.Timings{}) {
		cfg.Timings = tail.DefaultTimings()
	}
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	if cfg.Refresh == 0 {
		cfg.Refresh = defaultRefresh
	}
	if cfg.CallBound == 0 {
		cfg.CallBound = defaultCallBound
	}
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	return cfg
}

// Run follows the log until ctx ends. It returns nil then. Run must be called
// once.
func (str *Store) Run(ctx context.Context) error {
	defer close(str.done)
	grp, sub := errgroup.WithContext(ctx)
	tsk := newTask(str)
	grp.Go(func() error { return tsk.run(sub) })
	grp.Go(func() error { return tsk.readLogs(sub) })
	grp.Go(func() error { return tsk.askPeers(sub) })
	grp.Go(func() error { return tsk.appendBatches(sub) })
	grp.Go(func() error { return tsk.encodeImages(sub) })
	err := grp.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// View returns the newest view of the state. It takes no lock.
func (str *Store) View() *fold.View { return str.view.Load() }

// Changed returns a channel that is closed when the view next changes. To miss
// no change, call Changed before View.
func (str *Store) Changed() <-chan struct{} { return *str.changed.Load() }

// Status returns the health of the store. It takes no lock.
func (str *Store) Status() Status { return *str.status.Load() }

// Propose appends the records in one batch with others that wait, and returns
// the verdict on each once they were read back. A record without an ID is
// given one. A proposal with IDs that were decided on before returns the old
// verdicts.
//
// An error carries core.CodeLogRefused if the records were surely not
// appended, core.CodeLogUnknown if they may have been when ctx ended, and
// core.CodeRecordBad or core.CodeTooLarge if they can't be.
func (str *Store) Propose(ctx context.Context, recs ...recd.Record) ([]fold.Verdict, error) {
	recs = slices.Clone(recs)
	tic := str.ticket.Add(1)
	for idx := range recs {
		if recs[idx].ID == "" {
			recs[idx].ID = core.RecordID(fmt.Sprintf("%s/%s/r%d.%d", str.cfg.Node, str.cfg.Run, tic, idx))
		}
	}
	ans := make(chan tail.Answer, 1)
	err := str.send(ctx, message{evt: tail.Proposed{Ticket: tic, Records: recs}, ans: ans})
	if err != nil {
		return nil, core.Errorf(core.CodeLogRefused, "the records were not appended: %v", err)
	}
	select {
	case got := <-ans:
		return got.Verdicts, got.Err
	case <-str.done:
		return nil, unknown(recs)
	case <-ctx.Done():
	}
	err = str.send(context.WithoutCancel(ctx), message{evt: tail.GivenUp{Ticket: tic}})
	if err != nil {
		return nil, unknown(recs)
	}
	select {
	case got := <-ans:
		return got.Verdicts, got.Err
	case <-str.done:
		return nil, unknown(recs)
	}
}

func unknown(recs []recd.Record) error {
	return core.Errorf(core.CodeLogUnknown, "it is not known whether the log took the records: ask by ID %s", recs[0].ID)
}

// Claim returns the claim of the key and whether there is one.
func (str *Store) Claim(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (fold.Claim, bool, error) {
	return ask2(ctx, str, func(tsk *task) (fold.Claim, bool) { return tsk.fol.State().Claim(org, key) })
}

// Outcome returns the verdict on the record and whether it is remembered.
func (str *Store) Outcome(ctx context.Context, id core.RecordID) (fold.Verdict, bool, error) {
	return ask2(ctx, str, func(tsk *task) (fold.Verdict, bool) { return tsk.fol.State().Outcome(id) })
}

// Relay returns at most max log entries from offset from on. Its error carries
// core.CodeLogGap if they are no longer kept here.
func (str *Store) Relay(from core.Offset, max int) (core.Page, error) {
	pag, err, aer := ask2(context.Background(), str, func(tsk *task) (core.Page, error) { return tsk.fol.Recent(from, max) })
	if aer != nil {
		return core.Page{}, aer
	}
	return pag, err
}

// State returns the encoded state, which may be a little older than the view.
// Its error carries core.CodeNotReady if this node has none.
func (str *Store) State() ([]byte, error) {
	str.stateMut.Lock()
	defer str.stateMut.Unlock()
	off := str.View().Offset()
	if str.state != nil && off <= str.stateAt+stateReuse {
		return str.state, nil
	}
	img, _, err := ask2(context.Background(), str, func(tsk *task) (*fold.Image, bool) { return tsk.image(), true })
	if err != nil {
		return nil, err
	}
	if img == nil {
		return nil, core.Errorf(core.CodeNotReady, "node %s has no state yet", str.cfg.Node)
	}
	str.state = img.Encode()
	str.stateAt = img.Offset()
	return str.state, nil
}

// dropState forgets the state encoded for peers once it is too old to be given
// away again.
func (str *Store) dropState() {
	if !str.stateMut.TryLock() {
		return
	}
	defer str.stateMut.Unlock()
	if str.View().Offset() > str.stateAt+stateReuse {
		str.state = nil
	}
}

// Check holds the hash of a peer's state at an offset against the own one. A
// difference shows in Status as core.CodeHashAlarm.
func (str *Store) Check(nod core.NodeName, at core.Offset, hash uint64) {
	_ = str.send(context.Background(), message{evt: tail.PeerHash{Node: nod, At: at, Hash: hash}})
}
