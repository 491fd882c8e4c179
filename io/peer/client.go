package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"kumquathinge/core"
)

// headerCode carries a result code.
const headerCode = "Result-Code"

// Config has the time bounds of a client.
type Config struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds one Exchange, Relay or State.
	CallTimeout time.Duration
	// StreamIdleTimeout bounds the time between two parts of a forwarded answer.
	StreamIdleTimeout time.Duration
	// DialContext opens connections; nil stands for TCP.
	DialContext DialFunc
	// TLS is used for a base URL that begins with https.
	TLS *tls.Config
}

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is the client of one peer.
type Client struct {
	cfg       Config
	transport *http.Transport
	exchange  *connect.Client[core.Heartbeat, core.Heartbeat]
	relay     *connect.Client[RelayRequest, core.Page]
	state     *connect.Client[StateRequest, StateResponse]
	forward   *connect.Client[core.Job, core.Part]
}

var _ core.Peer = (*Client)(nil)

// New returns a client of the peer at the base URL, for example
// "http://10.0.0.1:7102".
func New(base string, cfg Config) *Client {
	if cfg.DialContext == nil {
		cfg.DialContext = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         cfg.DialContext,
		TLSClientConfig:     cfg.TLS,
		TLSHandshakeTimeout: cfg.DialTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
	httpClient := &http.Client{Transport: transport}
	opts := []connect.ClientOption{
		connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
	return &Client{
		cfg:       cfg,
		transport: transport,
		exchange:  connect.NewClient[core.Heartbeat, core.Heartbeat](httpClient, base+procExchange, opts...),
		relay:     connect.NewClient[RelayRequest, core.Page](httpClient, base+procRelay, opts...),
		state:     connect.NewClient[StateRequest, StateResponse](httpClient, base+procState, opts...),
		forward:   connect.NewClient[core.Job, core.Part](httpClient, base+procForward, opts...),
	}
}

// Bounds of the connections that a client keeps idle.
const (
	maxIdleConns = 16
	idleTimeout  = 60 * time.Second
)

// Close drops the idle connections.
func (client *Client) Close() { client.transport.CloseIdleConnections() }

// Exchange sends a beat and returns the peer's. Its error carries
// core.CodePeerUnreachable.
func (client *Client) Exchange(ctx context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	return call(ctx, client, client.exchange, &heartbeat)
}

// Relay returns entries that the peer has read.
func (client *Client) Relay(ctx context.Context, from core.Offset, limit int) (core.Page, error) {
	return call(ctx, client, client.relay, &RelayRequest{From: from, Limit: limit})
}

// State returns the peer's encoded state.
func (client *Client) State(ctx context.Context) ([]byte, error) {
	resp, err := call(ctx, client, client.state, &StateRequest{})
	return resp.Data, err
}

// call runs one unary procedure within the call bound. After an error it drops
// the idle connections, since one of them may have gone silent.
func call[Q, A any](ctx context.Context, client *Client, rpc *connect.Client[Q, A], msg *Q) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, client.cfg.CallTimeout)
	defer cancel()
	resp, err := rpc.CallUnary(ctx, connect.NewRequest(msg))
	if err != nil {
		client.transport.CloseIdleConnections()
		var zero A
		return zero, fromConnect(err, core.CodePeerUnreachable)
	}
	return *resp.Msg, nil
}

// Forward runs job at the peer and passes its parts to snk. See core.Peer for
// the errors.
func (client *Client) Forward(ctx context.Context, job core.Job, sink core.Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var headersSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { headersSent.Store(true) },
	})
	idleTimer := time.AfterFunc(client.cfg.StreamIdleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := client.forward.CallServerStream(ctx, connect.NewRequest(&job))
	if err != nil {
		return client.forwardError(err, headersSent.Load())
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		idleTimer.Reset(client.cfg.StreamIdleTimeout)
		part := *stream.Msg()
		if part.Pos == keepAlivePos && !part.End {
			continue
		}
		if part.Code != core.CodeOK {
			return core.WithRetryAfter(core.Errorf(part.Code, "%s", part.Detail), part.RetryAfter)
		}
		if err := sink.WritePart(part); err != nil {
			return core.Errorf(core.CodeCallerGone, "caller is gone: %v", err)
		}
		if part.End {
			return nil
		}
	}
	return client.forwardError(stream.Err(), headersSent.Load())
}

// forwardError returns the error of a forwarded job whose answer did not come whole.
func (client *Client) forwardError(err error, headersSent bool) error {
	client.transport.CloseIdleConnections()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	if headersSent {
		return fromConnect(err, core.CodeUnknownOutcome)
	}
	return core.Errorf(core.CodePeerUnreachable, "peer not reached: %v", err)
}

// fromConnect returns an error with the code that the peer gave, or alt.
func fromConnect(err error, fallback core.Code) error {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		code, ok := core.ParseCode(connectErr.Meta().Get(headerCode))
		if ok {
			return core.Errorf(code, "%s", connectErr.Message())
		}
	}
	return core.Errorf(fallback, "%v", err)
}
