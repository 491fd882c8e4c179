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
	"kumquathinge/io/sock"
)

// Limits holds the limits that apply to the jobs of one organisation.
type Limits struct {
	Deadline time.Duration
	Priority int
}

// Backend runs the requests that the Server receives.
type Backend interface {
	// Org returns the organisation that has an API key with this SHA-256 hash,
	// in hex, and whether there is one.
	Org(keyHash string) (core.OrgName, bool)
	// Limits returns the limits of the organisation.
	Limits(org core.OrgName) Limits
	// Models returns the names of the models that can be requested.
	Models() []core.ModelName
	// Run runs a job and writes its response to sink. Its error carries the
	// result code.
	Run(ctx context.Context, job core.Job, sink core.Sink) error
	// Ready returns core.CodeOK if the load balancer should send requests to
	// this node.
	Ready() core.Code
	// Accepts returns core.CodeOK if the node serves a request that reaches it.
	// A node that just became unready still accepts requests.
	Accepts() core.Code
}

// Config holds the size limits and timeouts of a Server.
type Config struct {
	MaxBodyBytes   int
	MaxPromptBytes int
	MaxTokens      int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Server is the HTTP server for clients.
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

// New returns a Server. It counts the results by code in results.
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
		ConnState:             sock.FollowState,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                log,
	}
	return srv
}

// Serve accepts connections from lis until Shutdown is called.
func (srv *Server) Serve(lis net.Listener) error {
	return srv.httpServer.Serve(sock.Listener{Listener: lis, IdleTimeout: srv.cfg.IdleTimeout, ReadTimeout: srv.cfg.ReadTimeout})
}

// answerTimeout is how long the responses to cancelled jobs may take at a shutdown.
const answerTimeout = 500 * time.Millisecond

// Shutdown stops accepting connections and waits until all requests have finished or ctx
// ends. It then cancels the remaining jobs and waits briefly for their responses.
func (srv *Server) Shutdown(ctx context.Context) error {
	defer srv.cancel()
	stop := context.AfterFunc(ctx, srv.cancel)
	defer stop()
	answered, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopAnswers := context.AfterFunc(ctx, func() { time.AfterFunc(answerTimeout, cancel) })
	defer stopAnswers()
	return srv.httpServer.ShutdownWithContext(answered)
}

// handleLive serves the liveness check, which succeeds while the process runs.
func (srv *Server) handleLive(reqCtx *fasthttp.RequestCtx) {
	reqCtx.SetContentType("text/plain")
	reqCtx.SetBodyString("live\n")
}

// handleReady serves the readiness check of the load balancer.
func (srv *Server) handleReady(reqCtx *fasthttp.RequestCtx) {
	code := srv.backend.Ready()
	if code != core.CodeOK {
		writeError(reqCtx, core.Errorf(code, "this entry VM does not accept requests"))
		return
	}
	reqCtx.SetContentType("text/plain")
	reqCtx.SetBodyString("ready\n")
}

// handleNotFound responds to requests with an unknown path.
func (srv *Server) handleNotFound(reqCtx *fasthttp.RequestCtx) {
	writeError(reqCtx, core.Errorf(core.CodeBadRequest, "no such path: %s", reqCtx.Path()))
	reqCtx.SetStatusCode(fasthttp.StatusNotFound)
}

// authorise returns the organisation of the request's bearer key. Whether the
// node accepts requests is checked first, since a node that has not yet loaded
// its settings would reject every key.
func (srv *Server) authorise(reqCtx *fasthttp.RequestCtx) (core.OrgName, error) {
	if code := srv.backend.Accepts(); code != core.CodeOK {
		return "", core.Errorf(code, "this entry VM does not accept requests")
	}
	key, ok := strings.CutPrefix(string(reqCtx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok || key == "" {
		return "", core.Errorf(core.CodeUnauthorized, "header Authorization has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok := srv.backend.Org(hex.EncodeToString(sum[:]))
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "the bearer key is not assigned to any organisation")
	}
	return org, nil
}

// newJob returns a job with the fields that completions and service calls share.
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

// Names of the non-standard headers of requests and responses.
const (
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderIdempotencyIssued = "Idempotency-Issued"
	HeaderOrderingKey       = "Ordering-Key"
	HeaderRequestTimeout    = "Request-Timeout"
	HeaderResultCode        = "Result-Code"
	HeaderRequestID         = "Request-Id"
	headerLastEventID       = "Last-Event-ID"
)

// maxKeyBytes is the maximum size of an idempotency or ordering key, in bytes.
const maxKeyBytes = 256

// readIdempotencyKey sets the job's idempotency key and its issue time from the
// headers, if the request has a key.
func readIdempotencyKey(reqCtx *fasthttp.RequestCtx, job *core.Job) error {
	key := reqCtx.Request.Header.Peek(HeaderIdempotencyKey)
	if len(key) == 0 {
		return nil
	}
	if len(key) > maxKeyBytes || len(job.OrderingKey) > maxKeyBytes {
		return core.Errorf(core.CodeBadRequest, "idempotency or ordering key is longer than %d bytes", maxKeyBytes)
	}
	txt := string(reqCtx.Request.Header.Peek(HeaderIdempotencyIssued))
	issuedAt, err := time.Parse(time.RFC3339Nano, txt)
	if err != nil {
		return core.Errorf(core.CodeBadRequest, "header %s requires header %s in RFC 3339 format, got %q", HeaderIdempotencyKey, HeaderIdempotencyIssued, txt)
	}
	job.IdempotencyKey = core.IdempotencyKey(key)
	job.KeyIssuedAt = issuedAt.UTC()
	return nil
}

// applyTimeout shortens the job's deadline to the Request-Timeout header. A
// longer timeout has no effect.
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

// recordResult logs the result of a request and counts it by code.
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
