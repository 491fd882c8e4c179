package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of the case longstream.
const (
	longGroups = 4
	// longGap is the usual time between two events of a summary, which takes 5 s,
	// and draftGap that of a draft, which takes 7 s.
	longGap     = 80 * time.Millisecond
	longEvents  = 62
	draftGap    = 91 * time.Millisecond
	draftEvents = 77
	// slowFactor and slowTime are those of the disruption srv_slow, of one server
	// of eight.
	slowFactor = 4
	slowTime   = 9 * time.Second
	// longClients is the number of clients of each node and kind.
	longClients = 20
	// longDeadline and draftDeadline are also the time-outs of the routes.
	longDeadline  = 20 * time.Second
	draftDeadline = 8 * time.Second
	// heldOpen is how long a connection stands open before its first request.
	heldOpen = 4500 * time.Millisecond
	// longNodes is the number of nodes, of which one, 0.25, gets SIGHUP.
	longNodes = 4
	// hupLead is the time from SIGHUP to the first of the requests.
	hupLead = 300 * time.Millisecond
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

// longStream has two parts. In the first, streams are sent on kept connections, and
// one server of eight works slowly for 9 s. In the second, streams are sent as the
// first request of connections that have stood open for a while, after one node has
// got SIGHUP for a changed settings file.
func longStream(bd *bed) (bool, []string, error) {
	var slow atomic.Bool
	var slowID atomic.Value
	slowID.Store("")
	serve := func(srv *server, rw http.ResponseWriter, req *http.Request, _ []byte) {
		events, gap := longEvents, longGap
		if strings.HasPrefix(req.URL.Path, "/pufi791/") {
			events, gap = draftEvents, draftGap
		}
		streamPieces(srv, rw, req, events, func() time.Duration { return time.Duration(float64(gap) * bd.groupPace(srv)) })
	}
	routes := []routeDoc{
		{Name: "summaries", PathPrefix: "/lohu930/", TimeoutMs: int(longDeadline.Milliseconds())},
		{Name: "drafts", PathPrefix: "/pufi791/", TimeoutMs: int(draftDeadline.Milliseconds())},
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
	if err := bd.addNodes(longNodes); err != nil {
		return false, nil, err
	}
	if err := await(40*time.Second, "groups to open", func() bool { return bd.openGroups() == longGroups }); err != nil {
		return false, nil, err
	}
	time.Sleep(4 * time.Second)
	kept := bd.slowPart(&slow, &slowID)
	verdict := []string{"srv_slow, streams on kept connections: " + kept.String()}
	time.Sleep(4 * time.Second)
	draft, err := bd.hupPart()
	if err != nil {
		return false, verdict, err
	}
	verdict = append(verdict, "hup, streams as the first request of connections opened 4.5 s before: "+draft.String())
	if kept.whole == 0 || draft.whole+draft.cut == 0 {
		return false, verdict, fmt.Errorf("no stream was answered")
	}
	// Without SIGHUP there is no planned work, around which alone the second part's
	// streams count.
	return kept.cut > 3 || bd.trouble && draft.cut > 0, verdict, nil
}

// slowPart plays the first part.
func (bd *bed) slowPart(slow *atomic.Bool, slowID *atomic.Value) *longCounts {
	var cnt longCounts
	var wg sync.WaitGroup
	for _, nd := range bd.nodes {
		for num := range longClients {
			wg.Go(func() { bd.keptClient(nd, num, &cnt) })
		}
	}
	if bd.trouble {
		time.Sleep(500 * time.Millisecond)
		slowID.Store(bd.openHead())
		slow.Store(true)
		bd.jr.addf("srv_slow: %s works %d times as long from now on", slowID.Load(), slowFactor)
		time.AfterFunc(slowTime, func() {
			slow.Store(false)
			bd.jr.addf("srv_slow: over")
		})
	}
	wg.Wait()
	return &cnt
}

// hupPart plays the second part, at one node.
func (bd *bed) hupPart() (*longCounts, error) {
	var cnt longCounts
	var wg sync.WaitGroup
	nd := bd.nodes[0]
	for num := range longClients {
		wg.Go(func() { bd.heldClient(nd, num, &cnt) })
	}
	time.Sleep(heldOpen - hupLead)
	if bd.trouble {
		if err := nd.changeSettings(); err != nil {
			return nil, err
		}
		nd.signal(syscall.SIGHUP)
		bd.jr.addf("hup: the settings file of %s has changed, SIGHUP sent", nd.name)
	}
	wg.Wait()
	return &cnt, nil
}

func streamRequest(path string, deadline time.Duration) request {
	return request{
		id: newID(), method: "POST", host: hostName, path: path, deadline: deadline,
		headers: [][2]string{{"X-Api-Key", apiKey}, {"Model", modelName}, {"Token-Counts", "1400,300"}, {"Prefix-Hash", "5c1e07a2:40," + newID()[:8] + ":1360"}},
	}
}

// keptClient sends a short request first, and the long stream on the same
// connection.
func (bd *bed) keptClient(nd *node, num int, cnt *longCounts) {
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
	time.Sleep(500*time.Millisecond + time.Duration(num)*30*time.Millisecond)
	cnt.add(bd.do(cl, nd, streamRequest(first.path, longDeadline), "the whole stream"), longDeadline)
}

// heldClient opens its connection some seconds before its only request.
func (bd *bed) heldClient(nd *node, num int, cnt *longCounts) {
	time.Sleep(time.Duration(num) * 30 * time.Millisecond)
	cl, err := dialNode(nd)
	if err != nil {
		return
	}
	defer cl.close()
	time.Sleep(heldOpen)
	cnt.add(bd.do(cl, nd, streamRequest(fmt.Sprintf("/pufi791/%s-%d", nd.name, num), draftDeadline), "the whole stream, connection opened before"), draftDeadline)
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
