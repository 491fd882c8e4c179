package wire

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// Exchange is a request with its connection options.
type Exchange struct {
	// Req is the request. An empty host is set to the pool's address.
	Req *fasthttp.Request
	// IOTimeout overrides the pool's IOTimeout if positive.
	IOTimeout time.Duration
	// NoReuse forces a new connection.
	NoReuse bool
	// Exclusive forces a new connection that carries no other exchange. It is for
	// responses that do not name their request.
	Exclusive bool
	// AllowCloseDelimited accepts a response without a length that ends with an
	// orderly close of the connection.
	AllowCloseDelimited bool
	// EchoHeader names a response header that repeats EchoValue. A response with
	// another value belongs to an earlier request: it is skipped, and the
	// connection is not reused. A response without the header is accepted. An
	// empty EchoHeader disables the check.
	EchoHeader, EchoValue string
	// BeforeSend is called when a connection is open, right before the request is
	// written to it. If it returns an error, nothing is sent and that is the error of
	// the exchange. It is called again if a kept connection turns out to be closed.
	BeforeSend func() error
}

// Pool is a connection pool for one backend server.
type Pool struct {
	addr       string
	cfg        Config
	idle       chan *trackedConn
	generation atomic.Uint64
	closed     atomic.Bool
}

// New returns a pool for the server at addr, which has the form host:port. It
// opens no connections.
func New(addr string, cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{addr: addr, cfg: cfg, idle: make(chan *trackedConn, cfg.MaxIdle)}
}

// Addr returns the server's address.
func (pool *Pool) Addr() string { return pool.addr }

// Do sends a request and reads the complete response. The second result reports
// whether the request was sent over a reused connection. The package comment
// lists the codes of the error.
func (pool *Pool) Do(ctx context.Context, ex Exchange) (Response, bool, error) {
	body, reused, err := pool.open(ctx, ex)
	if err != nil {
		return Response{}, reused, err
	}
	defer func() { _ = body.Close() }()
	resp, err := body.ReadAll(pool.cfg.MaxBody)
	return resp, reused, err
}

// Open sends a request and returns the response once its header was read. The
// caller must close it. If ctx is cancelled, the connection is closed immediately.
func (pool *Pool) Open(ctx context.Context, ex Exchange) (*Body, error) {
	body, _, err := pool.open(ctx, ex)
	return body, err
}

func (pool *Pool) open(ctx context.Context, ex Exchange) (*Body, bool, error) {
	conn, stop, err := pool.send(ctx, ex)
	if err != nil {
		return nil, conn != nil && conn.reused, err
	}
	body := &Body{ctx: ctx, pool: pool, conn: conn, stop: stop, allowCloseDelimited: ex.AllowCloseDelimited, exclusive: ex.Exclusive}
	body.resp.StreamBody = true
	body.resp.SkipBody = ex.Req.Header.IsHead()
	err = pool.readHeader(body, ex)
	if err == nil {
		return body, conn.reused, nil
	}
	code := core.CodeCutAnswer
	if conn.received == 0 {
		code = core.CodeUnknownOutcome
	}
	err = conn.codedError(ctx, err, code)
	stop()
	conn.close()
	return nil, conn.reused, err
}

// readHeader reads the header of the response to the request, and skips responses
// to earlier requests.
func (pool *Pool) readHeader(body *Body, ex Exchange) error {
	for {
		err := awaitFinal(body.conn.reader)
		if err == nil {
			err = body.resp.ReadLimitBody(body.conn.reader, pool.cfg.MaxBody)
		}
		if err == nil && body.conn.reused && joined(&body.resp.Header) {
			err = eris.New("the header of a response holds the begin of another one")
		}
		if err != nil || ex.EchoHeader == "" {
			return err
		}
		echo := body.resp.Header.Peek(ex.EchoHeader)
		if len(echo) == 0 || string(echo) == ex.EchoValue {
			return nil
		}
		body.skipped++
		if stream := body.resp.BodyStream(); stream != nil {
			_, err = io.Copy(io.Discard, io.LimitReader(stream, int64(pool.cfg.MaxBody)))
		}
		if err != nil {
			return err
		}
		_ = body.resp.CloseBodyStream()
		body.resp.Reset()
		body.resp.StreamBody = true
	}
}

// ResetOnTimeout calls Reset if err is a timeout: whatever broke one connection
// has probably broken the others too.
func (pool *Pool) ResetOnTimeout(err error) {
	if core.CodeOf(err) == core.CodeSilent {
		pool.Reset()
	}
}

// Reset closes all idle connections. Connections in use are closed when they are
// released.
func (pool *Pool) Reset() {
	pool.generation.Add(1)
	for {
		select {
		case conn := <-pool.idle:
			conn.close()
		default:
			return
		}
	}
}

// Close closes the pool. In-flight requests are not interrupted; later ones fail
// with core.CodeDialFailed.
func (pool *Pool) Close() {
	pool.closed.Store(true)
	pool.Reset()
}

// send writes the request to an idle or a new connection. The returned function
// stops watching ctx and reports whether the connection is still open.
func (pool *Pool) send(ctx context.Context, ex Exchange) (*trackedConn, func() bool, error) {
	if len(ex.Req.Header.Host()) == 0 {
		ex.Req.SetHost(pool.addr)
	}
	conn := pool.takeIdle(ex.NoReuse || ex.Exclusive)
	if conn != nil {
		if err := pool.beforeSend(conn, ex); err != nil {
			return nil, nil, err
		}
		stop, err := pool.writeRequest(ctx, conn, ex)
		if err == nil || conn.sent > 0 {
			return conn, stop, err
		}
	}
	conn, err := pool.dial(ctx)
	if err != nil {
		return nil, nil, err
	}
	err = pool.beforeSend(conn, ex)
	if err != nil {
		return nil, nil, err
	}
	stop, err := pool.writeRequest(ctx, conn, ex)
	return conn, stop, err
}

// beforeSend calls BeforeSend of the exchange. If it returns an error, conn goes back to
// the pool unused.
func (pool *Pool) beforeSend(conn *trackedConn, ex Exchange) error {
	if ex.BeforeSend == nil {
		return nil
	}
	err := ex.BeforeSend()
	if err != nil {
		pool.release(conn, func() bool { return true }, true)
	}
	return err
}

// writeRequest writes the request to conn. It closes conn if that fails.
func (pool *Pool) writeRequest(ctx context.Context, conn *trackedConn, ex Exchange) (func() bool, error) {
	conn.sent = 0
	conn.received = 0
	conn.ioTimeout = pool.cfg.IOTimeout
	if ex.IOTimeout > 0 {
		conn.ioTimeout = ex.IOTimeout
	}
	if ctx.Err() != nil {
		conn.close()
		return nil, conn.codedError(ctx, context.Cause(ctx), core.CodeUnknownOutcome)
	}
	stop := context.AfterFunc(ctx, conn.close)
	err := conn.send(ex.Req)
	if err != nil {
		err = conn.codedError(ctx, err, core.CodeUnknownOutcome)
		stop()
		conn.close()
		return nil, err
	}
	return stop, nil
}

// takeIdle returns a reusable idle connection, or nil if there is none. It closes
// the idle connections that can no longer be reused.
func (pool *Pool) takeIdle(noReuse bool) *trackedConn {
	for !noReuse {
		select {
		case conn := <-pool.idle:
			usable := conn.generation == pool.generation.Load() &&
				time.Since(conn.idleSince) < pool.cfg.IdleTimeout &&
				conn.reusable()
			if usable {
				conn.reused = true
				return conn
			}
			conn.close()
		default:
			return nil
		}
	}
	return nil
}

// dialError is the failure to open a connection.
type dialError struct {
	coded *core.Error
	cause error
}

// Error implements error.
func (err *dialError) Error() string { return err.coded.Error() }

// Unwrap returns the coded error.
func (err *dialError) Unwrap() error { return err.coded }

// Is reports whether the host refused the connection, for syscall.ECONNREFUSED. A timeout of
// the dial is none of the request.
func (err *dialError) Is(target error) bool {
	return target == syscall.ECONNREFUSED && errors.Is(err.cause, target)
}

func (pool *Pool) dial(ctx context.Context) (*trackedConn, error) {
	if pool.closed.Load() {
		return nil, eris.Wrap(core.Errorf(core.CodeDialFailed, "connection pool is closed"), pool.addr)
	}
	generation := pool.generation.Load()
	raw, err := pool.cfg.dial(ctx, pool.addr)
	if err != nil {
		return nil, eris.Wrap(&dialError{coded: core.Errorf(core.CodeDialFailed, "%v", err), cause: err}, pool.addr)
	}
	return newConn(raw, generation), nil
}

// release returns a connection to the pool, or closes it if it cannot be reused.
func (pool *Pool) release(conn *trackedConn, stop func() bool, reusable bool) {
	open := stop()
	if !open || !reusable || pool.closed.Load() || conn.generation != pool.generation.Load() {
		conn.close()
		return
	}
	conn.idleSince = time.Now()
	select {
	case pool.idle <- conn:
	default:
		conn.close()
	}
	if pool.closed.Load() {
		pool.Reset()
	}
}
