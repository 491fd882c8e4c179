package place

import (
	"cmp"
	"slices"

	"kumquathinge/core/site"
)

// pass is one pass of a Machine over the servers of one service.
type pass struct {
	planner *Planner
	input   Input
	service *site.Service
	orders  []site.Order
	// held are the servers that can't be ordered into another group now.
	held map[string]bool
	// serverCount counts the servers in groups by model, standing or being formed.
	serverCount map[string]int
}

func newPass(pl *Planner, in Input, svc *site.Service) *pass {
	return &pass{planner: pl, input: in, service: svc, held: map[string]bool{}, serverCount: map[string]int{}}
}

// run returns the orders of the pass.
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
	// Larger groups are worth more and find spares harder.
	slices.SortStableFunc(degraded, func(one, two *groupInfo) int { return cmp.Compare(two.groupSize(), one.groupSize()) })
	for _, info := range degraded {
		ps.repair(info)
		ps.holdOlderMembers(info)
	}
	ps.formGroups()
	ps.stageSpares()
	return ps.orders
}

// usable reports whether the server is there to stay and as fast as usual.
func (ps *pass) usable(srv *site.Server) bool {
	return srv != nil && !srv.Draining && !ps.input.Unreachable(srv.ID) && (ps.input.Slow == nil || !ps.input.Slow(srv.ID))
}

// reachable reports whether the server answers, leaving or not.
func (ps *pass) reachable(srv *site.Server) bool {
	return srv != nil && !ps.input.Unreachable(srv.ID)
}

// registered reports whether the server has an entry, so that requests may go to
// it.
func (ps *pass) registered(srv *site.Server) bool {
	return ps.input.Unregistered == nil || !ps.input.Unregistered(srv.ID)
}

// hold keeps servers where they are.
func (ps *pass) hold(srvs ...*site.Server) {
	for _, srv := range srvs {
		if srv != nil {
			ps.held[srv.ID] = true
		}
	}
}

// addOrder adds an order unless one to the server is still pending.
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

// freeServers returns the usable servers of a domain that no group needs, by ID.
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

// domains returns the domains of the service by name.
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

// joinCost tells how fast a server can join a group of the model, lower is faster.
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

// Ranks of servers for a model.
const (
	// costSameModel: the last group of this life served the model.
	costSameModel = iota
	// costStaged: the model lies on the host.
	costStaged
	// costStaging: the model is being loaded onto the host.
	costStaging
	// costLoad: the model has to be loaded.
	costLoad
)

// sortByJoinCost sorts servers by their rank for the model.
func (ps *pass) sortByJoinCost(model *site.Model, srvs []*site.Server) []*site.Server {
	srvs = slices.Clone(srvs)
	slices.SortStableFunc(srvs, func(one, two *site.Server) int {
		return cmp.Compare(ps.joinCost(model, one), ps.joinCost(model, two))
	})
	return srvs
}

// reserveLoads takes the loads that the servers need for the model from the budget. It
// reports false and takes none if they don't fit.
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

// startEpoch begins an epoch of a group with the members, the head first.
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

// addJoinOrders sends the join orders of a plan that are still missing.
func (ps *pass) addJoinOrders(name string, plan *groupPlan) {
	ps.serverCount[plan.model.Name] += len(plan.members)
	for _, id := range plan.members {
		srv := ps.input.View.Server(id)
		ps.hold(srv)
		if srv.Group.Name == name && srv.Group.Epoch == plan.epoch {
			continue
		}
		ps.addOrder(srv, site.Order{Kind: site.OrderJoin, Group: name, Epoch: plan.epoch, Model: plan.model.Name, Members: plan.members})
	}
}
