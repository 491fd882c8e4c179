package membr

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core"
)

// Config configures a Table. A peer is not live if it has sent no heartbeat for
// SuspectTimeout, and it is removed after DeadTimeout. ExchangeInterval is the
// time between two calls of Targets, Fanout the maximum number of peers that one
// call returns.
type Config struct {
	SuspectTimeout   time.Duration
	DeadTimeout      time.Duration
	ExchangeInterval time.Duration
	Fanout           int
}

const (
	defaultInterval = time.Second
	defaultFanout   = 6

	// sameZoneShare is the share of Fanout for peers of the node's own zone.
	sameZoneShare = 2.0 / 3

	// maxMissedExchanges is the number of consecutive exchanges that a live
	// peer may miss.
	maxMissedExchanges = 3
)

// Table is one node's set of peers. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	self        core.Heartbeat
	peers       map[core.NodeName]*peerState
	seeds       []seedNode
	sameZone    cursor
	otherZones  cursor
	stateHashes hashHistory
}

type peerState struct {
	heartbeat        core.Heartbeat
	lastHeardAt      time.Time
	pastIncarnations core.Set[core.Incarnation]
}

type seedNode struct {
	addr string
	zone core.Zone
}

// New returns a Table that contains only the node itself. Self must have Node,
// Zone, Addr and Incarnation. New panics if SuspectTimeout is not positive or
// DeadTimeout is shorter. ExchangeInterval and Fanout have defaults.
func New(self core.Heartbeat, cfg Config) *Table {
	if cfg.SuspectTimeout <= 0 || cfg.DeadTimeout < cfg.SuspectTimeout {
		panic("membr: SuspectTimeout is not positive or DeadTimeout is shorter")
	}
	if cfg.ExchangeInterval <= 0 {
		cfg.ExchangeInterval = defaultInterval
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = defaultFanout
	}
	return &Table{
		cfg:         cfg,
		self:        self,
		peers:       make(map[core.NodeName]*peerState),
		stateHashes: newHashHistory(),
	}
}

// UpdateSelf replaces the node's own heartbeat, increments its Seq and returns
// it. Node, Zone, Addr and Incarnation stay as passed to New.
func (tbl *Table) UpdateSelf(hb core.Heartbeat) core.Heartbeat {
	hb.Node, hb.Zone, hb.Addr, hb.Incarnation = tbl.self.Node, tbl.self.Zone, tbl.self.Addr, tbl.self.Incarnation
	hb.Seq = tbl.self.Seq + 1
	tbl.self = hb
	return hb
}

// Self returns the node's own last heartbeat.
func (tbl *Table) Self() core.Heartbeat { return tbl.self }

// SetSeeds replaces the seeds with the entry VMs of the platform's list that
// are not leaving. Targets includes them even before their first heartbeat.
func (tbl *Table) SetSeeds(vms []core.VM) {
	tbl.seeds = tbl.seeds[:0]
	for _, vm := range vms {
		if vm.Kind == core.VMEntry && vm.Addr != "" && !vm.Leaving {
			tbl.seeds = append(tbl.seeds, seedNode{addr: vm.Addr, zone: vm.Zone})
		}
	}
}

// RecordHeartbeat records a peer's heartbeat and reports whether it was new. It
// ignores heartbeats of the node itself, of a previous incarnation of a peer,
// and those whose Seq is not higher than the last one of the incarnation.
func (tbl *Table) RecordHeartbeat(hb core.Heartbeat, now time.Time) bool {
	if hb.Node == tbl.self.Node || hb.Node == "" {
		return false
	}
	old, ok := tbl.peers[hb.Node]
	if !ok {
		tbl.peers[hb.Node] = &peerState{heartbeat: hb, lastHeardAt: now, pastIncarnations: core.NewSet[core.Incarnation]()}
		return true
	}
	if old.pastIncarnations.Has(hb.Incarnation) {
		return false
	}
	if hb.Incarnation == old.heartbeat.Incarnation && hb.Seq <= old.heartbeat.Seq {
		return false
	}
	if hb.Incarnation != old.heartbeat.Incarnation {
		old.pastIncarnations.Add(old.heartbeat.Incarnation)
	}
	old.heartbeat = hb
	old.lastHeardAt = now
	return true
}

// Expire removes peers that have sent no heartbeat for DeadTimeout. The timeout
// is extended as in Live.
func (tbl *Table) Expire(now time.Time) {
	timeouts := tbl.minTimeouts()
	for name, peer := range tbl.peers {
		if now.Sub(peer.lastHeardAt) >= max(tbl.cfg.DeadTimeout, timeouts.forPeer(tbl, peer)) {
			delete(tbl.peers, name)
			delete(tbl.stateHashes.lastByNode, name)
		}
	}
}

// Live returns the last heartbeats of the node itself and of the live peers,
// sorted by name. A peer is live if its last heartbeat arrived within
// SuspectTimeout and it is not stopping. If Fanout limits how often peers are
// contacted, the timeout is at least the time of a few rounds of exchanges.
func (tbl *Table) Live(now time.Time) []core.Heartbeat {
	out := []core.Heartbeat{tbl.self}
	timeouts := tbl.minTimeouts()
	for _, peer := range tbl.peers {
		if !peer.heartbeat.Stopping && now.Sub(peer.lastHeardAt) < max(tbl.cfg.SuspectTimeout, timeouts.forPeer(tbl, peer)) {
			out = append(out, peer.heartbeat)
		}
	}
	slices.SortFunc(out, func(lhs, rhs core.Heartbeat) int { return cmp.Compare(lhs.Node, rhs.Node) })
	return out
}

// LiveInZone returns the heartbeats of Live that are of the zone.
func (tbl *Table) LiveInZone(zone core.Zone, now time.Time) []core.Heartbeat {
	return slices.DeleteFunc(tbl.Live(now), func(hb core.Heartbeat) bool { return hb.Zone != zone })
}
