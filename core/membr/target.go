package membr

import (
	"slices"
	"time"

	"kumquathinge/core"
)

// cursor iterates over a set of addresses in rounds, each in another random
// order.
type cursor struct {
	remaining []string
}

// Targets returns the addresses to exchange heartbeats with in this interval. It
// returns all peers if Fanout allows, and otherwise iterates over them in
// rounds, with a larger share of Fanout for the node's own zone. Rnd is a random
// number that determines the order within a round.
func (tbl *Table) Targets(now time.Time, rnd uint64) []string {
	tbl.Expire(now)
	near, far := tbl.peerAddrs()
	if len(near)+len(far) <= tbl.cfg.Fanout {
		return append(near, far...)
	}
	nearQuota, farQuota := tbl.quota(len(near), len(far))
	out := tbl.sameZone.next(near, nearQuota, rnd)
	return append(out, tbl.otherZones.next(far, farQuota, rnd)...)
}

// quota splits Fanout between near peers, in the node's own zone, and far peers,
// in other zones. Each kind that has peers receives at least one exchange.
func (tbl *Table) quota(near, far int) (int, int) {
	nearQuota := min(near, max(1, int(float64(tbl.cfg.Fanout)*sameZoneShare)))
	farQuota := min(far, max(1, tbl.cfg.Fanout-nearQuota))
	return min(near, max(nearQuota, tbl.cfg.Fanout-farQuota)), farQuota
}

// minTimeouts holds the lower limits of the suspect and dead timeouts, for peers
// of the node's own zone and of other zones. They are zero if Fanout does not
// limit how often a peer is contacted.
type minTimeouts struct {
	sameZone, otherZones time.Duration
}

// minTimeouts returns the lower limits for the current number of peers.
func (tbl *Table) minTimeouts() minTimeouts {
	near, far := tbl.countPeers()
	if near+far <= tbl.cfg.Fanout {
		return minTimeouts{}
	}
	nearQuota, farQuota := tbl.quota(near, far)
	return minTimeouts{sameZone: tbl.missedExchangeTime(near, nearQuota), otherZones: tbl.missedExchangeTime(far, farQuota)}
}

// missedExchangeTime returns the time of maxMissedExchanges rounds over num
// peers, of which perInterval are contacted in each interval.
func (tbl *Table) missedExchangeTime(num, perInterval int) time.Duration {
	return maxMissedExchanges * time.Duration((num+perInterval-1)/max(1, perInterval)) * tbl.cfg.ExchangeInterval
}

// forPeer returns the lower limit for the peer.
func (timeouts minTimeouts) forPeer(tbl *Table, peer *peerState) time.Duration {
	if peer.heartbeat.Zone == tbl.self.Zone {
		return timeouts.sameZone
	}
	return timeouts.otherZones
}

func (tbl *Table) countPeers() (near, far int) {
	for _, peer := range tbl.peers {
		if peer.heartbeat.Zone == tbl.self.Zone {
			near++
		} else {
			far++
		}
	}
	return near, far
}

func (tbl *Table) peerAddrs() (near, far []string) {
	seen := core.NewSet(tbl.self.Addr)
	add := func(addr string, zone core.Zone) {
		if seen.Has(addr) {
			return
		}
		seen.Add(addr)
		if zone == tbl.self.Zone {
			near = append(near, addr)
			return
		}
		far = append(far, addr)
	}
	for _, peer := range tbl.peers {
		add(peer.heartbeat.Addr, peer.heartbeat.Zone)
	}
	for _, seed := range tbl.seeds {
		add(seed.addr, seed.zone)
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

// next returns the next num addresses of the round and starts another round at
// its end. It skips addresses that are no longer in addrs. New addresses are
// included from the next round on.
func (cur *cursor) next(addrs []string, num int, rnd uint64) []string {
	var out []string
	for len(out) < num {
		if len(cur.remaining) == 0 {
			cur.remaining = slices.Clone(addrs)
			shuffle(cur.remaining, rnd)
		}
		next := cur.remaining[0]
		cur.remaining = cur.remaining[1:]
		if slices.Contains(addrs, next) && !slices.Contains(out, next) {
			out = append(out, next)
		}
	}
	return out
}

// shuffle permutes addrs with a linear congruential generator seeded by rnd.
func shuffle(addrs []string, rnd uint64) {
	for idx := len(addrs) - 1; idx > 0; idx-- {
		rnd = rnd*6364136223846793005 + 1442695040888963407
		swapIdx := int((rnd >> 33) % uint64(idx+1))
		addrs[idx], addrs[swapIdx] = addrs[swapIdx], addrs[idx]
	}
}
