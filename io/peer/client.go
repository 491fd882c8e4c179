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
	"kumquathinge/io/strict"
)

// headerCode is the header with the result code of a failed call.
const headerCode = "Result-Code"

// Config holds the timeouts of a Client and how it connects.
type Config struct {
	// DialTimeout limits the TCP connect and the TLS handshake, each.
	DialTimeout time.Duration
	// CallTimeout limits one call of Exchange, Relay or State.
	CallTimeout time.Duration
	// StreamIdleTimeout limits the time until the first part of a forwarded
	// response and between two parts, keep-alives included.
	StreamIdleTimeout time.Duration
	// DialContext opens connections; the default is TCP with DialTimeout.
	DialContext DialFunc
	// TLS is the configuration for a base URL that starts with https.
	TLS *tls.Config
}

// DialFunc opens a connection. See net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is the RPC client for one peer.
type Client struct {
	cfg       Config
	transport *http.Transport
	exchange  *connect.Client[core.Heartbeat, core.Heartbeat]
	relay     *connect.Client[RelayRequest, core.Page]
	state     *connect.Client[StateRequest, StateResponse]
	forward   *connect.Client[core.Job, core.Part]
}

var _ core.Peer = (*Client)(nil)

// New returns a Client for the peer at the base URL, for example
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
	httpClient := &http.Client{Transport: strict.NewTransport(transport)}
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

// Limits of the idle connections of a client.
const (
	maxIdleConns = 16
	idleTimeout  = 60 * time.Second
)

// Close closes the idle connections.
func (client *Client) Close() { client.transport.CloseIdleConnections() }

// Exchange sends a heartbeat and returns the peer's heartbeat. Its error
// carries core.CodePeerUnreachable.
func (client *Client) Exchange(ctx context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	return call(ctx, client, client.exchange, &heartbeat)
}

// Relay returns at most limit log entries from offset from that the peer has
// read.
func (client *Client) Relay(ctx context.Context, from core.Offset, limit int) (core.Page, error) {
	return call(ctx, client, client.relay, &RelayRequest{From: from, Limit: limit})
}

// State returns the peer's state.
func (client *Client) State(ctx context.Context) (core.PeerState, error) {
	resp, err := call(ctx, client, client.state, &StateRequest{})
	return core.PeerState{Era: resp.Era, Data: resp.Data}, err
}

// call calls one unary procedure with CallTimeout. After an error it closes the
// idle connections, since they may be unresponsive too.
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

// Forward runs job on the peer and writes the parts of the response to sink.
// See core.Peer for the errors.
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
			return core.Errorf(core.CodeCallerGone, "writing to the caller failed: %v", err)
		}
		if part.End {
			return nil
		}
	}
	return client.forwardError(stream.Err(), headersSent.Load())
}

// forwardError returns the error of a forwarded job whose response is
// incomplete. Once the request headers were sent, the outcome is unknown.
func (client *Client) forwardError(err error, headersSent bool) error {
	client.transport.CloseIdleConnections()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	if headersSent {
		return fromConnect(err, core.CodeUnknownOutcome)
	}
	return core.Errorf(core.CodePeerUnreachable, "peer is unreachable: %v", err)
}

// fromConnect returns an error with the result code that the peer sent, or with
// fallback if it sent none.
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
