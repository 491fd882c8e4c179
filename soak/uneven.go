package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"kumquathinge/platform/platfk"
)

// Speeds of uneven servers.
const (
	// unevenInterval is the number of servers of which one is slower.
	unevenInterval = 3
	// unevenFactor is by how much such a server takes longer at a low load, and
	// overloadFactor above that.
	unevenFactor, overloadFactor = 1.5, 5
	// minSustained and maxSustained are the numbers of requests in a second that such
	// a server sustains, by the share of the fault.
	minSustained, maxSustained = 3, 20
)

// unevenServer makes a server slower by the requests that it got within the last second.
type unevenServer struct {
	sustained int
	mu        sync.Mutex
	arrivals  []time.Time
}

// respond returns the response to a request.
func (uneven *unevenServer) respond(req *http.Request, _ int) platfk.Response {
	resp, now := requestedWork(req), time.Now()
	uneven.mu.Lock()
	defer uneven.mu.Unlock()
	for len(uneven.arrivals) > 0 && now.Sub(uneven.arrivals[0]) > time.Second {
		uneven.arrivals = uneven.arrivals[1:]
	}
	uneven.arrivals = append(uneven.arrivals, now)
	factor := unevenFactor
	if len(uneven.arrivals) > uneven.sustained {
		factor = overloadFactor
	}
	resp.Delay = time.Duration(factor * float64(resp.Delay))
	return resp
}

// injectUneven makes a part of the servers slower.
func (dep *deployment) injectUneven(fault Fault, rng *rand.Rand) func() {
	var slower []*server
	for _, srv := range dep.activeServers() {
		if rng.IntN(unevenInterval) > 0 {
			continue
		}
		uneven := &unevenServer{sustained: minSustained + int(fault.Share*(maxSustained-minSustained))}
		srv.SetResponder(uneven.respond)
		slower = append(slower, srv)
	}
	return func() {
		for _, srv := range slower {
			srv.SetResponder(healthyResponse)
		}
	}
}
