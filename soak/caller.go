package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"kumquathinge/platform"
)

// Behaviour of clients.
const (
	// meanCallInterval is the mean delay between two requests of a client.
	meanCallInterval = 40 * time.Millisecond
	// callDeadline is the deadline that requests carry, relative to their start.
	callDeadline = 4 * time.Second
	// callTimeoutSlack is the time beyond callDeadline after which a client
	// without a response times out.
	callTimeoutSlack = time.Second
	// cancelProbability is the probability that a client cancels its request
	// before the response is complete.
	cancelProbability = 0.03
	// maxRequestsPerConn is the number of requests after which a client opens a
	// new connection.
	maxRequestsPerConn = 30
)

// callRecord is one request of a client and its result.
type callRecord struct {
	id, kind        string
	node            *Node
	sentAt, endedAt time.Time
	status          int
	responseStamp   string
	body            string
	// cancelled is set if the client planned to cancel the request early,
	// complete if the response body ended without an error, connected if the
	// node accepted the connection.
	cancelled, complete, connected bool
	err                            error
}

func (call *callRecord) String() string {
	return fmt.Sprintf("%s %s at %s sent %s took %v: status %d response stamp %q complete %v body of %d bytes error %v",
		call.kind, call.id, call.node.settings.Node, call.sentAt.Format("15:04:05.000"), call.endedAt.Sub(call.sentAt), call.status, call.responseStamp, call.complete, len(call.body), call.err)
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
func (dep *deployment) runCaller(rng *rand.Rand, done <-chan struct{}) {
	for {
		nodes := dep.rotation()
		node := nodes[rng.IntN(len(nodes))]
		client := newClient()
		for num := 0; num < maxRequestsPerConn; num++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rng.Int64N(int64(2 * meanCallInterval)))):
			}
			call := dep.send(client, node, randomKind(rng), rng.Float64() < cancelProbability)
			dep.calls.add(call)
			if call.err != nil && !call.cancelled {
				break
			}
		}
		client.CloseIdleConnections()
	}
}

func randomKind(rng *rand.Rand) string { return [...]string{"stream", "charge", "read"}[rng.IntN(3)] }

// newClient returns an HTTP client that uses one connection at a time.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// send sends one request with the path /KIND/x and returns its result. With
// cancels set, it cancels the request after a random part of a stream's duration.
func (dep *deployment) send(client *http.Client, node *Node, kind string, cancels bool) *callRecord {
	call := &callRecord{id: fmt.Sprintf("%016x", rand.Uint64()), kind: kind, node: node, sentAt: time.Now(), cancelled: cancels}
	defer func() { call.endedAt = time.Now() }()
	timeout := callDeadline + callTimeoutSlack
	if cancels {
		timeout = rand.N(streamEvents * eventInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.settings.CallerAddr+"/"+kind+"/x", strings.NewReader("body of "+call.id))
	if err != nil {
		call.err = err
		return call
	}
	req.Host = requestHost
	req.Header.Set(platform.HeaderAttemptID, call.id)
	req.Header.Set(platform.HeaderAPIKey, apiKey)
	req.Header.Set(platform.HeaderTenant, "somebody else")
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callDeadline.Milliseconds()))
	if kind == "stream" {
		req.Header.Set(platform.HeaderModel, modelName)
	}
	resp, err := client.Do(req)
	if err != nil {
		var opErr *net.OpError
		call.connected = !errors.As(err, &opErr) || opErr.Op != "dial"
		call.err = err
		return call
	}
	call.connected = true
	raw, err := io.ReadAll(resp.Body)
	err = errors.Join(err, resp.Body.Close())
	call.status, call.responseStamp, call.body, call.complete, call.err = resp.StatusCode, resp.Header.Get(platform.HeaderResponseStamp), string(raw), err == nil, err
	if got := resp.Header.Get(platform.HeaderAttemptID); got != call.id {
		call.err = fmt.Errorf("response carries attempt ID %q", got)
	}
	return call
}
