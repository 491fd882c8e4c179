package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

const bufferSize = 4096

// conn is one connection. It bounds the silence of each read and write, and
// counts the bytes that the kernel accepted.
type conn struct {
	raw     net.Conn
	rdr     *bufio.Reader
	wtr     *bufio.Writer
	silence time.Duration
	gen     uint64
	sent    int64
	got     int64
	silent  bool
	ended   bool
	reused  bool
	idleAt  time.Time
}

func newConn(raw net.Conn, gen uint64) *conn {
	con := &conn{raw: raw, gen: gen}
	con.rdr = bufio.NewReaderSize(con, bufferSize)
	con.wtr = bufio.NewWriterSize(con, bufferSize)
	return con
}

// Read reads from the connection and waits at most the silence bound.
func (con *conn) Read(buf []byte) (int, error) {
	err := con.raw.SetReadDeadline(time.Now().Add(con.silence))
	if err != nil {
		return 0, err
	}
	num, err := con.raw.Read(buf)
	con.got += int64(num)
	con.ended = errors.Is(err, io.EOF)
	con.noteSilence(err)
	return num, err
}

// Write writes to the connection, waits at most the silence bound, and counts
// what was accepted.
func (con *conn) Write(buf []byte) (int, error) {
	err := con.raw.SetWriteDeadline(time.Now().Add(con.silence))
	if err != nil {
		return 0, err
	}
	num, err := con.raw.Write(buf)
	con.sent += int64(num)
	con.noteSilence(err)
	return num, err
}

// noteSilence remembers that the silence bound was reached: the codec does not
// hand on the error of the connection.
func (con *conn) noteSilence(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		con.silent = true
	}
}

// send writes the request.
func (con *conn) send(req *fasthttp.Request) error {
	err := req.Write(con.wtr)
	if err != nil {
		return err
	}
	return con.wtr.Flush()
}

// alive reports whether an idle connection can be reused: the server has
// neither closed it nor sent bytes that nobody asked for.
func (con *conn) alive() bool {
	if con.rdr.Buffered() > 0 {
		return false
	}
	sys, ok := con.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rawc, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var peek error
	err = rawc.Read(func(fd uintptr) bool {
		_, _, peek = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peek, syscall.EAGAIN) || errors.Is(peek, syscall.EINTR))
}

func (con *conn) close() {
	_ = con.raw.Close()
}

// fault turns an error of this connection into one with a result code. The
// code is in the 1xx range only if no byte of the request left.
func (con *conn) fault(ctx context.Context, err error, late core.Code) error {
	if con.sent == 0 {
		return eris.Wrap(core.Errorf(core.CodeDialFailed, "no byte left: %v", err), con.raw.RemoteAddr().String())
	}
	code := late
	cause := context.Cause(ctx)
	switch {
	case cause != nil && core.CodeOf(cause) == core.CodeSilent:
		code = core.CodeSilent
	case cause != nil:
		code = core.CodeUnknownOutcome
		err = cause
	case con.silent:
		code = core.CodeSilent
	}
	return eris.Wrap(core.Errorf(code, "%v", err), con.raw.RemoteAddr().String())
}
