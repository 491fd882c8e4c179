package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"kumquathinge/core"
)

// Config describes the groups of a zone, which are all alike but for their
// speed. All fields but Slow, EventLoss and the lags must be positive.
type Config struct {
	Groups      int
	Slots       int           // requests that one group runs at once
	Prefill     float64       // prompt tokens per second
	TokenTime   time.Duration // for each token, with an empty batch
	BatchTime   time.Duration // added to TokenTime for each request in the batch
	CacheBlocks int           // prefix blocks that one group keeps
	BlockTokens int           // prompt tokens in one block
	ReportEvery time.Duration // between two load reports of a group
	ReportLag   time.Duration
	EventLag    time.Duration
	EventLoss   float64         // part of the cache events that get lost, in [0, 1]
	Slow        map[int]float64 // slowness by group, where it isn't 1
}

// Request is what a group runs. The blocks are hashes of the prompt's prefix
// blocks, as from route.Blocks.
type Request struct {
	ID     uint64
	Blocks []uint64
	Prompt int // tokens
	Output int // tokens, at least 1
}

// Event is something that the zone's owner gets to see: a First, Done, Report
// or Cache.
type Event interface{ event() }

// First tells that a request has its first token.
type First struct {
	ID    uint64
	Group int
}

// Done tells that a request has its last token.
type Done struct {
	ID    uint64
	Group int
}

// Report is a load report that was made at the time At.
type Report struct {
	Group int
	Load  core.Load
	At    time.Time
}

// Cache is a batch of cache events of one group.
type Cache struct {
	Group  int
	Events []core.CacheEvent
}

func (First) event()  {}
func (Done) event()   {}
func (Report) event() {}
func (Cache) event()  {}

// Hits counts prefix blocks.
type Hits struct {
	Looked uint64 // blocks of the prompts that were prefilled
	Found  uint64 // those that the cache had
}

// Zone is the state of the groups. Use New.
type Zone struct {
	cfg     Config
	rnd     *rand.Rand
	servers []*server
	runs    map[uint64]*run
	later   laterHeap
	seq     uint64
	out     []Event
	hits    Hits
}

// New returns a Zone without requests at time now. Its random numbers, for
// lost events, come from rnd. New panics if the Config is out of range.
func New(cfg Config, now time.Time, rnd *rand.Rand) *Zone {
	if cfg.Groups <= 0 || cfg.Slots <= 0 || cfg.CacheBlocks <= 0 || cfg.BlockTokens <= 0 ||
		!(cfg.Prefill > 0) || cfg.TokenTime <= 0 || cfg.ReportEvery <= 0 {
		panic(fmt.Sprintf("model: bad config %+v", cfg))
	}
	zon := &Zone{cfg: cfg, rnd: rnd, runs: make(map[uint64]*run)}
	for idx := range cfg.Groups {
		srv := newServer(zon, idx, now)
		zon.servers = append(zon.servers, srv)
		first := cfg.ReportEvery * time.Duration(idx+1) / time.Duration(cfg.Groups)
		zon.after(now.Add(first), srv.report)
	}
	return zon
}

// Submit sends a request to a group. Submit panics if the ID is in use.
func (zon *Zone) Submit(group int, req Request, now time.Time) {
	if _, ok := zon.runs[req.ID]; ok {
		panic(fmt.Sprintf("model: request %d submitted twice", req.ID))
	}
	rn := &run{req: req, srv: zon.servers[group], index: -1}
	zon.runs[req.ID] = rn
	rn.srv.submit(rn, now)
}

// Cancel ends a request without a Done. Other IDs are ignored.
func (zon *Zone) Cancel(id uint64, now time.Time) {
	if rn, ok := zon.runs[id]; ok {
		delete(zon.runs, id)
		rn.srv.cancel(rn, now)
	}
}

// Next returns the time of the next event.
func (zon *Zone) Next() time.Time {
	at := zon.later[0].at
	for _, srv := range zon.servers {
		if nxt, ok := srv.next(); ok && nxt.Before(at) {
			at = nxt
		}
	}
	return at
}

// Advance handles the events due by now, which must not be after Next, and
// returns what becomes visible.
func (zon *Zone) Advance(now time.Time) []Event {
	zon.out = nil
	for _, srv := range zon.servers {
		srv.advance(now)
	}
	for !zon.later[0].at.After(now) {
		ltr := heap.Pop(&zon.later).(later)
		ltr.call(now)
	}
	return zon.out
}

// Hits returns the counts of prefix blocks since the start.
func (zon *Zone) Hits() Hits { return zon.hits }

func (zon *Zone) emit(evt Event) { zon.out = append(zon.out, evt) }

// after has call called at a time. Calls at one time keep their order.
func (zon *Zone) after(at time.Time, call func(now time.Time)) {
	zon.seq++
	heap.Push(&zon.later, later{at: at, seq: zon.seq, call: call})
}

type later struct {
	at   time.Time
	seq  uint64
	call func(now time.Time)
}

type laterHeap []later

var _ heap.Interface = (*laterHeap)(nil)

func (lth laterHeap) Len() int { return len(lth) }

func (lth laterHeap) Less(idx, oth int) bool {
	if !lth[idx].at.Equal(lth[oth].at) {
		return lth[idx].at.Before(lth[oth].at)
	}
	return lth[idx].seq < lth[oth].seq
}

func (lth laterHeap) Swap(idx, oth int) { lth[idx], lth[oth] = lth[oth], lth[idx] }

func (lth *laterHeap) Push(val any) { *lth = append(*lth, val.(later)) }

func (lth *laterHeap) Pop() any {
	last := len(*lth) - 1
	val := (*lth)[last]
	(*lth)[last] = later{}
	*lth = (*lth)[:last]
	return val
}
