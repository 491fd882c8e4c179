package press

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// Config sets up a run. Rate, For, InFlight and Timeout must be positive.
type Config struct {
	Target   Target
	Rate     float64       // requests per second
	For      time.Duration // in which requests start
	InFlight int           // requests at once; those beyond are skipped
	Timeout  time.Duration // of one answer
}

// Report is what a run measured.
type Report struct {
	Sent    int
	Whole   int
	Refused int // by a status other than 200
	Broken  int // no answer, or one without its end mark
	Skipped int // not sent, for too many were in flight
	Tokens  int
	Elapsed time.Duration
	First   *hdrhistogram.Histogram // microseconds from the plan to the first token
	Between *hdrhistogram.Histogram // microseconds between two tokens
	Last    *hdrhistogram.Histogram // microseconds from the plan to the end of whole answers
}

// Bounds of the histograms.
const (
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// answer is what one request got.
type answer struct {
	planned time.Time
	tokens  []time.Time
	end     time.Time
	status  int
	whole   bool
}

// Run sends requests until ctx or the time of the run ends, and waits for the
// answers. Run panics if the Config is out of range.
func Run(ctx context.Context, cfg Config) *Report {
	if !(cfg.Rate > 0) || cfg.For <= 0 || cfg.InFlight <= 0 || cfg.Timeout <= 0 {
		panic("press: config out of range")
	}
	cli := newClient(cfg)
	defer cli.CloseIdleConnections()
	rep := &Report{
		First:   hdrhistogram.New(1, maxMicros, digits),
		Between: hdrhistogram.New(1, maxMicros, digits),
		Last:    hdrhistogram.New(1, maxMicros, digits),
	}
	answers := make(chan answer, cfg.InFlight)
	slots := make(chan struct{}, cfg.InFlight)
	beg := time.Now()
	go func() {
		defer close(answers)
		rep.Skipped = send(ctx, cfg, cli, slots, answers)
	}()
	for ans := range answers {
		rep.add(ans)
	}
	rep.Elapsed = time.Since(beg)
	return rep
}

func newClient(cfg Config) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      cfg.Target.Addr(),
		MaxConns:                  cfg.InFlight,
		ReadTimeout:               cfg.Timeout,
		WriteTimeout:              cfg.Timeout,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
	}
}

// send starts the requests at their times and returns how many it skipped,
// once all answers are in.
func send(ctx context.Context, cfg Config, cli *fasthttp.HostClient, slots chan struct{}, out chan<- answer) int {
	var grp sync.WaitGroup
	defer grp.Wait()
	gap := time.Duration(float64(time.Second) / cfg.Rate)
	beg := time.Now()
	skipped := 0
	for seq := 0; ; seq++ {
		plan := beg.Add(time.Duration(seq) * gap)
		if plan.Sub(beg) >= cfg.For || !sleep(ctx, time.Until(plan)) {
			return skipped
		}
		select {
		case slots <- struct{}{}:
		default:
			skipped++
			continue
		}
		grp.Go(func() {
			defer func() { <-slots }()
			out <- ask(cli, cfg.Target, seq, plan)
		})
	}
}

// sleep waits and reports false if ctx ended first.
func sleep(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends one request and reads its answer.
func ask(cli *fasthttp.HostClient, tgt Target, seq int, plan time.Time) answer {
	ans := answer{planned: plan}
	req, rsp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(rsp)
	tgt.Fill(req, seq)
	if err := cli.Do(req, rsp); err != nil {
		return ans
	}
	ans.status = rsp.StatusCode()
	if ans.status != fasthttp.StatusOK {
		return ans
	}
	scn := bufio.NewScanner(rsp.BodyStream())
	scn.Buffer(nil, maxLine)
	for scn.Scan() {
		switch tgt.Line(scn.Bytes()) {
		case LineToken:
			ans.tokens = append(ans.tokens, time.Now())
		case LineEnd:
			ans.whole = true
		}
	}
	ans.end = time.Now()
	ans.whole = ans.whole && scn.Err() == nil
	return ans
}

// maxLine bounds a line of an answer, in bytes.
const maxLine = 1 << 20

func (rep *Report) add(ans answer) {
	rep.Sent++
	switch {
	case ans.whole:
		rep.Whole++
	case ans.status != 0 && ans.status != fasthttp.StatusOK:
		rep.Refused++
	default:
		rep.Broken++
	}
	rep.Tokens += len(ans.tokens)
	for idx, at := range ans.tokens {
		if idx == 0 {
			record(rep.First, at.Sub(ans.planned))
			continue
		}
		record(rep.Between, at.Sub(ans.tokens[idx-1]))
	}
	if ans.whole {
		record(rep.Last, ans.end.Sub(ans.planned))
	}
}

func record(his *hdrhistogram.Histogram, dur time.Duration) {
	// Values beyond the range count as its end.
	_ = his.RecordValue(min(dur.Microseconds(), maxMicros))
}

// Quantile returns a quantile in [0, 100] of a histogram of a Report.
func Quantile(his *hdrhistogram.Histogram, quant float64) time.Duration {
	return time.Duration(his.ValueAtQuantile(quant)) * time.Microsecond
}

// Err returns an error with CodeCutAnswer if an answer was broken, and nil
// otherwise.
func (rep *Report) Err() error {
	if rep.Broken == 0 {
		return nil
	}
	return core.Errorf(core.CodeCutAnswer, "%d of %d answers were not whole", rep.Broken, rep.Sent)
}
