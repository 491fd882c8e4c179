package site

import (
	"cmp"
	"slices"
)

// Group is one epoch of a group, assembled from the states that its members
// report.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	Domain  string
	// Size is the number of members that the model requires, zero until a member
	// has reported the model.
	Size int
	// Members lists the members by rank, nil where a member is missing.
	Members []*Server
}

// Head returns the member that receives the group's requests, or nil.
func (grp *Group) Head() *Server { return grp.Members[0] }

// Complete reports whether all members are present.
func (grp *Group) Complete() bool {
	return grp.Size > 0 && len(grp.Members) == grp.Size && !slices.Contains(grp.Members, nil)
}

// Serving reports whether requests may be sent to the head: it is open and not
// draining. A member without an entry doesn't count, since it may still be
// running; if it isn't, the head stops responding or the orderer ends the
// group.
func (grp *Group) Serving() bool {
	head := grp.Head()
	return head != nil && head.Group.State == GroupOpen && !head.Draining
}

// View is an immutable snapshot of all backend servers.
type View struct {
	servers         map[string]*Server
	groups          []*Group
	plainServers    map[string][]*Server
	servingHeads    map[modelKey][]*Server
	recentlyRemoved map[string]*Server
	evacuations     Evacuations
	// evacuatedHeads and evacuatedPlain count the servers that only an evacuation keeps
	// from receiving requests.
	evacuatedHeads map[modelKey]int
	evacuatedPlain map[string]int
}

type modelKey struct {
	service, model string
}

type groupKey struct {
	name  string
	epoch int64
}

// NewView returns a view of the servers, keyed by ID. The group sizes come from
// tbl, which may be nil.
func NewView(servers map[string]*Server, tbl *Table) *View {
	return NewViewWithout(Evacuations{}, servers, tbl)
}

// newView returns a view with the groups of the servers.
func newView(servers map[string]*Server, tbl *Table) *View {
	view := &View{servers: servers, plainServers: map[string][]*Server{}, servingHeads: map[modelKey][]*Server{}, evacuatedHeads: map[modelKey]int{}, evacuatedPlain: map[string]int{}}
	byKey := map[groupKey]*Group{}
	for _, srv := range servers {
		if srv.Group.State != GroupNone {
			view.addMember(byKey, srv, tbl)
		}
	}
	slices.SortFunc(view.groups, func(one, two *Group) int {
		return cmp.Or(cmp.Compare(one.Name, two.Name), cmp.Compare(one.Epoch, two.Epoch))
	})
	return view
}

// index collects the servers that receive requests.
func (view *View) index() {
	for _, srv := range view.servers {
		switch {
		case srv.Domain != "" || srv.Draining:
		case view.Evacuated(srv.Zone):
			view.evacuatedPlain[srv.Service]++
		default:
			view.plainServers[srv.Service] = append(view.plainServers[srv.Service], srv)
		}
	}
	for _, srvs := range view.plainServers {
		slices.SortFunc(srvs, func(one, two *Server) int { return cmp.Compare(one.ID, two.ID) })
	}
	for _, grp := range view.groups {
		key := modelKey{service: grp.Service, model: grp.Model}
		switch {
		case !grp.Serving():
		case view.GroupEvacuated(grp):
			view.evacuatedHeads[key]++
		default:
			view.servingHeads[key] = append(view.servingHeads[key], grp.Head())
		}
	}
}

// WithRecentlyRemoved returns a copy of the view that includes servers whose
// entries were recently removed.
func (view *View) WithRecentlyRemoved(removed map[string]*Server) *View {
	out := *view
	out.recentlyRemoved = removed
	return &out
}

// RecentlyRemoved returns the servers whose entries were recently removed, in
// their last known state. The map must not be modified.
func (view *View) RecentlyRemoved() map[string]*Server { return view.recentlyRemoved }

// ServingHeads returns the heads of the groups that serve a model of a service, without
// groups of evacuated zones.
func (view *View) ServingHeads(service, model string) []*Server {
	return view.servingHeads[modelKey{service: service, model: model}]
}

// addMember adds a server to its group.
func (view *View) addMember(byKey map[groupKey]*Group, srv *Server, tbl *Table) {
	key := groupKey{name: srv.Group.Name, epoch: srv.Group.Epoch}
	grp := byKey[key]
	if grp == nil {
		grp = &Group{Name: key.name, Epoch: key.epoch, Service: srv.Service, Domain: srv.Domain}
		byKey[key] = grp
		view.groups = append(view.groups, grp)
	}
	if grp.Model == "" && srv.Model != "" {
		grp.Model = srv.Model
		if tbl != nil && tbl.Model(srv.Model) != nil {
			grp.Size = tbl.Model(srv.Model).GroupSize
		}
	}
	for len(grp.Members) <= srv.Group.Rank || len(grp.Members) < grp.Size {
		grp.Members = append(grp.Members, nil)
	}
	grp.Members[srv.Group.Rank] = srv
}

// Server returns the server with the ID, or nil.
func (view *View) Server(id string) *Server { return view.servers[id] }

// Servers returns all servers by ID. The map must not be modified.
func (view *View) Servers() map[string]*Server { return view.servers }

// Groups returns all groups, sorted by name and epoch.
func (view *View) Groups() []*Group { return view.groups }

// PlainServers returns the servers of a plain service that aren't draining or in an
// evacuated zone, sorted by ID.
func (view *View) PlainServers(service string) []*Server { return view.plainServers[service] }
