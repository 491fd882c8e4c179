package wire

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// Exchange is one request and what bounds it.
type Exchange struct {
	// Req is the request. Its host is set to the pool's address if empty.
	Req *fasthttp.Request
	// Silence replaces the pool's silence bound if positive.
	Silence time.Duration
	// Fresh asks for a new connection.
	Fresh bool
	// CloseEnds accepts a response without a stated length that ends with an
	// orderly close of its connection.
	CloseEnds bool
	// EchoHeader names a response header that repeats EchoValue. A response
	// with another value belongs to an earlier request: it is skipped, and the
	// connection isn't used again. Empty asks for no check.
	EchoHeader, EchoValue string
}

// Pool holds the connections to one backend server.
type Pool struct {
	addr   string
	cfg    Config
	idle   chan *conn
	gen    atomic.Uint64
	closed atomic.Bool
}

// New returns a pool for the server at addr, in the form host:port. It opens
// no connection.
func New(addr string, cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{addr: addr, cfg: cfg, idle: make(chan *conn, cfg.IdleMax)}
}

// Addr returns the server's address.
func (poo *Pool) Addr() string { return poo.addr }

// Do sends a request and reads the whole response. It reports whether the
// request went over a connection that had been used before. The package
// comment lists the codes of its error.
func (poo *Pool) Do(ctx context.Context, exc Exchange) (Answer, bool, error) {
	bod, reused, err := poo.open(ctx, exc)
	if err != nil {
		return Answer{}, reused, err
	}
	defer func() { _ = bod.Close() }()
	ans, err := bod.Whole(poo.cfg.MaxBody)
	return ans, reused, err
}

// Open sends a request and returns the response with its body still to be
// read. The caller closes it. If ctx ends, the connection closes at once.
func (poo *Pool) Open(ctx context.Context, exc Exchange) (*Body, error) {
	bod, _, err := poo.open(ctx, exc)
	return bod, err
}

func (poo *Pool) open(ctx context.Context, exc Exchange) (*Body, bool, error) {
	con, stop, err := poo.send(ctx, exc)
	if err != nil {
		return nil, con != nil && con.reused, err
	}
	bod := &Body{ctx: ctx, poo: poo, con: con, stop: stop, closeEnds: exc.CloseEnds}
	bod.resp.StreamBody = true
	bod.resp.SkipBody = exc.Req.Header.IsHead()
	err = poo.read(bod, exc)
	if err == nil {
		return bod, con.reused, nil
	}
	code := core.CodeCutAnswer
	if con.got == 0 {
		code = core.CodeUnknownOutcome
	}
	err = con.fault(ctx, err, code)
	stop()
	con.close()
	return nil, con.reused, err
}

// read reads the header of the response that belongs to the request.
func (poo *Pool) read(bod *Body, exc Exchange) error {
	for {
		err := bod.resp.ReadLimitBody(bod.con.rdr, poo.cfg.MaxBody)
		if err != nil || exc.EchoHeader == "" {
			return err
		}
		echo := bod.resp.Header.Peek(exc.EchoHeader)
		if len(echo) == 0 || string(echo) == exc.EchoValue {
			return nil
		}
		bod.crossed = true
		if stm := bod.resp.BodyStream(); stm != nil {
			_, err = io.Copy(io.Discard, io.LimitReader(stm, int64(poo.cfg.MaxBody)))
		}
		if err != nil {
			return err
		}
		_ = bod.resp.CloseBodyStream()
		bod.resp.Reset()
		bod.resp.StreamBody = true
	}
}

// NoteSilence drops the idle connections if err tells of silence: what lost
// track of one connection has probably lost track of the others.
func (poo *Pool) NoteSilence(err error) {
	if core.CodeOf(err) == core.CodeSilent {
		poo.Drop()
	}
}

// Drop closes every idle connection. Those in use close when they are done.
func (poo *Pool) Drop() {
	poo.gen.Add(1)
	for {
		select {
		case con := <-poo.idle:
			con.close()
		default:
			return
		}
	}
}

// Close closes the pool. Requests in progress are not cut; later ones fail
// with core.CodeDialFailed.
func (poo *Pool) Close() {
	poo.closed.Store(true)
	poo.Drop()
}

// send gets a connection and writes the request to it. The returned function
// ends the watch on ctx and reports whether the connection is still open.
func (poo *Pool) send(ctx context.Context, exc Exchange) (*conn, func() bool, error) {
	if len(exc.Req.Header.Host()) == 0 {
		exc.Req.SetHost(poo.addr)
	}
	con := poo.take(exc.Fresh)
	if con != nil {
		stop, err := poo.write(ctx, con, exc)
		if err == nil || con.sent > 0 {
			return con, stop, err
		}
	}
	con, err := poo.dial(ctx)
	if err != nil {
		return nil, nil, err
	}
	stop, err := poo.write(ctx, con, exc)
	return con, stop, err
}

// write sends the request over con. It closes con if that fails.
func (poo *Pool) write(ctx context.Context, con *conn, exc Exchange) (func() bool, error) {
	con.sent = 0
	con.got = 0
	con.silence = poo.cfg.Silence
	if exc.Silence > 0 {
		con.silence = exc.Silence
	}
	if ctx.Err() != nil {
		con.close()
		return nil, con.fault(ctx, context.Cause(ctx), core.CodeUnknownOutcome)
	}
	stop := context.AfterFunc(ctx, con.close)
	err := con.send(exc.Req)
	if err != nil {
		err = con.fault(ctx, err, core.CodeUnknownOutcome)
		stop()
		con.close()
		return nil, err
	}
	return stop, nil
}

// take returns an idle connection that can be reused, or nil.
func (poo *Pool) take(fresh bool) *conn {
	for !fresh {
		select {
		case con := <-poo.idle:
			usable := con.gen == poo.gen.Load() &&
				time.Since(con.idleAt) < poo.cfg.IdleTimeout &&
				con.alive()
			if usable {
				con.reused = true
				return con
			}
			con.close()
		default:
			return nil
		}
	}
	return nil
}

func (poo *Pool) dial(ctx context.Context) (*conn, error) {
	if poo.closed.Load() {
		return nil, eris.Wrap(core.Errorf(core.CodeDialFailed, "pool is closed"), poo.addr)
	}
	gen := poo.gen.Load()
	dlr := net.Dialer{Timeout: poo.cfg.DialTimeout, KeepAliveConfig: poo.cfg.keepAlive(), Control: poo.cfg.control}
	raw, err := dlr.DialContext(ctx, "tcp", poo.addr)
	if err != nil {
		return nil, eris.Wrap(core.Errorf(core.CodeDialFailed, "%v", err), poo.addr)
	}
	return newConn(raw, gen), nil
}

// release gives a connection back, or closes it if it can't be reused.
func (poo *Pool) release(con *conn, stop func() bool, reusable bool) {
	open := stop()
	if !open || !reusable || poo.closed.Load() || con.gen != poo.gen.Load() {
		con.close()
		return
	}
	con.idleAt = time.Now()
	select {
	case poo.idle <- con:
	default:
		con.close()
	}
	if poo.closed.Load() {
		poo.Drop()
	}
}
