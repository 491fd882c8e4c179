package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case drain.
const (
	// drainGroups groups of two and one spare: nine servers, of which one, 0.11,
	// is taken away.
	drainGroups   = 4
	drainSpares   = 1
	drainGap      = 80 * time.Millisecond
	drainEvents   = 50
	drainClients  = 14
	drainDeadline = 8 * time.Second
)

// drainMember sends streams that may not be resumed, and drains one member of a
// group while they run.
func drainMember(bd *bed) (bool, []string, error) {
	serve := func(srv *server, rw http.ResponseWriter, req *http.Request, _ []byte) {
		streamPieces(srv, rw, req, drainEvents, func() time.Duration { return drainGap })
	}
	routes := []routeDoc{{
		Name: "drafts", Host: hostName, PathPrefix: "/pufi791/", Kind: "streaming", TimeoutMs: int(drainDeadline.Milliseconds()), TargetLatency: 400, Priority: 1,
		Service: modelService, MaxAttempts: 1, Sticky: true, GapTargetMs: 250,
	}}
	if err := bd.writeConfig(routes); err != nil {
		return false, nil, err
	}
	for range drainGroups*groupSize + drainSpares {
		if err := bd.addServer(&server{service: modelService, domain: "d1", slots: 26, serve: serve}); err != nil {
			return false, nil, err
		}
	}
	if err := bd.addNodes(3); err != nil {
		return false, nil, err
	}
	if err := await(40*time.Second, "groups to open", func() bool { return bd.openGroups() == drainGroups }); err != nil {
		return false, nil, err
	}
	time.Sleep(4 * time.Second)
	if bd.trouble {
		time.AfterFunc(1500*time.Millisecond, func() {
			srv := bd.memberOfOpenGroup()
			bd.jr.addf("scale_in: %s drains from now on", srv.id)
			srv.drain()
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut, whole, other := 0, 0, 0
	for _, nd := range bd.nodes {
		for num := range drainClients {
			wg.Go(func() {
				time.Sleep(time.Duration(num) * 30 * time.Millisecond)
				cl, err := dialNode(nd)
				if err != nil {
					return
				}
				defer cl.close()
				req := request{
					method: "POST", host: hostName, path: fmt.Sprintf("/pufi791/%s-%d", nd.name, num), deadline: drainDeadline,
					headers: [][2]string{{"X-Api-Key", apiKey}, {"Model", modelName}, {"Token-Counts", "700,300"}, {"Prefix-Hash", "5c1e07a2:40," + newID()[:8] + ":660"}},
				}
				// The request before makes it a kept connection.
				first := req
				first.id, first.headers = newID(), append([][2]string{{"Last-Event-Id", fmt.Sprint(drainEvents - 1)}}, req.headers...)
				if res := bd.do(cl, nd, first, "last event only"); !res.complete || res.status != http.StatusOK {
					return
				}
				req.id = newID()
				res := bd.do(cl, nd, req, "the whole stream")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case res.complete && res.status == http.StatusOK:
					whole++
				case res.status == http.StatusOK && res.took < drainDeadline-time.Second:
					cut++
				default:
					other++
				}
			})
		}
	}
	wg.Wait()
	verdict := []string{fmt.Sprintf("streams on kept connections: %d whole, %d whose connection was closed within the answer, well before the deadline, %d others", whole, cut, other)}
	if whole == 0 {
		return false, verdict, fmt.Errorf("no stream was answered")
	}
	return cut > 3, verdict, nil
}

// memberOfOpenGroup returns a member, not the head, of an open group.
func (bd *bed) memberOfOpenGroup() *server {
	open := map[string]bool{}
	for _, srv := range bd.servers {
		srv.mu.Lock()
		if srv.group != nil && srv.group.State == "open" {
			open[srv.group.Name] = true
		}
		srv.mu.Unlock()
	}
	for _, srv := range bd.servers {
		srv.mu.Lock()
		member := srv.group != nil && srv.group.Rank > 0 && open[srv.group.Name]
		srv.mu.Unlock()
		if member {
			return srv
		}
	}
	return bd.servers[0]
}
