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

// Load of one entry VM at the target size: time per token, tokens per response
// and open requests.
const (
	targetTokenTime    = 75 * time.Millisecond
	targetTokens       = 291
	targetOpenRequests = 218
)

var errIncomplete = errors.New("incomplete response")

// loadClient sends completion requests to the daemon over persistent
// connections and records the times of the tokens.
type loadClient struct {
	harness         *harness
	httpClient      *http.Client
	mu              sync.Mutex
	firstTokenTimes []time.Duration
	tokenIntervals  []time.Duration
	tokens          int
	failures        int
}

func newLoadClient(h *harness) *loadClient {
	return &loadClient{harness: h, httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// complete sends one completion request, reads the streamed response and records
// the time to the first token and between tokens.
func (lc *loadClient) complete(ctx context.Context, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"a brown dog with a white ear was seen %d","max_tokens":%d,"stream":true}`, modelName, rand.IntN(1000), tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+lc.harness.listen.Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+orgKey(rand.IntN(lc.harness.cfg.orgs)))
	last, got := time.Now(), 0
	res, err := lc.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	done := false
	for scanner := bufio.NewScanner(res.Body); scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			now := time.Now()
			lc.recordToken(got, now.Sub(last))
			last = now
			got++
		}
		done = done || scanner.Text() == "data: [DONE]"
	}
	if !done {
		return errIncomplete
	}
	return nil
}

// generateDirect does the same with an engine directly, without the daemon.
func (lc *loadClient) generateDirect(ctx context.Context, eng *engine.Engine, leader groupLeader, tokens int) error {
	last := time.Now()
	stream, err := eng.Generate(ctx, core.GenerateRequest{
		Attempt: core.AttemptID(fmt.Sprint("direct-", rand.Uint64())), Request: "r", Group: leader.group, FencingToken: leader.fencingToken, Prompt: "a brown dog", MaxTokens: tokens,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for got := 0; ; {
		chk, err := stream.Next(ctx)
		if err != nil || chk.End {
			return err
		}
		if !chk.Head {
			now := time.Now()
			lc.recordToken(got, now.Sub(last))
			last = now
			got++
		}
	}
}

func (lc *loadClient) recordToken(pos int, dur time.Duration) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.tokens++
	if pos == 0 {
		lc.firstTokenTimes = append(lc.firstTokenTimes, dur)
	} else {
		lc.tokenIntervals = append(lc.tokenIntervals, dur)
	}
}

// keepOpen keeps the number open of requests in flight until ctx ends. The first
// ones have a random, smaller number of tokens, so that completions are spread
// evenly over time.
func (lc *loadClient) keepOpen(ctx context.Context, open, tokens int, send func(ctx context.Context, tokens int) error) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range open {
		wg.Go(func() {
			for limit := 1 + rand.IntN(tokens); ctx.Err() == nil; limit = tokens {
				err := send(ctx, limit)
				if err != nil && ctx.Err() == nil {
					lc.mu.Lock()
					lc.failures++
					lc.mu.Unlock()
				}
			}
		})
	}
	return &wg
}

// reset clears the recorded values.
func (lc *loadClient) reset() {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.firstTokenTimes, lc.tokenIntervals, lc.tokens, lc.failures = nil, nil, 0, 0
}

// report reports the recorded values and the daemon's CPU time spent over the
// duration took.
func (lc *loadClient) report(b *testing.B, spent, took time.Duration) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	b.ReportMetric(float64(lc.tokens)/took.Seconds(), "tokens/s")
	b.ReportMetric(float64(len(lc.firstTokenTimes))/took.Seconds(), "requests/s")
	b.ReportMetric(100*spent.Seconds()/took.Seconds(), "%core")
	b.ReportMetric(p95(lc.firstTokenTimes), "first-p95-ms")
	b.ReportMetric(p95(lc.tokenIntervals), "gap-p95-ms")
	b.ReportMetric(float64(lc.failures), "fails")
	b.ReportMetric(lc.harness.residentBytes()/1e6, "resident-MB")
	b.ReportMetric(0, "ns/op")
}

func p95(all []time.Duration) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100].Seconds() * 1000
}

// BenchmarkStreams measures a daemon with open streams at the target's token
// rate and response length. Without streams, it measures the background load.
// For comparison, direct streams connect to an engine without the daemon.
func BenchmarkStreams(b *testing.B) {
	cpu, member := newFit("%core"), newFit("MB")
	for _, open := range []int{0, 25, 50, 100, targetOpenRequests, 2 * targetOpenRequests, -targetOpenRequests} {
		name := fmt.Sprint("open=", open)
		if open < 0 {
			name = fmt.Sprint("direct=", -open)
		}
		b.Run(name, func(b *testing.B) {
			h := newHarness(b, harnessConfig{entryVMs: 4, zoneServers: 16, listedServers: 600, orgs: 10, tokenTime: targetTokenTime})
			lc := newLoadClient(h)
			ctx, cancel := context.WithCancel(context.Background())
			send := lc.complete
			if open < 0 {
				leader := h.leaders[0]
				eng := engine.New(leader.addr, engine.Config{})
				send = func(ctx context.Context, tokens int) error { return lc.generateDirect(ctx, eng, leader, tokens) }
			}
			wg := lc.keepOpen(ctx, max(open, -open), targetTokens, send)
			time.Sleep(warmupTime)
			for b.Loop() {
				h.byteCounts["probe"].Store(0)
				lc.reset()
				begin, spent := time.Now(), h.cpuTime()
				time.Sleep(measureTime)
				took := time.Since(begin)
				spent = h.cpuTime() - spent
				if open >= 0 {
					cpu.add(float64(open), 100*spent.Seconds()/took.Seconds())
					member.add(float64(open), h.residentBytes()/1e6)
				}
				lc.report(b, spent, took)
				b.ReportMetric(float64(h.byteCounts["probe"].Load())/took.Seconds()/1000, "engine-KB/s")
			}
			cancel()
			wg.Wait()
		})
	}
	cpu.report(b, "cpu-by-open")
	member.report(b, "resident-by-open")
}

// BenchmarkRequests measures the throughput of a daemon with 16 concurrent
// callers and responses of a single token.
func BenchmarkRequests(b *testing.B) {
	for _, orgs := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("orgs=", orgs), func(b *testing.B) {
			h := newHarness(b, harnessConfig{entryVMs: 4, zoneServers: 88, listedServers: 600, orgs: orgs})
			lc := newLoadClient(h)
			for b.Loop() {
				ctx, cancel := context.WithCancel(context.Background())
				begin, spent := time.Now(), h.cpuTime()
				wg := lc.keepOpen(ctx, 16, 1, lc.complete)
				time.Sleep(measureTime)
				took, used := time.Since(begin), h.cpuTime()-spent
				cancel()
				wg.Wait()
				lc.report(b, used, took)
				b.ReportMetric(float64(used.Microseconds())/float64(max(1, len(lc.firstTokenTimes))), "us/request")
			}
		})
	}
}

// BenchmarkClaims measures calls with at-most-once execution at one entry VM, one
// every two seconds: with 340 entry VMs, its share of 170 calls per second.
func BenchmarkClaims(b *testing.B) {
	for _, nodes := range []int{4, 42, 340} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			h := newHarness(b, harnessConfig{entryVMs: nodes, zoneServers: 8, listedServers: 8, orgs: 1})
			const calls = 10
			for b.Loop() {
				var took []time.Duration
				from := h.log.Next()
				ticker := time.NewTicker(2 * time.Second)
				for idx := range calls {
					<-ticker.C
					begin := time.Now()
					h.sendCharge(idx)
					took = append(took, time.Since(begin))
				}
				ticker.Stop()
				slices.Sort(took)
				b.ReportMetric(float64(h.log.Next()-from)/calls, "appends/call")
				b.ReportMetric(took[calls/2].Seconds()*1000, "median-ms")
				b.ReportMetric(took[calls-1].Seconds()*1000, "max-ms")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// sendCharge calls the plain service once and asserts that the call succeeds.
func (h *harness) sendCharge(idx int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.listen.Callers+"/services/fees/charge", strings.NewReader("charge"))
	assert.NilError(h.tb, err)
	req.Header.Set("Authorization", "Bearer "+orgKey(0))
	req.Header.Set(front.HeaderIdempotencyKey, fmt.Sprintf("key-%d-%d", idx, rand.Uint64()))
	req.Header.Set(front.HeaderIdempotencyIssued, time.Now().UTC().Format(time.RFC3339Nano))
	res, err := http.DefaultClient.Do(req)
	assert.NilError(h.tb, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(h.tb, err)
	assert.Equal(h.tb, res.Header.Get("Result-Code"), core.CodeOK.String(), "%s", body)
}
