package model

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// run is a request in a group.
type run struct {
	req   Request
	srv   *server
	until float64 // the group's progress at which the request ends
	index int     // in the batch, or -1
}

// server is one group.
type server struct {
	zon     *Zone
	idx     int
	slow    float64
	waiting []*run
	prompts []*run // admitted; the first is being prefilled
	prompt  time.Time
	batch   batch
	done    float64 // tokens that a request decoded since the start would have
	doneAt  time.Time
	cache   *cache
}

func newServer(zon *Zone, idx int, now time.Time) *server {
	srv := &server{zon: zon, idx: idx, slow: 1, doneAt: now, cache: newCache(zon.cfg.CacheBlocks)}
	if slow, ok := zon.cfg.Slow[idx]; ok {
		srv.slow = slow
	}
	return srv
}

func (srv *server) running() int { return len(srv.prompts) + len(srv.batch) }

func (srv *server) submit(rn *run, now time.Time) {
	srv.waiting = append(srv.waiting, rn)
	srv.fill(now)
}

// fill starts waiting requests while slots are free.
func (srv *server) fill(now time.Time) {
	for len(srv.waiting) > 0 && srv.running() < srv.zon.cfg.Slots {
		rn := srv.waiting[0]
		srv.waiting = srv.waiting[1:]
		srv.prompts = append(srv.prompts, rn)
		if len(srv.prompts) == 1 {
			srv.prefill(now)
		}
	}
}

// prefill starts on the first prompt.
func (srv *server) prefill(now time.Time) {
	req := srv.prompts[0].req
	found := srv.cache.found(req.Blocks)
	srv.zon.hits.Looked += uint64(len(req.Blocks))
	srv.zon.hits.Found += uint64(found)
	tokens := max(1, req.Prompt-found*srv.zon.cfg.BlockTokens)
	sec := float64(tokens) / srv.zon.cfg.Prefill * srv.slow
	srv.prompt = now.Add(time.Duration(sec * float64(time.Second)))
}

// tokenTime returns the seconds that the batch takes for one token each.
func (srv *server) tokenTime() float64 {
	cfg := &srv.zon.cfg
	return (cfg.TokenTime + cfg.BatchTime*time.Duration(len(srv.batch))).Seconds() * srv.slow
}

// progress brings the decoded tokens up to now. Call it before the batch
// changes.
func (srv *server) progress(now time.Time) {
	if len(srv.batch) > 0 {
		srv.done += now.Sub(srv.doneAt).Seconds() / srv.tokenTime()
	}
	srv.doneAt = now
}

// next returns the time of the group's next event and whether there is one.
func (srv *server) next() (time.Time, bool) {
	end, ok := srv.decodeEnd()
	if len(srv.prompts) > 0 && (!ok || srv.prompt.Before(end)) {
		return srv.prompt, true
	}
	return end, ok
}

func (srv *server) advance(now time.Time) {
	for len(srv.prompts) > 0 && !srv.prompt.After(now) {
		srv.decode(now)
	}
	for at, ok := srv.decodeEnd(); ok && !at.After(now); at, ok = srv.decodeEnd() {
		srv.progress(now)
		rn := heap.Pop(&srv.batch).(*run)
		delete(srv.zon.runs, rn.req.ID)
		srv.zon.emit(Done{ID: rn.req.ID, Group: srv.idx})
	}
	srv.fill(now)
}

// decodeEnd returns when the first of the batch ends, rounded up to the
// nanosecond.
func (srv *server) decodeEnd() (time.Time, bool) {
	if len(srv.batch) == 0 {
		return time.Time{}, false
	}
	sec := max(0, srv.batch[0].until-srv.done) * srv.tokenTime()
	return srv.doneAt.Add(time.Duration(math.Ceil(sec * float64(time.Second)))), true
}

// decode moves the prefilled request to the batch.
func (srv *server) decode(now time.Time) {
	rn := srv.prompts[0]
	srv.prompts = srv.prompts[1:]
	srv.changed(srv.cache.insert(rn.req.Blocks))
	srv.progress(now)
	rn.until = srv.done + float64(rn.req.Output)
	heap.Push(&srv.batch, rn)
	srv.zon.emit(First{ID: rn.req.ID, Group: srv.idx})
	if len(srv.prompts) > 0 {
		srv.prefill(now)
	}
	srv.publish(now)
}

func (srv *server) cancel(rn *run, now time.Time) {
	if pos := slices.Index(srv.waiting, rn); pos >= 0 {
		srv.waiting = slices.Delete(srv.waiting, pos, pos+1)
		return
	}
	if rn.index >= 0 {
		srv.progress(now)
		heap.Remove(&srv.batch, rn.index)
	} else if pos := slices.Index(srv.prompts, rn); pos >= 0 {
		srv.prompts = slices.Delete(srv.prompts, pos, pos+1)
		if pos == 0 && len(srv.prompts) > 0 {
			srv.prefill(now)
		}
	}
	srv.fill(now)
}

// report sends a load report and plans the next.
func (srv *server) report(now time.Time) {
	cfg := &srv.zon.cfg
	rep := Report{
		Group: srv.idx,
		Load:  core.Load{Running: srv.running(), Queued: len(srv.waiting)},
		At:    now,
	}
	srv.zon.after(now.Add(cfg.ReportLag), func(time.Time) { srv.zon.emit(rep) })
	srv.zon.after(now.Add(cfg.ReportEvery), srv.report)
}

// changed numbers the cache's changes, some of which get lost.
func (srv *server) changed(events []core.CacheEvent) {
	for _, evt := range events {
		srv.cache.seq++
		evt.Seq = srv.cache.seq
		if srv.zon.rnd.Float64() >= srv.zon.cfg.EventLoss {
			srv.cache.events = append(srv.cache.events, evt)
		}
	}
}

// publish sends the cache's changes on their way.
func (srv *server) publish(now time.Time) {
	if len(srv.cache.events) == 0 {
		return
	}
	evt := Cache{Group: srv.idx, Events: srv.cache.events}
	srv.cache.events = nil
	srv.zon.after(now.Add(srv.zon.cfg.EventLag), func(time.Time) { srv.zon.emit(evt) })
}

// batch is a heap of the requests being decoded, by their end.
type batch []*run

var _ heap.Interface = (*batch)(nil)

func (bat batch) Len() int { return len(bat) }

func (bat batch) Less(idx, oth int) bool {
	if bat[idx].until != bat[oth].until {
		return bat[idx].until < bat[oth].until
	}
	return bat[idx].req.ID < bat[oth].req.ID
}

func (bat batch) Swap(idx, oth int) {
	bat[idx], bat[oth] = bat[oth], bat[idx]
	bat[idx].index, bat[oth].index = idx, oth
}

func (bat *batch) Push(val any) {
	rn := val.(*run)
	rn.index = len(*bat)
	*bat = append(*bat, rn)
}

func (bat *batch) Pop() any {
	last := len(*bat) - 1
	rn := (*bat)[last]
	rn.index = -1
	(*bat)[last] = nil
	*bat = (*bat)[:last]
	return rn
}
