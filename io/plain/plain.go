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
	refusedValue  = "1"

	defaultMaxBodyBytes = 4 << 20
)

// Config holds the limits of a Client. Zero fields are set to their defaults.
type Config struct {
	Wire wire.Config
	// MaxBodyBytes is the maximum size of the body of a reply.
	MaxBodyBytes int
}

// Client is a client for one backend server of a plain service. It is safe for
// concurrent use.
type Client struct {
	pool         *wire.Pool
	maxBodyBytes int
}

var _ core.PlainServer = (*Client)(nil)

// New returns a client for the server at addr, in the form host:port.
func New(addr string, cfg Config) *Client {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	return &Client{pool: wire.New(addr, cfg.Wire), maxBodyBytes: cfg.MaxBodyBytes}
}

// Reset closes the idle connections to the server.
func (client *Client) Reset() { client.pool.Reset() }

// Close closes the client. Calls in progress are not interrupted.
func (client *Client) Close() { client.pool.Close() }

// Call sends the call once and never retries it. A positive call.Timeout replaces
// the I/O timeout of the connection.
func (client *Client) Call(ctx context.Context, call core.Call) (core.Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Path)
	req.Header.Set(headerAttempt, string(call.Attempt))
	if call.Type != "" {
		req.Header.SetContentType(call.Type)
	}
	req.SetBodyRaw(call.Body)
	body, err := client.pool.Open(ctx, wire.Exchange{Req: req, IOTimeout: call.Timeout})
	if err != nil {
		client.pool.ResetOnTimeout(err)
		return core.Reply{}, err
	}
	defer func() { _ = body.Close() }()
	resp, err := body.ReadAll(client.maxBodyBytes)
	if err != nil {
		client.pool.ResetOnTimeout(err)
		return core.Reply{}, err
	}
	reply, err := client.checkReply(call, resp)
	if err != nil {
		// More data on this connection could be mistaken for a later reply.
		body.Abort()
	}
	if core.CodeOf(err) == core.CodeCrossedAnswer {
		client.pool.Reset()
	}
	return reply, err
}

// checkReply returns the reply if the response belongs to the call and is
// complete. Its error carries core.CodeRefused, core.CodeCrossedAnswer or
// core.CodeCutAnswer.
func (client *Client) checkReply(call core.Call, resp wire.Response) (core.Reply, error) {
	echo := core.AttemptID(resp.Header(headerAttempt))
	refusal := resp.Status() == http.StatusServiceUnavailable && resp.Header(headerRefused) == refusedValue
	if refusal && (echo == "" || echo == call.Attempt) {
		return core.Reply{}, eris.Wrap(core.Errorf(core.CodeRefused, "server refused the call"), client.pool.Addr())
	}
	if echo != call.Attempt {
		err := core.Errorf(core.CodeCrossedAnswer, "reply echoes attempt %q, want %q", echo, call.Attempt)
		return core.Reply{}, eris.Wrap(err, client.pool.Addr())
	}
	if resp.Header(fasthttp.HeaderContentLength) == "" && call.Method != http.MethodHead {
		return core.Reply{}, eris.Wrap(core.Errorf(core.CodeCutAnswer, "reply has no Content-Length header"), client.pool.Addr())
	}
	return core.Reply{
		Attempt: echo,
		Status:  resp.Status(),
		Type:    resp.Header(fasthttp.HeaderContentType),
		Body:    resp.Body(),
	}, nil
}
