package place

import (
	"cmp"
	"slices"

	"kumquathinge/core/site"
)

// step is one pass of a Machine over the servers of one service.
type step struct {
	mac    *Machine
	inp    Input
	svc    *site.Service
	orders []site.Order
	// held are the servers that can't be ordered into another group now.
	held map[string]bool
	// have counts the servers in groups by model, standing or being formed.
	have map[string]int
}

func newStep(mac *Machine, inp Input, svc *site.Service) *step {
	return &step{mac: mac, inp: inp, svc: svc, held: map[string]bool{}, have: map[string]int{}}
}

// run returns the orders of the pass.
func (stp *step) run() []site.Order {
	squads := stp.squads()
	var broken []*squad
	for _, sqd := range squads {
		if !stp.advance(sqd) {
			broken = append(broken, sqd)
			stp.hold(sqd.survivors(stp)...)
		}
	}
	for _, sqd := range squads {
		stp.keepOlder(sqd)
	}
	// Larger groups are worth more and find spares harder.
	slices.SortStableFunc(broken, func(one, two *squad) int { return cmp.Compare(two.size(), one.size()) })
	for _, sqd := range broken {
		stp.repair(sqd)
		stp.keepOlder(sqd)
	}
	stp.form()
	stp.stageSpares()
	return stp.orders
}

// usable reports whether the server is there to stay and as fast as usual.
func (stp *step) usable(srv *site.Server) bool {
	return srv != nil && !srv.Draining && !stp.inp.Lost(srv.ID) && (stp.inp.Slow == nil || !stp.inp.Slow(srv.ID))
}

// present reports whether the server answers, leaving or not.
func (stp *step) present(srv *site.Server) bool {
	return srv != nil && !stp.inp.Lost(srv.ID)
}

// listed reports whether the server has an entry, so that requests may go to
// it.
func (stp *step) listed(srv *site.Server) bool {
	return stp.inp.Unlisted == nil || !stp.inp.Unlisted(srv.ID)
}

// hold keeps servers where they are.
func (stp *step) hold(srvs ...*site.Server) {
	for _, srv := range srvs {
		if srv != nil {
			stp.held[srv.ID] = true
		}
	}
}

// send adds an order unless one to the server is still pending.
func (stp *step) send(srv *site.Server, ord site.Order) bool {
	if stp.mac.pend[srv.ID] != nil {
		return false
	}
	ord.Server, ord.Addr = srv.ID, srv.Addr
	ord.FencingToken = stp.mac.term
	if pst := stp.mac.pasts[srv.ID]; ord.Kind == site.OrderJoin {
		pst.joined = max(pst.joined, ord.Epoch)
	}
	stp.mac.pend[srv.ID] = &pending{ord: ord, sent: stp.inp.Now, hold: answerBound}
	stp.orders = append(stp.orders, ord)
	return true
}

// free returns the usable servers of a domain that no group needs, by ID.
func (stp *step) free(domain string) []*site.Server {
	var out []*site.Server
	for _, srv := range stp.inp.View.Servers() {
		if srv.Service == stp.svc.Name && srv.Domain == domain && stp.usable(srv) && stp.listed(srv) && !stp.held[srv.ID] && stp.mac.pend[srv.ID] == nil {
			out = append(out, srv)
		}
	}
	slices.SortFunc(out, func(one, two *site.Server) int { return cmp.Compare(one.ID, two.ID) })
	return out
}

// domains returns the domains of the service by name.
func (stp *step) domains() []string {
	seen := map[string]bool{}
	var out []string
	for _, srv := range stp.inp.View.Servers() {
		if srv.Service == stp.svc.Name && srv.Domain != "" && !seen[srv.Domain] {
			seen[srv.Domain] = true
			out = append(out, srv.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// rank tells how fast a server can join a group of the model, lower is faster.
func (stp *step) rank(mod *site.Model, srv *site.Server) int {
	pst := stp.mac.pasts[srv.ID]
	switch {
	case pst != nil && pst.model == mod.Name && srv.HasStaged(mod.Name):
		return rankSame
	case srv.HasStaged(mod.Name):
		return rankStaged
	case pst != nil && pst.staging == mod.Name:
		return rankStaging
	}
	return rankLoad
}

// Ranks of servers for a model.
const (
	// rankSame: the last group of this life served the model.
	rankSame = iota
	// rankStaged: the model lies on the host.
	rankStaged
	// rankStaging: the model is being loaded onto the host.
	rankStaging
	// rankLoad: the model has to be loaded.
	rankLoad
)

// fastest sorts servers by their rank for the model.
func (stp *step) fastest(mod *site.Model, srvs []*site.Server) []*site.Server {
	srvs = slices.Clone(srvs)
	slices.SortStableFunc(srvs, func(one, two *site.Server) int {
		return cmp.Compare(stp.rank(mod, one), stp.rank(mod, two))
	})
	return srvs
}

// load takes the loads that the servers need for the model from the budget. It
// reports false and takes none if they don't fit.
func (stp *step) load(mod *site.Model, srvs []*site.Server) bool {
	if stp.inp.Calm {
		return true
	}
	num := 0
	for _, srv := range srvs {
		if stp.rank(mod, srv) == rankLoad {
			num++
		}
	}
	if num > 0 && num > stp.mac.loads.free(stp.inp.Now, stp.svc.Engine.LoadsPerSec) {
		return false
	}
	for range num {
		stp.mac.loads.note(stp.inp.Now)
	}
	return true
}

// start begins an epoch of a group with the members, the head first.
func (stp *step) start(name string, mod *site.Model, mems []*site.Server) {
	pln := &plan{epoch: stp.mac.epoch(), model: mod, begun: stp.inp.Now}
	for _, mem := range mems {
		pln.members = append(pln.members, mem.ID)
	}
	stp.mac.plans[name] = pln
	trc := stp.mac.trace(name)
	*trc = trace{model: mod.Name, epoch: pln.epoch}
	stp.join(name, pln)
}

// join sends the join orders of a plan that are still missing.
func (stp *step) join(name string, pln *plan) {
	stp.have[pln.model.Name] += len(pln.members)
	for _, id := range pln.members {
		srv := stp.inp.View.Server(id)
		stp.hold(srv)
		if srv.Group.Name == name && srv.Group.Epoch == pln.epoch {
			continue
		}
		stp.send(srv, site.Order{Kind: site.OrderJoin, Group: name, Epoch: pln.epoch, Model: pln.model.Name, Members: pln.members})
	}
}
