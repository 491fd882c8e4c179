package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
)

const (
	// unregisteredProbeInterval is the interval between two probes of a server
	// whose registration expired.
	unregisteredProbeInterval = 400 * time.Millisecond
	// maxUnregisteredFailures is the number of consecutive failed probes after
	// which such a server is treated as lost.
	maxUnregisteredFailures = 2
	// unregisteredMaxAge is the longest time for which a server without a
	// registration is kept in its group.
	unregisteredMaxAge = 30 * time.Second
)

// unregisteredMember is a group member whose registration expired although it
// may still be running: it cannot reach the store, or it stops without
// deregistering.
type unregisteredMember struct {
	server      *site.Server
	expiredAt   time.Time
	lastProbeAt time.Time
	failures    int
}

// unregisteredMembers holds the group members that are not registered but
// respond to probes. Only the orderer's task uses it.
type unregisteredMembers struct {
	lastView *site.View
	byID     map[string]*unregisteredMember
	// seenExpired maps IDs to the expired servers that have been processed.
	seenExpired map[string]*site.Server
}

// viewWithUnregistered returns the current view with the unregistered members
// added, and starts the probes of them that are due.
func (ord *orderer) viewWithUnregistered(ctx context.Context, now time.Time) *site.View {
	view := ord.state.view.Load()
	if view != ord.unregistered.lastView {
		ord.trackExpired(view, now)
		ord.unregistered.lastView = view
	}
	for id, member := range ord.unregistered.byID {
		if view.Server(id) != nil || now.Sub(member.expiredAt) > unregisteredMaxAge {
			delete(ord.unregistered.byID, id)
		} else if now.Sub(member.lastProbeAt) >= unregisteredProbeInterval && !ord.state.excluded(member.server) {
			member.lastProbeAt = now
			go ord.probeUnregistered(ctx, member)
		}
	}
	if len(ord.unregistered.byID) == 0 {
		return view
	}
	all := maps.Clone(view.Servers())
	for id, member := range ord.unregistered.byID {
		all[id] = member.server
	}
	return site.NewViewWithout(view.Evacuations(), all, ord.state.table.Load())
}

// trackExpired starts tracking the members whose registrations expired since
// the last view.
func (ord *orderer) trackExpired(view *site.View, now time.Time) {
	for id, srv := range view.RecentlyRemoved() {
		previous := ord.unregistered.seenExpired[id]
		ord.unregistered.seenExpired[id] = srv
		if previous == srv || ord.isLost(id) {
			continue
		}
		ord.unregistered.byID[id] = &unregisteredMember{server: srv, expiredAt: now}
	}
	for id := range ord.unregistered.seenExpired {
		if view.RecentlyRemoved()[id] == nil {
			delete(ord.unregistered.seenExpired, id)
		}
	}
}

// probeUnregistered probes an unregistered server.
func (ord *orderer) probeUnregistered(ctx context.Context, member *unregisteredMember) {
	report, err := ord.probe(ctx, member.server, 1)
	ord.callbacks <- func() { ord.recordUnregisteredProbe(member, report, err) }
}

// recordUnregisteredProbe records the result of a probe of an unregistered
// server.
func (ord *orderer) recordUnregisteredProbe(member *unregisteredMember, report site.Report, err error) {
	id := member.server.ID
	if ord.unregistered.byID[id] != member {
		return
	}
	if err == nil && report.Server.StartMillis == member.server.StartMillis {
		member.failures = 0
		member.server = report.Server
		return
	}
	if ord.state.excluded(member.server) {
		return
	}
	member.failures++
	if member.failures < maxUnregisteredFailures {
		return
	}
	delete(ord.unregistered.byID, id)
	ord.log.WithFields(logrus.Fields{"event": "server_lost", "server": id, "group": member.server.Group.Name, "epoch": member.server.Group.Epoch, "error": err}).Warn("unregistered server does not respond")
}

// isUnregistered reports whether the server is a group member without a
// registration.
func (ord *orderer) isUnregistered(id string) bool { return ord.unregistered.byID[id] != nil }
