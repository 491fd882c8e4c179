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
	Suspect  time.Duration
	Dead     time.Duration
	Interval time.Duration
	Fanout   int
}

const (
	defaultInterval = time.Second
	defaultFanout   = 6

	// zoneShare of Fanout goes to peers of the own zone.
	zoneShare = 2.0 / 3

	// missedCycles is the number of exchanges that a live peer may miss.
	missedCycles = 3
)

// Table is the set of peers known to one node. It is not safe for concurrent
// use.
type Table struct {
	cfg   Config
	self  core.Heartbeat
	peers map[core.NodeName]*peer
	seeds []seed
	near  cursor
	far   cursor
	told  told
}

type peer struct {
	beat  core.Heartbeat
	heard time.Time
	past  core.Set[core.Incarnation]
}

type seed struct {
	addr string
	zone core.Zone
}

// New returns a Table that knows only the node itself. Self must have Node,
// Zone, Addr and Run. New panics if a duration is not positive or Dead is
// shorter than Suspect.
func New(self core.Heartbeat, cfg Config) *Table {
	if cfg.Suspect <= 0 || cfg.Dead < cfg.Suspect {
		panic("membr: durations out of order")
	}
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = defaultFanout
	}
	return &Table{
		cfg:   cfg,
		self:  self,
		peers: make(map[core.NodeName]*peer),
		told:  newTold(),
	}
}

// Update replaces what the node tells of itself, numbers it and returns it.
// Node, Zone, Addr and Run stay as they were given to New.
func (tab *Table) Update(bea core.Heartbeat) core.Heartbeat {
	bea.Node, bea.Zone, bea.Addr, bea.Incarnation = tab.self.Node, tab.self.Zone, tab.self.Addr, tab.self.Incarnation
	bea.Seq = tab.self.Seq + 1
	tab.self = bea
	return bea
}

// Self returns the node's last beat.
func (tab *Table) Self() core.Heartbeat { return tab.self }

// Seed replaces the entry VMs that the platform's list names. They are asked
// even before they were heard.
func (tab *Table) Seed(vms []core.VM) {
	tab.seeds = tab.seeds[:0]
	for _, vmx := range vms {
		if vmx.Kind == core.VMEntry && vmx.Addr != "" && !vmx.Leaving {
			tab.seeds = append(tab.seeds, seed{addr: vmx.Addr, zone: vmx.Zone})
		}
	}
}

// Heard takes a peer's beat and reports whether it was news. A beat of the
// node itself, of a former run of a peer, or with a Seq not above the last one
// of its run is no news.
func (tab *Table) Heard(bea core.Heartbeat, now time.Time) bool {
	if bea.Node == tab.self.Node || bea.Node == "" {
		return false
	}
	old, ok := tab.peers[bea.Node]
	if !ok {
		tab.peers[bea.Node] = &peer{beat: bea, heard: now, past: core.NewSet[core.Incarnation]()}
		return true
	}
	if old.past.Has(bea.Incarnation) {
		return false
	}
	if bea.Incarnation == old.beat.Incarnation && bea.Seq <= old.beat.Seq {
		return false
	}
	if bea.Incarnation != old.beat.Incarnation {
		old.past.Add(old.beat.Incarnation)
	}
	old.beat = bea
	old.heard = now
	return true
}

// Expire forgets peers that were not heard for Dead.
func (tab *Table) Expire(now time.Time) {
	pat := tab.patience()
	for nam, per := range tab.peers {
		if now.Sub(per.heard) >= max(tab.cfg.Dead, pat.of(tab, per)) {
			delete(tab.peers, nam)
			delete(tab.told.judged, nam)
		}
	}
}

// Live returns the last beats of the node itself and of the peers that were
// heard within Suspect and are not stopping, by name. Where Fanout limits how
// often a peer is asked, Suspect grows to a few of these periods.
func (tab *Table) Live(now time.Time) []core.Heartbeat {
	out := []core.Heartbeat{tab.self}
	pat := tab.patience()
	for _, per := range tab.peers {
		if !per.beat.Stopping && now.Sub(per.heard) < max(tab.cfg.Suspect, pat.of(tab, per)) {
			out = append(out, per.beat)
		}
	}
	slices.SortFunc(out, func(abe, bbe core.Heartbeat) int { return cmp.Compare(abe.Node, bbe.Node) })
	return out
}

// Zone returns the beats of Live that are of zone.
func (tab *Table) Zone(zone core.Zone, now time.Time) []core.Heartbeat {
	return slices.DeleteFunc(tab.Live(now), func(bea core.Heartbeat) bool { return bea.Zone != zone })
}
