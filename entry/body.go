package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/sock"
)

const (
	// initialBodyBuffer is the initial buffer for a body without a length, in bytes.
	initialBodyBuffer = 4 << 10
	// lingerBodySize is the size of an unread body, in bytes, from which a connection is
	// not used further after the response.
	lingerBodySize = 64 << 10
	// lingerTimeout is how long the rest of a body is read and dropped after a response
	// that did not wait for it. A connection that is closed with unread data is reset,
	// and the caller may lose the response.
	lingerTimeout = 2 * time.Second
	// smallHold is the size in bytes up to which memory is not refused.
	smallHold = 16 << 10
	// connBytes is the memory of an open connection of a caller: buffers and stack.
	connBytes = maxHeaderSize + 12<<10
	// memoryDivisor divides the memory of the VM to get the limit of the bytes that are
	// held for callers and servers. The rest is for the other state, and for garbage.
	memoryDivisor = 2
)

// errNoMemory rejects a request that would hold more bytes than are left.
var errNoMemory = core.Errorf(core.CodeQueueFull, "the memory for requests in progress is used up")

// readBody reads the body of a call's request. The memory for it is reserved before it is
// read, as far as its length is known, and is held until the call ends.
func (front *frontend) readBody(reqCtx *fasthttp.RequestCtx, call *call) error {
	conn, _ := reqCtx.Conn().(*sock.Conn)
	stream := reqCtx.RequestBodyStream()
	if stream == nil {
		if conn != nil {
			conn.RequestRead()
		}
		return nil
	}
	size := reqCtx.Request.Header.ContentLength()
	if size > maxBodySize {
		return core.Errorf(core.CodeTooLarge, "the body has %d bytes, %d at most are allowed", size, maxBodySize)
	}
	if conn != nil {
		conn.BodyBegun(readTimeout)
	}
	// Ends the read when the call ends.
	interrupt := func() {}
	if conn != nil {
		interrupt = conn.Interrupt
	}
	stop := context.AfterFunc(call.ctx, interrupt)
	body, err := front.readInto(stream, size, call)
	stop()
	if conn != nil {
		conn.RequestRead()
	}
	if err == nil {
		call.request.SetBodyRaw(body)
		return nil
	}
	reqCtx.SetConnectionClose()
	switch {
	case call.ctx.Err() != nil:
		return &notRunError{cause: context.Cause(call.ctx), reason: "the body did not arrive in time"}
	case errors.Is(err, errNoMemory):
		return &notRunError{cause: err, reason: "no memory left"}
	case core.CodeOf(err) == core.CodeTooLarge:
		return err
	case isTimeout(err):
		return &notRunError{cause: core.Errorf(core.CodeDeadline, "the body took longer than %v", readTimeout), reason: "the body did not arrive in time"}
	}
	return core.Errorf(core.CodeBadRequest, "reading the body: %v", err)
}

// readInto reads a body of the given length, or one in chunks if it is negative.
func (front *frontend) readInto(stream io.Reader, size int, call *call) ([]byte, error) {
	if size >= 0 {
		if !front.hold(call, size) {
			return nil, errNoMemory
		}
		buf := make([]byte, size)
		_, err := io.ReadFull(stream, buf)
		return buf, err
	}
	if !front.hold(call, initialBodyBuffer) {
		return nil, errNoMemory
	}
	buf := make([]byte, 0, initialBodyBuffer)
	for {
		if len(buf) >= maxBodySize {
			return buf, requireEOF(stream)
		}
		if len(buf) == cap(buf) {
			if !front.hold(call, cap(buf)) {
				return nil, errNoMemory
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		num, err := stream.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// requireEOF returns an error if there is more of a body of maxBodySize.
func requireEOF(stream io.Reader) error {
	var buf [1]byte
	num, err := io.ReadFull(stream, buf[:])
	switch {
	case num > 0:
		return core.Errorf(core.CodeTooLarge, "the body has more than %d bytes", maxBodySize)
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

// hold reserves memory for a call until it ends. Small pieces are counted but never
// refused, so that large bodies can't keep small requests out.
func (front *frontend) hold(call *call, num int) bool {
	if num <= smallHold {
		front.quota.Charge(int64(num))
	} else if !front.quota.Reserve(int64(num)) {
		return false
	}
	call.heldBytes.Add(int64(num))
	return true
}

// releaseHeld gives back the memory that is held for a call.
func (front *frontend) releaseHeld(call *call) { front.quota.Release(call.heldBytes.Swap(0)) }

// dropUnreadBody makes the connection close after the response if a large body of the
// request was not read. The rest of it is read and dropped, so that the caller gets the
// response.
func (front *frontend) dropUnreadBody(reqCtx *fasthttp.RequestCtx) {
	if size := reqCtx.Request.Header.ContentLength(); size >= 0 && size < lingerBodySize || reqCtx.RequestBodyStream() == nil {
		return
	}
	reqCtx.SetConnectionClose()
	reqCtx.Hijack(func(conn net.Conn) {
		// Errors are ignored: the response has been sent.
		_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, conn)
	})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
