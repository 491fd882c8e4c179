package share

import (
	"math/rand/v2"
	"time"

	"kumquathinge/core/site"
)

const (
	// draws is the number of servers that a node with many peers draws, to take the one
	// with the lowest cost. A head that all nodes see as the best one gets at most this
	// multiple of its part of the requests until the next reports.
	draws = 2
	// maxLocalExcess is the ratio of the utilisation of the own zone to that of all
	// zones from which no request prefers the own zone, evenExcess the one up to which
	// all do. It is well below 3, the largest permitted ratio of a head to the mean.
	maxLocalExcess, evenExcess = 1.5, 1.1
	// maxLocalDifference and evenDifference are the same limits for the difference.
	// Above it the own zone would be full while others have room.
	maxLocalDifference, evenDifference = 0.25, 0.1
)

// candidate is a server that may take a request.
type candidate struct {
	Choice
	limit int
	// rate is the relative probability of a draw: the limit times the speed, since a
	// server that is twice as slow ends half as many requests in a time.
	rate float64
	// cost is the utilisation with waiting prompts, above avoidCost after a failure.
	cost float64
}

// draw draws two servers with a probability that follows their capacity and speed, and
// returns the one with the most room, and no server if none is free of recent failures.
// Peers report up to some seconds late with many nodes, so that the least loaded server
// would get the requests of all nodes. A probability that follows the room as well counts outdated
// loads twice: with 116 and 340 nodes and long prompts more first events were late.
func (bal *Balancer) draw(srvs []*site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) Choice {
	bal.candidates = bal.candidates[:0]
	var local, all usage
	for _, srv := range srvs {
		cand, ok := bal.candidate(srv, capacity, excluded, now)
		if !ok {
			// A full server counts for the utilisation of its zone.
			cand.cost, cand.limit = 1, max(1, cand.limit)
		}
		if ok && cand.cost >= avoidCost {
			continue
		}
		all.add(cand)
		if srv.Zone == bal.zone {
			local.add(cand)
		}
		if ok {
			bal.candidates = append(bal.candidates, cand)
		}
	}
	if rand.Float64() < localProbability(local, all) {
		choice := bal.drawFrom(true)
		if choice.Server != nil {
			return choice
		}
	}
	return bal.drawFrom(false)
}

// drawFrom draws different servers from the candidates, those of the own zone only if local
// is set, and returns the one with the lowest cost.
func (bal *Balancer) drawFrom(local bool) Choice {
	sum := 0.0
	for idx := range bal.candidates {
		if !local || bal.candidates[idx].Server.Zone == bal.zone {
			sum += bal.candidates[idx].rate
		}
	}
	var best *candidate
	for range draws {
		cand := bal.drawOne(local, rand.Float64()*sum)
		if cand == nil {
			break
		}
		if best == nil || cand.cost < best.cost {
			best = cand
		}
		sum -= cand.rate
		cand.rate = 0
	}
	if best == nil {
		return Choice{}
	}
	return best.Choice
}

// drawOne returns the candidate at a position in the sum of the rates, nil if there is none.
func (bal *Balancer) drawOne(local bool, pos float64) *candidate {
	for idx := range bal.candidates {
		cand := &bal.candidates[idx]
		if local && cand.Server.Zone != bal.zone {
			continue
		}
		pos -= cand.rate
		if pos < 0 {
			return cand
		}
	}
	return nil
}

// usage is the use of the servers of one or all zones, in requests.
type usage struct {
	used, limit float64
}

func (use *usage) add(cand candidate) {
	use.used += cand.cost * float64(cand.limit)
	use.limit += float64(cand.limit)
}

// localProbability returns the probability that a request stays in the own zone. It falls
// as the zone is used more than all zones.
func localProbability(local, all usage) float64 {
	if local.limit == 0 {
		return 0
	}
	own, mean := local.used/local.limit, all.used/all.limit
	if own <= mean {
		return 1
	}
	excess := (own/mean - evenExcess) / (maxLocalExcess - evenExcess)
	difference := (own - mean - evenDifference) / (maxLocalDifference - evenDifference)
	return 1 - min(1, max(0, excess, difference))
}
