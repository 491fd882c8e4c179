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
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

const (
	whole   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	silence = 50 * time.Millisecond
)

// server is a backend server that answers by a script and counts the requests
// whose head it received.
type server struct {
	lis   net.Listener
	mtx   sync.Mutex
	conns int
	got   map[string]int
	ended chan struct{}
}

// script answers the request with the number num of the connection con. It
// returns false to close the connection.
type script func(con, num int, raw net.Conn) bool

func start(t *testing.T, scr script) *server {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &server{lis: lis, got: map[string]int{}, ended: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			raw, err := lis.Accept()
			if err != nil {
				return
			}
			srv.mtx.Lock()
			srv.conns++
			con := srv.conns
			srv.mtx.Unlock()
			go srv.serve(con, raw, scr)
		}
	}()
	return srv
}

func (srv *server) serve(con int, raw net.Conn, scr script) {
	defer func() {
		_ = raw.Close()
		srv.ended <- struct{}{}
	}()
	rdr := bufio.NewReader(raw)
	for num := 1; ; num++ {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		srv.mtx.Lock()
		srv.got[req.URL.Path]++
		srv.mtx.Unlock()
		if req.URL.Path != "/big" {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if !scr(con, num, raw) {
			return
		}
	}
}

func (srv *server) count(path string) int {
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	return srv.got[path]
}

func say(text string) script {
	return func(_, _ int, raw net.Conn) bool {
		_, err := io.WriteString(raw, text)
		return err == nil
	}
}

func (srv *server) pool(t *testing.T, cfg wire.Config) *wire.Pool {
	t.Helper()
	poo := wire.New(srv.lis.Addr().String(), cfg)
	t.Cleanup(poo.Close)
	return poo
}

func do(ctx context.Context, poo *wire.Pool, path string) (wire.Answer, bool, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI(path)
	req.SetBodyString("body")
	return poo.Do(ctx, wire.Exchange{Req: req})
}

// hang keeps the connection open without a word until the client closes it.
func hang(_, _ int, raw net.Conn) bool {
	_, _ = io.Copy(io.Discard, raw)
	return false
}

func reset(raw net.Conn) bool {
	_ = raw.(*net.TCPConn).SetLinger(0)
	return false
}

// TestFirstUse holds the codes of exchanges over a new connection against the
// fault that the server brings about.
func TestFirstUse(t *testing.T) {
	tests := []struct {
		name string
		scr  script
		want core.Code
	}{
		{"whole", say(whole), core.CodeOK},
		{"chunked", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), core.CodeOK},
		{"interim first", say("HTTP/1.1 103 Early Hints\r\n\r\n" + whole), core.CodeOK},
		{"closed without a word", func(_, _ int, _ net.Conn) bool { return false }, core.CodeUnknownOutcome},
		{"reset without a word", func(_, _ int, raw net.Conn) bool { return reset(raw) }, core.CodeUnknownOutcome},
		{"cut in the header", func(_, _ int, raw net.Conn) bool { return !say("HTTP/1.1 200 OK\r\nContent-Le")(0, 0, raw) }, core.CodeCutAnswer},
		{"cut in the body", func(_, _ int, raw net.Conn) bool {
			return !say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")(0, 0, raw)
		}, core.CodeCutAnswer},
		{"cut before the last chunk", func(_, _ int, raw net.Conn) bool {
			return !say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(0, 0, raw)
		}, core.CodeCutAnswer},
		{"end told by the close only", func(_, _ int, raw net.Conn) bool { return !say("HTTP/1.1 200 OK\r\n\r\nok")(0, 0, raw) }, core.CodeCutAnswer},
		{"not HTTP", say("SSH-2.0-server\r\n\r\n"), core.CodeCutAnswer},
		{"too large", say("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101)), core.CodeCutAnswer},
		{"too large, chunked", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n"), core.CodeCutAnswer},
		{"silent", hang, core.CodeSilent},
		{"silent in the body", func(con, num int, raw net.Conn) bool {
			_ = say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")(con, num, raw)
			return hang(con, num, raw)
		}, core.CodeSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := start(t, tt.scr)
			poo := srv.pool(t, wire.Config{Silence: silence, MaxBody: 100})
			ans, _, err := do(context.Background(), poo, "/one")
			assert.Equal(t, core.CodeOf(err), tt.want, "%v", err)
			assert.Equal(t, srv.count("/one"), 1)
			if tt.want == core.CodeOK {
				assert.Equal(t, string(ans.Body()), "ok")
			}
		})
	}
}

// TestReusedConnection counts what a server received when connections that
// were used before have gone stale: no request arrives twice.
func TestReusedConnection(t *testing.T) {
	second := func(then script) script {
		return func(con, num int, raw net.Conn) bool {
			if con == 1 && num == 2 {
				return then(con, num, raw)
			}
			return say(whole)(con, num, raw)
		}
	}
	tests := []struct {
		name   string
		scr    script
		await  bool
		want   core.Code
		reused bool
	}{
		{"still open", say(whole), false, core.CodeOK, true},
		{"closed while idle", func(con, num int, raw net.Conn) bool {
			_ = say(whole)(con, num, raw)
			return con != 1
		}, true, core.CodeOK, false},
		{"reset while idle", func(con, num int, raw net.Conn) bool {
			_ = say(whole)(con, num, raw)
			return con != 1 || reset(raw)
		}, true, core.CodeOK, false},
		{"bytes that nobody asked for", say(whole + whole), false, core.CodeOK, false},
		{"closed on the request", second(func(_, _ int, _ net.Conn) bool { return false }), false, core.CodeUnknownOutcome, true},
		{"reset on the request", second(func(_, _ int, raw net.Conn) bool { return reset(raw) }), false, core.CodeUnknownOutcome, true},
		{"silent on the request", second(hang), false, core.CodeSilent, true},
		{"cut answer", second(func(_, _ int, raw net.Conn) bool { return !say(whole[:len(whole)-1])(0, 0, raw) }), false, core.CodeCutAnswer, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := start(t, tt.scr)
			poo := srv.pool(t, wire.Config{Silence: silence})
			_, reused, err := do(context.Background(), poo, "/one")
			assert.NilError(t, err)
			assert.Assert(t, !reused)
			if tt.await {
				<-srv.ended
			}
			_, reused, err = do(context.Background(), poo, "/two")
			assert.Equal(t, core.CodeOf(err), tt.want, "%v", err)
			assert.Equal(t, reused, tt.reused)
			assert.Equal(t, srv.count("/one"), 1)
			assert.Equal(t, srv.count("/two"), 1)
			_, _, err = do(context.Background(), poo, "/three")
			assert.NilError(t, err)
			assert.Equal(t, srv.count("/three"), 1)
		})
	}
}

// TestBrokenWrite breaks a reused connection while the request is being
// written: a part of it has left, so it is not sent again.
func TestBrokenWrite(t *testing.T) {
	srv := start(t, func(con, num int, raw net.Conn) bool {
		return (con == 1 && num == 1 && say(whole)(con, num, raw)) || reset(raw)
	})
	poo := srv.pool(t, wire.Config{})
	_, _, err := do(context.Background(), poo, "/one")
	assert.NilError(t, err)
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("/big")
	req.SetBodyRaw(make([]byte, 64<<20))
	_, reused, err := poo.Do(context.Background(), wire.Exchange{Req: req})
	assert.Assert(t, reused)
	assert.Equal(t, core.CodeOf(err), core.CodeUnknownOutcome)
	assert.Equal(t, srv.count("/big"), 1)
}

func TestNotSent(t *testing.T) {
	srv := start(t, say(whole))
	poo := srv.pool(t, wire.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := do(ctx, poo, "/ended")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
	_, _, err = do(context.Background(), poo, "/one")
	assert.NilError(t, err)
	_, _, err = do(ctx, poo, "/ended")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed, "over an idle connection")
	poo.Close()
	_, _, err = do(context.Background(), poo, "/closed")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
	_ = srv.lis.Close()
	_, _, err = do(context.Background(), srv.pool(t, wire.Config{}), "/refused")
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
	assert.Equal(t, srv.count("/ended")+srv.count("/closed")+srv.count("/refused"), 0)
}

// TestEndOfContext checks that the connection closes at once: the server sees
// it while the client would wait for ten seconds.
func TestEndOfContext(t *testing.T) {
	for _, cause := range []error{context.Canceled, core.Errorf(core.CodeSilent, "x"), core.Errorf(core.CodeCallerGone, "x")} {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			got := make(chan struct{})
			srv := start(t, func(con, num int, raw net.Conn) bool {
				close(got)
				return hang(con, num, raw)
			})
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				<-got
				cancel(cause)
			}()
			_, _, err := do(ctx, srv.pool(t, wire.Config{}), "/one")
			want := core.CodeUnknownOutcome
			if core.CodeOf(cause) == core.CodeSilent {
				want = core.CodeSilent
			}
			assert.Equal(t, core.CodeOf(err), want)
			<-srv.ended
		})
	}
}

func TestDrop(t *testing.T) {
	srv := start(t, say(whole))
	poo := srv.pool(t, wire.Config{})
	_, _, err := do(context.Background(), poo, "/one")
	assert.NilError(t, err)
	poo.Drop()
	<-srv.ended
	_, reused, err := do(context.Background(), poo, "/two")
	assert.NilError(t, err)
	assert.Assert(t, !reused)
}

func TestBody(t *testing.T) {
	srv := start(t, func(con, num int, raw net.Conn) bool {
		_ = say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(con, num, raw)
		return num == 1 && say("0\r\n\r\n")(con, num, raw)
	})
	poo := srv.pool(t, wire.Config{})
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("/stream")
	for num, want := range []error{nil, core.Errorf(core.CodeCutAnswer, "")} {
		bod, err := poo.Open(context.Background(), wire.Exchange{Req: req})
		assert.NilError(t, err)
		data, err := io.ReadAll(bod)
		assert.Equal(t, core.CodeOf(err), core.CodeOf(want), "%d: %v", num, err)
		assert.Equal(t, string(data), "ok")
		assert.NilError(t, bod.Close())
		assert.NilError(t, bod.Close())
		_, err = bod.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
	}
	assert.Equal(t, srv.count("/stream"), 2)
}

func BenchmarkDo(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() {
		_ = fasthttp.Serve(lis, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	}()
	defer func() { _ = lis.Close() }()
	poo := wire.New(lis.Addr().String(), wire.Config{})
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := do(context.Background(), poo, "/one")
		assert.NilError(b, err)
	}
}
