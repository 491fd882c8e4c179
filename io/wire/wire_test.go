package wire_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

const (
	okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	ioTimeout  = 50 * time.Millisecond
)

// server is a backend server that responds with a responder and counts the
// requests whose header it received, by path.
type server struct {
	listener net.Listener
	mtx      sync.Mutex
	conns    int
	requests map[string]int
	closed   chan struct{}
}

// responder responds to request reqNum of connection connNum; both count from 1.
// It returns false to close the connection.
type responder func(connNum, reqNum int, raw net.Conn) bool

func startServer(t *testing.T, respond responder) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &server{listener: ln, requests: map[string]int{}, closed: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			srv.mtx.Lock()
			srv.conns++
			connNum := srv.conns
			srv.mtx.Unlock()
			go srv.serve(connNum, raw, respond)
		}
	}()
	return srv
}

func (srv *server) serve(connNum int, raw net.Conn, respond responder) {
	defer func() {
		_ = raw.Close()
		srv.closed <- struct{}{}
	}()
	reader := bufio.NewReader(raw)
	for reqNum := 1; ; reqNum++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		srv.mtx.Lock()
		srv.requests[req.URL.Path]++
		srv.mtx.Unlock()
		if req.URL.Path != "/big" {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if !respond(connNum, reqNum, raw) {
			return
		}
	}
}

func (srv *server) count(path string) int {
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	return srv.requests[path]
}

func respondWith(text string) responder {
	return func(_, _ int, raw net.Conn) bool {
		_, err := io.WriteString(raw, text)
		return err == nil
	}
}

func (srv *server) pool(t *testing.T, cfg wire.Config) *wire.Pool {
	t.Helper()
	pool := wire.New(srv.listener.Addr().String(), cfg)
	t.Cleanup(pool.Close)
	return pool
}

func post(ctx context.Context, pool *wire.Pool, path string) (wire.Response, bool, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI(path)
	req.SetBodyString("body")
	return pool.Do(ctx, wire.Exchange{Req: req})
}

// hang sends nothing and keeps the connection open until the client closes it.
func hang(_, _ int, raw net.Conn) bool {
	_, _ = io.Copy(io.Discard, raw)
	return false
}

func resetConn(raw net.Conn) bool {
	_ = raw.(*net.TCPConn).SetLinger(0)
	return false
}

// TestNewConnection checks the error codes of requests over a new connection for
// each server fault.
func TestNewConnection(t *testing.T) {
	tests := []struct {
		name    string
		respond responder
		want    core.Code
	}{
		{"complete", respondWith(okResponse), core.CodeOK},
		{"chunked", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), core.CodeOK},
		{"interim response first", respondWith("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse), core.CodeOK},
		{"closed without a response", func(_, _ int, _ net.Conn) bool { return false }, core.CodeUnknownOutcome},
		{"reset without a response", func(_, _ int, raw net.Conn) bool { return resetConn(raw) }, core.CodeUnknownOutcome},
		{"truncated in the header", func(_, _ int, raw net.Conn) bool { return !respondWith("HTTP/1.1 200 OK\r\nContent-Le")(0, 0, raw) }, core.CodeCutAnswer},
		{"truncated in the body", func(_, _ int, raw net.Conn) bool {
			return !respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")(0, 0, raw)
		}, core.CodeCutAnswer},
		{"truncated before the last chunk", func(_, _ int, raw net.Conn) bool {
			return !respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(0, 0, raw)
		}, core.CodeCutAnswer},
		{"close-delimited", func(_, _ int, raw net.Conn) bool { return !respondWith("HTTP/1.1 200 OK\r\n\r\nok")(0, 0, raw) }, core.CodeCutAnswer},
		{"not HTTP", respondWith("SSH-2.0-server\r\n\r\n"), core.CodeCutAnswer},
		{"too large", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101)), core.CodeCutAnswer},
		{"too large, chunked", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n"), core.CodeCutAnswer},
		{"no response", hang, core.CodeSilent},
		{"stalled in the body", func(connNum, reqNum int, raw net.Conn) bool {
			_ = respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")(connNum, reqNum, raw)
			return hang(connNum, reqNum, raw)
		}, core.CodeSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := startServer(t, tt.respond)
			pool := srv.pool(t, wire.Config{IOTimeout: ioTimeout, MaxBody: 100})
			resp, _, err := post(context.Background(), pool, "/one")
			assert.Equal(t, core.CodeOf(err), tt.want, "%v", err)
			assert.Equal(t, srv.count("/one"), 1)
			if tt.want == core.CodeOK {
				assert.Equal(t, string(resp.Body()), "ok")
			}
		})
	}
}

// TestReusedConnection checks that no request is received twice when a reused
// connection is stale or fails.
func TestReusedConnection(t *testing.T) {
	onSecondRequest := func(respond responder) responder {
		return func(connNum, reqNum int, raw net.Conn) bool {
			if connNum == 1 && reqNum == 2 {
				return respond(connNum, reqNum, raw)
			}
			return respondWith(okResponse)(connNum, reqNum, raw)
		}
	}
	tests := []struct {
		name       string
		respond    responder
		awaitClose bool
		want       core.Code
		reused     bool
	}{
		{"still open", respondWith(okResponse), false, core.CodeOK, true},
		{"closed while idle", func(connNum, reqNum int, raw net.Conn) bool {
			_ = respondWith(okResponse)(connNum, reqNum, raw)
			return connNum != 1
		}, true, core.CodeOK, false},
		{"reset while idle", func(connNum, reqNum int, raw net.Conn) bool {
			_ = respondWith(okResponse)(connNum, reqNum, raw)
			return connNum != 1 || resetConn(raw)
		}, true, core.CodeOK, false},
		{"unsolicited bytes", respondWith(okResponse + okResponse), false, core.CodeOK, false},
		{"closed on request", onSecondRequest(func(_, _ int, _ net.Conn) bool { return false }), false, core.CodeUnknownOutcome, true},
		{"reset on request", onSecondRequest(func(_, _ int, raw net.Conn) bool { return resetConn(raw) }), false, core.CodeUnknownOutcome, true},
		{"no response to request", onSecondRequest(hang), false, core.CodeSilent, true},
		{"truncated response", onSecondRequest(func(_, _ int, raw net.Conn) bool { return !respondWith(okResponse[:len(okResponse)-1])(0, 0, raw) }), false, core.CodeCutAnswer, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := startServer(t, tt.respond)
			pool := srv.pool(t, wire.Config{IOTimeout: ioTimeout})
			_, reused, err := post(context.Background(), pool, "/one")
			assert.NilError(t, err)
			assert.Assert(t, !reused)
			if tt.awaitClose {
				<-srv.closed
			}
			_, reused, err = post(context.Background(), pool, "/two")
			assert.Equal(t, core.CodeOf(err), tt.want, "%v", err)
			assert.Equal(t, reused, tt.reused)
			assert.Equal(t, srv.count("/one"), 1)
			assert.Equal(t, srv.count("/two"), 1)
			_, _, err = post(context.Background(), pool, "/three")
			assert.NilError(t, err)
			assert.Equal(t, srv.count("/three"), 1)
		})
	}
}

// TestBrokenWrite checks that a request is not sent again if a reused connection
// fails while the request is being written, since part of it was already sent.
func TestBrokenWrite(t *testing.T) {
	srv := startServer(t, func(connNum, reqNum int, raw net.Conn) bool {
		return (connNum == 1 && reqNum == 1 && respondWith(okResponse)(connNum, reqNum, raw)) || resetConn(raw)
	})
	pool := srv.pool(t, wire.Config{})
	_, _, err := post(context.Background(), pool, "/one")
	assert.NilError(t, err)
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("/big")
	req.SetBodyRaw(make([]byte, 64<<20))
	_, reused, err := pool.Do(context.Background(), wire.Exchange{Req: req})
	assert.Assert(t, reused)
	assert.Equal(t, core.CodeOf(err), core.CodeUnknownOutcome)
	assert.Equal(t, srv.count("/big"), 1)
}

func TestNotSent(t *testing.T) {
	srv := startServer(t, respondWith(okResponse))
	pool := srv.pool(t, wire.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := post(ctx, pool, "/ended")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
	_, _, err = post(context.Background(), pool, "/one")
	assert.NilError(t, err)
	_, _, err = post(ctx, pool, "/ended")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed, "with an idle connection")
	pool.Close()
	_, _, err = post(context.Background(), pool, "/closed")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
	_ = srv.listener.Close()
	_, _, err = post(context.Background(), srv.pool(t, wire.Config{}), "/refused")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
	assert.Equal(t, srv.count("/ended")+srv.count("/closed")+srv.count("/refused"), 0)
}

// TestBeforeSend checks that a request which is refused right before it is sent reaches no
// server, on a new and on a kept connection, and that the connection stays usable.
func TestBeforeSend(t *testing.T) {
	srv := startServer(t, respondWith(okResponse))
	pool := srv.pool(t, wire.Config{})
	errRefused := errors.New("refused")
	for _, path := range []string{"/new", "/kept"} {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI(path)
		_, _, err := pool.Do(context.Background(), wire.Exchange{Req: req, BeforeSend: func() error { return errRefused }})
		assert.ErrorIs(t, err, errRefused)
		fasthttp.ReleaseRequest(req)
		_, reused, err := post(context.Background(), pool, "/sent")
		assert.NilError(t, err)
		assert.Assert(t, reused)
	}
	assert.Equal(t, srv.count("/new")+srv.count("/kept"), 0)
	assert.Equal(t, srv.count("/sent"), 2)
}

// TestContextCancelled checks that cancelling the context closes the connection
// immediately, long before the I/O timeout of 10 s.
func TestContextCancelled(t *testing.T) {
	for _, cause := range []error{context.Canceled, core.Errorf(core.CodeSilent, "x"), core.Errorf(core.CodeCallerGone, "x")} {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			received := make(chan struct{})
			srv := startServer(t, func(connNum, reqNum int, raw net.Conn) bool {
				close(received)
				return hang(connNum, reqNum, raw)
			})
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				<-received
				cancel(cause)
			}()
			_, _, err := post(ctx, srv.pool(t, wire.Config{}), "/one")
			want := core.CodeUnknownOutcome
			if core.CodeOf(cause) == core.CodeSilent {
				want = core.CodeSilent
			}
			assert.Equal(t, core.CodeOf(err), want)
			<-srv.closed
		})
	}
}

func TestReset(t *testing.T) {
	srv := startServer(t, respondWith(okResponse))
	pool := srv.pool(t, wire.Config{})
	_, _, err := post(context.Background(), pool, "/one")
	assert.NilError(t, err)
	pool.Reset()
	<-srv.closed
	_, reused, err := post(context.Background(), pool, "/two")
	assert.NilError(t, err)
	assert.Assert(t, !reused)
}

func TestBody(t *testing.T) {
	srv := startServer(t, func(connNum, reqNum int, raw net.Conn) bool {
		_ = respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(connNum, reqNum, raw)
		return reqNum == 1 && respondWith("0\r\n\r\n")(connNum, reqNum, raw)
	})
	pool := srv.pool(t, wire.Config{})
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("/stream")
	for num, want := range []error{nil, core.Errorf(core.CodeCutAnswer, "")} {
		body, err := pool.Open(context.Background(), wire.Exchange{Req: req})
		assert.NilError(t, err)
		data, err := io.ReadAll(body)
		assert.Equal(t, core.CodeOf(err), core.CodeOf(want), "%d: %v", num, err)
		assert.Equal(t, string(data), "ok")
		assert.NilError(t, body.Close())
		assert.NilError(t, body.Close())
		_, err = body.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
	}
	assert.Equal(t, srv.count("/stream"), 2)
}

func BenchmarkDo(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	}()
	defer func() { _ = ln.Close() }()
	pool := wire.New(ln.Addr().String(), wire.Config{})
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := post(context.Background(), pool, "/one")
		assert.NilError(b, err)
	}
}

// TestReuseAfterReadDeadline lets a connection be idle for longer than the I/O timeout of
// its last request. It guards against an expired read deadline that is taken for a server
// that has closed the connection.
func TestReuseAfterReadDeadline(t *testing.T) {
	srv := startServer(t, respondWith(okResponse))
	pool := srv.pool(t, wire.Config{IOTimeout: ioTimeout})
	for num := range 3 {
		_, reused, err := post(context.Background(), pool, "/one")
		assert.NilError(t, err)
		assert.Equal(t, reused, num > 0)
		time.Sleep(2 * ioTimeout)
	}
}

// TestDialErrors guards against a host that is out of reach and counts as one that refuses
// connections, and against a dial that times out and counts as the end of the request.
func TestDialErrors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refusing := lis.Addr().String()
	assert.NilError(t, lis.Close())
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, tt := range []struct {
		name    string
		dial    func(ctx context.Context, network, addr string) (net.Conn, error)
		refused bool
	}{{"refused", nil, true}, {"out of reach", silent, false}} {
		t.Run(tt.name, func(t *testing.T) {
			req := fasthttp.AcquireRequest()
			req.SetRequestURI("/")
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, _, err := wire.NewPools(wire.Config{Dial: tt.dial, DialTimeout: time.Second}).Get(refusing).Do(ctx, wire.Exchange{Req: req})
			assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
			assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), tt.refused)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded))
		})
	}
}
