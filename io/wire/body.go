package wire

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// eofTimeout is the I/O timeout of AwaitEOF.
const eofTimeout = 20 * time.Millisecond

// Body is a response whose body is read incrementally. Except for Abort, its
// methods must be called from one goroutine at a time.
type Body struct {
	ctx      context.Context
	pool     *Pool
	conn     *trackedConn
	stop     func() bool
	resp     fasthttp.Response
	complete bool
	closed   bool
	// allowCloseDelimited accepts an orderly close of the connection as the end of
	// the body.
	allowCloseDelimited bool
	// exclusive is set if the connection carries no other exchange.
	exclusive bool
	// skipped is the number of responses to other requests that the connection
	// delivered.
	skipped int
}

var _ io.ReadCloser = (*Body)(nil)

// Status returns the status code.
func (body *Body) Status() int { return body.resp.StatusCode() }

// Header returns the value of a response header, or nil if it is absent.
func (body *Body) Header(name string) []byte { return body.resp.Header.Peek(name) }

// Reused reports whether the response came on a connection that had carried an
// earlier request.
func (body *Body) Reused() bool { return body.conn.reused }

// Skipped returns how many responses to other requests the connection delivered before
// this one.
func (body *Body) Skipped() int { return body.skipped }

// ContentLength returns the length of the body in bytes, or a negative number if the
// header does not state it.
func (body *Body) ContentLength() int {
	if body.resp.BodyStream() == nil {
		return 0
	}
	return body.resp.Header.ContentLength()
}

// ReadEOF reads the end of a body whose bytes have been read.
func (body *Body) ReadEOF() error {
	var buf [1]byte
	num, err := body.Read(buf[:])
	switch {
	case errors.Is(err, io.EOF) && num == 0:
		return nil
	case err != nil:
		return err
	}
	return core.Errorf(core.CodeCutAnswer, "the response is longer than its header states")
}

// Framed reports whether the response has a length or chunks, so that its end is
// known from the response and not only from the end of the connection.
func (body *Body) Framed() bool { return body.resp.Header.ContentLength() >= -1 }

// VisitHeaders calls visit for each header of the response.
func (body *Body) VisitHeaders(visit func(name, value []byte)) {
	for name, val := range body.resp.Header.All() {
		visit(name, val)
	}
}

// Read reads from the body. It returns io.EOF only at the end given by the
// response's framing. It returns an error with core.CodeCutAnswer if the body is
// truncated, and one with core.CodeSilent on a timeout.
func (body *Body) Read(buf []byte) (int, error) {
	if body.closed {
		return 0, core.Errorf(core.CodeCutAnswer, "read from a closed response body")
	}
	if body.resp.BodyStream() == nil {
		body.complete = true
		return 0, io.EOF
	}
	num, err := body.resp.BodyStream().Read(buf)
	switch {
	case err == nil:
		return num, nil
	case errors.Is(err, io.EOF) && body.resp.Header.ContentLength() >= -1:
		body.complete = true
		return num, io.EOF
	case errors.Is(err, io.EOF) && body.allowCloseDelimited && body.conn.peerClosed:
		return num, io.EOF
	}
	return num, body.conn.codedError(body.ctx, err, core.CodeCutAnswer)
}

// Close returns the connection to the pool if the body was read to its end, and
// closes the connection otherwise. Close may be called more than once.
func (body *Body) Close() error {
	if body.closed {
		return nil
	}
	body.closed = true
	if body.complete {
		_ = body.resp.CloseBodyStream()
	}
	body.pool.release(body.conn, body.stop, body.complete && !body.exclusive && body.skipped == 0 && !body.resp.ConnectionClose())
	return nil
}

// Abort closes the connection immediately. It may be called from any goroutine.
func (body *Body) Abort() { body.conn.close() }

// AwaitEOF waits briefly for the end of a response whose content is known to be
// complete, so that Close can reuse the connection.
func (body *Body) AwaitEOF() {
	if body.closed || body.complete {
		return
	}
	body.conn.ioTimeout = eofTimeout
	var buf [1]byte
	_, _ = body.Read(buf[:])
}

// ReadAll reads the rest of the body. It returns an error with
// core.CodeCutAnswer if the body is larger than limit bytes.
func (body *Body) ReadAll(limit int) (Response, error) {
	resp := Response{status: body.Status(), header: &body.resp.Header}
	size := body.resp.Header.ContentLength()
	if size > limit {
		return resp, core.Errorf(core.CodeCutAnswer, "response of %d bytes exceeds the limit of %d bytes", size, limit)
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return resp, err
	}
	if len(data) > limit {
		return resp, core.Errorf(core.CodeCutAnswer, "response exceeds the limit of %d bytes", limit)
	}
	resp.body = data
	return resp, nil
}

// Response is a complete response.
type Response struct {
	status int
	header *fasthttp.ResponseHeader
	body   []byte
}

// Status returns the status code.
func (resp Response) Status() int { return resp.status }

// Body returns the response body.
func (resp Response) Body() []byte { return resp.body }

// Header returns the value of a header, or "" if it is absent.
func (resp Response) Header(name string) string { return string(resp.header.Peek(name)) }
