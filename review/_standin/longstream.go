package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the case longstream.
const (
	longGroups = 4
	// longGap is the usual time between two events. A long answer takes 5 s, a
	// short one 1.8 s.
	longGap     = 80 * time.Millisecond
	longEvents  = 62
	shortEvents = 22
	// slowFactor and slowTime are those of the disruption srv_slow, of one server
	// of eight.
	slowFactor = 4
	slowTime   = 9 * time.Second
	// longClients is the number of clients of each node and kind.
	longClients = 20
	// longDeadline and shortDeadline are also the time-outs of the routes.
	longDeadline  = 20 * time.Second
	shortDeadline = 8 * time.Second
	// heldOpen is how long a connection stands open before its first request.
	heldOpen = 4500 * time.Millisecond
)

// longCounts are the results of the streams of one kind.
type longCounts struct {
	mu                sync.Mutex
	whole, cut, other int
}

func (cnt *longCounts) add(res result, deadline time.Duration) {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	switch {
	case res.complete && res.status == http.StatusOK:
		cnt.whole++
	case res.status == http.StatusOK && res.took < deadline-500*time.Millisecond:
		cnt.cut++
	default:
		cnt.other++
	}
}

func (cnt *longCounts) String() string {
	return fmt.Sprintf("%d whole, %d whose connection was closed within the answer, well before the deadline, %d others", cnt.whole, cnt.cut, cnt.other)
}

// longStream sends streams on kept connections, and on connections that have stood
// open for a while. One server of eight works slowly for 9 s.
func longStream(bd *bed) (bool, []string, error) {
	var slow atomic.Bool
	var slowID atomic.Value
	slowID.Store("")
	serve := func(srv *server, rw http.ResponseWriter, req *http.Request, _ []byte) {
		events := longEvents
		if strings.HasPrefix(req.URL.Path, "/pufi791/") {
			events = shortEvents
		}
		streamPieces(srv, rw, req, events, func() time.Duration { return time.Duration(float64(longGap) * bd.groupPace(srv)) })
	}
	routes := []routeDoc{
		{Name: "summaries", PathPrefix: "/lohu930/", TimeoutMs: int(longDeadline.Milliseconds())},
		{Name: "drafts", PathPrefix: "/pufi791/", TimeoutMs: int(shortDeadline.Milliseconds())},
	}
	for idx := range routes {
		route := &routes[idx]
		route.Host, route.Kind, route.TargetLatency, route.Priority, route.Service = hostName, "streaming", 400, 1, modelService
		route.MaxAttempts, route.Sticky, route.Resumable, route.GapTargetMs = 2, true, true, 250
	}
	if err := bd.writeConfig(routes); err != nil {
		return false, nil, err
	}
	for num := range longGroups * groupSize {
		id := fmt.Sprintf("i-%04d", num+1)
		pace := func() float64 {
			if slow.Load() && slowID.Load() == id {
				return slowFactor
			}
			return 1
		}
		if err := bd.addServer(&server{id: id, service: modelService, domain: "d1", slots: 26, pace: pace, serve: serve}); err != nil {
			return false, nil, err
		}
	}
	if err := bd.addNodes(3); err != nil {
		return false, nil, err
	}
	if err := await(40*time.Second, "groups to open", func() bool { return bd.openGroups() == longGroups }); err != nil {
		return false, nil, err
	}
	time.Sleep(4 * time.Second)
	var kept, held longCounts
	var wg sync.WaitGroup
	for _, nd := range bd.nodes {
		for num := range longClients {
			start := heldOpen + time.Duration(num)*30*time.Millisecond
			wg.Go(func() { bd.keptClient(nd, num, start, &kept) })
			wg.Go(func() { bd.heldClient(nd, num, start, &held) })
		}
	}
	if bd.trouble {
		time.AfterFunc(heldOpen, func() {
			slowID.Store(bd.openHead())
			slow.Store(true)
			bd.jr.addf("srv_slow: %s works %d times as long from now on", slowID.Load(), slowFactor)
		})
		time.AfterFunc(heldOpen+slowTime, func() {
			slow.Store(false)
			bd.jr.addf("srv_slow: over")
		})
	}
	wg.Wait()
	verdict := []string{"streams on kept connections: " + kept.String(), "streams on connections that were opened 4.5 s before: " + held.String()}
	if kept.whole == 0 || held.whole == 0 {
		return false, verdict, fmt.Errorf("no stream was answered")
	}
	return kept.cut > 3, verdict, nil
}

func streamRequest(path string, deadline time.Duration) request {
	return request{
		id: newID(), method: "POST", host: hostName, path: path, deadline: deadline,
		headers: [][2]string{{"X-Api-Key", apiKey}, {"Model", modelName}, {"Token-Counts", "1400,300"}, {"Prefix-Hash", "5c1e07a2:40," + newID()[:8] + ":1360"}},
	}
}

// keptClient sends a short request first, and the long stream on the same
// connection.
func (bd *bed) keptClient(nd *node, num int, start time.Duration, cnt *longCounts) {
	time.Sleep(start - 500*time.Millisecond)
	cl, err := dialNode(nd)
	if err != nil {
		return
	}
	defer cl.close()
	first := streamRequest(fmt.Sprintf("/lohu930/%s-%d", nd.name, num), longDeadline)
	first.headers = append(first.headers, [2]string{"Last-Event-Id", fmt.Sprint(longEvents - 1)})
	if res := bd.do(cl, nd, first, "last event only"); !res.complete || res.status != http.StatusOK {
		return
	}
	time.Sleep(300 * time.Millisecond)
	cnt.add(bd.do(cl, nd, streamRequest(first.path, longDeadline), "the whole stream"), longDeadline)
}

// heldClient opens its connection some seconds before its only request.
func (bd *bed) heldClient(nd *node, num int, start time.Duration, cnt *longCounts) {
	time.Sleep(start - heldOpen)
	cl, err := dialNode(nd)
	if err != nil {
		return
	}
	defer cl.close()
	time.Sleep(heldOpen)
	cnt.add(bd.do(cl, nd, streamRequest(fmt.Sprintf("/pufi791/%s-%d", nd.name, num), shortDeadline), "the whole stream, connection opened before"), shortDeadline)
}

// openHead returns the ID of the head of an open group.
func (bd *bed) openHead() string {
	for _, srv := range bd.servers {
		srv.mu.Lock()
		open := srv.group != nil && srv.group.State == "open"
		srv.mu.Unlock()
		if open {
			return srv.id
		}
	}
	return ""
}

// groupPace returns how many times as long as usual a group works, which is the
// pace of its slowest member.
func (bd *bed) groupPace(head *server) float64 {
	head.mu.Lock()
	members := head.members
	head.mu.Unlock()
	out := 1.0
	for _, srv := range bd.servers {
		for _, id := range members {
			if srv.id == id {
				out = max(out, srv.pace())
			}
		}
	}
	return out
}
