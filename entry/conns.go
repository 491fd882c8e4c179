package entry

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// activeConns holds the connections on which a request is read or answered, from
// the first byte of the request to the last byte of the response.
type activeConns struct {
	mtx   sync.Mutex
	conns map[net.Conn]struct{}
}

func newActiveConns() *activeConns { return &activeConns{conns: map[net.Conn]struct{}{}} }

// setState follows the state of a connection.
func (act *activeConns) setState(conn net.Conn, state fasthttp.ConnState) {
	act.mtx.Lock()
	defer act.mtx.Unlock()
	if state == fasthttp.StateActive {
		act.conns[conn] = struct{}{}
	} else {
		delete(act.conns, conn)
	}
}

// count returns the number of active connections.
func (act *activeConns) count() int {
	act.mtx.Lock()
	defer act.mtx.Unlock()
	return len(act.conns)
}
