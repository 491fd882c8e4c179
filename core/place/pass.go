package place

import (
	"cmp"
	"maps"
	"slices"

	"kumquathinge/core/site"
)

// pass is one planning pass over the servers of one service.
type pass struct {
	planner *Planner
	input   Input
	service *site.Service
	orders  []site.Order
	// held contains the IDs of servers that must not be ordered into another
	// group.
	held map[string]bool
	// serverCountByModel counts the servers in groups of a model, existing or
	// being formed.
	serverCountByModel map[string]int
	// serverCount is the number of usable servers with an entry.
	serverCount int
	// groupCounts counts the groups by domain and model, existing or being
	// formed.
	groupCounts map[string]map[string]int
	// serversByDomain lists the usable servers with an entry, sorted by ID.
	serversByDomain map[string][]*site.Server
	// shortages lists, by domain and model, how many servers the groups lack
	// that wait for them under their names.
	shortages map[string]map[string][]int
	// scarcityByModel holds the weights of the models' next groups.
	scarcityByModel map[string]float64
	// valuation values groups by the demand of callers. It is nil while the
	// utilisation decides.
	valuation *valuation
}

func newPass(pl *Planner, in Input, svc *site.Service) *pass {
	ps := &pass{
		planner: pl, input: in, service: svc, held: map[string]bool{}, serverCountByModel: map[string]int{},
		serversByDomain: map[string][]*site.Server{}, shortages: map[string]map[string][]int{}, groupCounts: map[string]map[string]int{}, scarcityByModel: map[string]float64{},
	}
	for _, srv := range in.View.Servers() {
		if srv.Service == svc.Name && srv.Domain != "" && !in.View.Evacuated(srv.Zone) && ps.usable(srv) && ps.registered(srv) {
			ps.serversByDomain[srv.Domain] = append(ps.serversByDomain[srv.Domain], srv)
			ps.serverCount++
		}
	}
	for _, srvs := range ps.serversByDomain {
		slices.SortFunc(srvs, func(one, two *site.Server) int { return cmp.Compare(one.ID, two.ID) })
	}
	return ps
}

func (ps *pass) run() []site.Order {
	infos := ps.collectGroups()
	var degraded []*groupInfo
	for _, info := range infos {
		if ps.planner.move.givesUp(info.name) || !ps.advance(info) {
			degraded = append(degraded, info)
			ps.hold(info.survivors(ps)...)
		}
	}
	for _, info := range infos {
		ps.holdOlderMembers(info)
	}
	for key := range ps.planner.epochs {
		if !ps.epochEnded(key) {
			ps.hold(ps.leavers(key)...)
		}
	}
	// Larger groups are more valuable, and spares for them are harder to find.
	slices.SortStableFunc(degraded, func(one, two *groupInfo) int { return cmp.Compare(two.groupSize(), one.groupSize()) })
	for _, info := range degraded {
		if !ps.giveUp(info) {
			ps.repair(info)
		}
		ps.holdOlderMembers(info)
	}
	ps.valueDemand()
	ps.planMove(infos)
	ps.formGroups()
	ps.warmUpServers()
	return ps.orders
}

// usable reports whether the server is reachable, not draining and not slow.
func (ps *pass) usable(srv *site.Server) bool {
	return srv != nil && !srv.Draining && !ps.input.Unreachable(srv.ID) && (ps.input.Slow == nil || !ps.input.Slow(srv.ID))
}

// reachable reports whether the server responds, draining or not.
func (ps *pass) reachable(srv *site.Server) bool {
	return srv != nil && !ps.input.Unreachable(srv.ID)
}

// registered reports whether the server has an entry, so that it can receive
// requests.
func (ps *pass) registered(srv *site.Server) bool {
	return ps.input.Unregistered == nil || !ps.input.Unregistered(srv.ID)
}

// hold prevents servers from being ordered into another group in this pass.
func (ps *pass) hold(srvs ...*site.Server) {
	for _, srv := range srvs {
		if srv != nil {
			ps.held[srv.ID] = true
		}
	}
}

// addOrder queues an order to the server. It returns false if another order to
// the server is pending.
func (ps *pass) addOrder(srv *site.Server, ord site.Order) bool {
	if ps.planner.pendingOrders[srv.ID] != nil {
		return false
	}
	ord.Server, ord.Addr = srv.ID, srv.Addr
	ord.FencingToken = ps.planner.term
	if hist := ps.planner.servers[srv.ID]; ord.Kind == site.OrderJoin {
		hist.lastJoinEpoch = max(hist.lastJoinEpoch, ord.Epoch)
	}
	if ord.Kind == site.OrderOpen {
		ps.planner.epoch(epochKey{name: ord.Group, epoch: ord.Epoch}).opened = true
	}
	ps.planner.pendingOrders[srv.ID] = &pendingOrder{order: ord, sentAt: ps.input.Now, timeout: orderTimeout}
	ps.orders = append(ps.orders, ord)
	return true
}

// freeServers returns the usable servers of a domain that no group needs, that may join
// one and that load no model, sorted by ID.
func (ps *pass) freeServers(domain string) []*site.Server {
	var out []*site.Server
	for _, srv := range ps.serversByDomain[domain] {
		if !ps.held[srv.ID] && ps.planner.pendingOrders[srv.ID] == nil && ps.loadingModel(srv) == "" && ps.mayJoin(srv) && !ps.planner.move.reserves(srv) {
			out = append(out, srv)
		}
	}
	return out
}

// domains returns the domains of the service, sorted by name.
func (ps *pass) domains() []string { return slices.Sorted(maps.Keys(ps.serversByDomain)) }

// joinCost ranks the time that a server needs to join a group of the model,
// from the shortest to the longest.
func (ps *pass) joinCost(model *site.Model, srv *site.Server) int {
	hist := ps.planner.servers[srv.ID]
	switch {
	case hist != nil && hist.lastModel == model.Name && srv.HasStaged(model.Name):
		return costSameModel
	case srv.HasStaged(model.Name):
		return costStaged
	}
	return costLoad
}

// Join costs, in ascending order.
const (
	// costSameModel: the last group of this process served the model, which is
	// still staged.
	costSameModel = iota
	// costStaged: the model is staged on the host.
	costStaged
	// costLoad: the model must be loaded.
	costLoad
)

// sortByJoinCost returns the servers sorted by their join cost for the model.
func (ps *pass) sortByJoinCost(model *site.Model, srvs []*site.Server) []*site.Server {
	srvs = slices.Clone(srvs)
	slices.SortStableFunc(srvs, func(one, two *site.Server) int {
		return cmp.Compare(ps.joinCost(model, one), ps.joinCost(model, two))
	})
	return srvs
}

// startEpoch starts an epoch of a group with the given members, the head first.
func (ps *pass) startEpoch(name string, model *site.Model, members []*site.Server) {
	plan := &groupPlan{epoch: ps.planner.nextEpoch(), model: model, startedAt: ps.input.Now}
	for _, member := range members {
		plan.members = append(plan.members, member.ID)
	}
	ps.planner.plans[name] = plan
	hist := ps.planner.group(name)
	*hist = groupHistory{model: model.Name, epoch: plan.epoch}
	*ps.planner.epoch(epochKey{name: name, epoch: plan.epoch}) = epochHistory{head: members[0].ID, issued: true, seenAt: ps.input.Now}
	ps.addJoinOrders(name, plan)
}

// countGroup counts a group of a model, existing or being formed, with the given
// number of servers.
func (ps *pass) countGroup(domain, model string, servers int) {
	ps.serverCountByModel[model] += servers
	if ps.groupCounts[domain] == nil {
		ps.groupCounts[domain] = map[string]int{}
	}
	ps.groupCounts[domain][model]++
}

// domainOf returns the domain of the first server that the view contains, or an
// empty string.
func domainOf(view *site.View, ids []string) string {
	for _, id := range ids {
		if srv := view.Server(id); srv != nil {
			return srv.Domain
		}
	}
	return ""
}

// addJoinOrders queues the join orders for members that haven't joined yet.
func (ps *pass) addJoinOrders(name string, plan *groupPlan) {
	ps.countGroup(domainOf(ps.input.View, plan.members), plan.model.Name, len(plan.members))
	for _, id := range plan.members {
		srv := ps.input.View.Server(id)
		ps.hold(srv)
		if srv.Group.Name == name && srv.Group.Epoch == plan.epoch {
			continue
		}
		ps.addOrder(srv, site.Order{Kind: site.OrderJoin, Group: name, Epoch: plan.epoch, Model: plan.model.Name, Members: plan.members})
	}
}
