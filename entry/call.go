package entry

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// call is one caller's request from its arrival to its end.
type call struct {
	id    string
	route *site.Route
	svc   *site.Service
	org   string
	model string
	conn  net.Conn
	begin time.Time
	// deadline is the end of the caller's patience or of the route's time-out.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	req      *fasthttp.Request

	// sent counts the attempts that may have run, tried are their servers and
	// those that refused.
	sent  atomic.Int32
	tried []string
	// prompt is the number of prompt tokens.
	prompt int
	// first is the time to the first event, gap the longest pause after it.
	first, gap time.Duration
	lastAt     time.Time
	// lastEvent is the ID of the last event that went to the caller.
	lastEvent string

	// server is the server of the present attempt, progress the time of its
	// last byte in nanoseconds after begin, stop ends the attempt.
	server   atomic.Pointer[site.Server]
	progress atomic.Int64
	stop     atomic.Pointer[context.CancelCauseFunc]
}

// touch notes that the server sent something.
func (cal *call) touch(now time.Time) { cal.progress.Store(int64(now.Sub(cal.begin))) }

// noteEvent notes the time of an event and returns that since the last one,
// zero for the first.
func (cal *call) noteEvent(now time.Time) time.Duration {
	gap := time.Duration(0)
	if cal.lastAt.IsZero() {
		cal.first = now.Sub(cal.begin)
	} else {
		gap = now.Sub(cal.lastAt)
		cal.gap = max(cal.gap, gap)
	}
	cal.lastAt = now
	return gap
}

// silent returns the time since the server sent something or got the request.
func (cal *call) silent(now time.Time) time.Duration {
	return now.Sub(cal.begin) - time.Duration(cal.progress.Load())
}

// abort ends the present attempt with a cause.
func (cal *call) abort(cause error) {
	if stp := cal.stop.Load(); stp != nil {
		(*stp)(cause)
	}
}

// left returns the time until the deadline.
func (cal *call) left(now time.Time) time.Duration { return cal.deadline.Sub(now) }

// attempts returns the number of servers that the request may be sent to.
func (cal *call) attempts() int {
	if !cal.route.Retryable() {
		return 1
	}
	return max(1, cal.route.MaxAttempts)
}

// gone reports whether the caller has closed its connection.
func (cal *call) gone() bool {
	sys, ok := cal.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	num, peek := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		num, _, peek = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return true
	}
	if peek == nil {
		return num == 0
	}
	return peek != syscall.EAGAIN && peek != syscall.EINTR
}

// Causes of the end of an attempt or a call.
var (
	errCallerGone = core.Errorf(core.CodeCallerGone, "the caller closed its connection")
	errSilent     = core.Errorf(core.CodeSilent, "the server sent nothing for too long")
	errDeadline   = core.Errorf(core.CodeDeadline, "the deadline passed")
	errGroupGone  = core.Errorf(core.CodeMemberMissing, "the group of the server no longer serves")
)

// dropped are the headers that concern one connection, or that the system
// sets itself whatever a caller sends.
var dropped = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	platform.HeaderAPIKey, platform.HeaderTenant, platform.HeaderUrgency, platform.HeaderExpectInstance, platform.HeaderExpectVersion,
}

// newRequest returns the request that goes to servers: the caller's method,
// path, body and headers, less those that concern its connection or key.
func newRequest(src *fasthttp.Request, org string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	src.Header.CopyTo(&req.Header)
	for _, nam := range splitList(string(src.Header.Peek(fasthttp.HeaderConnection))) {
		req.Header.Del(nam)
	}
	for _, nam := range dropped {
		req.Header.Del(nam)
	}
	req.Header.SetNoDefaultContentType(true)
	req.SetBody(src.Body())
	if org != "" {
		req.Header.Set(platform.HeaderTenant, org)
	}
	return req
}
