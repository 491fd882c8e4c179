package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
)

const (
	// unregisteredProbeInterval is the pause between two questions to a server that has no
	// entry any more.
	unregisteredProbeInterval = 400 * time.Millisecond
	// maxUnregisteredFailures is the number of questions without an answer after which such
	// a server is gone.
	maxUnregisteredFailures = 2
	// unregisteredMaxAge is the longest time for which a server without an entry is
	// kept in its group.
	unregisteredMaxAge = 30 * time.Second
)

// unregisteredMember is a member of a group whose entry lapsed although it may live: it is
// cut off from the store, or leaves without a word.
type unregisteredMember struct {
	server      *site.Server
	expiredAt   time.Time
	lastProbeAt time.Time
	failures    int
}

// unregisteredMembers keeps the members of groups that have no entry but answer. The orderer
// owns it.
type unregisteredMembers struct {
	lastView *site.View
	byID     map[string]*unregisteredMember
	// seenExpired are the lapsed servers that were looked at.
	seenExpired map[string]*site.Server
}

// viewWithUnregistered returns the view with the members that have no entry.
func (ord *orderer) viewWithUnregistered(ctx context.Context, now time.Time) *site.View {
	view := ord.state.view.Load()
	if view != ord.unregistered.lastView {
		ord.trackExpired(view, now)
		ord.unregistered.lastView = view
	}
	for id, member := range ord.unregistered.byID {
		if view.Server(id) != nil || now.Sub(member.expiredAt) > unregisteredMaxAge {
			delete(ord.unregistered.byID, id)
		} else if now.Sub(member.lastProbeAt) >= unregisteredProbeInterval {
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
	return site.NewView(all, ord.state.table.Load())
}

// trackExpired notes the members whose entries went since the last look.
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

// probeUnregistered asks a server without an entry for its state.
func (ord *orderer) probeUnregistered(ctx context.Context, member *unregisteredMember) {
	report, err := ord.probe(ctx, member.server, 1)
	ord.callbacks <- func() { ord.recordUnregisteredProbe(member, report, err) }
}

// recordUnregisteredProbe notes the answer of a server without an entry.
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
	member.failures++
	if member.failures < maxUnregisteredFailures {
		return
	}
	delete(ord.unregistered.byID, id)
	ord.log.WithFields(logrus.Fields{"event": "server_lost", "server": id, "group": member.server.Group.Name, "epoch": member.server.Group.Epoch, "error": err}).Warn("server without an entry doesn't answer")
}

// isUnregistered reports whether a server has no entry.
func (ord *orderer) isUnregistered(id string) bool { return ord.unregistered.byID[id] != nil }
