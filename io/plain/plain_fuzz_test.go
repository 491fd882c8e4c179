package plain_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/plain"
	"kumquathinge/io/wire"
)

// startServer starts a server that responds to the first request on each
// connection with the next of responses and then closes the connection. It
// returns the address.
func startServer(f *testing.F, responses <-chan []byte) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write(<-responses)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	return lis.Addr().String()
}

// FuzzCall lets a server respond with arbitrary bytes. A reply of Call must equal
// what net/http reads from the same bytes and have valid field names only, and only an
// error for a refusal that the response states may say that the call did not run.
func FuzzCall(f *testing.F) {
	const echo = "X-Attempt-Id: a1\r\n"
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n" + echo + "\r\n",
		"HTTP/1.1 200\n\n",
		"HTTP/1.1 200 OK\r\n" + echo + "Bad Name: x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + echo + "Content-Length : 2\r\n\r\nok",
	} {
		f.Add([]byte(raw))
	}
	responses := make(chan []byte, 1)
	addr := startServer(f, responses)
	f.Fuzz(func(t *testing.T, raw []byte) {
		client := plain.New(addr, plain.Config{Wire: wire.Config{IOTimeout: time.Minute}})
		defer client.Close()
		responses <- raw
		reply, err := client.Call(context.Background(), core.Call{Attempt: "a1", Method: http.MethodPost, Path: "/x", Body: []byte("b")})
		if err != nil {
			code := core.CodeOf(err)
			assert.Assert(t, !code.NotRun() || code == core.CodeRefused && bytes.Contains(bytes.ToLower(raw), []byte("x-refused")), "%v", err)
			return
		}
		res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		for name := range res.Header {
			assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode < http.StatusOK {
			return
		}
		assert.Equal(t, reply.Status, res.StatusCode)
		assert.Equal(t, string(reply.Body), string(body))
	})
}
