package cold

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core/site"
)

const (
	// spacingSlack lengthens the time between two requests of a node, so that requests
	// that take up to 20 ms longer to a server than the next one don't add up in a
	// second. A round trip takes 2 ms.
	spacingSlack = 1.02
	// freezeThreshold is the time between two calls of Beat, or of the other methods,
	// that shows that the node was frozen. Beat is called every 120 ms.
	freezeThreshold = 600 * time.Millisecond
	// gainDelay is the time after a change of the list of nodes in which a node does not
	// use what it gains by it. The nodes that lose the same read the change meanwhile.
	gainDelay = time.Second
	// minFraction is the smallest estimate of what a server can take.
	minFraction = 0.01
)

// Shares gives a node its part of the requests that cold servers tolerate. It implements
// site.SendLimiter and site.CapacityEstimator. It is not safe for concurrent use.
//
// The rate of a server is divided into units of one request a second. With n registered
// nodes each has rate/n units, and the remaining ones go to the first nodes by the rank
// of server and node. A node leaves equal times between its requests, so it sends no
// more than its units in any second.
type Shares struct {
	trk  *Tracker
	self string
	// lists holds the current list of nodes, and before it those that were replaced less
	// than gainDelay ago.
	lists []nodeList
	sends map[string]*sends
	// spacedFrom is the start of the node or its last resumption: what was sent before
	// is unknown.
	spacedFrom time.Time
	lastBeat   time.Time
	// groupTimes is the mean time that a request keeps a group busy.
	groupTimes map[groupKey]time.Duration
}

var (
	_ site.SendLimiter       = (*Shares)(nil)
	_ site.CapacityEstimator = (*Shares)(nil)
)

// groupKey names a model of a service.
type groupKey struct{ service, model string }

// nodeList is a list of nodes, with the rank of this node by server. It is in use until
// replacedAt, if that is not zero.
type nodeList struct {
	names      []string
	ranks      map[string]int
	replacedAt time.Time
}

// sends holds when this node last decided to send a request to a server, and when it last
// did.
type sends struct {
	decidedAt, sentAt time.Time
}

// NewShares returns the shares of the node self, which starts now. It has none before
// SetNodes.
func NewShares(trk *Tracker, self string, now time.Time) *Shares {
	return &Shares{trk: trk, self: self, sends: map[string]*sends{}, spacedFrom: now, lastBeat: now, groupTimes: map[groupKey]time.Duration{}}
}

// SetNodes sets the names of all registered nodes. The list must be complete: it is empty
// while that is not certain, and then the node has no share.
func (shr *Shares) SetNodes(names []string, now time.Time) {
	shr.lists = slices.DeleteFunc(shr.lists, func(list nodeList) bool {
		return !list.replacedAt.IsZero() && now.Sub(list.replacedAt) > gainDelay
	})
	if last := len(shr.lists) - 1; last >= 0 {
		if slices.Equal(shr.lists[last].names, names) {
			return
		}
		shr.lists[last].replacedAt = now
	}
	shr.lists = append(shr.lists, nodeList{names: slices.Clone(names), ranks: map[string]int{}})
	// Of lists that changed often, the oldest matter least: others have read on since.
	shr.lists = shr.lists[max(0, len(shr.lists)-maxLists):]
}

// maxLists is the number of lists that are kept.
const maxLists = 8

// SetGroupTime sets the mean time that a request for a model keeps a group busy.
func (shr *Shares) SetGroupTime(service, model string, mean time.Duration) {
	shr.groupTimes[groupKey{service: service, model: model}] = mean
}

// Beat records that the node runs. It reports whether the node was frozen before: then
// the spacing of its requests starts anew.
func (shr *Shares) Beat(now time.Time) bool {
	// The monotonic clock may stop while a VM is suspended, and the wall clock may be
	// set back.
	elapsed := max(now.Sub(shr.lastBeat), now.Round(0).Sub(shr.lastBeat.Round(0)))
	shr.lastBeat = now
	if elapsed <= freezeThreshold {
		return false
	}
	shr.spacedFrom = now
	shr.trk.Resume(now)
	return true
}

// units returns how many of the requests a second that all nodes may send are this
// node's: the least by all lists in use. A server that is not certainly cold counts by the
// current list: after a start of all nodes each would refuse everything for gainDelay.
func (shr *Shares) units(id string, state State, now time.Time) float64 {
	if len(shr.lists) == 0 {
		return 0
	}
	out := state.PerSecond
	for idx := range shr.lists {
		list := &shr.lists[idx]
		if list.replacedAt.IsZero() || state.Certain && now.Sub(list.replacedAt) <= gainDelay {
			out = min(out, list.units(shr.self, id, state.PerSecond))
		}
	}
	return out
}

// units returns the units of the node self at a server by this list.
func (list *nodeList) units(self, id string, rate float64) float64 {
	rank, ok := list.ranks[id]
	if !ok {
		rank = rankOf(self, id, list.names)
		list.ranks[id] = rank
	}
	num, whole := len(list.names), int(rate)
	switch {
	case rank < 0:
		return 0
	case whole == 0 && rank == 0:
		return rate
	case rank < whole%num:
		return float64(whole/num + 1)
	}
	return float64(whole / num)
}

// rankOf returns how many of the nodes precede a node in the order of the hash of server
// and node, and -1 if it is not one of them.
func rankOf(self, id string, names []string) int {
	own := xxhash.Sum64String(id + "/" + self)
	rank, listed := 0, false
	for _, name := range names {
		listed = listed || name == self
		if hash := xxhash.Sum64String(id + "/" + name); hash < own || hash == own && name < self {
			rank++
		}
	}
	if !listed {
		return -1
	}
	return rank
}

// Allows implements site.SendLimiter.
func (shr *Shares) Allows(srv *site.Server, now time.Time) bool {
	sent := shr.sends[srv.ID]
	if sent == nil {
		return shr.spaced(srv, time.Time{}, now)
	}
	return shr.spaced(srv, latest(sent.decidedAt, sent.sentAt), now)
}

// RecordSent implements site.SendLimiter. The request has been decided on; Confirm must
// allow it when it is sent.
func (shr *Shares) RecordSent(id string, now time.Time) {
	if shr.trk.procs[id] != nil {
		shr.sendsOf(id).decidedAt = now
	}
}

// Confirm reports whether a request may be sent to the server at this moment, and counts
// it if so. It is decided anew, because the connection may have taken long, the node may
// have been frozen, and the server may have become cold.
func (shr *Shares) Confirm(srv *site.Server, now time.Time) bool {
	var last time.Time
	if sent := shr.sends[srv.ID]; sent != nil {
		last = sent.sentAt
	}
	if !shr.spaced(srv, last, now) {
		return false
	}
	if shr.trk.procs[srv.ID] != nil {
		shr.sendsOf(srv.ID).sentAt = now
	}
	return true
}

// spaced reports whether a request may follow one at the time last.
func (shr *Shares) spaced(srv *site.Server, last, now time.Time) bool {
	if !shr.trk.limited(srv) {
		return true
	}
	shr.Beat(now)
	state := shr.trk.State(srv, now)
	if !state.Limited {
		return true
	}
	units := shr.units(srv.ID, state, now)
	if units <= 0 {
		return false
	}
	if state.Certain {
		last = latest(last, shr.spacedFrom)
	}
	return now.Sub(last) >= time.Duration(spacingSlack*float64(time.Second)/units)
}

func (shr *Shares) sendsOf(id string) *sends {
	sent := shr.sends[id]
	if sent == nil {
		sent = &sends{}
		shr.sends[id] = sent
	}
	return sent
}

// Prune forgets the servers that the tracker has forgotten.
func (shr *Shares) Prune() {
	for id := range shr.sends {
		if shr.trk.procs[id] == nil {
			delete(shr.sends, id)
		}
	}
}

// Fraction implements site.CapacityEstimator: the rate of a limited server, relative to
// that at which requests keep its group busy all the time. A server of which this node
// only knows too little counts in full, since nearly all of these are warm.
func (shr *Shares) Fraction(srv *site.Server, now time.Time) float64 {
	if !shr.trk.limited(srv) {
		return 1
	}
	busy := shr.groupTimes[groupKey{service: srv.Service, model: srv.Model}]
	state := shr.trk.State(srv, now)
	if !state.Limited || busy <= 0 || state.Reason == ReasonUnknown && !state.Certain {
		return 1
	}
	return min(1, max(minFraction, state.PerSecond*busy.Seconds()))
}
