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

	// defaultStreamIOTimeout only cleans up streams that were never closed. A
	// silent stream is normally ended by the caller's context.
	defaultStreamIOTimeout = 15 * time.Minute

	pathProbe    = "/v1/probe"
	pathOrder    = "/v1/order"
	pathGenerate = "/v1/generate"
	pathCancel   = "/v1/cancel"
	pathCache    = "/v1/cache"
)

// Config holds the limits of an Engine. Zero fields are set to their defaults.
type Config struct {
	Wire wire.Config
	// ProbeIOTimeout limits the wait for the response to a probe.
	ProbeIOTimeout time.Duration
	// StreamIOTimeout limits the wait for the next bytes of a response to
	// Generate.
	StreamIOTimeout time.Duration
	// MaxLineBytes is the maximum length of a line in a streamed response, and of
	// the body of an error response to Generate.
	MaxLineBytes int
}

// Engine is a client for one model engine. It is safe for concurrent use.
type Engine struct {
	pool         *wire.Pool
	cfg          Config
	maxLineBytes int
}

var _ core.Engine = (*Engine)(nil)

// New returns a client for the engine at addr, in the form host:port.
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

// Close closes the client. Responses in progress are not interrupted.
func (eng *Engine) Close() { eng.pool.Close() }

// Probe requests the state of the engine. A probe that fails on a reused
// connection is retried once on a new one.
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
// engine rejected the fencing token.
func (eng *Engine) Order(ctx context.Context, order core.Order) (core.ProbeResult, error) {
	var probe core.ProbeResult
	resp, err := eng.post(ctx, pathOrder, order)
	if err != nil {
		return probe, err
	}
	if resp.Status() == http.StatusConflict {
		return probe, core.Errorf(core.CodeStaleOrder, "engine rejected the order with fencing token %d: %s", order.FencingToken, resp.Body())
	}
	return probe, decodeResponse(resp, pathOrder, &probe)
}

// Generate starts a completion. The stream ends when ctx ends, if not earlier. If
// the cause of ctx carries core.CodeSilent, the idle connections are closed.
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

// Cancel requests that the engine cancel an attempt. It succeeds if the attempt
// is unknown to the engine.
func (eng *Engine) Cancel(ctx context.Context, id core.AttemptID) error {
	resp, err := eng.post(ctx, pathCancel, cancelRequest{Attempt: id})
	if err != nil {
		return err
	}
	return checkStatus(resp.Status(), pathCancel)
}

// CacheEvents returns the engine's cache events with sequence numbers greater
// than after.
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

// cancelRequest is the body of a request to pathCancel.
type cancelRequest struct {
	Attempt core.AttemptID `json:"attempt"`
}

// cacheResponse is the body of a response from pathCache.
type cacheResponse struct {
	Events []core.CacheEvent `json:"events"`
}

// refusalBody is the body of a response by which an engine states that it did
// not run the request.
type refusalBody struct {
	Refused bool `json:"refused"`
}

func (eng *Engine) post(ctx context.Context, path string, msg any) (wire.Response, error) {
	req := newRequest(http.MethodPost, path, msg)
	defer fasthttp.ReleaseRequest(req)
	// The responses do not name their request.
	resp, _, err := eng.pool.Do(ctx, wire.Exchange{Req: req, Exclusive: true})
	if err != nil {
		eng.pool.ResetOnTimeout(err)
	}
	return resp, err
}

// statusError returns the error for a response to Generate whose status is not
// 200. It closes body.
func (eng *Engine) statusError(body *wire.Body) error {
	defer func() { _ = body.Close() }()
	resp, err := body.ReadAll(eng.maxLineBytes)
	// A refusal does not echo the attempt. Its connection is not reused, so that
	// a duplicated refusal is never read as the response to a later request.
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

// newRequest returns a request with msg in JSON as its body. It panics if msg
// cannot be encoded; the message types of this package always can.
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
