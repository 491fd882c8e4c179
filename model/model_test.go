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

// config is a zone in which a prompt block takes 10 ms to prefill and a token
// 10 ms to decode, and 1 ms more for each request in the batch.
func config() model.Config {
	return model.Config{
		Groups: 2, Slots: 2, Prefill: 1000, TokenTime: 10 * time.Millisecond, BatchTime: time.Millisecond,
		CacheBlocks: 8, BlockTokens: 10, ReportEvery: time.Second,
		ReportLag: 300 * time.Millisecond, EventLag: 200 * time.Millisecond,
	}
}

// seen is an event with its time.
type seen struct {
	at  time.Duration
	evt model.Event
}

func run(zon *model.Zone, until time.Duration) []seen {
	var out []seen
	for at := zon.Next(); !at.After(t0.Add(until)); at = zon.Next() {
		for _, evt := range zon.Advance(at) {
			out = append(out, seen{at.Sub(t0), evt})
		}
	}
	return out
}

func start(cfg model.Config) *model.Zone {
	return model.New(cfg, t0, rand.New(rand.NewPCG(1, 2)))
}

func request(id uint64, output int, blocks ...uint64) model.Request {
	return model.Request{ID: id, Blocks: blocks, Prompt: 100, Output: output}
}

func ExampleZone() {
	zon := start(config())
	zon.Submit(0, request(1, 10), t0)
	for _, sen := range run(zon, 500*time.Millisecond) {
		fmt.Printf("%v %T %+v\n", sen.at.Round(time.Millisecond), sen.evt, sen.evt)
	}
	// Output:
	// 100ms model.First {ID:1 Group:0}
	// 210ms model.Done {ID:1 Group:0}
}

// TestTimes submits requests at once and wants the times of their ends.
func TestTimes(t *testing.T) {
	tests := []struct {
		name string
		slow float64
		give []model.Request // to group 0
		want []time.Duration // of the ends, in order
	}{
		{"one", 1, []model.Request{request(1, 10)}, []time.Duration{210 * time.Millisecond}},
		{"a straggler", 3, []model.Request{request(1, 10)}, []time.Duration{630 * time.Millisecond}},
		// The second is prefilled from 100 to 200 ms, while the first decodes
		// 100/11 tokens. Both then decode at 12 ms for each token until the first
		// ends, and the second goes on at 11 ms.
		{"two share", 1, []model.Request{request(1, 10), request(2, 10)},
			[]time.Duration{210909 * time.Microsecond, 310909 * time.Microsecond}},
		{"the third waits for a slot", 1, []model.Request{request(1, 10), request(2, 1), request(3, 1)},
			[]time.Duration{210909 * time.Microsecond, 211909 * time.Microsecond, 321909 * time.Microsecond}},
		{"a known prefix", 1, []model.Request{request(1, 1, 1, 2, 3, 4, 5), request(2, 1, 1, 2, 3, 4, 9)},
			[]time.Duration{111 * time.Millisecond, 171 * time.Millisecond}},
		{"a block behind an unknown one doesn't count", 1, []model.Request{request(1, 1, 1, 2, 3), request(2, 1, 9, 2, 3)},
			[]time.Duration{111 * time.Millisecond, 211 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := config()
			cfg.Slow = map[int]float64{0: tt.slow}
			zon := start(cfg)
			for _, req := range tt.give {
				zon.Submit(0, req, t0)
			}
			var ends []time.Duration
			for _, sen := range run(zon, 10*time.Second) {
				if _, ok := sen.evt.(model.Done); ok {
					ends = append(ends, sen.at)
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

// TestCancel cancels a request in each state and wants the others to end.
func TestCancel(t *testing.T) {
	for _, at := range []time.Duration{0, 50, 150, 400} {
		for id := uint64(1); id <= 4; id++ {
			zon := start(config())
			for num := uint64(1); num <= 4; num++ {
				zon.Submit(0, request(num, 10), t0)
			}
			ended := map[uint64]bool{}
			note := func(sens []seen) {
				for _, sen := range sens {
					if don, ok := sen.evt.(model.Done); ok {
						ended[don.ID] = true
					}
				}
			}
			note(run(zon, at*time.Millisecond))
			was := ended[id]
			zon.Cancel(id, t0.Add(at*time.Millisecond))
			note(run(zon, 20*time.Second))
			assert.Equal(t, ended[id], was, "request %d cancelled after %d ms", id, at)
			ended[id] = true
			assert.Equal(t, len(ended), 4)
		}
	}
}

// TestLag wants reports and cache events late by their lags, and the cache
// within its size.
func TestLag(t *testing.T) {
	zon := start(config())
	zon.Submit(1, request(1, 60, 1, 2, 3, 4, 5), t0)
	zon.Submit(1, request(2, 60, 6, 7, 8, 9, 10), t0)
	have := map[uint64]bool{}
	var seq uint64
	reports := 0
	for _, sen := range run(zon, 2*time.Second) {
		switch evt := sen.evt.(type) {
		case model.Report:
			assert.Equal(t, sen.at-evt.At.Sub(t0), 300*time.Millisecond)
			if evt.Group == 1 {
				reports++
			}
		case model.Cache:
			assert.Assert(t, sen.at == 300*time.Millisecond || sen.at == 400*time.Millisecond)
			for _, one := range evt.Events {
				assert.Equal(t, one.Seq, seq+1)
				seq++
				have[one.Block] = one.Present
			}
		}
	}
	assert.Equal(t, reports, 1)
	kept := 0
	for _, ok := range have {
		if ok {
			kept++
		}
	}
	assert.Equal(t, kept, config().CacheBlocks)
	assert.Assert(t, have[1] && !have[5], "the end of the older prefix goes first")
	assert.Equal(t, zon.Hits(), model.Hits{Looked: 10})
}

// TestLostEvents wants gaps in the sequence.
func TestLostEvents(t *testing.T) {
	cfg := config()
	cfg.EventLoss = 0.5
	zon := start(cfg)
	for id := range uint64(40) {
		zon.Submit(0, request(id, 1, id*2, id*2+1), t0)
	}
	var seqs []uint64
	for _, sen := range run(zon, time.Minute) {
		if cch, ok := sen.evt.(model.Cache); ok {
			for _, evt := range cch.Events {
				seqs = append(seqs, evt.Seq)
			}
		}
	}
	last := seqs[len(seqs)-1]
	assert.Assert(t, len(seqs) > int(last)/4 && len(seqs) < int(last)*3/4, "%d of %d", len(seqs), last)
}

// TestReportCounts wants running and waiting requests in the report.
func TestReportCounts(t *testing.T) {
	zon := start(config())
	for id := range uint64(5) {
		zon.Submit(0, request(id, 1000), t0)
	}
	for _, sen := range run(zon, time.Second) {
		if rep, ok := sen.evt.(model.Report); ok && rep.Group == 0 {
			assert.Equal(t, rep.Load, core.Load{Running: 2, Queued: 3})
			return
		}
	}
	t.Fatal("no report")
}
