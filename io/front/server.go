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
	Org(sum string) (core.OrgName, bool)
	// Limits returns what applies to the organisation.
	Limits(org core.OrgName) Limits
	// Models returns the models that have a group.
	Models() []core.ModelName
	// Run runs a job; its error carries the result code.
	Run(ctx context.Context, job core.Job, snk core.Sink) error
	// Ready returns core.CodeOK if the balancer shall send requests here.
	Ready() core.Code
	// Accepts returns core.CodeOK if a request that comes is served. A node
	// that has just turned unready still accepts.
	Accepts() core.Code
}

// Config has the bounds of the server.
type Config struct {
	MaxBodyBytes int
	MaxPrompt    int
	MaxTokens    int
	ReadTimeout  time.Duration
	IdleTimeout  time.Duration
}

// Server serves callers.
type Server struct {
	cfg Config
	bck Backend
	log *logrus.Logger
	now func() time.Time
	srv *fasthttp.Server
	res *expvar.Map
	ctx context.Context
	cut context.CancelFunc
}

// New returns a server. Counters of results by code go to met.
func New(cfg Config, bck Backend, log *logrus.Logger, met *expvar.Map, now func() time.Time) *Server {
	ctx, cut := context.WithCancel(context.Background())
	srv := &Server{cfg: cfg, bck: bck, log: log, now: now, res: met, ctx: ctx, cut: cut}
	rou := router.New()
	rou.POST("/v1/completions", srv.completions)
	rou.POST("/v1/chat/completions", srv.chat)
	rou.GET("/v1/models", srv.models)
	rou.ANY("/services/{service}/{path:*}", srv.service)
	rou.GET("/live", srv.live)
	rou.GET("/ready", srv.ready)
	rou.NotFound = srv.notFound
	srv.srv = &fasthttp.Server{
		Handler:               rou.Handler,
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
func (srv *Server) Serve(lis net.Listener) error { return srv.srv.Serve(lis) }

// Shutdown stops taking connections, waits until the open requests are done or
// ctx ends, and cancels the jobs that are left.
func (srv *Server) Shutdown(ctx context.Context) error {
	defer srv.cut()
	return srv.srv.ShutdownWithContext(ctx)
}

// live answers as long as the process runs.
func (srv *Server) live(rqc *fasthttp.RequestCtx) {
	rqc.SetContentType("text/plain")
	rqc.SetBodyString("live\n")
}

// ready answers 200 if the node takes requests.
func (srv *Server) ready(rqc *fasthttp.RequestCtx) {
	cod := srv.bck.Ready()
	if cod != core.CodeOK {
		writeError(rqc, core.Errorf(cod, "this entry VM takes no requests"))
		return
	}
	rqc.SetContentType("text/plain")
	rqc.SetBodyString("ready\n")
}

// notFound answers for unknown paths.
func (srv *Server) notFound(rqc *fasthttp.RequestCtx) {
	writeError(rqc, core.Errorf(core.CodeBadRequest, "no such path: %s", rqc.Path()))
	rqc.SetStatusCode(fasthttp.StatusNotFound)
}

// authorise returns the organisation of the request's bearer key. A node that
// takes no requests says so first: without settings it knows no key.
func (srv *Server) authorise(rqc *fasthttp.RequestCtx) (core.OrgName, error) {
	if cod := srv.bck.Accepts(); cod != core.CodeOK {
		return "", core.Errorf(cod, "this entry VM takes no requests")
	}
	key, ok := strings.CutPrefix(string(rqc.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok || key == "" {
		return "", core.Errorf(core.CodeUnauthorized, "header Authorization has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	org, ok := srv.bck.Org(hex.EncodeToString(sum[:]))
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "the bearer key names no organisation")
	}
	return org, nil
}

// newJob returns a job with what is common to completions and services.
func (srv *Server) newJob(rqc *fasthttp.RequestCtx) (core.Job, error) {
	org, err := srv.authorise(rqc)
	if err != nil {
		return core.Job{}, err
	}
	lim := srv.bck.Limits(org)
	job := core.Job{
		ID:       uuid.NewString(),
		Org:      org,
		Priority: lim.Priority,
		Deadline: srv.now().Add(lim.Deadline),
	}
	job.OrderingKey = string(rqc.Request.Header.Peek(HeaderOrderingKey))
	err = readOnce(rqc, &job)
	if err != nil {
		return core.Job{}, err
	}
	return job, readTimeout(rqc, srv.now(), &job)
}

// Names of the headers that callers send beside the standard ones.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderIssued      = "Idempotency-Issued"
	HeaderOrderingKey = "Ordering-Key"
	HeaderTimeout     = "Request-Timeout"
	HeaderResult      = "Result-Code"
	HeaderRequestID   = "Request-Id"
	headerLastEvent   = "Last-Event-ID"
)

// maxKeyBytes bounds an idempotency or ordering key in bytes.
const maxKeyBytes = 256

// readOnce reads the key and the issue time of a request that must not be
// repeated.
func readOnce(rqc *fasthttp.RequestCtx, job *core.Job) error {
	key := rqc.Request.Header.Peek(HeaderKey)
	if len(key) == 0 {
		return nil
	}
	if len(key) > maxKeyBytes || len(job.OrderingKey) > maxKeyBytes {
		return core.Errorf(core.CodeBadRequest, "a key has more than %d bytes", maxKeyBytes)
	}
	txt := string(rqc.Request.Header.Peek(HeaderIssued))
	iss, err := time.Parse(time.RFC3339Nano, txt)
	if err != nil {
		return core.Errorf(core.CodeBadRequest, "%s needs %s in RFC 3339, got %q", HeaderKey, HeaderIssued, txt)
	}
	job.IdempotencyKey = core.IdempotencyKey(key)
	job.KeyIssuedAt = iss.UTC()
	return nil
}

// readTimeout shortens the deadline to what the caller asks for.
func readTimeout(rqc *fasthttp.RequestCtx, now time.Time, job *core.Job) error {
	txt := string(rqc.Request.Header.Peek(HeaderTimeout))
	if txt == "" {
		return nil
	}
	dur, err := time.ParseDuration(txt)
	if err != nil || dur <= 0 {
		return core.Errorf(core.CodeBadRequest, "header %s is not a positive duration: %q", HeaderTimeout, txt)
	}
	if end := now.Add(dur); end.Before(job.Deadline) {
		job.Deadline = end
	}
	return nil
}

// finish logs the end of a request and counts its result.
func (srv *Server) finish(job core.Job, beg time.Time, err error) {
	cod := core.CodeOf(err)
	srv.res.Add(cod.String(), 1)
	fld := logrus.Fields{
		"event":        "request",
		"request":      job.ID,
		"organisation": job.Org,
		"code":         cod,
		"took":         srv.now().Sub(beg).String(),
	}
	if job.Model != "" {
		fld["model"] = job.Model
	}
	if job.Service != "" {
		fld["service"] = job.Service
	}
	ent := srv.log.WithFields(fld)
	if err != nil {
		ent = ent.WithField("error", err.Error())
	}
	ent.Info("request ended")
}
