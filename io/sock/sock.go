// Package sock looks at the sockets of connections without reading from them.
package sock

import (
	"net"
	"syscall"
)

// State is what the socket of a connection shows.
type State uint8

// States of a socket.
const (
	// Quiet means that the connection is open and has no data to be read.
	Quiet State = iota
	// Readable means that data can be read. The peer may have closed its side after it.
	Readable
	// Closed means that the peer has closed or reset its side and all data was read, or
	// that the connection was closed locally.
	Closed
)

// String returns the name of the state.
func (state State) String() string { return [...]string{"quiet", "readable", "closed"}[state] }

// Peek returns the state of the connection's socket. It takes no data from it and does
// not depend on the deadlines of the connection: an expired read deadline says nothing
// about the peer. A connection without a socket counts as quiet.
func Peek(conn net.Conn) State {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Closed
	}
	var buf [1]byte
	num, peekErr := 0, error(nil)
	// RawConn.Read fails once the read deadline has passed, RawConn.Control does not.
	err = raw.Control(func(fd uintptr) {
		num, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed
	case peekErr == nil && num == 0:
		return Closed
	case peekErr == nil:
		return Readable
	case ended(peekErr):
		return Closed
	}
	return Quiet
}

// ended reports whether an error of a socket means that its connection has ended.
func ended(err error) bool {
	return oneOf(err, []syscall.Errno{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.EBADF,
	})
}
