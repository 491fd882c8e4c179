package plain

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

const (
	headerAttempt = "X-Attempt-Id"
	headerRefused = "X-Refused"
	refused       = "1"

	defaultMaxBody = 4 << 20
)

// Config holds the limits of a Service. A zero field takes its default.
type Config struct {
	Wire wire.Config
	// MaxBody is the size of the largest reply, in bytes.
	MaxBody int
}

// Service is a client of one backend server of a plain service. It is safe for
// concurrent use.
type Service struct {
	poo     *wire.Pool
	maxBody int
}

var _ core.PlainServer = (*Service)(nil)

// New returns a client of the server at addr, in the form host:port.
func New(addr string, cfg Config) *Service {
	if cfg.MaxBody <= 0 {
		cfg.MaxBody = defaultMaxBody
	}
	return &Service{poo: wire.New(addr, cfg.Wire), maxBody: cfg.MaxBody}
}

// Drop closes the idle connections to the server.
func (svc *Service) Drop() { svc.poo.Reset() }

// Close closes the client. Calls in progress are not cut.
func (svc *Service) Close() { svc.poo.Close() }

// Call sends the call once. A positive cal.Timeout replaces the silence bound
// of the connection.
func (svc *Service) Call(ctx context.Context, cal core.Call) (core.Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(cal.Method)
	req.SetRequestURI(cal.Path)
	req.Header.Set(headerAttempt, string(cal.Attempt))
	if cal.Type != "" {
		req.Header.SetContentType(cal.Type)
	}
	req.SetBodyRaw(cal.Body)
	bod, err := svc.poo.Open(ctx, wire.Exchange{Req: req, IOTimeout: cal.Timeout})
	if err != nil {
		svc.poo.ResetOnTimeout(err)
		return core.Reply{}, err
	}
	defer func() { _ = bod.Close() }()
	ans, err := bod.ReadAll(svc.maxBody)
	if err != nil {
		svc.poo.ResetOnTimeout(err)
		return core.Reply{}, err
	}
	rep, err := svc.check(cal, ans)
	if err != nil {
		// What else this connection brings can't be told from an answer.
		bod.Abort()
	}
	if core.CodeOf(err) == core.CodeCrossedAnswer {
		svc.poo.Reset()
	}
	return rep, err
}

// check holds the answer against the call.
func (svc *Service) check(cal core.Call, ans wire.Response) (core.Reply, error) {
	echo := core.AttemptID(ans.Header(headerAttempt))
	refusal := ans.Status() == http.StatusServiceUnavailable && ans.Header(headerRefused) == refused
	if refusal && (echo == "" || echo == cal.Attempt) {
		return core.Reply{}, eris.Wrap(core.Errorf(core.CodeRefused, "call refused"), svc.poo.Addr())
	}
	if echo != cal.Attempt {
		err := core.Errorf(core.CodeCrossedAnswer, "reply echoes attempt %q instead of %q", echo, cal.Attempt)
		return core.Reply{}, eris.Wrap(err, svc.poo.Addr())
	}
	if ans.Header(fasthttp.HeaderContentLength) == "" && cal.Method != http.MethodHead {
		return core.Reply{}, eris.Wrap(core.Errorf(core.CodeCutAnswer, "reply does not state its length"), svc.poo.Addr())
	}
	return core.Reply{
		Attempt: echo,
		Status:  ans.Status(),
		Type:    ans.Header(fasthttp.HeaderContentType),
		Body:    ans.Body(),
	}, nil
}
