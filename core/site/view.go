package site

import (
	"cmp"
	"slices"
)

// Group is what the members of one epoch of a group say together.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	Domain  string
	// Size is the number of members of the model's groups, zero while no
	// member has told the model.
	Size int
	// Members are the members by rank. Missing ones are nil.
	Members []*Server
}

// Head returns the member that takes the group's requests, or nil.
func (grp *Group) Head() *Server { return grp.Members[0] }

// Complete reports whether no member is missing.
func (grp *Group) Complete() bool {
	return grp.Size > 0 && len(grp.Members) == grp.Size && !slices.Contains(grp.Members, nil)
}

// Serving reports whether requests may go to the head: it is open and stays. A
// member whose entry is missing may live on; if it doesn't, the head falls
// silent or the orderer ends the group.
func (grp *Group) Serving() bool {
	head := grp.Head()
	return head != nil && head.Group.State == GroupOpen && !head.Draining
}

// View is the state of all backend servers at one moment. It is immutable.
type View struct {
	servers         map[string]*Server
	groups          []*Group
	plainServers    map[string][]*Server
	servingHeads    map[modelKey][]*Server
	recentlyRemoved map[string]*Server
}

type modelKey struct {
	service, model string
}

type groupKey struct {
	name  string
	epoch int64
}

// NewView returns a view of the servers by ID. Services and models are those
// of tab, which may be nil.
func NewView(servers map[string]*Server, tbl *Table) *View {
	view := &View{servers: servers, plainServers: map[string][]*Server{}}
	byKey := map[groupKey]*Group{}
	for _, srv := range servers {
		if srv.Domain == "" && !srv.Draining {
			view.plainServers[srv.Service] = append(view.plainServers[srv.Service], srv)
		}
		if srv.Group.State != GroupNone {
			view.addMember(byKey, srv, tbl)
		}
	}
	for _, srvs := range view.plainServers {
		slices.SortFunc(srvs, func(one, two *Server) int { return cmp.Compare(one.ID, two.ID) })
	}
	slices.SortFunc(view.groups, func(one, two *Group) int {
		return cmp.Or(cmp.Compare(one.Name, two.Name), cmp.Compare(one.Epoch, two.Epoch))
	})
	view.servingHeads = map[modelKey][]*Server{}
	for _, grp := range view.groups {
		if grp.Serving() {
			key := modelKey{service: grp.Service, model: grp.Model}
			view.servingHeads[key] = append(view.servingHeads[key], grp.Head())
		}
	}
	return view
}

// WithRecentlyRemoved returns the view with servers whose entries went lately.
func (view *View) WithRecentlyRemoved(removed map[string]*Server) *View {
	out := *view
	out.recentlyRemoved = removed
	return &out
}

// RecentlyRemoved returns the servers whose entries went lately, as they were. The map
// must not be changed.
func (view *View) RecentlyRemoved() map[string]*Server { return view.recentlyRemoved }

// ServingHeads returns the heads of the groups that serve a model of a service.
func (view *View) ServingHeads(service, model string) []*Server {
	return view.servingHeads[modelKey{service: service, model: model}]
}

// addMember puts a server into its group.
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

// Server returns the server of the ID, or nil.
func (view *View) Server(id string) *Server { return view.servers[id] }

// Servers returns all servers by ID. The map must not be changed.
func (view *View) Servers() map[string]*Server { return view.servers }

// Groups returns all groups by name and epoch.
func (view *View) Groups() []*Group { return view.groups }

// PlainServers returns the servers of a plain service that stay, by ID.
func (view *View) PlainServers(service string) []*Server { return view.plainServers[service] }
