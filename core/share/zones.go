package share

import "time"

const (
	// zoneContactTimeout is the time without any contact after which a zone
	// counts as unreachable. Its nodes and servers send many messages within it.
	zoneContactTimeout = 300 * time.Millisecond
	// ownContactTimeout is the age of the last contact with another zone, or with
	// the node's own, up to which this node itself counts as connected.
	ownContactTimeout = 150 * time.Millisecond
	// minZoneNodes is the number of nodes of a zone that must have been heard
	// before their common silence counts. A zone with fewer nodes may lose all of
	// them while its servers go on.
	minZoneNodes = 3
	// maxZoneSilence is the time after which a silent zone counts as reachable
	// again: without requests its servers send nothing.
	maxZoneSilence = 8 * time.Second
	// minZoneOutage is the silence of a zone after which its servers may have started
	// again. Shorter ones also come from a node that was busy for a moment.
	minZoneOutage = 600 * time.Millisecond
)

// zoneContacts decides which availability zones can't be reached. One decision
// for a zone takes the traffic off all of its servers at once, instead of
// waiting for each of them.
type zoneContacts struct {
	// lastContact maps zones to the last message from one of their nodes or
	// servers.
	lastContact map[string]time.Time
	// nodes maps zones to the nodes that have been heard.
	nodes map[string]map[string]bool
	// reachableAt maps zones to the first message after their latest outage.
	reachableAt map[string]time.Time
}

func newZoneContacts() zoneContacts {
	return zoneContacts{lastContact: map[string]time.Time{}, nodes: map[string]map[string]bool{}, reachableAt: map[string]time.Time{}}
}

func (zones *zoneContacts) record(zone string, now time.Time) {
	if last, known := zones.lastContact[zone]; known && len(zones.nodes[zone]) >= minZoneNodes && now.Sub(last) > minZoneOutage {
		zones.reachableAt[zone] = now
	}
	zones.lastContact[zone] = now
}

func (zones *zoneContacts) recordNode(zone, node string, now time.Time) {
	zones.record(zone, now)
	if zones.nodes[zone] == nil {
		zones.nodes[zone] = map[string]bool{}
	}
	zones.nodes[zone][node] = true
}

// unreachable reports whether nothing has arrived from a zone for
// zoneContactTimeout while messages from another zone arrive. A zone of which
// fewer than minZoneNodes nodes have been heard counts as reachable.
func (zones *zoneContacts) unreachable(zone string, now time.Time) bool {
	last, known := zones.lastContact[zone]
	silence := now.Sub(last)
	if !known || len(zones.nodes[zone]) < minZoneNodes || silence <= zoneContactTimeout || silence > maxZoneSilence {
		return false
	}
	for other, at := range zones.lastContact {
		if other != zone && now.Sub(at) <= ownContactTimeout {
			return true
		}
	}
	return false
}

// RecordContact records a message from a server of a zone.
func (bal *Balancer) RecordContact(zone string, now time.Time) { bal.zones.record(zone, now) }

// RecordNodeContact records a message from a node of a zone.
func (bal *Balancer) RecordNodeContact(zone, node string, now time.Time) {
	bal.zones.recordNode(zone, node, now)
}

// ZoneUnreachable reports whether a zone can't be reached.
func (bal *Balancer) ZoneUnreachable(zone string, now time.Time) bool {
	return bal.zones.unreachable(zone, now)
}

// ZoneReachableAt returns when the first message arrived from a zone after it had been
// silent for longer than minZoneOutage, zero if it never was.
func (bal *Balancer) ZoneReachableAt(zone string) time.Time { return bal.zones.reachableAt[zone] }
