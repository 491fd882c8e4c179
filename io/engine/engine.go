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
	defaultProbeIOTimeout = 500 * time.Millisecond
	defaultMaxLineBytes   = 64 << 10

	// defaultStreamIOTimeout only ends what its caller has forgotten: the caller's
	// context ends a silent stream.
	defaultStreamIOTimeout = 15 * time.Minute

	pathProbe    = "/v1/probe"
	pathOrder    = "/v1/order"
	pathGenerate = "/v1/generate"
	pathCancel   = "/v1/cancel"
	pathCache    = "/v1/cache"
)

// Config holds the limits of an Engine. A zero field takes its default.
type Config struct {
	Wire wire.Config
	// ProbeIOTimeout bounds the wait for the answer to a probe.
	ProbeIOTimeout time.Duration
	// StreamIOTimeout bounds the wait for the next byte of an answer to Generate.
	StreamIOTimeout time.Duration
	// MaxLineBytes is the length of the longest line of an answer, in bytes.
	MaxLineBytes int
}

// Engine is a client of one model engine. It is safe for concurrent use.
type Engine struct {
	pool         *wire.Pool
	cfg          Config
	maxLineBytes int
}

var _ core.Engine = (*Engine)(nil)

// New returns a client of the engine at addr, in the form host:port.
func New(addr string, cfg Config) *Engine {
	if cfg.ProbeIOTimeout <= 0 {
		cfg.ProbeIOTimeout = defaultProbeIOTimeout
	}
	if cfg.StreamIOTimeout <= 0 {
		cfg.StreamIOTimeout = defaultStreamIOTimeout
	}
	if cfg.MaxLineBytes <= 0 {
		cfg.MaxLineBytes = defaultMaxLineBytes
	}
	return &Engine{pool: wire.New(addr, cfg.Wire), cfg: cfg, maxLineBytes: cfg.MaxLineBytes}
}

// Reset closes the idle connections to the engine.
func (eng *Engine) Reset() { eng.pool.Reset() }

// Close closes the client. Answers in progress are not cut.
func (eng *Engine) Close() { eng.pool.Close() }

// Probe asks the engine for its state. Silence or a break on a connection
// that had been used before leads to a second probe over a fresh one.
func (eng *Engine) Probe(ctx context.Context) (core.ProbeResult, error) {
	var probe core.ProbeResult
	req := newRequest(http.MethodGet, pathProbe, nil)
	defer fasthttp.ReleaseRequest(req)
	ex := wire.Exchange{Req: req, IOTimeout: eng.cfg.ProbeIOTimeout}
	resp, reused, err := eng.pool.Do(ctx, ex)
	if err != nil && reused {
		eng.pool.Reset()
		ex.NoReuse = true
		resp, _, err = eng.pool.Do(ctx, ex)
	}
	if err != nil {
		return probe, err
	}
	return probe, decodeResponse(resp, pathProbe, &probe)
}

// Order sends an order. It returns an error with core.CodeStaleOrder if the
// engine refused the order's number.
func (eng *Engine) Order(ctx context.Context, order core.Order) (core.ProbeResult, error) {
	var probe core.ProbeResult
	resp, err := eng.post(ctx, pathOrder, order)
	if err != nil {
		return probe, err
	}
	if resp.Status() == http.StatusConflict {
		return probe, core.Errorf(core.CodeStaleOrder, "order %d refused: %s", order.FencingToken, resp.Body())
	}
	return probe, decodeResponse(resp, pathOrder, &probe)
}

// Generate starts a completion. The stream ends with ctx at the latest; if the
// cause of that carries core.CodeSilent, the idle connections are dropped.
func (eng *Engine) Generate(ctx context.Context, genReq core.GenerateRequest) (core.Stream, error) {
	req := newRequest(http.MethodPost, pathGenerate, genReq)
	defer fasthttp.ReleaseRequest(req)
	body, err := eng.pool.Open(ctx, wire.Exchange{Req: req, IOTimeout: eng.cfg.StreamIOTimeout})
	if err != nil {
		eng.pool.ResetOnTimeout(err)
		return nil, err
	}
	if body.Status() != http.StatusOK {
		return nil, eng.statusError(body)
	}
	return newChunkStream(ctx, eng, body, genReq), nil
}

// Cancel asks the engine to give up an attempt. An attempt that the engine
// does not know is no error.
func (eng *Engine) Cancel(ctx context.Context, id core.AttemptID) error {
	resp, err := eng.post(ctx, pathCancel, cancelRequest{Attempt: id})
	if err != nil {
		return err
	}
	return checkStatus(resp.Status(), pathCancel)
}

// CacheEvents returns the engine's cache events behind sequence number after.
func (eng *Engine) CacheEvents(ctx context.Context, after uint64) ([]core.CacheEvent, error) {
	var events cacheResponse
	path := pathCache + "?after=" + strconv.FormatUint(after, 10)
	req := newRequest(http.MethodGet, path, nil)
	defer fasthttp.ReleaseRequest(req)
	resp, _, err := eng.pool.Do(ctx, wire.Exchange{Req: req})
	if err != nil {
		eng.pool.ResetOnTimeout(err)
		return nil, err
	}
	err = decodeResponse(resp, pathCache, &events)
	return events.Events, err
}

// cancelRequest is the body of a cancel call.
type cancelRequest struct {
	Attempt core.AttemptID `json:"attempt"`
}

// cacheResponse is the answer to a cache call.
type cacheResponse struct {
	Events []core.CacheEvent `json:"events"`
}

// refusalBody is the answer of an engine that did not run a request.
type refusalBody struct {
	Refused bool `json:"refused"`
}

func (eng *Engine) post(ctx context.Context, path string, msg any) (wire.Response, error) {
	req := newRequest(http.MethodPost, path, msg)
	defer fasthttp.ReleaseRequest(req)
	resp, _, err := eng.pool.Do(ctx, wire.Exchange{Req: req})
	if err != nil {
		eng.pool.ResetOnTimeout(err)
	}
	return resp, err
}

// statusError returns the error that a response without an answer stands for.
func (eng *Engine) statusError(body *wire.Body) error {
	defer func() { _ = body.Close() }()
	resp, err := body.ReadAll(eng.maxLineBytes)
	// A refusal echoes no attempt. Its connection is not used again, so that a
	// repeated refusal is never taken for the answer to a later request.
	body.Abort()
	if err != nil {
		return err
	}
	var refusal refusalBody
	if resp.Status() == http.StatusServiceUnavailable && json.Unmarshal(resp.Body(), &refusal) == nil && refusal.Refused {
		return core.Errorf(core.CodeRefused, "engine at %s refused the request", eng.pool.Addr())
	}
	return eris.Wrap(core.Errorf(core.CodeUnknownOutcome, "status %d", resp.Status()), pathGenerate)
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

func decodeResponse(resp wire.Response, path string, out any) error {
	err := checkStatus(resp.Status(), path)
	if err != nil {
		return err
	}
	err = json.Unmarshal(resp.Body(), out)
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
