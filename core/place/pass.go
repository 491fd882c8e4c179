package place

import (
	"cmp"
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
}

func newPass(pl *Planner, in Input, svc *site.Service) *pass {
	return &pass{planner: pl, input: in, service: svc, held: map[string]bool{}, serverCountByModel: map[string]int{}}
}

func (ps *pass) run() []site.Order {
	infos := ps.collectGroups()
	var degraded []*groupInfo
	for _, info := range infos {
		if !ps.advance(info) {
			degraded = append(degraded, info)
			ps.hold(info.survivors(ps)...)
		}
	}
	for _, info := range infos {
		ps.holdOlderMembers(info)
	}
	// Larger groups are more valuable, and spares for them are harder to find.
	slices.SortStableFunc(degraded, func(one, two *groupInfo) int { return cmp.Compare(two.groupSize(), one.groupSize()) })
	for _, info := range degraded {
		ps.repair(info)
		ps.holdOlderMembers(info)
	}
	ps.formGroups()
	ps.stageSpares()
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
	ps.planner.pendingOrders[srv.ID] = &pendingOrder{order: ord, sentAt: ps.input.Now, timeout: orderTimeout}
	ps.orders = append(ps.orders, ord)
	return true
}

// freeServers returns the usable servers of a domain that no group needs,
// sorted by ID.
func (ps *pass) freeServers(domain string) []*site.Server {
	var out []*site.Server
	for _, srv := range ps.input.View.Servers() {
		if srv.Service == ps.service.Name && srv.Domain == domain && ps.usable(srv) && ps.registered(srv) && !ps.held[srv.ID] && ps.planner.pendingOrders[srv.ID] == nil {
			out = append(out, srv)
		}
	}
	slices.SortFunc(out, func(one, two *site.Server) int { return cmp.Compare(one.ID, two.ID) })
	return out
}

// domains returns the domains of the service, sorted by name.
func (ps *pass) domains() []string {
	seen := map[string]bool{}
	var out []string
	for _, srv := range ps.input.View.Servers() {
		if srv.Service == ps.service.Name && srv.Domain != "" && !seen[srv.Domain] {
			seen[srv.Domain] = true
			out = append(out, srv.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// joinCost ranks the time that a server needs to join a group of the model,
// from the shortest to the longest.
func (ps *pass) joinCost(model *site.Model, srv *site.Server) int {
	hist := ps.planner.servers[srv.ID]
	switch {
	case hist != nil && hist.lastModel == model.Name && srv.HasStaged(model.Name):
		return costSameModel
	case srv.HasStaged(model.Name):
		return costStaged
	case hist != nil && hist.stagingModel == model.Name:
		return costStaging
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
	// costStaging: the model is being loaded onto the host.
	costStaging
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

// reserveLoads reserves the loads that the servers need for the model with the
// load limiter. It returns false and reserves none if they exceed the limit.
// Before traffic starts, loads are not limited.
func (ps *pass) reserveLoads(model *site.Model, srvs []*site.Server) bool {
	if ps.input.BeforeTraffic {
		return true
	}
	num := 0
	for _, srv := range srvs {
		if ps.joinCost(model, srv) == costLoad {
			num++
		}
	}
	if num > 0 && num > ps.planner.loadLimiter.available(ps.input.Now, ps.service.Engine.LoadsPerSec) {
		return false
	}
	for range num {
		ps.planner.loadLimiter.record(ps.input.Now)
	}
	return true
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
	ps.addJoinOrders(name, plan)
}

// addJoinOrders queues the join orders for members that haven't joined yet.
func (ps *pass) addJoinOrders(name string, plan *groupPlan) {
	ps.serverCountByModel[plan.model.Name] += len(plan.members)
	for _, id := range plan.members {
		srv := ps.input.View.Server(id)
		ps.hold(srv)
		if srv.Group.Name == name && srv.Group.Epoch == plan.epoch {
			continue
		}
		ps.addOrder(srv, site.Order{Kind: site.OrderJoin, Group: name, Epoch: plan.epoch, Model: plan.model.Name, Members: plan.members})
	}
}
