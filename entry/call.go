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
	id        string
	route     *site.Route
	service   *site.Service
	org       string
	model     string
	conn      net.Conn
	startedAt time.Time
	// deadline is the end of the caller's patience or of the route's time-out.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	request  *fasthttp.Request

	// possibleRuns counts the attempts that may have run, tried are their servers and
	// those that refused.
	possibleRuns atomic.Int32
	triedServers []string
	// promptTokens is the number of prompt tokens.
	promptTokens int
	// firstEventDelay is the time to the first event, gap the longest pause after it.
	firstEventDelay, maxEventGap time.Duration
	lastEventAt                  time.Time
	// lastEventID is the ID of the last event that went to the caller.
	lastEventID string

	// server is the server of the present attempt, progress the time of its
	// last byte in nanoseconds after begin, stop ends the attempt.
	server        atomic.Pointer[site.Server]
	lastProgress  atomic.Int64
	cancelAttempt atomic.Pointer[context.CancelCauseFunc]
}

// recordProgress notes that the server sent something.
func (call *call) recordProgress(now time.Time) {
	call.lastProgress.Store(int64(now.Sub(call.startedAt)))
}

// recordEvent notes the time of an event and returns that since the last one,
// zero for the first.
func (call *call) recordEvent(now time.Time) time.Duration {
	gap := time.Duration(0)
	if call.lastEventAt.IsZero() {
		call.firstEventDelay = now.Sub(call.startedAt)
	} else {
		gap = now.Sub(call.lastEventAt)
		call.maxEventGap = max(call.maxEventGap, gap)
	}
	call.lastEventAt = now
	return gap
}

// sinceProgress returns the time since the server sent something or got the request.
func (call *call) sinceProgress(now time.Time) time.Duration {
	return now.Sub(call.startedAt) - time.Duration(call.lastProgress.Load())
}

// abortAttempt ends the present attempt with a cause.
func (call *call) abortAttempt(cause error) {
	if cancel := call.cancelAttempt.Load(); cancel != nil {
		(*cancel)(cause)
	}
}

// timeLeft returns the time until the deadline.
func (call *call) timeLeft(now time.Time) time.Duration { return call.deadline.Sub(now) }

// maxAttempts returns the number of servers that the request may be sent to.
func (call *call) maxAttempts() int {
	if !call.route.Retryable() {
		return 1
	}
	return max(1, call.route.MaxAttempts)
}

// callerGone reports whether the caller has closed its connection.
func (call *call) callerGone() bool {
	sys, ok := call.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	var buf [1]byte
	num, peekErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		num, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return true
	}
	if peekErr == nil {
		return num == 0
	}
	return peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
}

// Causes of the end of an attempt or a call.
var (
	errCallerGone     = core.Errorf(core.CodeCallerGone, "the caller closed its connection")
	errServerSilent   = core.Errorf(core.CodeSilent, "the server sent nothing for too long")
	errDeadlinePassed = core.Errorf(core.CodeDeadline, "the deadline passed")
	errGroupChanged   = core.Errorf(core.CodeMemberMissing, "the group of the server no longer serves")
)

// strippedHeaders are the headers that concern one connection, or that the system
// sets itself whatever a caller sends.
var strippedHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	platform.HeaderAPIKey, platform.HeaderTenant, platform.HeaderUrgency, platform.HeaderExpectInstance, platform.HeaderExpectVersion,
}

// newUpstreamRequest returns the request that goes to servers: the caller's method,
// path, body and headers, less those that concern its connection or key.
func newUpstreamRequest(src *fasthttp.Request, org string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	src.Header.CopyTo(&req.Header)
	for _, name := range splitList(string(src.Header.Peek(fasthttp.HeaderConnection))) {
		req.Header.Del(name)
	}
	for _, name := range strippedHeaders {
		req.Header.Del(name)
	}
	req.Header.SetNoDefaultContentType(true)
	req.SetBody(src.Body())
	if org != "" {
		req.Header.Set(platform.HeaderTenant, org)
	}
	return req
}
