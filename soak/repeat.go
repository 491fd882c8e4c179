package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

const (
	// One of repeatInterval servers sends responses twice, minRepeatShare of them at least.
	repeatInterval = 2
	minRepeatShare = 0.5
	// One of refuseInterval requests is refused by a server that sends responses twice.
	refuseInterval = 3
	// maxRepeatDelay is the longest time for which a connection is idle before the copy
	// of a response arrives on its own.
	maxRepeatDelay = 10 * time.Millisecond
	// cutRetryAfter is the pause that a refusal names whose copy ends inside of it.
	cutRetryAfter = "0.25"
	// sameIDProbability is the probability that a client sends a refused request that
	// must not be repeated again with the same ID, maxSameID how often it does so.
	sameIDProbability = 0.5
	maxSameID         = 3
	maxSameIDDelay    = 100 * time.Millisecond
)

// injectRepeat makes a part of the servers send responses twice.
func (dep *deployment) injectRepeat(fault Fault, rng *rand.Rand) func() {
	share := minRepeatShare + (1-minRepeatShare)*fault.Share
	var affected []*server
	for _, srv := range dep.activeServers() {
		if rng.IntN(repeatInterval) > 0 {
			continue
		}
		srv.SetResponder(func(req *http.Request, _ int) platfk.Response { return srv.repeatedResponse(req, share) })
		affected = append(affected, srv)
	}
	return func() {
		for _, srv := range affected {
			srv.SetResponder(healthyResponse)
		}
	}
}

// repeatedResponse returns the response of a server that refuses a part of its requests
// and sends a share of its responses twice: the copy arrives where the next response is
// due, or on an idle connection. That of a refusal may be cut in its header, which the
// next response then completes.
func (srv *server) repeatedResponse(req *http.Request, share float64) platfk.Response {
	resp := requestedWork(req)
	resp.Refuse = rand.IntN(refuseInterval) == 0
	if rand.Float64() >= share || req.Header.Get(platform.HeaderAttemptID) == "" {
		return resp
	}
	cut := resp.Refuse && rand.IntN(2) == 0
	if cut {
		resp.RetryAfter = cutRetryAfter
	}
	again := srv.Copy(req, resp)
	if cut {
		end := strings.Index(again, cutRetryAfter) + len(cutRetryAfter) - 1
		again = again[:end]
	}
	if rand.IntN(3) == 0 {
		resp.AgainAfter = 1 + rand.N(maxRepeatDelay)
	}
	resp.Again = again
	return resp
}

// sendRefused sends a refused request that must not be repeated again to the same node, at
// times with the same ID.
func (dep *deployment) sendRefused(call *callRecord) {
	for range maxSameID {
		if call.route.mayRepeat() || call.status != http.StatusServiceUnavailable || call.cancelled || rand.Float64() >= sameIDProbability {
			return
		}
		time.Sleep(rand.N(maxSameIDDelay))
		next := newCall(call.route, call.work, false)
		next.id, call.next = call.id, next
		client := newClient()
		dep.send(client, call.node, next)
		client.CloseIdleConnections()
		dep.calls.add(next)
		call = next
	}
}
