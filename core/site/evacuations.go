package site

import (
	"slices"
	"time"
)

// Evacuations tells which zones operators have taken out of service. It is immutable.
// The zero value means that all zones are in service.
type Evacuations struct {
	since, returnedAt map[string]time.Time
}

// NewEvacuations returns the evacuations that began at the times in since, and the last
// returns to service, by zone. The maps must not be modified afterwards.
func NewEvacuations(since, returnedAt map[string]time.Time) Evacuations {
	return Evacuations{since: since, returnedAt: returnedAt}
}

// Evacuated reports whether a zone is evacuated.
func (evs Evacuations) Evacuated(zone string) bool {
	_, ok := evs.since[zone]
	return ok
}

// Zones returns the evacuated zones and since when they are, by this node's clock. The
// map must not be modified.
func (evs Evacuations) Zones() map[string]time.Time { return evs.since }

// covers reports whether a member of a group is in an evacuated zone.
func (evs Evacuations) covers(grp *Group) bool {
	return len(evs.since) > 0 && slices.ContainsFunc(grp.Members, func(member *Server) bool {
		return member != nil && evs.Evacuated(member.Zone)
	})
}

// NewViewWithout returns a view like NewView in which the servers of evacuated zones,
// and the groups with a member in one, receive no requests.
func NewViewWithout(evs Evacuations, servers map[string]*Server, tbl *Table) *View {
	view := newView(servers, tbl)
	view.evacuations = evs
	view.index()
	return view
}

// Evacuations returns the evacuations that the view takes into account.
func (view *View) Evacuations() Evacuations { return view.evacuations }

// Evacuated reports whether a zone is evacuated. Its servers receive neither requests
// nor probes or orders.
func (view *View) Evacuated(zone string) bool { return view.evacuations.Evacuated(zone) }

// ReturnedAt returns when this node read that the last evacuation of a zone ended, zero
// if it has read no such end.
func (view *View) ReturnedAt(zone string) time.Time { return view.evacuations.returnedAt[zone] }

// GroupEvacuated reports whether a member of a group is in an evacuated zone.
func (view *View) GroupEvacuated(grp *Group) bool { return view.evacuations.covers(grp) }

// EvacuatedHeads returns the number of heads that would serve a model of a service if
// their zones were not evacuated.
func (view *View) EvacuatedHeads(service, model string) int {
	return view.evacuatedHeads[modelKey{service: service, model: model}]
}

// EvacuatedPlainServers returns the number of servers of a plain service that are left
// out because their zones are evacuated.
func (view *View) EvacuatedPlainServers(service string) int {
	return view.evacuatedPlain[service]
}
