package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// sampleSize is the number of random servers that a node with many peers compares.
	// Two choices are enough to balance the load.
	sampleSize = 2
	// localSampleSize is this number for the servers of the node's own zone.
	localSampleSize = 3
	// localCost is the cost up to which a server of the node's own zone is taken
	// without a look at other zones.
	localCost = 0.75
)

// sample compares a few random servers: those of the own zone, whose nodes report to each
// other most often, and others only if these are busy. It returns no server if those that
// it compared are full or failed recently.
func (bal *Balancer) sample(srvs []*site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) Choice {
	best := bal.leastLoaded(sampleServers(bal.localServers(srvs), localSampleSize), capacity, excluded, now)
	if best.Server == nil || best.cost >= localCost {
		other := bal.leastLoaded(sampleServers(srvs, sampleSize), capacity, excluded, now)
		if other.Server != nil && (best.Server == nil || other.cost < best.cost) {
			best = other
		}
	}
	if best.cost >= avoidCost {
		return Choice{}
	}
	return best.Choice
}

// minLocalRatio is the number of servers in the own zone, relative to the mean of all zones,
// below which the node does not prefer them: the nodes of the zone would overload them
// while others have room.
const minLocalRatio = 0.5

// fewLocal reports whether the own zone has far fewer of the servers than others.
func (bal *Balancer) fewLocal(srvs []*site.Server) bool {
	zones := map[string]int{}
	for _, srv := range srvs {
		zones[srv.Zone]++
	}
	return float64(zones[bal.zone]*len(zones)) < minLocalRatio*float64(len(srvs))
}

// localServers returns the servers of the node's own zone.
func (bal *Balancer) localServers(srvs []*site.Server) []*site.Server {
	out := make([]*site.Server, 0, len(srvs))
	for _, srv := range srvs {
		if srv.Zone == bal.zone {
			out = append(out, srv)
		}
	}
	return out
}

// sampleServers returns distinct random servers, at most num of them.
func sampleServers(srvs []*site.Server, num int) []*site.Server {
	if len(srvs) <= num {
		return srvs
	}
	out := make([]*site.Server, 0, num)
	for len(out) < num {
		if srv := srvs[rand.IntN(len(srvs))]; !slices.Contains(out, srv) {
			out = append(out, srv)
		}
	}
	return out
}
