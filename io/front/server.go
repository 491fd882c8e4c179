package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"net"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// Limits is what applies to the jobs of one organisation.
type Limits struct {
	Deadline time.Duration
	Priority int
}

// Backend is what the daemon offers to callers.
type Backend interface {
	// Org returns the organisation whose key has the SHA-256 sum in hex.
	Org(keyHash string) (core.OrgName, bool)
	// Limits returns what applies to the organisation.
	Limits(org core.OrgName) Limits
	// Models returns the models that have a group.
	Models() []core.ModelName
	// Run runs a job; its error carries the result code.
	Run(ctx context.Context, job core.Job, sink core.Sink) error
	// Ready returns core.CodeOK if the balancer shall send requests here.
	Ready() core.Code
	// Accepts returns core.CodeOK if a request that comes is served. A node
	// that has just turned unready still accepts.
	Accepts() core.Code
}

// Config has the bounds of the server.
type Config struct {
	MaxBodyBytes   int
	MaxPromptBytes int
	MaxTokens      int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Server serves callers.
type Server struct {
	cfg          Config
	backend      Backend
	log          *logrus.Logger
	now          func() time.Time
	httpServer   *fasthttp.Server
	resultCounts *expvar.Map
	ctx          context.Context
	cancel       context.CancelFunc
}

// New returns a server. Counters of results by code go to met.
func New(cfg Config, backend Backend, log *logrus.Logger, results *expvar.Map, now func() time.Time) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	srv := &Server{cfg: cfg, backend: backend, log: log, now: now, resultCounts: results, ctx: ctx, cancel: cancel}
	mux := router.New()
	mux.POST("/v1/completions", srv.handleCompletions)
	mux.POST("/v1/chat/completions", srv.handleChat)
	mux.GET("/v1/models", srv.handleModels)
	mux.ANY("/services/{service}/{path:*}", srv.handleService)
	mux.GET("/live", srv.handleLive)
	mux.GET("/ready", srv.handleReady)
	mux.NotFound = srv.handleNotFound
	srv.httpServer = &fasthttp.Server{
		Handler:               mux.Handler,
		MaxRequestBodySize:    cfg.MaxBodyBytes,
		ReadTimeout:           cfg.ReadTimeout,
		IdleTimeout:           cfg.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                log,
	}
	return srv
}

// Serve takes connections from lis until Shutdown.
func (srv *Server) Serve(lis net.Listener) error { return srv.httpServer.Serve(lis) }

// Shutdown stops taking connections, waits until the open requests are done or
// ctx ends, and cancels the jobs that are left.
func (srv *Server) Shutdown(ctx context.Context) error {
	defer srv.cancel()
	return srv.httpServer.ShutdownWithContext(ctx)
}

// handleLive answers as long as the process runs.
func (srv *Server) handleLive(reqCtx *fasthttp.RequestCtx) {
	reqCtx.SetContentType("text/plain")
	reqCtx.SetBodyString("live\n")
}

// handleReady answers 200 if the node takes requests.
func (srv *Server) handleReady(reqCtx *fasthttp.RequestCtx) {
	code := srv.backend.Ready()
	if code != core.CodeOK {
		writeError(reqCtx, core.Errorf(code, "this entry VM takes no requests"))
		return
	}
	reqCtx.SetContentType("text/plain")
	reqCtx.SetBodyString("ready\n")
}

// handleNotFound answers for unknown paths.
func (srv *Server) handleNotFound(reqCtx *fasthttp.RequestCtx) {
	writeError(reqCtx, core.Errorf(core.CodeBadRequest, "no such path: %s", reqCtx.Path()))
	reqCtx.SetStatusCode(fasthttp.StatusNotFound)
}

// authorise returns the organisation of the request's bearer key. A node that
// takes no requests says so first: without settings it knows no key.
func (srv *Server) authorise(reqCtx *fasthttp.RequestCtx) (core.OrgName, error) {
	if code := srv.backend.Accepts(); code != core.CodeOK {
		return "", core.Errorf(code, "this entry VM takes no requests")
	}
	key, ok := strings.CutPrefix(string(reqCtx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok || key == "" {
		return "", core.Errorf(core.CodeUnauthorized, "header Authorization has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok := srv.backend.Org(hex.EncodeToString(sum[:]))
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "the bearer key names no organisation")
	}
	return org, nil
}

// newJob returns a job with what is common to completions and services.
func (srv *Server) newJob(reqCtx *fasthttp.RequestCtx) (core.Job, error) {
	org, err := srv.authorise(reqCtx)
	if err != nil {
		return core.Job{}, err
	}
	limits := srv.backend.Limits(org)
	job := core.Job{
		ID:       uuid.NewString(),
		Org:      org,
		Priority: limits.Priority,
		Deadline: srv.now().Add(limits.Deadline),
	}
	job.OrderingKey = string(reqCtx.Request.Header.Peek(HeaderOrderingKey))
	err = readIdempotencyKey(reqCtx, &job)
	if err != nil {
		return core.Job{}, err
	}
	return job, applyTimeout(reqCtx, srv.now(), &job)
}

// Names of the headers that callers send beside the standard ones.
const (
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderIdempotencyIssued = "Idempotency-Issued"
	HeaderOrderingKey       = "Ordering-Key"
	HeaderRequestTimeout    = "Request-Timeout"
	HeaderResultCode        = "Result-Code"
	HeaderRequestID         = "Request-Id"
	headerLastEventID       = "Last-Event-ID"
)

// maxKeyBytes bounds an idempotency or ordering key in bytes.
const maxKeyBytes = 256

// readIdempotencyKey reads the key and the issue time of a request that must not be
// repeated.
func readIdempotencyKey(reqCtx *fasthttp.RequestCtx, job *core.Job) error {
	key := reqCtx.Request.Header.Peek(HeaderIdempotencyKey)
	if len(key) == 0 {
		return nil
	}
	if len(key) > maxKeyBytes || len(job.OrderingKey) > maxKeyBytes {
		return core.Errorf(core.CodeBadRequest, "a key has more than %d bytes", maxKeyBytes)
	}
	txt := string(reqCtx.Request.Header.Peek(HeaderIdempotencyIssued))
	issuedAt, err := time.Parse(time.RFC3339Nano, txt)
	if err != nil {
		return core.Errorf(core.CodeBadRequest, "%s needs %s in RFC 3339, got %q", HeaderIdempotencyKey, HeaderIdempotencyIssued, txt)
	}
	job.IdempotencyKey = core.IdempotencyKey(key)
	job.KeyIssuedAt = issuedAt.UTC()
	return nil
}

// applyTimeout shortens the deadline to what the caller asks for.
func applyTimeout(reqCtx *fasthttp.RequestCtx, now time.Time, job *core.Job) error {
	txt := string(reqCtx.Request.Header.Peek(HeaderRequestTimeout))
	if txt == "" {
		return nil
	}
	dur, err := time.ParseDuration(txt)
	if err != nil || dur <= 0 {
		return core.Errorf(core.CodeBadRequest, "header %s is not a positive duration: %q", HeaderRequestTimeout, txt)
	}
	if deadline := now.Add(dur); deadline.Before(job.Deadline) {
		job.Deadline = deadline
	}
	return nil
}

// recordResult logs the end of a request and counts its result.
func (srv *Server) recordResult(job core.Job, startedAt time.Time, err error) {
	code := core.CodeOf(err)
	srv.resultCounts.Add(code.String(), 1)
	fields := logrus.Fields{
		"event":        "request",
		"request":      job.ID,
		"organisation": job.Org,
		"code":         code,
		"took":         srv.now().Sub(startedAt).String(),
	}
	if job.Model != "" {
		fields["model"] = job.Model
	}
	if job.Service != "" {
		fields["service"] = job.Service
	}
	entry := srv.log.WithFields(fields)
	if err != nil {
		entry = entry.WithField("error", err.Error())
	}
	entry.Info("request ended")
}
