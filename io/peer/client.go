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
	// Dial bounds the set-up of a connection.
	Dial time.Duration
	// Call bounds one Exchange, Relay or State.
	Call time.Duration
	// Silence bounds the time between two parts of a forwarded answer.
	Silence time.Duration
	// Dialer opens connections; nil stands for TCP.
	Dialer Dialer
	// TLS is used for a base URL that begins with https.
	TLS *tls.Config
}

// Dialer opens a connection as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is the client of one peer.
type Client struct {
	cfg      Config
	tra      *http.Transport
	exchange *connect.Client[core.Heartbeat, core.Heartbeat]
	relay    *connect.Client[RelayAsk, core.Page]
	state    *connect.Client[StateAsk, StateReply]
	forward  *connect.Client[core.Job, core.Part]
}

var _ core.Peer = (*Client)(nil)

// New returns a client of the peer at the base URL, for example
// "http://10.0.0.1:7102".
func New(base string, cfg Config) *Client {
	if cfg.Dialer == nil {
		cfg.Dialer = (&net.Dialer{Timeout: cfg.Dial}).DialContext
	}
	tra := &http.Transport{
		DialContext:         cfg.Dialer,
		TLSClientConfig:     cfg.TLS,
		TLSHandshakeTimeout: cfg.Dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
	hcl := &http.Client{Transport: tra}
	opts := []connect.ClientOption{
		connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
	return &Client{
		cfg:      cfg,
		tra:      tra,
		exchange: connect.NewClient[core.Heartbeat, core.Heartbeat](hcl, base+procExchange, opts...),
		relay:    connect.NewClient[RelayAsk, core.Page](hcl, base+procRelay, opts...),
		state:    connect.NewClient[StateAsk, StateReply](hcl, base+procState, opts...),
		forward:  connect.NewClient[core.Job, core.Part](hcl, base+procForward, opts...),
	}
}

// Bounds of the connections that a client keeps idle.
const (
	maxIdleConns = 16
	idleTimeout  = 60 * time.Second
)

// Close drops the idle connections.
func (cli *Client) Close() { cli.tra.CloseIdleConnections() }

// Exchange sends a beat and returns the peer's. Its error carries
// core.CodePeerUnreachable.
func (cli *Client) Exchange(ctx context.Context, bea core.Heartbeat) (core.Heartbeat, error) {
	return call(ctx, cli, cli.exchange, &bea)
}

// Relay returns entries that the peer has read.
func (cli *Client) Relay(ctx context.Context, from core.Offset, max int) (core.Page, error) {
	return call(ctx, cli, cli.relay, &RelayAsk{From: from, Max: max})
}

// State returns the peer's encoded state.
func (cli *Client) State(ctx context.Context) ([]byte, error) {
	ans, err := call(ctx, cli, cli.state, &StateAsk{})
	return ans.Data, err
}

// call runs one unary procedure within the call bound. After an error it drops
// the idle connections, since one of them may have gone silent.
func call[Q, A any](ctx context.Context, cli *Client, con *connect.Client[Q, A], msg *Q) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.cfg.Call)
	defer cancel()
	res, err := con.CallUnary(ctx, connect.NewRequest(msg))
	if err != nil {
		cli.tra.CloseIdleConnections()
		var none A
		return none, fromConnect(err, core.CodePeerUnreachable)
	}
	return *res.Msg, nil
}

// Forward runs job at the peer and passes its parts to snk. See core.Peer for
// the errors.
func (cli *Client) Forward(ctx context.Context, job core.Job, snk core.Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	dog := time.AfterFunc(cli.cfg.Silence, cancel)
	defer dog.Stop()
	str, err := cli.forward.CallServerStream(ctx, connect.NewRequest(&job))
	if err != nil {
		return cli.lost(err, wrote.Load())
	}
	defer func() { _ = str.Close() }()
	for str.Receive() {
		dog.Reset(cli.cfg.Silence)
		prt := *str.Msg()
		if prt.Pos == acceptedPos && !prt.End {
			continue
		}
		if prt.Code != core.CodeOK {
			return core.WithRetryAfter(core.Errorf(prt.Code, "%s", prt.Detail), prt.RetryAfter)
		}
		if err := snk.WritePart(prt); err != nil {
			return core.Errorf(core.CodeCallerGone, "caller is gone: %v", err)
		}
		if prt.End {
			return nil
		}
	}
	return cli.lost(str.Err(), wrote.Load())
}

// lost returns the error of a forwarded job whose answer did not come whole.
func (cli *Client) lost(err error, wrote bool) error {
	cli.tra.CloseIdleConnections()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	if wrote {
		return fromConnect(err, core.CodeUnknownOutcome)
	}
	return core.Errorf(core.CodePeerUnreachable, "peer not reached: %v", err)
}

// fromConnect returns an error with the code that the peer gave, or alt.
func fromConnect(err error, alt core.Code) error {
	var cer *connect.Error
	if errors.As(err, &cer) {
		cod, ok := core.ParseCode(cer.Meta().Get(headerCode))
		if ok {
			return core.Errorf(cod, "%s", cer.Message())
		}
	}
	return core.Errorf(alt, "%v", err)
}
