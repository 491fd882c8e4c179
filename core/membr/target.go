package membr

import (
	"slices"
	"time"

	"kumquathinge/core"
)

// cursor goes round a set of addresses, in another order each time.
type cursor struct {
	rest []string
}

// Targets returns the addresses to exchange beats with in this interval. It
// returns every peer if Fanout allows, and otherwise goes round the peers, more
// often round those of the own zone. Rnd is a random number; it decides the
// order of the rounds.
func (tab *Table) Targets(now time.Time, rnd uint64) []string {
	tab.Expire(now)
	near, far := tab.addrs()
	if len(near)+len(far) <= tab.cfg.Fanout {
		return append(near, far...)
	}
	quo, rem := tab.quota(len(near), len(far))
	out := tab.near.take(near, quo, rnd)
	return append(out, tab.far.take(far, rem, rnd)...)
}

// quota splits Fanout between near and far peers. It gives each kind that has
// peers at least one exchange.
func (tab *Table) quota(near, far int) (int, int) {
	quo := min(near, max(1, int(float64(tab.cfg.Fanout)*zoneShare)))
	rem := min(far, max(1, tab.cfg.Fanout-quo))
	return min(near, max(quo, tab.cfg.Fanout-rem)), rem
}

// patience is the time within which a live peer is heard a few times over,
// for peers of the own zone and for others. Both are zero where Fanout does not
// limit how often a peer is asked.
type patience struct {
	near, far time.Duration
}

// patience returns the present patience.
func (tab *Table) patience() patience {
	near, far := tab.count()
	if near+far <= tab.cfg.Fanout {
		return patience{}
	}
	quo, rem := tab.quota(near, far)
	return patience{near: tab.rounds(near, quo), far: tab.rounds(far, rem)}
}

// rounds returns the time of a few rounds of num peers, part of which are
// asked in each interval.
func (tab *Table) rounds(num, part int) time.Duration {
	return missedCycles * time.Duration((num+part-1)/max(1, part)) * tab.cfg.Interval
}

// of returns the patience with a peer of a table.
func (pat patience) of(tab *Table, per *peer) time.Duration {
	if per.beat.Zone == tab.self.Zone {
		return pat.near
	}
	return pat.far
}

func (tab *Table) count() (near, far int) {
	for _, per := range tab.peers {
		if per.beat.Zone == tab.self.Zone {
			near++
		} else {
			far++
		}
	}
	return near, far
}

func (tab *Table) addrs() (near, far []string) {
	seen := core.NewSet(tab.self.Addr)
	add := func(addr string, zon core.Zone) {
		if seen.Has(addr) {
			return
		}
		seen.Add(addr)
		if zon == tab.self.Zone {
			near = append(near, addr)
			return
		}
		far = append(far, addr)
	}
	for _, per := range tab.peers {
		add(per.beat.Addr, per.beat.Zone)
	}
	for _, sed := range tab.seeds {
		add(sed.addr, sed.zone)
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

// take returns the next num addresses of the round and starts another when it
// is used up. Addresses that are gone are passed over, new ones join the next
// round.
func (cur *cursor) take(addrs []string, num int, rnd uint64) []string {
	var out []string
	for len(out) < num {
		if len(cur.rest) == 0 {
			cur.rest = slices.Clone(addrs)
			shuffle(cur.rest, rnd)
		}
		next := cur.rest[0]
		cur.rest = cur.rest[1:]
		if slices.Contains(addrs, next) && !slices.Contains(out, next) {
			out = append(out, next)
		}
	}
	return out
}

// shuffle permutes addrs by the linear congruential sequence that rnd starts.
func shuffle(addrs []string, rnd uint64) {
	for idx := len(addrs) - 1; idx > 0; idx-- {
		rnd = rnd*6364136223846793005 + 1442695040888963407
		oth := int((rnd >> 33) % uint64(idx+1))
		addrs[idx], addrs[oth] = addrs[oth], addrs[idx]
	}
}
