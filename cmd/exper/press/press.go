package press

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

// Config configures a run. Rate, Duration, MaxInFlight and Timeout must be
// positive.
type Config struct {
	Target      Target
	Rate        float64       // requests per second
	Duration    time.Duration // requests start within this time
	MaxInFlight int           // further requests are skipped
	Timeout     time.Duration // of one request
}

// Report holds the measurements of a run. Latencies are in microseconds and
// count from the scheduled time of the request.
type Report struct {
	Sent       int
	Complete   int
	Refused    int // HTTP status other than 200
	Incomplete int // no response, or one without its end marker
	Skipped    int // not sent because MaxInFlight was reached
	Tokens     int
	Elapsed    time.Duration
	FirstToken *hdrhistogram.Histogram // latency of the first token
	InterToken *hdrhistogram.Histogram // time between consecutive tokens
	Completion *hdrhistogram.Histogram // latency of complete responses
}

// Range and precision of the histograms.
const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// outcome is the result of one request.
type outcome struct {
	scheduledAt time.Time
	tokenTimes  []time.Time
	endedAt     time.Time
	status      int
	complete    bool
}

// Run sends requests until ctx is done or cfg.Duration has passed, and waits for
// the responses. Run panics if cfg is out of range.
func Run(ctx context.Context, cfg Config) *Report {
	if !(cfg.Rate > 0) || cfg.Duration <= 0 || cfg.MaxInFlight <= 0 || cfg.Timeout <= 0 {
		panic("press: config out of range")
	}
	pool := wire.New(cfg.Target.Addr(), wire.Config{IOTimeout: cfg.Timeout, MaxIdle: cfg.MaxInFlight})
	defer pool.Close()
	rep := &Report{
		FirstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		InterToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Completion: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	outcomes := make(chan outcome, cfg.MaxInFlight)
	slots := make(chan struct{}, cfg.MaxInFlight)
	begin := time.Now()
	go func() {
		defer close(outcomes)
		rep.Skipped = sendAll(ctx, cfg, pool, slots, outcomes)
	}()
	for out := range outcomes {
		rep.add(out)
	}
	rep.Elapsed = time.Since(begin)
	return rep
}

// sendAll starts the requests at their scheduled times. It returns the number of
// skipped requests after all others have ended.
func sendAll(ctx context.Context, cfg Config, pool *wire.Pool, slots chan struct{}, out chan<- outcome) int {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Duration(float64(time.Second) / cfg.Rate)
	begin := time.Now()
	skipped := 0
	for seq := 0; ; seq++ {
		scheduledAt := begin.Add(time.Duration(seq) * interval)
		if scheduledAt.Sub(begin) >= cfg.Duration || !sleepContext(ctx, time.Until(scheduledAt)) {
			return skipped
		}
		select {
		case slots <- struct{}{}:
		default:
			skipped++
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			out <- sendRequest(pool, cfg.Target, seq, scheduledAt)
		})
	}
}

// sleepContext waits for delay and returns false if ctx is done before.
func sleepContext(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends one request and reads the response.
func sendRequest(pool *wire.Pool, tgt Target, seq int, scheduledAt time.Time) outcome {
	out := outcome{scheduledAt: scheduledAt}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	tgt.FillRequest(req, seq)
	body, err := pool.Open(context.Background(), wire.Exchange{Req: req, AllowCloseDelimited: true})
	if err != nil {
		return out
	}
	defer func() { _ = body.Close() }()
	out.status = body.Status()
	if out.status != fasthttp.StatusOK {
		return out
	}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		switch tgt.ClassifyLine(scanner.Bytes()) {
		case LineToken:
			out.tokenTimes = append(out.tokenTimes, time.Now())
		case LineEnd:
			out.complete = true
		}
	}
	out.endedAt = time.Now()
	out.complete = out.complete && scanner.Err() == nil
	return out
}

// maxLineBytes is the maximum length of a line of a response.
const maxLineBytes = 1 << 20

func (rep *Report) add(out outcome) {
	rep.Sent++
	switch {
	case out.complete:
		rep.Complete++
	case out.status != 0 && out.status != fasthttp.StatusOK:
		rep.Refused++
	default:
		rep.Incomplete++
	}
	rep.Tokens += len(out.tokenTimes)
	for idx, at := range out.tokenTimes {
		if idx == 0 {
			record(rep.FirstToken, at.Sub(out.scheduledAt))
			continue
		}
		record(rep.InterToken, at.Sub(out.tokenTimes[idx-1]))
	}
	if out.complete {
		record(rep.Completion, out.endedAt.Sub(out.scheduledAt))
	}
}

func record(hist *hdrhistogram.Histogram, latency time.Duration) {
	// Larger values count as the maximum.
	_ = hist.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// Percentile returns a percentile in [0, 100] of a histogram of a Report.
func Percentile(hist *hdrhistogram.Histogram, pct float64) time.Duration {
	return time.Duration(hist.ValueAtQuantile(pct)) * time.Microsecond
}

// Err returns an error with CodeCutAnswer if a response was incomplete, and nil
// otherwise.
func (rep *Report) Err() error {
	if rep.Incomplete == 0 {
		return nil
	}
	return core.Errorf(core.CodeCutAnswer, "%d of %d responses were incomplete", rep.Incomplete, rep.Sent)
}
