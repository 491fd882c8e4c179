package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client is a client with one connection to a node.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func dialNode(nd *node) (*client, error) {
	conn, err := net.DialTimeout("tcp", nd.addr(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	headers                [][2]string
	body                   []byte
	deadline               time.Duration
}

// result is what the client saw of its attempt.
type result struct {
	status   int
	stamp    string
	echo     string
	body     []byte
	complete bool
	err      error
	took     time.Duration
	// kept is set if the connection had carried an earlier request.
	kept bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends a request and reads its answer to the end.
func (cl *client) do(req request) result {
	begin := time.Now()
	res := result{kept: cl.sent > 0}
	cl.sent++
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", req.method, req.path, req.host, req.id, req.deadline.Milliseconds())
	for _, hdr := range req.headers {
		fmt.Fprintf(&buf, "%s: %s\r\n", hdr[0], hdr[1])
	}
	fmt.Fprintf(&buf, "Content-Length: %d\r\n\r\n", len(req.body))
	buf.Write(req.body)
	defer func() { res.took = time.Since(begin) }()
	_ = cl.conn.SetDeadline(begin.Add(req.deadline + time.Second))
	if _, res.err = cl.conn.Write(buf.Bytes()); res.err != nil {
		return res
	}
	resp, err := http.ReadResponse(cl.reader, &http.Request{Method: req.method})
	if err != nil {
		res.err = err
		res.took = time.Since(begin)
		return res
	}
	res.status, res.stamp, res.echo = resp.StatusCode, resp.Header.Get("Response-Stamp"), resp.Header.Get("Attempt-Id")
	res.body, res.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	res.complete = res.err == nil
	res.took = time.Since(begin)
	return res
}

func (cl *client) close() { _ = cl.conn.Close() }
