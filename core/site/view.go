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
	hea := grp.Head()
	return hea != nil && hea.Group.State == GroupOpen && !hea.Draining
}

// View is the state of all backend servers at one moment. It is immutable.
type View struct {
	servers map[string]*Server
	groups  []*Group
	plain   map[string][]*Server
	heads   map[modelKey][]*Server
	lapsed  map[string]*Server
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
func NewView(servers map[string]*Server, tab *Table) *View {
	vie := &View{servers: servers, plain: map[string][]*Server{}}
	byKey := map[groupKey]*Group{}
	for _, srv := range servers {
		if srv.Domain == "" && !srv.Draining {
			vie.plain[srv.Service] = append(vie.plain[srv.Service], srv)
		}
		if srv.Group.State != GroupNone {
			vie.place(byKey, srv, tab)
		}
	}
	for _, srvs := range vie.plain {
		slices.SortFunc(srvs, func(one, two *Server) int { return cmp.Compare(one.ID, two.ID) })
	}
	slices.SortFunc(vie.groups, func(one, two *Group) int {
		return cmp.Or(cmp.Compare(one.Name, two.Name), cmp.Compare(one.Epoch, two.Epoch))
	})
	vie.heads = map[modelKey][]*Server{}
	for _, grp := range vie.groups {
		if grp.Serving() {
			key := modelKey{service: grp.Service, model: grp.Model}
			vie.heads[key] = append(vie.heads[key], grp.Head())
		}
	}
	return vie
}

// WithLapsed returns the view with servers whose entries went lately.
func (vie *View) WithLapsed(lapsed map[string]*Server) *View {
	out := *vie
	out.lapsed = lapsed
	return &out
}

// Lapsed returns the servers whose entries went lately, as they were. The map
// must not be changed.
func (vie *View) Lapsed() map[string]*Server { return vie.lapsed }

// Heads returns the heads of the groups that serve a model of a service.
func (vie *View) Heads(service, model string) []*Server {
	return vie.heads[modelKey{service: service, model: model}]
}

// place puts a server into its group.
func (vie *View) place(byKey map[groupKey]*Group, srv *Server, tab *Table) {
	key := groupKey{name: srv.Group.Name, epoch: srv.Group.Epoch}
	grp := byKey[key]
	if grp == nil {
		grp = &Group{Name: key.name, Epoch: key.epoch, Service: srv.Service, Domain: srv.Domain}
		byKey[key] = grp
		vie.groups = append(vie.groups, grp)
	}
	if grp.Model == "" && srv.Model != "" {
		grp.Model = srv.Model
		if tab != nil && tab.Model(srv.Model) != nil {
			grp.Size = tab.Model(srv.Model).Size
		}
	}
	for len(grp.Members) <= srv.Group.Rank || len(grp.Members) < grp.Size {
		grp.Members = append(grp.Members, nil)
	}
	grp.Members[srv.Group.Rank] = srv
}

// Server returns the server of the ID, or nil.
func (vie *View) Server(id string) *Server { return vie.servers[id] }

// Servers returns all servers by ID. The map must not be changed.
func (vie *View) Servers() map[string]*Server { return vie.servers }

// Groups returns all groups by name and epoch.
func (vie *View) Groups() []*Group { return vie.groups }

// Plain returns the servers of a plain service that stay, by ID.
func (vie *View) Plain(service string) []*Server { return vie.plain[service] }
