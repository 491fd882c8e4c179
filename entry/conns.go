package entry

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"kumquathinge/core/quota"
	"kumquathinge/io/sock"
)

// activeConns holds the connections on which a request is read or answered, from
// the first byte of the request to the last byte of the response.
type activeConns struct {
	quota *quota.Quota
	mtx   sync.Mutex
	conns map[net.Conn]struct{}
}

func newActiveConns(qta *quota.Quota) *activeConns {
	return &activeConns{quota: qta, conns: map[net.Conn]struct{}{}}
}

// setState follows the state of a connection, sets its read deadline and counts its
// memory.
func (act *activeConns) setState(conn net.Conn, state fasthttp.ConnState) {
	sock.FollowState(conn, state)
	switch state {
	case fasthttp.StateNew:
		act.quota.Charge(connBytes)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		act.quota.Release(connBytes)
	}
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

// connErrorCounter counts the errors that the HTTP server reports of connections of
// callers. The line for the end of the request holds its ID, outcome and cause.
type connErrorCounter struct{ count func() }

var _ fasthttp.Logger = connErrorCounter{}

// Printf implements fasthttp.Logger.
func (cnt connErrorCounter) Printf(string, ...any) { cnt.count() }
