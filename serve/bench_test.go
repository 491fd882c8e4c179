package serve_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/engine"
	"kumquathinge/serve"
)

// countSink counts tokens and records when the first one arrived.
type countSink struct {
	tokens  int
	firstAt time.Time
}

// WritePart counts a part.
func (cs *countSink) WritePart(part core.Part) error {
	if cs.firstAt.IsZero() {
		cs.firstAt = time.Now()
	}
	if !part.End {
		cs.tokens++
	}
	return nil
}

// callEngine sends a completion directly to the engine and returns the number of
// lines and when the first token arrived.
func callEngine(b *testing.B, cli *http.Client, addr string, gen core.GenerateRequest) (int, time.Time) {
	b.Helper()
	data, err := json.Marshal(gen)
	assert.NilError(b, err)
	resp, err := cli.Post("http://"+addr+"/v1/generate", "application/json", bytes.NewReader(data))
	assert.NilError(b, err)
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	num := 0
	var first time.Time
	for scanner.Scan() {
		num++
		if num == 2 {
			first = time.Now()
		}
	}
	return num, first
}

// newHist returns a histogram for latencies of up to ten seconds.
func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Second), 3)
}

func reportQuantiles(b *testing.B, name string, hist *hdrhistogram.Histogram) {
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, name+"-p50-us")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, name+"-p99-us")
}

// BenchmarkFirstToken measures the time to the first token, alternately directly
// from the simulated engine and through a Server.
func BenchmarkFirstToken(b *testing.B) {
	tz := newTestZone(b)
	srv := tz.newServer("n1", "r1")
	tz.incomplete["g1"] = true
	prb := tz.engines[0].Probe()
	cli := &http.Client{}
	direct, through := newHist(), newHist()
	num := 0
	for b.Loop() {
		num++
		job := completionJob()
		job.MaxTokens = 1
		gen := core.GenerateRequest{
			Attempt: core.AttemptID(job.ID), Request: job.ID, Group: prb.Group, FencingToken: prb.FencingToken, Prompt: job.Prompt, MaxTokens: 1,
		}
		startedAt := time.Now()
		_, first := callEngine(b, cli, tz.engines[0].Addr(), gen)
		assert.NilError(b, direct.RecordValue(int64(first.Sub(startedAt))))
		sink := &countSink{}
		startedAt = time.Now()
		assert.NilError(b, srv.Run(context.Background(), job, sink))
		assert.NilError(b, through.RecordValue(int64(sink.firstAt.Sub(startedAt))))
	}
	reportQuantiles(b, "straight", direct)
	reportQuantiles(b, "through", through)
}

// BenchmarkRequests measures requests of one token with one caller per processor,
// directly to the simulated engine and through a Server.
func BenchmarkRequests(b *testing.B) {
	tz := newTestZone(b)
	srv := tz.newServer("n1", "r1")
	tz.incomplete["g1"] = true
	prb := tz.engines[0].Probe()
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	variants := map[string]func(job core.Job){
		"straight": func(job core.Job) {
			callEngine(b, cli, tz.engines[0].Addr(), core.GenerateRequest{
				Attempt: core.AttemptID(job.ID), Request: job.ID, Group: prb.Group, FencingToken: prb.FencingToken, Prompt: job.Prompt, MaxTokens: 1,
			})
		},
		"through": func(job core.Job) { assert.Check(b, srv.Run(context.Background(), job, &countSink{}) == nil) },
	}
	for _, name := range []string{"straight", "through", "straight", "through"} {
		b.Run(name, func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					job := completionJob()
					job.MaxTokens = 1
					variants[name](job)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
		})
	}
}

const (
	cannedTokens  = 1000
	cannedAttempt = "@@@"
)

// startCannedEngine starts an engine that responds with prepared bytes, so that
// its cost is small compared with the client's.
func startCannedEngine(b *testing.B) string {
	b.Helper()
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	_ = enc.Encode(core.Chunk{Attempt: cannedAttempt, Head: true, Incarnation: "i", FencingToken: 1, Spec: spec})
	for pos := range cannedTokens {
		_ = enc.Encode(core.Chunk{Attempt: cannedAttempt, Pos: pos, Text: "word "})
	}
	_ = enc.Encode(core.Chunk{Attempt: cannedAttempt, Pos: cannedTokens, End: true, Tokens: cannedTokens, FinishReason: "length"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCanned(conn, buf.Bytes())
		}
	}()
	return ln.Addr().String()
}

func serveCanned(conn net.Conn, data []byte) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var gen core.GenerateRequest
		if json.NewDecoder(req.Body).Decode(&gen) != nil {
			return
		}
		body := bytes.ReplaceAll(data, []byte(cannedAttempt), []byte(gen.Attempt))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = conn.Write(body)
	}
}

// cannedZone is a zone with one group, which runs on a canned engine.
type cannedZone struct {
	*testZone
	eng core.Engine
}

// Engine returns the engine.
func (zone *cannedZone) Engine(core.VMName) (core.Engine, error) { return zone.eng, nil }

// Permit always permits the dispatch.
func (zone *cannedZone) Permit(grp core.GroupName, now time.Time) (core.Permit, error) {
	return core.Permit{Group: grp, FencingToken: 1, Spec: spec, Incarnation: "i", IssuedAt: now}, nil
}

// BenchmarkTokens measures streamed tokens with one caller per processor: lines
// read directly from the connection, and tokens through a Server.
func BenchmarkTokens(b *testing.B) {
	addr := startCannedEngine(b)
	tz := newTestZone(b)
	eng := engine.New(addr, engine.Config{})
	defer eng.Close()
	zone := &cannedZone{testZone: tz, eng: eng}
	srv := tz.newServer("n1", "r1", func(cfg *serve.Config) { cfg.Backends, cfg.Gate = zone, zone })
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	variants := map[string]func(job core.Job) int{
		"straight": func(job core.Job) int {
			num, _ := callEngine(b, cli, addr, core.GenerateRequest{Attempt: core.AttemptID(job.ID)})
			return num - 2
		},
		"through": func(job core.Job) int {
			sink := &countSink{}
			err := srv.Run(context.Background(), job, sink)
			assert.Check(b, err == nil, "%v", err)
			return sink.tokens
		},
	}
	for _, name := range []string{"straight", "through", "straight", "through"} {
		b.Run(name, func(b *testing.B) {
			var streamed atomic.Int64
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					streamed.Add(int64(variants[name](completionJob())))
				}
			})
			runtime.ReadMemStats(&after)
			num := float64(streamed.Load())
			b.ReportMetric(num/b.Elapsed().Seconds(), "tok/s")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/num, "allocs/tok")
		})
	}
}
