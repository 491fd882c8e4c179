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

// Behaviour of callers.
const (
	// callPause is the mean pause between two requests of a caller.
	callPause = 40 * time.Millisecond
	// callDeadline is how long a caller waits.
	callDeadline = 4 * time.Second
	// callSlack is the time after the deadline at which a caller gives up
	// although it got no answer.
	callSlack = time.Second
	// leaveChance is the chance that a caller leaves before its answer is there.
	leaveChance = 0.03
	// keptRequests is the number of requests on one connection.
	keptRequests = 30
)

// call is one attempt of a caller and what came of it.
type call struct {
	id, kind  string
	node      *Node
	sent, end time.Time
	status    int
	signed    string
	body      string
	// left tells that the caller left, whole that the answer was complete,
	// connected that the node took the connection.
	left, whole, connected bool
	err                    error
}

func (cal *call) String() string {
	return fmt.Sprintf("%s %s at %s sent %s took %v: status %d signed %q whole %v body of %d bytes error %v",
		cal.kind, cal.id, cal.node.set.Node, cal.sent.Format("15:04:05.000"), cal.end.Sub(cal.sent), cal.status, cal.signed, cal.whole, len(cal.body), cal.err)
}

// recorder keeps the calls.
type recorder struct {
	mtx   sync.Mutex
	calls []*call
}

func (rec *recorder) add(cal *call) {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	rec.calls = append(rec.calls, cal)
}

func (rec *recorder) all() []*call {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	return append([]*call(nil), rec.calls...)
}

// caller sends requests one after the other until done closes. It keeps its
// connection until the node closes it.
func (wld *world) caller(rng *rand.Rand, done <-chan struct{}) {
	for {
		rot := wld.rotation()
		nod := rot[rng.IntN(len(rot))]
		cli := newClient()
		for num := 0; num < keptRequests; num++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rng.Int64N(int64(2 * callPause)))):
			}
			cal := wld.call(cli, nod, pickKind(rng), rng.Float64() < leaveChance)
			wld.rec.add(cal)
			if cal.err != nil && !cal.left {
				break
			}
		}
		cli.CloseIdleConnections()
	}
}

func pickKind(rng *rand.Rand) string { return [...]string{"stream", "charge", "read"}[rng.IntN(3)] }

// newClient returns a client of one connection.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// call sends one request on the path /kind/x.
func (wld *world) call(cli *http.Client, nod *Node, kind string, leaves bool) *call {
	cal := &call{id: fmt.Sprintf("%016x", rand.Uint64()), kind: kind, node: nod, sent: time.Now(), left: leaves}
	defer func() { cal.end = time.Now() }()
	wait := callDeadline + callSlack
	if leaves {
		wait = rand.N(events * eventPause)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+nod.set.CallerAddr+"/"+kind+"/x", strings.NewReader("body of "+cal.id))
	if err != nil {
		cal.err = err
		return cal
	}
	req.Host = host
	req.Header.Set(platform.HeaderAttemptID, cal.id)
	req.Header.Set(platform.HeaderAPIKey, key)
	req.Header.Set(platform.HeaderTenant, "somebody else")
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callDeadline.Milliseconds()))
	if kind == "stream" {
		req.Header.Set(platform.HeaderModel, model)
	}
	res, err := cli.Do(req)
	if err != nil {
		var ope *net.OpError
		cal.connected = !errors.As(err, &ope) || ope.Op != "dial"
		cal.err = err
		return cal
	}
	cal.connected = true
	raw, err := io.ReadAll(res.Body)
	err = errors.Join(err, res.Body.Close())
	cal.status, cal.signed, cal.body, cal.whole, cal.err = res.StatusCode, res.Header.Get(platform.HeaderResponseStamp), string(raw), err == nil, err
	if got := res.Header.Get(platform.HeaderAttemptID); got != cal.id {
		cal.err = fmt.Errorf("answer to %q", got)
	}
	return cal
}
