package place

import (
	"cmp"
	"math"
	"slices"

	"kumquathinge/core/site"
)

const (
	// minShare stands for the share of a model that the configuration gives
	// none, so that it gets a group where servers are left.
	minShare = 0.01
	// surplus is the factor by which a model may have more servers for its
	// share than the model that has the fewest while servers still arrive.
	surplus = 1.15
	// minLoad stands for the load of a model that has none, so that it keeps
	// some weight.
	minLoad = 0.05
	// reserve is the number of servers of a domain that are kept for losses of
	// its group of the model that is loaded most.
	reserve = 2
	// coreMargin is how many times as loaded as another model a model must be
	// for the members of a group that misses some to wait for others.
	coreMargin = 1.2
	// restageGain is how many times the worth of a spare must grow for another
	// model to be loaded onto its host.
	restageGain = 2.5
	// stagingFactor is how many times its usual time a load may take when
	// others load at the same time.
	stagingFactor = 2
)

// form makes new groups of free servers, the model that is shortest first.
func (stp *step) form() {
	names := stp.domains()
	free := map[string][]*site.Server{}
	for _, nam := range names {
		free[nam] = stp.free(nam)
	}
	for {
		mod, where := stp.next(names, free)
		if mod == nil {
			return
		}
		mems := stp.fastest(mod, stp.available(mod, where, free[where]))[:mod.GroupSize]
		if !stp.load(mod, mems) {
			return
		}
		stp.start(stp.mac.name(), mod, mems)
		free[where] = slices.DeleteFunc(free[where], func(srv *site.Server) bool { return stp.held[srv.ID] })
	}
}

// next returns the model of the next group and its domain, nil if none fits.
// Groups that need no loads go first.
func (stp *step) next(names []string, free map[string][]*site.Server) (*site.Model, string) {
	var best candidate
	for idx := range stp.svc.Engine.Models {
		mod := &stp.svc.Engine.Models[idx]
		if stp.inp.Calm && stp.ratio(mod) > stp.lowest()*surplus {
			continue
		}
		for _, nam := range names {
			srvs := stp.available(mod, nam, free[nam])
			if len(srvs) < mod.GroupSize {
				continue
			}
			cnd := candidate{model: mod, domain: nam, loads: stp.loadsFor(mod, srvs), ratio: stp.ratio(mod), waste: stp.waste(mod, len(free[nam]))}
			if cnd.loads > 0 && !stp.settled(nam) {
				continue
			}
			if best.model == nil || cnd.before(best, stp.inp.Calm) {
				best = cnd
			}
		}
	}
	return best.model, best.domain
}

// candidate is a group that could be formed.
type candidate struct {
	model  *site.Model
	domain string
	loads  int
	ratio  float64
	// waste is the number of larger groups that the domain has no room for
	// any more.
	waste int
}

// before reports whether the candidate goes before another. While loads are
// cheap, they don't count.
func (cnd candidate) before(oth candidate, calm bool) bool {
	if !calm && (cnd.loads == 0) != (oth.loads == 0) {
		return cnd.loads == 0
	}
	return cmp.Or(cmp.Compare(cnd.ratio, oth.ratio), cmp.Compare(cnd.waste, oth.waste), cmp.Compare(cnd.loads, oth.loads)) < 0
}

// waste returns how many groups of larger models fit less into the free servers
// of a domain once a group of the model is formed of them.
func (stp *step) waste(mod *site.Model, free int) int {
	num := 0
	for _, oth := range stp.svc.Engine.Models {
		if oth.GroupSize > mod.GroupSize {
			num += free/oth.GroupSize - (free-mod.GroupSize)/oth.GroupSize
		}
	}
	return num
}

// ratio returns the servers of a model for its part of the work. The lowest
// model gets the next group.
func (stp *step) ratio(mod *site.Model) float64 {
	return float64(stp.have[mod.Name]) / max(stp.demand(mod), minShare)
}

// lowest returns the ratio of the model that has the fewest servers.
func (stp *step) lowest() float64 {
	low := math.Inf(1)
	for idx := range stp.svc.Engine.Models {
		low = min(low, stp.ratio(&stp.svc.Engine.Models[idx]))
	}
	return low
}

// demand returns the work of a model in servers: those that its load keeps
// busy, or its share while no load is known.
func (stp *step) demand(mod *site.Model) float64 {
	if stp.inp.Load == nil || stp.have[mod.Name] == 0 {
		return mod.InitialShare
	}
	return max(stp.inp.Load[mod.Name], minLoad) * float64(stp.have[mod.Name])
}

// scarcest returns the model whose groups are loaded most, nil if unknown.
func (stp *step) scarcest() *site.Model {
	if stp.inp.Load == nil {
		return nil
	}
	mod := slices.MaxFunc(stp.svc.Engine.Models, func(one, two site.Model) int {
		return cmp.Compare(stp.inp.Load[one.Name], stp.inp.Load[two.Name])
	})
	return &mod
}

// available returns the servers of a domain that a new group of the model may
// take: those that hold the scarcest model stay as its spares, or as the
// members of its next group.
func (stp *step) available(mod *site.Model, domain string, srvs []*site.Server) []*site.Server {
	top := stp.scarcest()
	if top == nil || top.Name == mod.Name {
		return srvs
	}
	keep := stp.waiting(top, mod, srvs)
	if keep == 0 && stp.serves(top, domain) {
		keep = reserve
	}
	return stp.without(top, keep, srvs)
}

// lent returns the servers of a domain that may replace members of a group of
// the model: the members of a group of the scarcest model that is to be formed
// stay.
func (stp *step) lent(mod *site.Model, srvs []*site.Server) []*site.Server {
	top := stp.scarcest()
	if top == nil || top.Name == mod.Name {
		return srvs
	}
	return stp.without(top, stp.waiting(top, mod, srvs), srvs)
}

// waiting returns how many of the servers wait for others to form a group of
// the scarcest model, if it is loaded that much more than the other one.
func (stp *step) waiting(top, mod *site.Model, srvs []*site.Server) int {
	if stp.inp.Load[top.Name] < coreMargin*stp.inp.Load[mod.Name] {
		return 0
	}
	return stp.core(top, srvs)
}

// without leaves out up to keep servers that hold the model.
func (stp *step) without(top *site.Model, keep int, srvs []*site.Server) []*site.Server {
	kept := 0
	return slices.DeleteFunc(slices.Clone(srvs), func(srv *site.Server) bool {
		if kept == keep || stp.rank(top, srv) == rankLoad {
			return false
		}
		kept++
		return true
	})
}

// core returns how many of the free servers of a domain hold the model if they
// are a group that misses the smaller part of its members, and zero otherwise.
// Only groups of the largest model are hard to bring together.
func (stp *step) core(mod *site.Model, srvs []*site.Server) int {
	for _, oth := range stp.svc.Engine.Models {
		if oth.Name != mod.Name && oth.GroupSize >= mod.GroupSize {
			return 0
		}
	}
	num := 0
	for _, srv := range srvs {
		if srv.HasStaged(mod.Name) {
			num++
		}
	}
	if 2*num < mod.GroupSize {
		return 0
	}
	return min(num, mod.GroupSize)
}

// serves reports whether a group of the model stands or is formed in a domain.
func (stp *step) serves(mod *site.Model, domain string) bool {
	for id := range stp.held {
		srv := stp.inp.View.Server(id)
		if pst := stp.mac.pasts[id]; srv != nil && srv.Domain == domain && pst != nil && (srv.Model == mod.Name || pst.model == mod.Name) {
			return true
		}
	}
	return false
}

// settled reports whether no server of the domain has come just now.
func (stp *step) settled(domain string) bool {
	for id, srv := range stp.inp.View.Servers() {
		if srv.Domain == domain && stp.inp.Now.Sub(stp.mac.pasts[id].seen) < settleTime {
			return false
		}
	}
	return true
}

// loadsFor returns the number of loads that a group of the model needs.
func (stp *step) loadsFor(mod *site.Model, srvs []*site.Server) int {
	num := 0
	for _, srv := range srvs {
		if stp.rank(mod, srv) < rankLoad {
			num++
		}
	}
	return max(0, mod.GroupSize-num)
}

// stageSpares loads models onto the hosts of servers that no group needs, so
// that they can stand in for a lost member.
func (stp *step) stageSpares() {
	for _, dom := range stp.domains() {
		if stp.inp.Calm && !stp.settled(dom) {
			continue
		}
		var empty, other []*site.Server
		staged := map[string]int{}
		for _, srv := range stp.free(dom) {
			pst := stp.mac.pasts[srv.ID]
			switch {
			case pst.staging != "":
				staged[pst.staging]++
			case len(srv.StagedModels) == 0:
				empty = append(empty, srv)
			default:
				staged[onHost(srv)]++
				other = append(other, srv)
			}
		}
		// The members of a group to be formed are no spares.
		top := stp.scarcest()
		if top != nil {
			num := stp.core(top, other)
			staged[top.Name] = max(0, staged[top.Name]-num)
			if num > 0 {
				other = slices.DeleteFunc(other, func(srv *site.Server) bool { return onHost(srv) == top.Name })
			}
		}
		for _, srv := range empty {
			mod := stp.wanted(dom, staged)
			stp.stage(srv, mod, staged)
		}
		stp.restage(dom, other, staged)
	}
}

// onHost returns the model that was loaded last onto the server's host.
func onHost(srv *site.Server) string { return srv.StagedModels[len(srv.StagedModels)-1] }

// spareWorth is what one more spare of the model is worth in a domain: losses
// come by members, and a loss hurts by the square of the load.
func (stp *step) spareWorth(mod *site.Model, domain string, staged int) float64 {
	lod := 1.0
	if stp.inp.Load != nil {
		lod = max(stp.inp.Load[mod.Name], minLoad)
	}
	wth := float64(mod.GroupSize) * lod * lod / float64(1+staged)
	if !stp.serves(mod, domain) {
		wth /= 2
	}
	return wth
}

// wanted returns the model of which the domain needs a spare most.
func (stp *step) wanted(domain string, staged map[string]int) *site.Model {
	mod := slices.MaxFunc(stp.svc.Engine.Models, func(one, two site.Model) int {
		return cmp.Compare(stp.spareWorth(&one, domain, staged[one.Name]), stp.spareWorth(&two, domain, staged[two.Name]))
	})
	return &mod
}

// restage replaces the model on one spare's host if another is worth far more.
func (stp *step) restage(domain string, srvs []*site.Server, staged map[string]int) {
	mod := stp.wanted(domain, staged)
	for _, srv := range srvs {
		old := onHost(srv)
		idx := slices.IndexFunc(stp.svc.Engine.Models, func(one site.Model) bool { return one.Name == old })
		if idx < 0 || old == mod.Name {
			continue
		}
		worth := stp.spareWorth(&stp.svc.Engine.Models[idx], domain, staged[old]-1)
		if stp.spareWorth(mod, domain, staged[mod.Name]) > restageGain*worth {
			stp.stage(srv, mod, staged)
			return
		}
	}
}

// stage loads a model onto a spare's host.
func (stp *step) stage(srv *site.Server, mod *site.Model, staged map[string]int) {
	if !stp.load(mod, []*site.Server{srv}) {
		return
	}
	if stp.send(srv, site.Order{Kind: site.OrderStage, Model: mod.Name}) {
		staged[mod.Name]++
		pst := stp.mac.pasts[srv.ID]
		pst.staging, pst.until = mod.Name, stp.inp.Now.Add(stagingFactor*mod.LoadTime)
	}
}
