package model_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/model"
)

var t0 = time.Unix(0, 0)

// config returns a zone in which the prefill of a block takes 10 ms and a
// decode step takes 10 ms plus 1 ms for each request of the batch.
func config() model.Config {
	return model.Config{
		Groups: 2, Slots: 2, PrefillRate: 1000, TokenTime: 10 * time.Millisecond, BatchOverhead: time.Millisecond,
		CacheBlocks: 8, BlockTokens: 10, ReportInterval: time.Second,
		ReportLag: 300 * time.Millisecond, EventLag: 200 * time.Millisecond,
	}
}

// timedEvent is an event and the time since t0 at which it became visible.
type timedEvent struct {
	at  time.Duration
	evt model.Event
}

func runUntil(zone *model.Zone, until time.Duration) []timedEvent {
	var out []timedEvent
	for at := zone.Next(); !at.After(t0.Add(until)); at = zone.Next() {
		for _, evt := range zone.Advance(at) {
			out = append(out, timedEvent{at.Sub(t0), evt})
		}
	}
	return out
}

func newZone(cfg model.Config) *model.Zone {
	return model.New(cfg, t0, rand.New(rand.NewPCG(1, 2)))
}

func newRequest(id uint64, output int, blocks ...uint64) model.Request {
	return model.Request{ID: id, Blocks: blocks, PromptTokens: 100, OutputTokens: output}
}

func ExampleZone() {
	zone := newZone(config())
	zone.Submit(0, newRequest(1, 10), t0)
	for _, rec := range runUntil(zone, 500*time.Millisecond) {
		fmt.Printf("%v %T %+v\n", rec.at.Round(time.Millisecond), rec.evt, rec.evt)
	}
	// Output:
	// 100ms model.FirstToken {ID:1 Group:0}
	// 210ms model.Done {ID:1 Group:0}
}

// TestTimes submits requests at the same time and checks when each completes.
func TestTimes(t *testing.T) {
	tests := []struct {
		name string
		slow float64
		give []model.Request // to group 0
		want []time.Duration // completion times, ascending
	}{
		{"one", 1, []model.Request{newRequest(1, 10)}, []time.Duration{210 * time.Millisecond}},
		{"a straggler", 3, []model.Request{newRequest(1, 10)}, []time.Duration{630 * time.Millisecond}},
		// The prefill of the second request takes from 100 to 200 ms, while the
		// first decodes 100/11 tokens. Both then decode at 12 ms per token until
		// the first completes; the second continues at 11 ms per token.
		{"two requests in a batch", 1, []model.Request{newRequest(1, 10), newRequest(2, 10)},
			[]time.Duration{210909 * time.Microsecond, 310909 * time.Microsecond}},
		{"the third waits for a slot", 1, []model.Request{newRequest(1, 10), newRequest(2, 1), newRequest(3, 1)},
			[]time.Duration{210909 * time.Microsecond, 211909 * time.Microsecond, 321909 * time.Microsecond}},
		{"a cached prefix", 1, []model.Request{newRequest(1, 1, 1, 2, 3, 4, 5), newRequest(2, 1, 1, 2, 3, 4, 9)},
			[]time.Duration{111 * time.Millisecond, 171 * time.Millisecond}},
		{"a cached block after a missing one is not a hit", 1, []model.Request{newRequest(1, 1, 1, 2, 3), newRequest(2, 1, 9, 2, 3)},
			[]time.Duration{111 * time.Millisecond, 211 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := config()
			cfg.Slowdown = map[int]float64{0: tt.slow}
			zone := newZone(cfg)
			for _, req := range tt.give {
				zone.Submit(0, req, t0)
			}
			var ends []time.Duration
			for _, rec := range runUntil(zone, 10*time.Second) {
				if _, ok := rec.evt.(model.Done); ok {
					ends = append(ends, rec.at)
				}
			}
			assert.Equal(t, len(ends), len(tt.want), "%v", ends)
			for idx, want := range tt.want {
				diff := (ends[idx] - want).Abs()
				assert.Assert(t, diff < 100*time.Microsecond, "end %d at %v, want %v", idx, ends[idx], want)
			}
		})
	}
}

// TestCancel cancels a request in each state and checks that all others
// complete.
func TestCancel(t *testing.T) {
	for _, at := range []time.Duration{0, 50, 150, 400} {
		for id := uint64(1); id <= 4; id++ {
			zone := newZone(config())
			for num := uint64(1); num <= 4; num++ {
				zone.Submit(0, newRequest(num, 10), t0)
			}
			ended := map[uint64]bool{}
			recordDone := func(recs []timedEvent) {
				for _, rec := range recs {
					if done, ok := rec.evt.(model.Done); ok {
						ended[done.ID] = true
					}
				}
			}
			recordDone(runUntil(zone, at*time.Millisecond))
			was := ended[id]
			zone.Cancel(id, t0.Add(at*time.Millisecond))
			recordDone(runUntil(zone, 20*time.Second))
			assert.Equal(t, ended[id], was, "request %d cancelled after %d ms", id, at)
			ended[id] = true
			assert.Equal(t, len(ended), 4)
		}
	}
}

// TestLag checks that load reports and cache events are delayed by the
// configured lags, and that the cache doesn't exceed its capacity.
func TestLag(t *testing.T) {
	zone := newZone(config())
	zone.Submit(1, newRequest(1, 60, 1, 2, 3, 4, 5), t0)
	zone.Submit(1, newRequest(2, 60, 6, 7, 8, 9, 10), t0)
	present := map[uint64]bool{}
	var seq uint64
	reports := 0
	for _, rec := range runUntil(zone, 2*time.Second) {
		switch evt := rec.evt.(type) {
		case model.LoadReport:
			assert.Equal(t, rec.at-evt.At.Sub(t0), 300*time.Millisecond)
			if evt.Group == 1 {
				reports++
			}
		case model.CacheUpdate:
			assert.Assert(t, rec.at == 300*time.Millisecond || rec.at == 400*time.Millisecond)
			for _, change := range evt.Events {
				assert.Equal(t, change.Seq, seq+1)
				seq++
				present[change.Block] = change.Present
			}
		}
	}
	assert.Equal(t, reports, 1)
	kept := 0
	for _, ok := range present {
		if ok {
			kept++
		}
	}
	assert.Equal(t, kept, config().CacheBlocks)
	assert.Assert(t, present[1] && !present[5], "the last block of the older prefix is evicted first")
	assert.Equal(t, zone.CacheStats(), model.CacheStats{Lookups: 10})
}

// TestLostEvents checks that lost events leave gaps in the sequence numbers.
func TestLostEvents(t *testing.T) {
	cfg := config()
	cfg.EventLoss = 0.5
	zone := newZone(cfg)
	for id := range uint64(40) {
		zone.Submit(0, newRequest(id, 1, id*2, id*2+1), t0)
	}
	var seqs []uint64
	for _, rec := range runUntil(zone, time.Minute) {
		if update, ok := rec.evt.(model.CacheUpdate); ok {
			for _, evt := range update.Events {
				seqs = append(seqs, evt.Seq)
			}
		}
	}
	last := seqs[len(seqs)-1]
	assert.Assert(t, len(seqs) > int(last)/4 && len(seqs) < int(last)*3/4, "%d of %d", len(seqs), last)
}

// TestReportCounts checks the running and queued requests of a load report.
func TestReportCounts(t *testing.T) {
	zone := newZone(config())
	for id := range uint64(5) {
		zone.Submit(0, newRequest(id, 1000), t0)
	}
	for _, rec := range runUntil(zone, time.Second) {
		if report, ok := rec.evt.(model.LoadReport); ok && report.Group == 0 {
			assert.Equal(t, report.Load, core.Load{Running: 2, Queued: 3})
			return
		}
	}
	t.Fatal("no load report from group 0")
}
