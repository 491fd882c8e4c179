package model

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// task is a submitted request.
type task struct {
	req         Request
	group       *group
	endProgress float64 // value of group.decodedTokens at which the request ends
	heapIndex   int     // index in the batch, or -1
}

// group is the state of one group.
type group struct {
	zone          *Zone
	idx           int
	slowdown      float64
	waiting       []*task
	prefillQueue  []*task // have a slot; the first is being prefilled
	prefillEnd    time.Time
	batch         batchHeap
	decodedTokens float64 // number of tokens decoded per request since the start
	decodedAt     time.Time
	cache         *cache
}

func newGroup(zone *Zone, idx int, now time.Time) *group {
	grp := &group{zone: zone, idx: idx, slowdown: 1, decodedAt: now, cache: newCache(zone.cfg.CacheBlocks)}
	if slow, ok := zone.cfg.Slowdown[idx]; ok {
		grp.slowdown = slow
	}
	return grp
}

func (grp *group) running() int { return len(grp.prefillQueue) + len(grp.batch) }

func (grp *group) submit(task *task, now time.Time) {
	grp.waiting = append(grp.waiting, task)
	grp.startWaiting(now)
}

// startWaiting moves waiting requests to the prefill queue while slots are free.
func (grp *group) startWaiting(now time.Time) {
	for len(grp.waiting) > 0 && grp.running() < grp.zone.cfg.Slots {
		task := grp.waiting[0]
		grp.waiting = grp.waiting[1:]
		grp.prefillQueue = append(grp.prefillQueue, task)
		if len(grp.prefillQueue) == 1 {
			grp.startPrefill(now)
		}
	}
}

// startPrefill starts the prefill of the first prompt in the queue.
func (grp *group) startPrefill(now time.Time) {
	req := grp.prefillQueue[0].req
	found := grp.cache.matchPrefix(req.Blocks)
	grp.zone.cacheStats.Lookups += uint64(len(req.Blocks))
	grp.zone.cacheStats.Hits += uint64(found)
	tokens := max(1, req.PromptTokens-found*grp.zone.cfg.BlockTokens)
	sec := float64(tokens) / grp.zone.cfg.PrefillRate * grp.slowdown
	grp.prefillEnd = now.Add(time.Duration(sec * float64(time.Second)))
}

// stepSeconds returns the duration in seconds of one decode step, which
// generates one token for each request of the batch.
func (grp *group) stepSeconds() float64 {
	cfg := &grp.zone.cfg
	return (cfg.TokenTime + cfg.BatchOverhead*time.Duration(len(grp.batch))).Seconds() * grp.slowdown
}

// updateDecoded updates decodedTokens to the time now. It must be called before
// the batch changes, since the step time depends on the batch size.
func (grp *group) updateDecoded(now time.Time) {
	if len(grp.batch) > 0 {
		grp.decodedTokens += now.Sub(grp.decodedAt).Seconds() / grp.stepSeconds()
	}
	grp.decodedAt = now
}

// nextEvent returns the time of the group's next event, and false if there is
// none.
func (grp *group) nextEvent() (time.Time, bool) {
	end, ok := grp.nextCompletion()
	if len(grp.prefillQueue) > 0 && (!ok || grp.prefillEnd.Before(end)) {
		return grp.prefillEnd, true
	}
	return end, ok
}

func (grp *group) advance(now time.Time) {
	for len(grp.prefillQueue) > 0 && !grp.prefillEnd.After(now) {
		grp.startDecode(now)
	}
	for at, ok := grp.nextCompletion(); ok && !at.After(now); at, ok = grp.nextCompletion() {
		grp.updateDecoded(now)
		task := heap.Pop(&grp.batch).(*task)
		delete(grp.zone.tasks, task.req.ID)
		grp.zone.emit(Done{ID: task.req.ID, Group: grp.idx})
	}
	grp.startWaiting(now)
}

// nextCompletion returns when the first request of the batch ends, rounded up
// to the nanosecond, and false if the batch is empty.
func (grp *group) nextCompletion() (time.Time, bool) {
	if len(grp.batch) == 0 {
		return time.Time{}, false
	}
	sec := max(0, grp.batch[0].endProgress-grp.decodedTokens) * grp.stepSeconds()
	return grp.decodedAt.Add(time.Duration(math.Ceil(sec * float64(time.Second)))), true
}

// startDecode moves the prefilled request to the batch and starts the next
// prefill.
func (grp *group) startDecode(now time.Time) {
	task := grp.prefillQueue[0]
	grp.prefillQueue = grp.prefillQueue[1:]
	grp.recordCacheEvents(grp.cache.insert(task.req.Blocks))
	grp.updateDecoded(now)
	task.endProgress = grp.decodedTokens + float64(task.req.OutputTokens)
	heap.Push(&grp.batch, task)
	grp.zone.emit(FirstToken{ID: task.req.ID, Group: grp.idx})
	if len(grp.prefillQueue) > 0 {
		grp.startPrefill(now)
	}
	grp.publishCacheEvents(now)
}

func (grp *group) cancel(task *task, now time.Time) {
	if pos := slices.Index(grp.waiting, task); pos >= 0 {
		grp.waiting = slices.Delete(grp.waiting, pos, pos+1)
		return
	}
	if task.heapIndex >= 0 {
		grp.updateDecoded(now)
		heap.Remove(&grp.batch, task.heapIndex)
	} else if pos := slices.Index(grp.prefillQueue, task); pos >= 0 {
		grp.prefillQueue = slices.Delete(grp.prefillQueue, pos, pos+1)
		if pos == 0 && len(grp.prefillQueue) > 0 {
			grp.startPrefill(now)
		}
	}
	grp.startWaiting(now)
}

// sendLoadReport emits a load report after ReportLag and schedules the next one.
func (grp *group) sendLoadReport(now time.Time) {
	cfg := &grp.zone.cfg
	rep := LoadReport{
		Group: grp.idx,
		Load:  core.Load{Running: grp.running(), Queued: len(grp.waiting)},
		At:    now,
	}
	grp.zone.schedule(now.Add(cfg.ReportLag), func(time.Time) { grp.zone.emit(rep) })
	grp.zone.schedule(now.Add(cfg.ReportInterval), grp.sendLoadReport)
}

// recordCacheEvents assigns sequence numbers to the events and queues them for
// publication. A fraction EventLoss of them is dropped.
func (grp *group) recordCacheEvents(events []core.CacheEvent) {
	for _, evt := range events {
		grp.cache.lastSeq++
		evt.Seq = grp.cache.lastSeq
		if grp.zone.rng.Float64() >= grp.zone.cfg.EventLoss {
			grp.cache.unpublished = append(grp.cache.unpublished, evt)
		}
	}
}

// publishCacheEvents emits the queued cache events after EventLag.
func (grp *group) publishCacheEvents(now time.Time) {
	if len(grp.cache.unpublished) == 0 {
		return
	}
	evt := CacheUpdate{Group: grp.idx, Events: grp.cache.unpublished}
	grp.cache.unpublished = nil
	grp.zone.schedule(now.Add(grp.zone.cfg.EventLag), func(time.Time) { grp.zone.emit(evt) })
}

// batchHeap is a min-heap of the requests being decoded, ordered by their end.
type batchHeap []*task

var _ heap.Interface = (*batchHeap)(nil)

func (bh batchHeap) Len() int { return len(bh) }

func (bh batchHeap) Less(idx, other int) bool {
	if bh[idx].endProgress != bh[other].endProgress {
		return bh[idx].endProgress < bh[other].endProgress
	}
	return bh[idx].req.ID < bh[other].req.ID
}

func (bh batchHeap) Swap(idx, other int) {
	bh[idx], bh[other] = bh[other], bh[idx]
	bh[idx].heapIndex, bh[other].heapIndex = idx, other
}

func (bh *batchHeap) Push(val any) {
	task := val.(*task)
	task.heapIndex = len(*bh)
	*bh = append(*bh, task)
}

func (bh *batchHeap) Pop() any {
	last := len(*bh) - 1
	task := (*bh)[last]
	task.heapIndex = -1
	(*bh)[last] = nil
	*bh = (*bh)[:last]
	return task
}
