package entry

import (
	"container/list"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"kumquathinge/io/sock"
)

const (
	// reservedFds is the number of descriptors that are not available for sockets.
	reservedFds = 200
	// callerFdsDivisor divides the descriptors for sockets to get the limit of connections
	// of callers. Each of these may need one to a server.
	callerFdsDivisor = 2
	// freedConns is the number of unused connections that are closed when no descriptor is
	// left.
	freedConns = 32
)

// maxCallerConns returns the limit of connections of callers for a limit of descriptors,
// zero if there is none.
func maxCallerConns(maxFds int) int {
	if maxFds == 0 {
		return 0
	}
	return max(1, (maxFds-reservedFds)/callerFdsDivisor)
}

// callerConns holds the open connections of callers. If there are too many, it closes those
// that have been unused for the longest.
type callerConns struct {
	// limit returns the limit of connections, zero if there is none.
	limit func() int
	// onClose is called with the number of connections that were closed.
	onClose func(num int)

	mtx sync.Mutex
	// open are the connections that are not being closed, with their element of unused if
	// no request is read or answered on them.
	open map[net.Conn]*list.Element
	// unused lists the unused connections, the one that was used last at the end.
	unused *list.List
}

func newCallerConns(onClose func(num int)) *callerConns {
	return &callerConns{limit: func() int { return 0 }, onClose: onClose, open: map[net.Conn]*list.Element{}, unused: list.New()}
}

// setState follows the state of a connection.
func (conns *callerConns) setState(conn net.Conn, state fasthttp.ConnState) {
	conns.mtx.Lock()
	defer conns.mtx.Unlock()
	elem, known := conns.open[conn]
	if elem != nil {
		conns.unused.Remove(elem)
	}
	switch state {
	case fasthttp.StateNew:
		conns.open[conn] = conns.unused.PushBack(conn)
		if limit := conns.limit(); limit > 0 {
			conns.close(len(conns.open) - limit)
		}
	case fasthttp.StateIdle:
		if known {
			conns.open[conn] = conns.unused.PushBack(conn)
		}
	case fasthttp.StateActive:
		if known {
			conns.open[conn] = nil
		}
	default:
		delete(conns.open, conn)
	}
}

// free closes some unused connections.
func (conns *callerConns) free() {
	conns.mtx.Lock()
	defer conns.mtx.Unlock()
	conns.close(freedConns)
}

// close closes num unused connections, or all if there are fewer: those that have been unused
// for the longest first, without those on which a request has arrived. The caller holds the
// mutex.
func (conns *callerConns) close(num int) {
	closed := 0
	for elem := conns.unused.Front(); elem != nil && closed < num; {
		conn := elem.Value.(net.Conn)
		next := elem.Next()
		if sock.Peek(conn) != sock.Readable {
			conns.unused.Remove(elem)
			delete(conns.open, conn)
			// An error means that the connection was closed already.
			_ = conn.Close()
			closed++
		}
		elem = next
	}
	if closed > 0 {
		conns.onClose(closed)
	}
}
