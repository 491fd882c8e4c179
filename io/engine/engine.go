package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

const (
	defaultProbeSilence = 500 * time.Millisecond
	defaultMaxLine      = 64 << 10

	// defaultStreamSilence only ends what its caller has forgotten: the caller's
	// context ends a silent stream.
	defaultStreamSilence = 15 * time.Minute

	pathProbe    = "/v1/probe"
	pathOrder    = "/v1/order"
	pathGenerate = "/v1/generate"
	pathCancel   = "/v1/cancel"
	pathCache    = "/v1/cache"
)

// Config holds the limits of an Engine. A zero field takes its default.
type Config struct {
	Wire wire.Config
	// ProbeSilence bounds the wait for the answer to a probe.
	ProbeSilence time.Duration
	// StreamSilence bounds the wait for the next byte of an answer to Generate.
	StreamSilence time.Duration
	// MaxLine is the length of the longest line of an answer, in bytes.
	MaxLine int
}

// Engine is a client of one model engine. It is safe for concurrent use.
type Engine struct {
	poo     *wire.Pool
	cfg     Config
	maxLine int
}

var _ core.Engine = (*Engine)(nil)

// New returns a client of the engine at addr, in the form host:port.
func New(addr string, cfg Config) *Engine {
	if cfg.ProbeSilence <= 0 {
		cfg.ProbeSilence = defaultProbeSilence
	}
	if cfg.StreamSilence <= 0 {
		cfg.StreamSilence = defaultStreamSilence
	}
	if cfg.MaxLine <= 0 {
		cfg.MaxLine = defaultMaxLine
	}
	return &Engine{poo: wire.New(addr, cfg.Wire), cfg: cfg, maxLine: cfg.MaxLine}
}

// Drop closes the idle connections to the engine.
func (eng *Engine) Drop() { eng.poo.Reset() }

// Close closes the client. Answers in progress are not cut.
func (eng *Engine) Close() { eng.poo.Close() }

// Probe asks the engine for its state. Silence or a break on a connection
// that had been used before leads to a second probe over a fresh one.
func (eng *Engine) Probe(ctx context.Context) (core.ProbeResult, error) {
	var prb core.ProbeResult
	req := newRequest(http.MethodGet, pathProbe, nil)
	defer fasthttp.ReleaseRequest(req)
	exc := wire.Exchange{Req: req, IOTimeout: eng.cfg.ProbeSilence}
	ans, reused, err := eng.poo.Do(ctx, exc)
	if err != nil && reused {
		eng.poo.Reset()
		exc.NoReuse = true
		ans, _, err = eng.poo.Do(ctx, exc)
	}
	if err != nil {
		return prb, err
	}
	return prb, decode(ans, pathProbe, &prb)
}

// Order sends an order. It returns an error with core.CodeStaleOrder if the
// engine refused the order's number.
func (eng *Engine) Order(ctx context.Context, ord core.Order) (core.ProbeResult, error) {
	var prb core.ProbeResult
	ans, err := eng.post(ctx, pathOrder, ord)
	if err != nil {
		return prb, err
	}
	if ans.Status() == http.StatusConflict {
		return prb, core.Errorf(core.CodeStaleOrder, "order %d refused: %s", ord.FencingToken, ans.Body())
	}
	return prb, decode(ans, pathOrder, &prb)
}

// Generate starts a completion. The stream ends with ctx at the latest; if the
// cause of that carries core.CodeSilent, the idle connections are dropped.
func (eng *Engine) Generate(ctx context.Context, gen core.GenerateRequest) (core.Stream, error) {
	req := newRequest(http.MethodPost, pathGenerate, gen)
	defer fasthttp.ReleaseRequest(req)
	bod, err := eng.poo.Open(ctx, wire.Exchange{Req: req, IOTimeout: eng.cfg.StreamSilence})
	if err != nil {
		eng.poo.ResetOnTimeout(err)
		return nil, err
	}
	if bod.Status() != http.StatusOK {
		return nil, eng.refusal(bod)
	}
	return newStream(ctx, eng, bod, gen), nil
}

// Cancel asks the engine to give up an attempt. An attempt that the engine
// does not know is no error.
func (eng *Engine) Cancel(ctx context.Context, id core.AttemptID) error {
	ans, err := eng.post(ctx, pathCancel, cancel{Attempt: id})
	if err != nil {
		return err
	}
	return checkStatus(ans.Status(), pathCancel)
}

// CacheEvents returns the engine's cache events behind sequence number after.
func (eng *Engine) CacheEvents(ctx context.Context, after uint64) ([]core.CacheEvent, error) {
	var evs cacheEvents
	path := pathCache + "?after=" + strconv.FormatUint(after, 10)
	req := newRequest(http.MethodGet, path, nil)
	defer fasthttp.ReleaseRequest(req)
	ans, _, err := eng.poo.Do(ctx, wire.Exchange{Req: req})
	if err != nil {
		eng.poo.ResetOnTimeout(err)
		return nil, err
	}
	err = decode(ans, pathCache, &evs)
	return evs.Events, err
}

// cancel is the body of a cancel call.
type cancel struct {
	Attempt core.AttemptID `json:"attempt"`
}

// cacheEvents is the answer to a cache call.
type cacheEvents struct {
	Events []core.CacheEvent `json:"events"`
}

// refusal is the answer of an engine that did not run a request.
type refusal struct {
	Refused bool `json:"refused"`
}

func (eng *Engine) post(ctx context.Context, path string, msg any) (wire.Response, error) {
	req := newRequest(http.MethodPost, path, msg)
	defer fasthttp.ReleaseRequest(req)
	ans, _, err := eng.poo.Do(ctx, wire.Exchange{Req: req})
	if err != nil {
		eng.poo.ResetOnTimeout(err)
	}
	return ans, err
}

// refusal returns the error that a response without an answer stands for.
func (eng *Engine) refusal(bod *wire.Body) error {
	defer func() { _ = bod.Close() }()
	ans, err := bod.ReadAll(eng.maxLine)
	// A refusal echoes no attempt. Its connection is not used again, so that a
	// repeated refusal is never taken for the answer to a later request.
	bod.Abort()
	if err != nil {
		return err
	}
	var ref refusal
	if ans.Status() == http.StatusServiceUnavailable && json.Unmarshal(ans.Body(), &ref) == nil && ref.Refused {
		return core.Errorf(core.CodeRefused, "engine at %s refused the request", eng.poo.Addr())
	}
	return eris.Wrap(core.Errorf(core.CodeUnknownOutcome, "status %d", ans.Status()), pathGenerate)
}

// newRequest returns a request with msg as its body in JSON. It panics if msg
// can't be encoded, which no message of this package causes.
func newRequest(method, path string, msg any) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	if msg == nil {
		return req
	}
	data, err := json.Marshal(msg)
	if err != nil {
		panic(err)
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(data)
	return req
}

func decode(ans wire.Response, path string, into any) error {
	err := checkStatus(ans.Status(), path)
	if err != nil {
		return err
	}
	err = json.Unmarshal(ans.Body(), into)
	if err != nil {
		return eris.Wrap(core.Errorf(core.CodeCutAnswer, "%v", err), path)
	}
	return nil
}

func checkStatus(status int, path string) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	return eris.Wrap(core.Errorf(core.CodeUnknownOutcome, "status %d", status), path)
}
