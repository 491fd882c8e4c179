package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"kumquathinge/platform"
)

// Behaviour of clients.
const (
	// callTimeoutSlack is the time beyond the deadline after which a client without a
	// response times out.
	callTimeoutSlack = time.Second
	// cancelProbability is the probability that a client cancels its request
	// before the response is complete.
	cancelProbability = 0.03
	// maxRequestsPerConn is the number of requests after which a client opens a
	// new connection.
	maxRequestsPerConn = 30
	// maxIdleShare is the longest time for which a client leaves a connection
	// unused, as a fraction of the idle timeout.
	maxIdleShare = 0.8
)

// callRecord is one request of a client and its result.
type callRecord struct {
	id, kind string
	route    RouteProfile
	work     work
	// after is the number of the event after which a stream is resumed.
	after int
	node  *Node
	// openedAt is when the connection was opened.
	openedAt, sentAt, endedAt time.Time
	status                    int
	responseStamp             string
	// invalidField is an invalid field name of the response, empty if there is none.
	invalidField string
	body         string
	// cancelled is set if the client planned to cancel the request early,
	// complete if the response body ended without an error, connected if the
	// node accepted the connection, kept if the connection carried a request before.
	cancelled, complete, connected, kept bool
	err                                  error
	// first is set for the first try of a client.
	first bool
	// next is the next request of the client with this ID, nil if there is none.
	next *callRecord
}

// own returns those of the server requests with the ID of the call that belong to it, not
// to another request of the client with the ID.
func (call *callRecord) own(reqs []serverRequest) []serverRequest {
	var out []serverRequest
	for _, req := range reqs {
		if !req.ReceivedAt.Before(call.sentAt) && (call.next == nil || req.ReceivedAt.Before(call.next.sentAt)) {
			out = append(out, req)
		}
	}
	return out
}

func (call *callRecord) String() string {
	return fmt.Sprintf("%s %s at %s sent %s took %v: status %d response stamp %q complete %v kept %v work %v after %d body of %d bytes error %v",
		call.kind, call.id, call.node.settings.Node, call.sentAt.Format("15:04:05.000"), call.endedAt.Sub(call.sentAt), call.status, call.responseStamp, call.complete, call.kept, call.work, call.after, len(call.body), call.err)
}

// callLog holds the results of all calls of a run.
type callLog struct {
	mu    sync.Mutex
	calls []*callRecord
}

func (log *callLog) add(call *callRecord) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.calls = append(log.calls, call)
}

func (log *callLog) all() []*callRecord {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]*callRecord(nil), log.calls...)
}

// runCaller sends requests one after the other until done closes. After a failed
// request or maxRequestsPerConn requests it selects a node again and connects anew.
// Some connections stay open for a while before their first request.
func (dep *deployment) runCaller(rng *rand.Rand, done <-chan struct{}) {
	prof := dep.profile
	wait := func(longest time.Duration) bool {
		select {
		case <-done:
			return false
		case <-time.After(time.Duration(rng.Int64N(int64(longest) + 1))):
			return true
		}
	}
	for {
		node := dep.pickNode(rng)
		client := newClient()
		if rng.Float64() < prof.SpareShare {
			client.openSpare(node)
			if !wait(time.Duration(maxIdleShare * float64(prof.IdleTimeout))) {
				client.CloseIdleConnections()
				return
			}
		}
		for num := 0; num < maxRequestsPerConn; num++ {
			if !wait(2 * time.Duration(prof.MeanThinkTime)) {
				client.CloseIdleConnections()
				return
			}
			rt := prof.pick(rng)
			call := newCall(rt, rt.drawWork(rng), rng.Float64() < cancelProbability)
			call.first = true
			dep.send(client, node, call)
			dep.calls.add(call)
			dep.sendRefused(call)
			if call.err != nil && !call.cancelled {
				dep.retry(rng, call)
				break
			}
		}
		client.CloseIdleConnections()
	}
}

func (dep *deployment) pickNode(rng *rand.Rand) *Node {
	nodes := dep.rotation()
	return nodes[rng.IntN(len(nodes))]
}

// retry sends a failed request again on new connections, as far as its route allows
// it. A stream that may be resumed goes on after its last event.
func (dep *deployment) retry(rng *rand.Rand, call *callRecord) {
	for num := 0; num < call.route.Retries && call.route.mayRepeat() && call.err != nil; num++ {
		next := newCall(call.route, call.work, false)
		next.after = call.after + strings.Count(call.body, "\n\n")
		client := newClient()
		dep.send(client, dep.pickNode(rng), next)
		client.CloseIdleConnections()
		dep.calls.add(next)
		call = next
	}
}

// callerClient is an HTTP client that uses one connection at a time.
type callerClient struct {
	*http.Client
	spare atomic.Pointer[net.Conn]
	// openedAt is when the connection was opened.
	openedAt atomic.Pointer[time.Time]
}

func newClient() *callerClient {
	cl := &callerClient{}
	cl.Client = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if conn := cl.spare.Swap(nil); conn != nil {
				return *conn, nil
			}
			cl.recordOpened()
			var dialer net.Dialer
			return dialer.DialContext(ctx, network, addr)
		},
	}}
	return cl
}

// openSpare opens the connection of the client before its first request. The error is
// ignored: the client then connects with the request.
func (cl *callerClient) openSpare(node *Node) {
	cl.recordOpened()
	conn, err := net.Dial("tcp", node.settings.CallerAddr)
	if err == nil {
		cl.spare.Store(&conn)
	}
}

func (cl *callerClient) recordOpened() {
	now := time.Now()
	cl.openedAt.Store(&now)
}

// CloseIdleConnections closes the unused connections of the client.
func (cl *callerClient) CloseIdleConnections() {
	if conn := cl.spare.Swap(nil); conn != nil {
		_ = (*conn).Close()
	}
	cl.Client.CloseIdleConnections()
}

// newCall returns a request of the route.
func newCall(rt RouteProfile, wrk work, cancels bool) *callRecord {
	return &callRecord{id: fmt.Sprintf("%016x", rand.Uint64()), kind: rt.Name, route: rt, work: wrk, cancelled: cancels}
}

// send sends one request with the path /KIND/x and records its result in call. If the
// call is to be cancelled, that is after a random part of its duration.
func (dep *deployment) send(client *callerClient, node *Node, call *callRecord) {
	call.node, call.sentAt = node, time.Now()
	defer func() {
		call.endedAt = time.Now()
		if opened := client.openedAt.Load(); opened != nil {
			call.openedAt = *opened
		}
	}()
	deadline := time.Duration(call.route.Deadline)
	timeout := deadline + callTimeoutSlack
	if call.cancelled {
		timeout = rand.N(time.Duration(max(1, call.work.events))*call.work.interval + time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { call.kept, call.connected = info.Reused, true }})
	body := "body of " + call.id
	if size := call.route.Body[1]; size > len(body) {
		body += strings.Repeat("x", rand.IntN(size-len(body)))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.settings.CallerAddr+"/"+call.kind+"/x", strings.NewReader(body))
	if err != nil {
		call.err = err
		return
	}
	req.Host = requestHost
	req.Header.Set(platform.HeaderAttemptID, call.id)
	req.Header.Set(platform.HeaderAPIKey, apiKey)
	req.Header.Set(platform.HeaderTenant, "somebody else")
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set(workHeader, call.work.String())
	if call.after > 0 {
		req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(call.after))
	}
	if call.route.Kind == "stream" {
		req.Header.Set(platform.HeaderModel, modelName)
		req.Header.Set(platform.HeaderTokenCounts, fmt.Sprintf("700,%d", tokensPerEvent*call.work.events))
	}
	resp, err := client.Do(req)
	if err != nil {
		call.err = err
		return
	}
	raw, err := io.ReadAll(resp.Body)
	err = errors.Join(err, resp.Body.Close())
	call.status, call.responseStamp, call.body, call.complete, call.err = resp.StatusCode, resp.Header.Get(platform.HeaderResponseStamp), string(raw), err == nil, err
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			call.invalidField = name
		}
	}
	if got := resp.Header.Get(platform.HeaderAttemptID); got != call.id {
		call.err = fmt.Errorf("response carries attempt ID %q", got)
	}
}

// tokensPerEvent is the number of tokens in an event of a stream.
const tokensPerEvent = 6
