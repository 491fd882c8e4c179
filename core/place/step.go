package place

import (
	"cmp"
	"math"
	"slices"

	"kumquathinge/core/site"
)

// step is one pass of a Machine over its input.
type step struct {
	mac    *Machine
	inp    Input
	orders []site.Order
	groups map[groupKey]*site.Group
	// held are the servers that can't be ordered into a group now.
	held map[string]bool
	// have counts the servers in groups by model, standing or being formed.
	have map[string]int
}

func newStep(mac *Machine, inp Input) *step {
	stp := &step{mac: mac, inp: inp, groups: map[groupKey]*site.Group{}, held: map[string]bool{}, have: map[string]int{}}
	for _, grp := range inp.View.Groups() {
		stp.groups[groupKey{name: grp.Name, epoch: grp.Epoch}] = grp
	}
	return stp
}

// usable reports whether the server is there to stay.
func (stp *step) usable(srv *site.Server) bool {
	return srv != nil && !srv.Draining && !stp.inp.Lost(srv.ID)
}

// present reports whether the server answers, leaving or not.
func (stp *step) present(srv *site.Server) bool {
	return srv != nil && !stp.inp.Lost(srv.ID)
}

// send adds an order unless one to the server is still pending.
func (stp *step) send(srv *site.Server, ord site.Order) bool {
	if stp.mac.pend[srv.ID] != nil {
		return false
	}
	ord.Server, ord.Addr = srv.ID, srv.Addr
	ord.Fence = stp.mac.term
	stp.mac.pend[srv.ID] = &pending{ord: ord, sent: stp.inp.Now, hold: answerBound}
	stp.orders = append(stp.orders, ord)
	return true
}

// service brings the groups of one service forward and forms new ones.
func (stp *step) service(svc *site.Service) {
	for _, grp := range stp.inp.View.Groups() {
		if grp.Service == svc.Name {
			stp.advance(grp)
		}
	}
	stp.advanceLists(svc)
	domains := map[string][]*site.Server{}
	for _, srv := range stp.inp.View.Servers() {
		if srv.Service == svc.Name && srv.Domain != "" && stp.usable(srv) && !stp.held[srv.ID] && stp.mac.pend[srv.ID] == nil {
			domains[srv.Domain] = append(domains[srv.Domain], srv)
		}
	}
	names := make([]string, 0, len(domains))
	for nam := range domains {
		names = append(names, nam)
	}
	slices.Sort(names)
	for _, nam := range names {
		srvs := domains[nam]
		slices.SortFunc(srvs, func(one, two *site.Server) int { return cmp.Compare(one.ID, two.ID) })
		domains[nam] = srvs
	}
	stp.form(svc, names, domains)
	for _, nam := range names {
		stp.stage(svc, domains[nam])
	}
}

// advance moves a group that its members report one step on and holds the
// members that it needs.
func (stp *step) advance(grp *site.Group) {
	key := groupKey{name: grp.Name, epoch: grp.Epoch}
	hea := grp.Head()
	whole := true
	ready := true
	for _, mem := range grp.Members {
		whole = whole && stp.present(mem)
		ready = ready && mem != nil && mem.Group.State == site.GroupReady
	}
	leaving := slices.ContainsFunc(grp.Members, func(mem *site.Server) bool { return mem != nil && mem.Draining })
	serving := stp.present(hea) && (hea.Group.State == site.GroupOpen || hea.Group.State == site.GroupClosing)
	forming := stp.mac.lists[key] != nil && !serving
	switch {
	case serving && whole && !leaving && hea.Group.State == site.GroupOpen:
		delete(stp.mac.lists, key)
		stp.hold(grp)
	case serving && whole:
		stp.hold(grp)
		stp.retire(grp, key)
	case serving:
		stp.hold(grp)
		stp.send(hea, site.Order{Kind: site.OrderLeave, Group: grp.Name, Epoch: grp.Epoch})
	case whole && !leaving && ready:
		stp.hold(grp)
		stp.send(hea, site.Order{Kind: site.OrderOpen, Group: grp.Name, Epoch: grp.Epoch})
	case whole && !leaving && !forming && (hea.Group.State == site.GroupJoining || hea.Group.State == site.GroupReady):
		// An earlier orderer began it and its members get ready.
		stp.hold(grp)
	case forming:
		// advanceLists looks at it.
	case stp.present(hea) && hea.Group.State != site.GroupBroken && hea.Group.State != site.GroupJoining:
		// A head that is ready may have been opened by an order that is late.
		stp.hold(grp)
		stp.send(hea, site.Order{Kind: site.OrderLeave, Group: grp.Name, Epoch: grp.Epoch})
	}
}

// retire closes a group one of whose members leaves.
func (stp *step) retire(grp *site.Group, key groupKey) {
	hea := grp.Head()
	since, ok := stp.mac.closing[key]
	switch {
	case !ok:
		if stp.send(hea, site.Order{Kind: site.OrderClose, Group: grp.Name, Epoch: grp.Epoch}) {
			stp.mac.closing[key] = stp.inp.Now
		}
	case stp.inp.Now.Sub(since) > closeBound:
		stp.send(hea, site.Order{Kind: site.OrderLeave, Group: grp.Name, Epoch: grp.Epoch})
	}
}

// hold keeps the members of a group where they are.
func (stp *step) hold(grp *site.Group) {
	num := 0
	for _, mem := range grp.Members {
		if mem != nil {
			stp.held[mem.ID] = true
			num++
		}
	}
	if stp.mac.lists[groupKey{name: grp.Name, epoch: grp.Epoch}] == nil {
		stp.have[grp.Model] += num
	}
}

// advanceLists goes on with the groups that this orderer is forming.
func (stp *step) advanceLists(svc *site.Service) {
	for key, ids := range stp.mac.lists {
		first := stp.inp.View.Server(ids[0])
		if first != nil && first.Service != svc.Name {
			continue
		}
		lst := stp.joins(key, ids)
		if lst == nil {
			delete(stp.mac.lists, key)
			continue
		}
		stp.have[lst.model] += len(ids)
	}
}

// joinList is a group that is being formed.
type joinList struct {
	model string
}

// joins sends the missing join orders of a group that is being formed. It
// returns nil if the group can't be formed any more.
func (stp *step) joins(key groupKey, ids []string) *joinList {
	model := stp.mac.models[key]
	for _, id := range ids {
		srv := stp.inp.View.Server(id)
		if !stp.usable(srv) || srv.Group.Epoch > key.epoch {
			return nil
		}
	}
	for _, id := range ids {
		srv := stp.inp.View.Server(id)
		stp.held[id] = true
		if srv.Group.Name == key.name && srv.Group.Epoch == key.epoch {
			continue
		}
		stp.send(srv, site.Order{Kind: site.OrderJoin, Group: key.name, Epoch: key.epoch, Model: model, Members: ids})
	}
	return &joinList{model: model}
}

// form makes new groups of free servers, the model that is shortest first.
func (stp *step) form(svc *site.Service, names []string, domains map[string][]*site.Server) {
	for {
		best, where := stp.next(svc, names, domains)
		if best == nil {
			return
		}
		mems, rest := stp.pick(best, domains[where])
		if mems == nil {
			return
		}
		domains[where] = rest
		stp.start(best, mems)
	}
}

// next returns the model of the next group and its domain, nil if none fits.
func (stp *step) next(svc *site.Service, names []string, domains map[string][]*site.Server) (*site.Model, string) {
	ratio := func(mod *site.Model) float64 { return float64(stp.have[mod.Name]) / max(mod.Share, minShare) }
	low := math.Inf(1)
	for idx := range svc.Engine.Models {
		low = min(low, ratio(&svc.Engine.Models[idx]))
	}
	var best *site.Model
	where, cost := "", math.Inf(1)
	for idx := range svc.Engine.Models {
		mod := &svc.Engine.Models[idx]
		if best != nil && ratio(mod) >= ratio(best) || ratio(mod) > low*surplus {
			continue
		}
		for _, nam := range names {
			if len(domains[nam]) < mod.Size {
				continue
			}
			if val := stp.cost(mod, domains[nam]); best != mod || val < cost {
				best, where, cost = mod, nam, val
			}
		}
	}
	return best, where
}

const (
	// minShare stands for the share of a model that the configuration gives
	// none, so that it gets a group where servers are left.
	minShare = 0.01
	// surplus is the factor by which a model may have more servers for its
	// share than the model that has the fewest.
	surplus = 1.15
)

// rank tells how fast a server can join a group of the model, lower is faster.
func (stp *step) rank(mod *site.Model, srv *site.Server) int {
	switch {
	case srv.Model == mod.Name && srv.Has(mod.Name):
		return 0
	case srv.Has(mod.Name):
		return 1
	case stp.mac.stagingOf(srv, stp.inp.Now) == mod.Name:
		return 2
	}
	return 3
}

// cost is the number of loads that a group of the model needs in a domain.
func (stp *step) cost(mod *site.Model, srvs []*site.Server) float64 {
	num := 0
	for _, srv := range srvs {
		if stp.rank(mod, srv) < 2 {
			num++
		}
	}
	return float64(max(0, mod.Size-num))
}

// pick returns the members of a new group and the servers that are left. It
// returns no members if the loads that they need must wait.
func (stp *step) pick(mod *site.Model, srvs []*site.Server) ([]*site.Server, []*site.Server) {
	srvs = slices.Clone(srvs)
	slices.SortStableFunc(srvs, func(one, two *site.Server) int {
		return cmp.Compare(stp.rank(mod, one), stp.rank(mod, two))
	})
	mems := srvs[:mod.Size]
	if !stp.load(mod, mems) {
		return nil, srvs
	}
	return mems, srvs[mod.Size:]
}

// load takes the loads that the servers need for the model from the budget. It
// reports false and takes none if they don't fit.
func (stp *step) load(mod *site.Model, srvs []*site.Server) bool {
	if stp.inp.Calm {
		return true
	}
	num := 0
	for _, srv := range srvs {
		if !srv.Has(mod.Name) {
			num++
		}
	}
	if num == 0 {
		return true
	}
	svc := stp.inp.Table.Service(srvs[0].Service)
	if num > stp.mac.loads.free(stp.inp.Now, svc.Engine.LoadsPerSec) {
		return false
	}
	for range num {
		stp.mac.loads.note(stp.inp.Now)
	}
	return true
}

// start begins a group of the members, the head first.
func (stp *step) start(mod *site.Model, mems []*site.Server) {
	key := groupKey{name: stp.mac.name(), epoch: stp.mac.epoch()}
	ids := make([]string, len(mems))
	for idx, mem := range mems {
		ids[idx] = mem.ID
	}
	stp.mac.lists[key] = ids
	stp.mac.models[key] = mod.Name
	stp.joins(key, ids)
	stp.have[mod.Name] += len(ids)
}

// stagingFactor is how many times its usual time a load may take when others
// load at the same time.
const stagingFactor = 2

// stage loads models onto the hosts of servers that no group needs, so that
// they can stand in for a lost member.
func (stp *step) stage(svc *site.Service, srvs []*site.Server) {
	want := slices.Clone(svc.Engine.Models)
	slices.SortStableFunc(want, func(one, two site.Model) int { return cmp.Compare(two.Size, one.Size) })
	var left []*site.Server
	staged := map[string]int{}
	for _, srv := range srvs {
		if stp.held[srv.ID] || stp.mac.pend[srv.ID] != nil {
			continue
		}
		if nam := stp.mac.stagingOf(srv, stp.inp.Now); nam != "" {
			staged[nam]++
			continue
		}
		if len(srv.Staged) == 0 {
			left = append(left, srv)
			continue
		}
		for _, nam := range srv.Staged {
			staged[nam]++
		}
	}
	for _, srv := range left {
		slices.SortStableFunc(want, func(one, two site.Model) int { return cmp.Compare(staged[one.Name], staged[two.Name]) })
		mod := want[0]
		if !stp.load(&mod, []*site.Server{srv}) {
			return
		}
		if stp.send(srv, site.Order{Kind: site.OrderStage, Model: mod.Name}) {
			staged[mod.Name]++
			stp.mac.staging[srv.ID] = stagingMark{
				model: mod.Name, born: srv.Born, until: stp.inp.Now.Add(stagingFactor * mod.LoadTime),
			}
		}
	}
}
