package membr

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core"
)

// Config holds the durations and bounds of a Table. A peer that was not heard
// for Suspect is not live; one not heard for Dead is forgotten. Interval is
// the time between two calls of Targets, Fanout the greatest number of peers
// that one call returns.
type Config struct {
	SuspectTimeout   time.Duration
	DeadTimeout      time.Duration
	ExchangeInterval time.Duration
	Fanout           int
}

const (
	defaultInterval = time.Second
	defaultFanout   = 6

	// sameZoneShare of Fanout goes to peers of the own zone.
	sameZoneShare = 2.0 / 3

	// maxMissedExchanges is the number of exchanges that a live peer may miss.
	maxMissedExchanges = 3
)

// Table is the set of peers known to one node. It is not safe for concurrent
// use.
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

// New returns a Table that knows only the node itself. Self must have Node,
// Zone, Addr and Run. New panics if a duration is not positive or Dead is
// shorter than Suspect.
func New(self core.Heartbeat, cfg Config) *Table {
	if cfg.SuspectTimeout <= 0 || cfg.DeadTimeout < cfg.SuspectTimeout {
		panic("membr: durations out of order")
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

// UpdateSelf replaces what the node tells of itself, numbers it and returns it.
// Node, Zone, Addr and Run stay as they were given to New.
func (tbl *Table) UpdateSelf(hb core.Heartbeat) core.Heartbeat {
	hb.Node, hb.Zone, hb.Addr, hb.Incarnation = tbl.self.Node, tbl.self.Zone, tbl.self.Addr, tbl.self.Incarnation
	hb.Seq = tbl.self.Seq + 1
	tbl.self = hb
	return hb
}

// Self returns the node's last beat.
func (tbl *Table) Self() core.Heartbeat { return tbl.self }

// SetSeeds replaces the entry VMs that the platform's list names. They are asked
// even before they were heard.
func (tbl *Table) SetSeeds(vms []core.VM) {
	tbl.seeds = tbl.seeds[:0]
	for _, vm := range vms {
		if vm.Kind == core.VMEntry && vm.Addr != "" && !vm.Leaving {
			tbl.seeds = append(tbl.seeds, seedNode{addr: vm.Addr, zone: vm.Zone})
		}
	}
}

// RecordHeartbeat takes a peer's beat and reports whether it was news. A beat of the
// node itself, of a former run of a peer, or with a Seq not above the last one
// of its run is no news.
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

// Expire forgets peers that were not heard for Dead.
func (tbl *Table) Expire(now time.Time) {
	timeouts := tbl.minTimeouts()
	for name, peer := range tbl.peers {
		if now.Sub(peer.lastHeardAt) >= max(tbl.cfg.DeadTimeout, timeouts.forPeer(tbl, peer)) {
			delete(tbl.peers, name)
			delete(tbl.stateHashes.lastByNode, name)
		}
	}
}

// Live returns the last beats of the node itself and of the peers that were
// heard within Suspect and are not stopping, by name. Where Fanout limits how
// often a peer is asked, Suspect grows to a few of these periods.
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

// LiveInZone returns the beats of Live that are of zone.
func (tbl *Table) LiveInZone(zone core.Zone, now time.Time) []core.Heartbeat {
	return slices.DeleteFunc(tbl.Live(now), func(hb core.Heartbeat) bool { return hb.Zone != zone })
}
