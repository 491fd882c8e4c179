package share

import "time"

const (
	// zoneContactTimeout is the time without any contact after which a zone
	// counts as unreachable. Its nodes and servers send many messages within it.
	zoneContactTimeout = 300 * time.Millisecond
	// ownContactTimeout is the age of the last contact with another zone, or with
	// the node's own, up to which this node itself counts as connected.
	ownContactTimeout = 150 * time.Millisecond
)

// zoneContacts decides which availability zones can't be reached. One decision
// for a zone takes the traffic off all of its servers at once, instead of
// waiting for each of them.
type zoneContacts struct {
	// lastContact maps zones to the last message from one of their nodes or
	// servers.
	lastContact map[string]time.Time
}

func (zones *zoneContacts) record(zone string, now time.Time) { zones.lastContact[zone] = now }

// unreachable reports whether nothing has arrived from a zone for
// zoneContactTimeout while messages from another zone arrive. A zone that has
// never been in contact counts as reachable.
func (zones *zoneContacts) unreachable(zone string, now time.Time) bool {
	last, known := zones.lastContact[zone]
	if !known || now.Sub(last) <= zoneContactTimeout {
		return false
	}
	for other, at := range zones.lastContact {
		if other != zone && now.Sub(at) <= ownContactTimeout {
			return true
		}
	}
	return false
}

// RecordContact records a message from a node or a server of a zone.
func (bal *Balancer) RecordContact(zone string, now time.Time) { bal.zones.record(zone, now) }

// ZoneUnreachable reports whether a zone can't be reached.
func (bal *Balancer) ZoneUnreachable(zone string, now time.Time) bool {
	return bal.zones.unreachable(zone, now)
}
