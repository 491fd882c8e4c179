package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/sock"
)

const bufferSize = 4096

// trackedConn is a connection that applies a timeout to each read and write and
// counts the bytes received and the bytes that the kernel accepted.
type trackedConn struct {
	raw        net.Conn
	reader     *bufio.Reader
	writer     *bufio.Writer
	ioTimeout  time.Duration
	generation uint64
	sent       int64
	received   int64
	timedOut   bool
	peerClosed bool
	reused     bool
	idleSince  time.Time
}

func newConn(raw net.Conn, generation uint64) *trackedConn {
	conn := &trackedConn{raw: raw, generation: generation}
	conn.reader = bufio.NewReaderSize(conn, bufferSize)
	conn.writer = bufio.NewWriterSize(conn, bufferSize)
	return conn
}

// Read reads from the connection, with the timeout ioTimeout.
func (conn *trackedConn) Read(buf []byte) (int, error) {
	err := conn.raw.SetReadDeadline(time.Now().Add(conn.ioTimeout))
	if err != nil {
		return 0, err
	}
	num, err := conn.raw.Read(buf)
	conn.received += int64(num)
	conn.peerClosed = errors.Is(err, io.EOF)
	conn.recordTimeout(err)
	return num, err
}

// Write writes to the connection, with the timeout ioTimeout, and counts the
// bytes that the kernel accepted.
func (conn *trackedConn) Write(buf []byte) (int, error) {
	err := conn.raw.SetWriteDeadline(time.Now().Add(conn.ioTimeout))
	if err != nil {
		return 0, err
	}
	num, err := conn.raw.Write(buf)
	conn.sent += int64(num)
	conn.recordTimeout(err)
	return num, err
}

// recordTimeout sets timedOut if err is a timeout. The codec does not return the
// connection's error, so it is recorded here.
func (conn *trackedConn) recordTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.timedOut = true
	}
}

// send writes and flushes the request.
func (conn *trackedConn) send(req *fasthttp.Request) error {
	err := req.Write(conn.writer)
	if err != nil {
		return err
	}
	return conn.writer.Flush()
}

// reusable reports whether an idle connection can be reused: the server has
// neither closed it nor sent unsolicited bytes.
func (conn *trackedConn) reusable() bool {
	return conn.reader.Buffered() == 0 && sock.Peek(conn.raw) == sock.Quiet
}

func (conn *trackedConn) close() {
	_ = conn.raw.Close()
}

// codedError converts an error of this connection into one with a result code.
// The code is in the 1xx range only if no byte of the request was sent. fallback
// is the code if neither ctx nor a timeout caused the error.
func (conn *trackedConn) codedError(ctx context.Context, err error, fallback core.Code) error {
	if conn.sent == 0 {
		return eris.Wrap(core.Errorf(core.CodeDialFailed, "no byte of the request was sent: %v", err), conn.raw.RemoteAddr().String())
	}
	code := fallback
	cause := context.Cause(ctx)
	switch {
	case cause != nil && core.CodeOf(cause) == core.CodeSilent:
		code = core.CodeSilent
	case cause != nil:
		code = core.CodeUnknownOutcome
		err = cause
	case conn.timedOut:
		code = core.CodeSilent
	}
	return eris.Wrap(core.Errorf(code, "%v", err), conn.raw.RemoteAddr().String())
}
