package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLimit is the lowest limit that is applied, in requests a second: without
	// any request this node never learns that the limit has ended.
	minLimit = 0.1
	// limitRetention is the time after which a limit ends that no response has
	// named again, and for which the end of a limit is reported.
	limitRetention = 30 * time.Second
	// minDemandRatio is the smallest weight of a node in the division of a limit,
	// relative to the mean demand: demand moves between nodes faster than it is
	// reported.
	minDemandRatio = 0.1
	// limitTolerance is the difference up to which two reports of a limit are
	// taken for the same response.
	limitTolerance = 50 * time.Millisecond
	// maxReportedLimits is the number of limits in a report to peers.
	maxReportedLimits = 64
)

// NoLimit stands for a server that names no limit.
const NoLimit = -1.0

// LimitReport is the limit in the last response of a server to a node. PerSecond
// is NoLimit if the response named none any more.
type LimitReport struct {
	StartMillis int64         `cbor:"1,keyasint"`
	PerSecond   float64       `cbor:"2,keyasint"`
	Age         time.Duration `cbor:"3,keyasint"`
}

// serverLimit is the limit of one run of a server.
type serverLimit struct {
	startMillis int64
	perSecond   float64
	// namedAt is when a response last named the limit, or none any more, at any
	// node. ownAt is that time at this node, zero if it was only reported.
	namedAt, ownAt time.Time
	// tokens is the number of requests that this node may send now. It is at most
	// 1, and negative after concurrent requests.
	tokens     float64
	refilledAt time.Time
}

func (lim *serverLimit) ended() bool { return lim.perSecond < 0 }

// NodeDemand is a node that shares the limits, with the number of requests that
// arrive there in a second.
type NodeDemand struct {
	Node      string
	PerSecond float64
}

// serverLimits divides the limits that servers name for all nodes together. Of
// each limit a few nodes get parts, in proportion to their demand: as many as
// can send about one request a second, so that requests that nodes hold back for
// later never add up to much.
type serverLimits struct {
	node   string
	nodes  []NodeDemand
	byID   map[string]*serverLimit
	shares map[string]float64
}

func newServerLimits() serverLimits {
	return serverLimits{nodes: []NodeDemand{{PerSecond: 1}}, byID: map[string]*serverLimit{}, shares: map[string]float64{}}
}

// setNodes sets the nodes that send requests, including the node itself.
func (lims *serverLimits) setNodes(self string, nodes []NodeDemand, now time.Time) {
	for id, lim := range lims.byID {
		lims.refill(id, lim, now)
	}
	lims.node, lims.nodes = self, nodes
	clear(lims.shares)
	for id, lim := range lims.byID {
		if now.Sub(lim.namedAt) > limitRetention {
			delete(lims.byID, id)
		}
	}
}

// record records a response of a server to this node. It reports whether that
// changed the limit.
func (lims *serverLimits) record(id string, startMillis int64, perSecond float64, now time.Time) bool {
	if perSecond < 0 && lims.byID[id] == nil {
		return false
	}
	changed := lims.set(id, startMillis, perSecond, now)
	lims.byID[id].ownAt = now
	return changed
}

// set sets the limit that a server named at a time, and reports whether it
// differs from the one before.
func (lims *serverLimits) set(id string, startMillis int64, perSecond float64, at time.Time) bool {
	lim := lims.byID[id]
	if lim == nil || lim.startMillis != startMillis || lim.ended() && perSecond >= 0 {
		// The nodes begin at different points of their interval.
		tokens := float64(xxhash.Sum64String(id+"/"+lims.node)%1000) / 1000
		lims.byID[id] = &serverLimit{startMillis: startMillis, perSecond: perSecond, namedAt: at, tokens: tokens, refilledAt: at}
		delete(lims.shares, id)
		return true
	}
	changed := lim.perSecond != perSecond
	if changed {
		lims.refill(id, lim, at)
		delete(lims.shares, id)
	}
	lim.perSecond, lim.namedAt = perSecond, at
	return changed
}

// update takes over the reports of a peer that are newer than those of this
// node.
func (lims *serverLimits) update(reports map[string]LimitReport, now time.Time) {
	if len(reports) > maxReportedLimits {
		return
	}
	for id, rep := range reports {
		at := now.Add(-max(0, rep.Age))
		lim := lims.byID[id]
		known := lim != nil && (lim.startMillis > rep.StartMillis || lim.startMillis == rep.StartMillis && at.Sub(lim.namedAt) <= limitTolerance)
		if known || math.IsNaN(rep.PerSecond) || math.IsInf(rep.PerSecond, 0) || rep.Age > limitRetention || lim == nil && rep.PerSecond < 0 {
			continue
		}
		lims.set(id, rep.StartMillis, rep.PerSecond, at)
	}
}

// report returns the limits in responses of servers to this node, the latest ones if there are too many.
func (lims *serverLimits) report(now time.Time) map[string]LimitReport {
	var ids []string
	for id, lim := range lims.byID {
		if !lim.ownAt.IsZero() && now.Sub(lim.ownAt) <= limitRetention {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(one, two string) int {
		return cmp.Or(lims.byID[two].ownAt.Compare(lims.byID[one].ownAt), cmp.Compare(one, two))
	})
	out := make(map[string]LimitReport, len(ids))
	for _, id := range ids[:min(len(ids), maxReportedLimits)] {
		lim := lims.byID[id]
		out[id] = LimitReport{StartMillis: lim.startMillis, PerSecond: lim.perSecond, Age: now.Sub(lim.ownAt)}
	}
	return out
}

// of returns the limit of a run of a server, nil if it has none.
func (lims *serverLimits) of(id string, startMillis int64, now time.Time) *serverLimit {
	lim := lims.byID[id]
	if lim == nil || lim.ended() || lim.startMillis != startMillis || now.Sub(lim.namedAt) > limitRetention {
		return nil
	}
	return lim
}

// allows reports whether this node may send a request to the server now.
func (lims *serverLimits) allows(id string, startMillis int64, now time.Time) bool {
	lim := lims.of(id, startMillis, now)
	if lim == nil {
		return true
	}
	lims.refill(id, lim, now)
	return lim.tokens >= 1
}

// take counts a request that this node sends to the server.
func (lims *serverLimits) take(id string, now time.Time) {
	if lim := lims.byID[id]; lim != nil && !lim.ended() {
		lims.refill(id, lim, now)
		lim.tokens--
	}
}

// refill adds this node's part of the limit since the last refill.
func (lims *serverLimits) refill(id string, lim *serverLimit, now time.Time) {
	share, ok := lims.shares[id]
	if !ok {
		share = lims.share(id, max(lim.perSecond, minLimit))
		lims.shares[id] = share
	}
	if elapsed := now.Sub(lim.refilledAt); elapsed > 0 {
		lim.tokens = min(1, lim.tokens+share*max(lim.perSecond, minLimit)*elapsed.Seconds())
		lim.refilledAt = now
	}
}

// share returns the fraction of a server's limit that this node may use. The
// nodes that use it are the first in an order by the hash of server and node,
// about one for each request a second.
func (lims *serverLimits) share(id string, perSecond float64) float64 {
	type ranked struct {
		NodeDemand
		rank uint64
	}
	nodes := make([]ranked, 0, len(lims.nodes))
	for _, node := range lims.nodes {
		nodes = append(nodes, ranked{NodeDemand: node, rank: xxhash.Sum64String(id + "/" + node.Node)})
	}
	slices.SortFunc(nodes, func(one, two ranked) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.Node, two.Node))
	})
	nodes = nodes[:min(len(nodes), max(1, int(math.Ceil(perSecond))))]
	sum := 0.0
	for _, node := range nodes {
		sum += node.PerSecond
	}
	floor := max(minDemandRatio*sum/float64(len(nodes)), math.SmallestNonzeroFloat32)
	total, own := 0.0, 0.0
	for _, node := range nodes {
		weight := max(node.PerSecond, floor)
		total += weight
		if node.Node == lims.node {
			own = weight
		}
	}
	return own / total
}

// RecordLimit records that a response of a run of a server named a limit, in
// requests a second from all nodes, or none if perSecond is negative. It reports
// whether the limit changed.
func (bal *Balancer) RecordLimit(id string, startMillis int64, perSecond float64, now time.Time) bool {
	return bal.limits.record(id, startMillis, perSecond, now)
}

// UpdateLimits takes over newer limits that a peer reported.
func (bal *Balancer) UpdateLimits(reports map[string]LimitReport, now time.Time) {
	bal.limits.update(reports, now)
}

// Limits returns the limits that servers named to this node.
func (bal *Balancer) Limits(now time.Time) map[string]LimitReport { return bal.limits.report(now) }

// SetNodes sets the nodes that share the limits of servers, including this node,
// self.
func (bal *Balancer) SetNodes(self string, nodes []NodeDemand, now time.Time) {
	bal.limits.setNodes(self, nodes, now)
}
