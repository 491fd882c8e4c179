package main_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/engine"
	"kumquathinge/io/front"
)

// Load of one entry VM at the target.
const (
	loadToken  = 75 * time.Millisecond
	loadTokens = 291
	loadOpen   = 218
)

var errNotWhole = errors.New("answer was not whole")

// caller asks the daemon for completions and keeps its connections.
type caller struct {
	rig   *rig
	cli   *http.Client
	mtx   sync.Mutex
	first []time.Duration
	gaps  []time.Duration
	count int
	fails int
}

func newCaller(rig *rig) *caller {
	return &caller{rig: rig, cli: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// ask reads one streamed answer and notes the time to its first token and
// between tokens.
func (cal *caller) ask(ctx context.Context, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"a brown dog with a white ear was seen %d","max_tokens":%d,"stream":true}`, rigModel, rand.IntN(1000), tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cal.rig.addrs.Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+orgKey(rand.IntN(cal.rig.cfg.orgs)))
	last, got := time.Now(), 0
	res, err := cal.cli.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	whole := false
	for scn := bufio.NewScanner(res.Body); scn.Scan(); {
		if strings.HasPrefix(scn.Text(), "id: ") {
			now := time.Now()
			cal.note(got, now.Sub(last))
			last = now
			got++
		}
		whole = whole || scn.Text() == "data: [DONE]"
	}
	if !whole {
		return errNotWhole
	}
	return nil
}

// direct reads one answer from an engine, past the daemon.
func (cal *caller) direct(ctx context.Context, eng *engine.Engine, led lead, tokens int) error {
	last := time.Now()
	str, err := eng.Generate(ctx, core.GenerateRequest{
		Attempt: core.AttemptID(fmt.Sprint("direct-", rand.Uint64())), Request: "r", Group: led.grp, FencingToken: led.num, Prompt: "a brown dog", MaxTokens: tokens,
	})
	if err != nil {
		return err
	}
	defer str.Close()
	for got := 0; ; {
		chk, err := str.Next(ctx)
		if err != nil || chk.End {
			return err
		}
		if !chk.Head {
			now := time.Now()
			cal.note(got, now.Sub(last))
			last = now
			got++
		}
	}
}

func (cal *caller) note(pos int, dur time.Duration) {
	cal.mtx.Lock()
	defer cal.mtx.Unlock()
	cal.count++
	if pos == 0 {
		cal.first = append(cal.first, dur)
	} else {
		cal.gaps = append(cal.gaps, dur)
	}
}

// keep holds so many answers open until ctx ends. The first ones are cut short
// at random, so that answers end evenly over time.
func (cal *caller) keep(ctx context.Context, open, tokens int, ask func(ctx context.Context, tokens int) error) *sync.WaitGroup {
	var wgr sync.WaitGroup
	for range open {
		wgr.Go(func() {
			for num := 1 + rand.IntN(tokens); ctx.Err() == nil; num = tokens {
				err := ask(ctx, num)
				if err != nil && ctx.Err() == nil {
					cal.mtx.Lock()
					cal.fails++
					cal.mtx.Unlock()
				}
			}
		})
	}
	return &wgr
}

// reset forgets what was noted.
func (cal *caller) reset() {
	cal.mtx.Lock()
	defer cal.mtx.Unlock()
	cal.first, cal.gaps, cal.count, cal.fails = nil, nil, 0, 0
}

// report reports what was noted over a window, and the daemon's processor time
// for a token.
func (cal *caller) report(ben *testing.B, spent, took time.Duration) {
	cal.mtx.Lock()
	defer cal.mtx.Unlock()
	ben.ReportMetric(float64(cal.count)/took.Seconds(), "tokens/s")
	ben.ReportMetric(float64(len(cal.first))/took.Seconds(), "requests/s")
	ben.ReportMetric(100*spent.Seconds()/took.Seconds(), "%core")
	ben.ReportMetric(p95(cal.first), "first-p95-ms")
	ben.ReportMetric(p95(cal.gaps), "gap-p95-ms")
	ben.ReportMetric(float64(cal.fails), "fails")
	ben.ReportMetric(cal.rig.resident()/1e6, "resident-MB")
	ben.ReportMetric(0, "ns/op")
}

func p95(all []time.Duration) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100].Seconds() * 1000
}

// BenchmarkStreams is one daemon with open answers at the target's pace and
// length. Without any, it is the daemon's control share. Direct ones pass by
// the daemon, for comparison.
func BenchmarkStreams(ben *testing.B) {
	cpu, mem := newFit("%core"), newFit("MB")
	for _, open := range []int{0, 25, 50, 100, loadOpen, 2 * loadOpen, -loadOpen} {
		name := fmt.Sprint("open=", open)
		if open < 0 {
			name = fmt.Sprint("direct=", -open)
		}
		ben.Run(name, func(ben *testing.B) {
			rig := newRig(ben, rigConfig{nodes: 4, servers: 16, listed: 600, orgs: 10, token: loadToken})
			cal := newCaller(rig)
			ctx, cancel := context.WithCancel(context.Background())
			ask := cal.ask
			if open < 0 {
				led := rig.leads[0]
				eng := engine.New(led.addr, engine.Config{})
				ask = func(ctx context.Context, tokens int) error { return cal.direct(ctx, eng, led, tokens) }
			}
			wgr := cal.keep(ctx, max(open, -open), loadTokens, ask)
			time.Sleep(rigWarm)
			for ben.Loop() {
				rig.bytes["probe"].Store(0)
				cal.reset()
				begin, spent := time.Now(), rig.cpu()
				time.Sleep(rigWindow)
				took := time.Since(begin)
				spent = rig.cpu() - spent
				if open >= 0 {
					cpu.add(float64(open), 100*spent.Seconds()/took.Seconds())
					mem.add(float64(open), rig.resident()/1e6)
				}
				cal.report(ben, spent, took)
				ben.ReportMetric(float64(rig.bytes["probe"].Load())/took.Seconds()/1000, "engine-KB/s")
			}
			cancel()
			wgr.Wait()
		})
	}
	cpu.report(ben, "cpu-by-open")
	mem.report(ben, "resident-by-open")
}

// BenchmarkRequests is one daemon with requests of a single token, as fast as
// 16 callers send them.
func BenchmarkRequests(ben *testing.B) {
	for _, orgs := range []int{1, 10, 100} {
		ben.Run(fmt.Sprint("orgs=", orgs), func(ben *testing.B) {
			rig := newRig(ben, rigConfig{nodes: 4, servers: 88, listed: 600, orgs: orgs})
			cal := newCaller(rig)
			for ben.Loop() {
				ctx, cancel := context.WithCancel(context.Background())
				begin, spent := time.Now(), rig.cpu()
				wgr := cal.keep(ctx, 16, 1, cal.ask)
				time.Sleep(rigWindow)
				took, used := time.Since(begin), rig.cpu()-spent
				cancel()
				wgr.Wait()
				cal.report(ben, used, took)
				ben.ReportMetric(float64(used.Microseconds())/float64(max(1, len(cal.first))), "us/request")
			}
		})
	}
}

// BenchmarkClaims is one of so many entry VMs that gets calls that must not be
// repeated, one each two seconds: the share of one of 340 if 170 a second come.
func BenchmarkClaims(ben *testing.B) {
	for _, nodes := range []int{4, 42, 340} {
		ben.Run(fmt.Sprint("nodes=", nodes), func(ben *testing.B) {
			rig := newRig(ben, rigConfig{nodes: nodes, servers: 8, listed: 8, orgs: 1})
			const calls = 10
			for ben.Loop() {
				var took []time.Duration
				from := rig.log.Next()
				tic := time.NewTicker(2 * time.Second)
				for idx := range calls {
					<-tic.C
					begin := time.Now()
					rig.charge(idx)
					took = append(took, time.Since(begin))
				}
				tic.Stop()
				slices.Sort(took)
				ben.ReportMetric(float64(rig.log.Next()-from)/calls, "appends/call")
				ben.ReportMetric(took[calls/2].Seconds()*1000, "median-ms")
				ben.ReportMetric(took[calls-1].Seconds()*1000, "max-ms")
				ben.ReportMetric(0, "ns/op")
			}
		})
	}
}

// charge calls the plain service once and asserts that it was answered.
func (rig *rig) charge(idx int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+rig.addrs.Callers+"/services/fees/charge", strings.NewReader("charge"))
	assert.NilError(rig.tst, err)
	req.Header.Set("Authorization", "Bearer "+orgKey(0))
	req.Header.Set(front.HeaderIdempotencyKey, fmt.Sprintf("key-%d-%d", idx, rand.Uint64()))
	req.Header.Set(front.HeaderIdempotencyIssued, time.Now().UTC().Format(time.RFC3339Nano))
	res, err := http.DefaultClient.Do(req)
	assert.NilError(rig.tst, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(rig.tst, err)
	assert.Equal(rig.tst, res.Header.Get("Result-Code"), core.CodeOK.String(), "%s", body)
}
