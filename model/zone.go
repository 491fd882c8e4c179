package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"kumquathinge/core"
)

// Config describes the groups of a zone, which differ only in speed. All
// fields except Slowdown, EventLoss and the lags must be positive.
type Config struct {
	Groups         int
	Slots          int           // maximum number of concurrent requests per group
	PrefillRate    float64       // prompt tokens per second
	TokenTime      time.Duration // time per decoded token without BatchOverhead
	BatchOverhead  time.Duration // added to TokenTime for each request in the batch
	CacheBlocks    int           // capacity of a group's prefix cache, in blocks
	BlockTokens    int           // prompt tokens per block
	ReportInterval time.Duration // between load reports of a group
	ReportLag      time.Duration
	EventLag       time.Duration
	EventLoss      float64         // probability that a cache event is lost, in [0, 1]
	Slowdown       map[int]float64 // factor by group index; 1 if absent
}

// Request is a generation request. Blocks holds the hashes of the prompt's
// prefix blocks, as returned by route.Blocks.
type Request struct {
	ID           uint64
	Blocks       []uint64
	PromptTokens int
	OutputTokens int // at least 1
}

// Event is an event that is visible to the caller: a FirstToken, Done,
// LoadReport or CacheUpdate.
type Event interface{ event() }

// FirstToken reports that the prefill of a request is complete.
type FirstToken struct {
	ID    uint64
	Group int
}

// Done reports that a request is complete.
type Done struct {
	ID    uint64
	Group int
}

// LoadReport is the load of a group at the time At.
type LoadReport struct {
	Group int
	Load  core.Load
	At    time.Time
}

// CacheUpdate is a list of cache events of one group.
type CacheUpdate struct {
	Group  int
	Events []core.CacheEvent
}

func (FirstToken) event()  {}
func (Done) event()        {}
func (LoadReport) event()  {}
func (CacheUpdate) event() {}

// CacheStats counts prefix cache lookups, in blocks.
type CacheStats struct {
	Lookups uint64 // blocks of all prompts whose prefill started
	Hits    uint64 // blocks found in the cache
}

// Zone simulates the groups of a zone. Use New to create one.
type Zone struct {
	cfg        Config
	rng        *rand.Rand
	groups     []*group
	tasks      map[uint64]*task
	timers     timerHeap
	timerSeq   uint64
	visible    []Event
	cacheStats CacheStats
}

// New returns a Zone without requests at time now. It uses rng to select the
// cache events that are lost. New panics if cfg is out of range.
func New(cfg Config, now time.Time, rng *rand.Rand) *Zone {
	if cfg.Groups <= 0 || cfg.Slots <= 0 || cfg.CacheBlocks <= 0 || cfg.BlockTokens <= 0 ||
		!(cfg.PrefillRate > 0) || cfg.TokenTime <= 0 || cfg.ReportInterval <= 0 {
		panic(fmt.Sprintf("model: config out of range: %+v", cfg))
	}
	zone := &Zone{cfg: cfg, rng: rng, tasks: make(map[uint64]*task)}
	for idx := range cfg.Groups {
		grp := newGroup(zone, idx, now)
		zone.groups = append(zone.groups, grp)
		first := cfg.ReportInterval * time.Duration(idx+1) / time.Duration(cfg.Groups)
		zone.schedule(now.Add(first), grp.sendLoadReport)
	}
	return zone
}

// Submit sends a request to a group. It panics if a request with the same ID
// is active.
func (zone *Zone) Submit(group int, req Request, now time.Time) {
	if _, ok := zone.tasks[req.ID]; ok {
		panic(fmt.Sprintf("model: request %d is already active", req.ID))
	}
	task := &task{req: req, group: zone.groups[group], heapIndex: -1}
	zone.tasks[req.ID] = task
	task.group.submit(task, now)
}

// Cancel removes an active request; no Done event follows. Unknown IDs are
// ignored.
func (zone *Zone) Cancel(id uint64, now time.Time) {
	if task, ok := zone.tasks[id]; ok {
		delete(zone.tasks, id)
		task.group.cancel(task, now)
	}
}

// Next returns the time of the next event, visible or not.
func (zone *Zone) Next() time.Time {
	at := zone.timers[0].at
	for _, grp := range zone.groups {
		if next, ok := grp.nextEvent(); ok && next.Before(at) {
			at = next
		}
	}
	return at
}

// Advance processes the events due at now, which must not be after Next, and
// returns the events that become visible.
func (zone *Zone) Advance(now time.Time) []Event {
	zone.visible = nil
	for _, grp := range zone.groups {
		grp.advance(now)
	}
	for !zone.timers[0].at.After(now) {
		tmr := heap.Pop(&zone.timers).(timer)
		tmr.callback(now)
	}
	return zone.visible
}

// CacheStats returns the cache statistics of all groups since the start.
func (zone *Zone) CacheStats() CacheStats { return zone.cacheStats }

func (zone *Zone) emit(evt Event) { zone.visible = append(zone.visible, evt) }

// schedule calls call at the time at. Calls for the same time run in the order
// in which they were scheduled.
func (zone *Zone) schedule(at time.Time, call func(now time.Time)) {
	zone.timerSeq++
	heap.Push(&zone.timers, timer{at: at, seq: zone.timerSeq, callback: call})
}

type timer struct {
	at       time.Time
	seq      uint64
	callback func(now time.Time)
}

type timerHeap []timer

var _ heap.Interface = (*timerHeap)(nil)

func (th timerHeap) Len() int { return len(th) }

func (th timerHeap) Less(idx, other int) bool {
	if !th[idx].at.Equal(th[other].at) {
		return th[idx].at.Before(th[other].at)
	}
	return th[idx].seq < th[other].seq
}

func (th timerHeap) Swap(idx, other int) { th[idx], th[other] = th[other], th[idx] }

func (th *timerHeap) Push(val any) { *th = append(*th, val.(timer)) }

func (th *timerHeap) Pop() any {
	last := len(*th) - 1
	val := (*th)[last]
	(*th)[last] = timer{}
	*th = (*th)[:last]
	return val
}
