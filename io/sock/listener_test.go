package sock_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"kumquathinge/io/sock"
)

const (
	idleTimeout = 400 * time.Millisecond
	readTimeout = 100 * time.Millisecond
)

// serve starts an HTTP server that takes delay for an answer, and returns its address.
func serve(t *testing.T, delay time.Duration) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &fasthttp.Server{ConnState: sock.FollowState, Handler: func(*fasthttp.RequestCtx) { time.Sleep(delay) }}
	done := make(chan error, 1)
	go func() {
		done <- srv.Serve(sock.Listener{Listener: raw, IdleTimeout: idleTimeout, ReadTimeout: readTimeout})
	}()
	t.Cleanup(func() {
		assert.NilError(t, srv.Shutdown())
		assert.NilError(t, <-done)
	})
	return raw.Addr().String()
}

// TestListener guards against a time limit for reading a request that begins with its
// connection or lasts while it is answered, and against connections without any limit.
func TestListener(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	dial := func(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		return conn, bufio.NewReader(conn)
	}
	requireOK := func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		_, err := io.WriteString(conn, request)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	for _, delay := range []time.Duration{0, 3 * readTimeout} {
		t.Run(fmt.Sprint("answers take ", delay), func(t *testing.T) {
			conn, reader := dial(t, serve(t, delay))
			for range 3 {
				time.Sleep(2 * readTimeout)
				requireOK(t, conn, reader)
			}
		})
	}
	for _, sent := range []string{"", request[:10]} {
		t.Run(fmt.Sprintf("closed after %d bytes", len(sent)), func(t *testing.T) {
			conn, reader := dial(t, serve(t, 0))
			_, err := io.WriteString(conn, sent)
			assert.NilError(t, err)
			begin := time.Now()
			raw, err := io.ReadAll(reader)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(begin) < 2*idleTimeout)
			assert.Equal(t, len(raw) == 0, sent == "", "a response that nobody asked for: %q", raw)
		})
	}
}

// failures is a listener whose first accepts fail.
type failures struct {
	net.Listener
	errs []error
}

// Accept implements net.Listener.
func (lis *failures) Accept() (net.Conn, error) {
	if len(lis.errs) > 0 {
		err := lis.errs[0]
		lis.errs = lis.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return lis.Listener.Accept()
}

// TestAcceptGoesOn guards against a listener that ends for an error of one connection, or since
// no descriptor is left for now.
func TestAcceptGoesOn(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, raw.Close()) }()
	conn, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	exhausted := 0
	lis := sock.Listener{
		Listener:  &failures{Listener: raw, errs: []error{os.NewSyscallError("accept4", syscall.EMFILE), syscall.ECONNABORTED, syscall.ENOMEM}},
		Exhausted: func(error) { exhausted++ },
	}
	accepted, err := lis.Accept()
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
	assert.Equal(t, exhausted, 2)
	_, err = sock.Listener{Listener: &failures{Listener: raw, errs: []error{net.ErrClosed}}}.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestDataBeforeDeadline lets the deadlines of connections pass while a process stands still,
// and has data arrive before. It guards against a request that is dropped since this process
// ran late.
func TestDataBeforeDeadline(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, raw.Close()) }()
	client, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, client.Close()) }()
	conn, err := sock.Listener{Listener: raw, IdleTimeout: readTimeout, ReadTimeout: readTimeout}.Accept()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	buf := make([]byte, 16)
	for _, state := range []fasthttp.ConnState{fasthttp.StateIdle, fasthttp.StateActive} {
		sock.FollowState(conn, state)
		_, err = client.Write([]byte("data"))
		assert.NilError(t, err)
		time.Sleep(2 * readTimeout)
		num, err := conn.Read(buf)
		assert.NilError(t, err, "%v", state)
		assert.Equal(t, string(buf[:num]), "data")
		_, err = conn.Read(buf)
		assert.Assert(t, err != nil, "%v", state)
	}
}
