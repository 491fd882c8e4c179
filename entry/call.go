package entry

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/site"
	"kumquathinge/io/sock"
	"kumquathinge/platform"
)

// call is the state of one request of a caller, from its arrival to its end.
type call struct {
	id string
	// table is the configuration under which the call arrived, host and path selected its
	// route there.
	table      *site.Table
	host, path string
	route      *site.Route
	service    *site.Service
	org        string
	model      string
	// urgency is the effective urgency, levels those of the service, nil if all its
	// requests have the same.
	urgency   int
	levels    []int
	conn      net.Conn
	startedAt time.Time
	// relayed is set if a peer relays the request of its caller, viaPeer if this node
	// relayed it to a peer when it arrived.
	relayed, viaPeer bool
	apiKey           string
	// triedPeers are the peers to which the request was relayed. refusedByPeer is set if one
	// refused it, and peerRetryAfter is the time after which its caller may return.
	triedPeers    []string
	refusedByPeer bool
	// peerGranted is set if the retry of the next attempt, at a peer, is counted.
	peerGranted    atomic.Bool
	peerRetryAfter time.Duration
	// deadline is the earlier of the caller's deadline and the end of the
	// route's timeout.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	request  *fasthttp.Request

	// possibleRuns counts the attempts that a server may have executed.
	// triedServers are the servers of all failed attempts, including refusals.
	possibleRuns atomic.Int32
	triedServers atomic.Pointer[[]string]
	// triedEpochs holds the epochs of their groups then. Only the goroutine of the request
	// uses it.
	triedEpochs map[string]int64
	// granted is the server that the next attempt goes to, nil if it is not decided. Its
	// retry is counted, and the request counts as sent to it.
	granted atomic.Pointer[site.Server]
	// ended is set once the call has ended.
	ended atomic.Bool
	// promptTokens and maxOutputTokens are the token counts of the request.
	promptTokens, maxOutputTokens int
	// subject is what the request may have in common with others.
	subject crash.Subject
	// attemptProved is set once the server of the current attempt has answered beyond the
	// point at which servers crash.
	attemptProved atomic.Bool
	// proved is set once a server has answered beyond the point at which servers
	// crash.
	proved bool
	// manyNodes is set if many nodes send requests to the same servers.
	manyNodes bool
	// reserved is the number of slots of a batch that the call leaves to more urgent
	// requests.
	reserved int
	// firstEventDelay is the time from startedAt to the first event,
	// maxEventGap the longest interval between two events.
	firstEventDelay, maxEventGap time.Duration
	lastEventAt                  time.Time
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID string

	// server is the server of the current attempt. lastProgress is when that
	// server last sent data, or when the request was sent to it, in nanoseconds
	// after startedAt. cancelAttempt cancels the attempt.
	server        atomic.Pointer[site.Server]
	lastProgress  atomic.Int64
	cancelAttempt atomic.Pointer[context.CancelCauseFunc]
	// pinnedTo is the ID of the server at which the call counts as pinned, empty if none.
	// The mutex of the loads guards it.
	pinnedTo string
	// resumeWait is for how long the stream has waited for servers to go on at.
	resumeWait time.Duration
	// attemptEvents is the number of events that the server of the current
	// attempt has sent. abortedBy is why this node aborted the attempt, nil if it
	// did not.
	attemptEvents atomic.Int32
	abortedBy     atomic.Pointer[error]
	// heldBytes is the memory that is held for the call.
	heldBytes atomic.Int64
	// response is the state of the response to the caller.
	response atomic.Int32
	// onTrial is set while the call is the trial of a suspected part.
	onTrial atomic.Bool
}

// States of the response to a caller.
const (
	responsePending int32 = iota
	// responseBegun: a part of the response is about to be sent.
	responseBegun
	// responseGivenUp: the caller gets an error instead.
	responseGivenUp
)

// recordProgress records that the server sent data.
func (call *call) recordProgress(now time.Time) {
	call.lastProgress.Store(int64(now.Sub(call.startedAt)))
}

// recordEvent records the time of an event and returns the interval since the
// previous event, zero for the first.
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

// sinceProgress returns the time since the server last sent data or the request
// was sent to it.
func (call *call) sinceProgress(now time.Time) time.Duration {
	return now.Sub(call.startedAt) - time.Duration(call.lastProgress.Load())
}

// stage returns how far the call has come, for logs.
func (call *call) stage() string {
	switch {
	case call.cancelAttempt.Load() == nil:
		return "waiting"
	case call.attemptEvents.Load() > 0:
		return "streaming"
	}
	return "sent"
}

// abortAttempt cancels the attempt that cancel belongs to, if any, with the cause. It may
// have failed and been followed by another one, which goes on.
func (call *call) abortAttempt(cancel *context.CancelCauseFunc, cause error) {
	if cancel == nil {
		return
	}
	if call.cancelAttempt.Load() == cancel {
		call.abortedBy.Store(&cause)
	}
	(*cancel)(cause)
}

// tried returns the servers of all failed attempts.
func (call *call) tried() []string {
	if ids := call.triedServers.Load(); ids != nil {
		return *ids
	}
	return nil
}

// addTried adds a server to those of failed attempts. Only the goroutine of the request
// may call it.
func (call *call) addTried(srv *site.Server) {
	ids := append(slices.Clone(call.tried()), srv.ID)
	call.triedServers.Store(&ids)
	if call.triedEpochs == nil {
		call.triedEpochs = map[string]int64{}
	}
	call.triedEpochs[srv.ID] = srv.Group.Epoch
}

// abortedForPart reports whether this node aborted the attempt because of a part
// of the prompt, and not because of the server.
func (call *call) abortedForPart() bool {
	cause := call.abortedBy.Load()
	return cause != nil && (*cause == errPartSuspected || *cause == errPartQuarantined)
}

// timeLeft returns the time until the deadline, negative after it.
func (call *call) timeLeft(now time.Time) time.Duration { return call.deadline.Sub(now) }

// callerGone reports whether the caller has closed its connection.
func (call *call) callerGone() bool { return sock.Peek(call.conn) == sock.Closed }

// Causes for which an attempt or a call is cancelled.
var (
	errCallerGone      = core.Errorf(core.CodeCallerGone, "the caller closed its connection")
	errServerSilent    = core.Errorf(core.CodeSilent, "the server sent no data for too long")
	errZoneUnreachable = core.Errorf(core.CodeSilent, "the availability zone of the server can't be reached")
	errDeadlinePassed  = core.Errorf(core.CodeDeadline, "the deadline passed")
	errPartSuspected   = core.Errorf(core.CodeUnknownOutcome, "another server ended under a part of the prompt")
	errPartQuarantined = core.Errorf(core.CodeUnknownOutcome, "several servers ended under a part of the prompt")
	errGroupChanged    = core.Errorf(core.CodeMemberMissing, "the group of the server was formed anew")
)

// strippedHeaders are the request headers that are not forwarded: they concern
// one connection, or only the system may set them.
var strippedHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	platform.HeaderAPIKey, platform.HeaderTenant, platform.HeaderUrgency, platform.HeaderExpectInstance, platform.HeaderExpectVersion,
}

// newUpstreamRequest returns the request that is sent to servers, without its body. It has
// the caller's method, path and headers, except those that concern the connection or the
// API key.
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
	if org != "" {
		req.Header.Set(platform.HeaderTenant, org)
	}
	return req
}
