package sock

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Listener accepts connections whose read deadlines follow the state of their requests.
// The HTTP server must have no timeouts of its own and call FollowState as its ConnState.
type Listener struct {
	net.Listener
	// IdleTimeout is the time after which a connection without a request is closed,
	// before its first request as well. ReadTimeout is the time from its first byte within
	// which a request must arrive.
	IdleTimeout, ReadTimeout time.Duration
	// Timeouts returns the two when a connection needs them. Nil selects the fields.
	Timeouts func() (idle, read time.Duration)
	// Exhausted is called when the process lacks the resources for a connection, before the
	// next try. Nil disables this.
	Exhausted func(err error)
}

// acceptRetryInterval is the time from an accept that failed for now to the next one.
const acceptRetryInterval = 20 * time.Millisecond

// Accept returns the next connection. It returns an error only if the listener can't accept
// any more connections: others concern one connection, or the resources of the process.
func (lis Listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err == nil {
			return lis.wrap(raw), nil
		}
		if !oneOf(err, failedConns) && !oneOf(err, exhaustion) {
			return nil, err
		}
		if lis.Exhausted != nil && oneOf(err, exhaustion) {
			lis.Exhausted(err)
		}
		time.Sleep(acceptRetryInterval)
	}
}

// wrap returns the connection with its time limits.
func (lis Listener) wrap(raw net.Conn) net.Conn {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw
	}
	timeouts := lis.Timeouts
	if timeouts == nil {
		timeouts = func() (idle, read time.Duration) { return lis.IdleTimeout, lis.ReadTimeout }
	}
	return &Conn{TCPConn: tcp, timeouts: timeouts}
}

// Errors of accept(2) that do not end a listener.
var (
	failedConns = []syscall.Errno{
		syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT,
		syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	}
	exhaustion = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
)

func oneOf(err error, errnos []syscall.Errno) bool {
	return slices.ContainsFunc(errnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// Conn is a connection of a Listener. Its read deadline is that of the next request while
// there is none, and then that of the request.
type Conn struct {
	*net.TCPConn
	timeouts func() (idle, read time.Duration)
	// waiting is set while no byte of a request has arrived.
	waiting atomic.Bool
	// interrupted is set while reads are to end at once.
	interrupted atomic.Bool
}

// FollowState sets the read deadline of a connection of a Listener. Others are left as they
// are. Errors show in the next read.
func FollowState(raw net.Conn, state fasthttp.ConnState) {
	conn, ok := raw.(*Conn)
	if !ok {
		return
	}
	idle, read := conn.timeouts()
	conn.interrupted.Store(false)
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		conn.waiting.Store(true)
		_ = conn.SetReadDeadline(time.Now().Add(idle))
	case fasthttp.StateActive:
		conn.waiting.Store(false)
		_ = conn.SetReadDeadline(time.Now().Add(read))
	}
}

// BodyBegun sets the time limit of a request whose header was read. Errors show in the next
// read.
func (conn *Conn) BodyBegun(timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// Interrupt ends reads of a request at once, until RequestRead is called. Errors show in the
// next read.
func (conn *Conn) Interrupt() {
	conn.interrupted.Store(true)
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}

// RequestRead ends the time limit of a request that was read completely. Errors show in the
// next read.
func (conn *Conn) RequestRead() {
	conn.interrupted.Store(false)
	_ = conn.SetReadDeadline(time.Time{})
}

// Read reads from the connection. Data that has arrived by the deadline is read also after it:
// this process may have run late, and not the peer. The end of the idle time is reported as a
// local close, for which the HTTP server sends no response.
func (conn *Conn) Read(buf []byte) (int, error) {
	num, err := conn.TCPConn.Read(buf)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return num, err
	}
	if !conn.interrupted.Load() {
		if num = conn.readArrived(buf); num > 0 {
			return num, nil
		}
	}
	if conn.waiting.Load() {
		err = net.ErrClosed
	}
	return 0, err
}

// readArrived reads what the socket holds, without a wait. It returns 0 if there is nothing,
// or if that can't be read.
func (conn *Conn) readArrived(buf []byte) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	num := 0
	// RawConn.Read fails once the read deadline has passed, RawConn.Control does not.
	err = raw.Control(func(fd uintptr) { num, _, err = syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT) })
	if err != nil {
		return 0
	}
	return max(0, num)
}
