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
	// maxSurplus is the factor by which a model may have more servers for its
	// share than the model that has the fewest while servers still arrive.
	maxSurplus = 1.15
	// minUtilisation stands for the load of a model that has none, so that it keeps
	// some weight.
	minUtilisation = 0.05
	// reservedSpares is the number of servers of a domain that are kept for losses of
	// its group of the model that is loaded most.
	reservedSpares = 2
	// partialGroupMargin is how many times as loaded as another model a model must be
	// for the members of a group that misses some to wait for others.
	partialGroupMargin = 1.2
	// minRestageGain is how many times the worth of a spare must grow for another
	// model to be loaded onto its host.
	minRestageGain = 2.5
	// maxLoadSlowdown is how many times its usual time a load may take when
	// others load at the same time.
	maxLoadSlowdown = 2
)

// formGroups makes new groups of free servers, the model that is shortest first.
func (ps *pass) formGroups() {
	domains := ps.domains()
	freeByDomain := map[string][]*site.Server{}
	for _, domain := range domains {
		freeByDomain[domain] = ps.freeServers(domain)
	}
	for {
		model, domain := ps.nextGroup(domains, freeByDomain)
		if model == nil {
			return
		}
		members := ps.sortByJoinCost(model, ps.availableFor(model, domain, freeByDomain[domain]))[:model.GroupSize]
		if !ps.reserveLoads(model, members) {
			return
		}
		ps.startEpoch(ps.planner.nextName(), model, members)
		freeByDomain[domain] = slices.DeleteFunc(freeByDomain[domain], func(srv *site.Server) bool { return ps.held[srv.ID] })
	}
}

// nextGroup returns the model of the next group and its domain, nil if none fits.
// Groups that need no loads go first.
func (ps *pass) nextGroup(domains []string, freeByDomain map[string][]*site.Server) (*site.Model, string) {
	var best candidate
	for idx := range ps.service.Engine.Models {
		model := &ps.service.Engine.Models[idx]
		if ps.input.BeforeTraffic && ps.supplyRatio(model) > ps.lowestSupplyRatio()*maxSurplus {
			continue
		}
		for _, domain := range domains {
			srvs := ps.availableFor(model, domain, freeByDomain[domain])
			if len(srvs) < model.GroupSize {
				continue
			}
			cand := candidate{model: model, domain: domain, loadsNeeded: ps.loadsNeeded(model, srvs), supplyRatio: ps.supplyRatio(model), displacedGroups: ps.displacedGroups(model, len(freeByDomain[domain]))}
			if cand.loadsNeeded > 0 && !ps.settled(domain) {
				continue
			}
			if best.model == nil || cand.betterThan(best, ps.input.BeforeTraffic) {
				best = cand
			}
		}
	}
	return best.model, best.domain
}

// candidate is a group that could be formed.
type candidate struct {
	model       *site.Model
	domain      string
	loadsNeeded int
	supplyRatio float64
	// displacedGroups is the number of larger groups that the domain has no room for
	// any more.
	displacedGroups int
}

// betterThan reports whether the candidate goes before another. While loads are
// cheap, they don't count.
func (cand candidate) betterThan(other candidate, beforeTraffic bool) bool {
	if !beforeTraffic && (cand.loadsNeeded == 0) != (other.loadsNeeded == 0) {
		return cand.loadsNeeded == 0
	}
	return cmp.Or(cmp.Compare(cand.supplyRatio, other.supplyRatio), cmp.Compare(cand.displacedGroups, other.displacedGroups), cmp.Compare(cand.loadsNeeded, other.loadsNeeded)) < 0
}

// displacedGroups returns how many groups of larger models fit less into the free servers
// of a domain once a group of the model is formed of them.
func (ps *pass) displacedGroups(model *site.Model, free int) int {
	num := 0
	for _, other := range ps.service.Engine.Models {
		if other.GroupSize > model.GroupSize {
			num += free/other.GroupSize - (free-model.GroupSize)/other.GroupSize
		}
	}
	return num
}

// supplyRatio returns the servers of a model for its part of the work. The lowest
// model gets the next group.
func (ps *pass) supplyRatio(model *site.Model) float64 {
	return float64(ps.serverCount[model.Name]) / max(ps.demand(model), minShare)
}

// lowestSupplyRatio returns the ratio of the model that has the fewest servers.
func (ps *pass) lowestSupplyRatio() float64 {
	low := math.Inf(1)
	for idx := range ps.service.Engine.Models {
		low = min(low, ps.supplyRatio(&ps.service.Engine.Models[idx]))
	}
	return low
}

// demand returns the work of a model in servers: those that its load keeps
// busy, or its share while no load is known.
func (ps *pass) demand(model *site.Model) float64 {
	if ps.input.Utilisation == nil || ps.serverCount[model.Name] == 0 {
		return model.InitialShare
	}
	return max(ps.input.Utilisation[model.Name], minUtilisation) * float64(ps.serverCount[model.Name])
}

// busiestModel returns the model whose groups are loaded most, nil if unknown.
func (ps *pass) busiestModel() *site.Model {
	if ps.input.Utilisation == nil {
		return nil
	}
	model := slices.MaxFunc(ps.service.Engine.Models, func(one, two site.Model) int {
		return cmp.Compare(ps.input.Utilisation[one.Name], ps.input.Utilisation[two.Name])
	})
	return &model
}

// availableFor returns the servers of a domain that a new group of the model may
// take: those that hold the scarcest model stay as its spares, or as the
// members of its next group.
func (ps *pass) availableFor(model *site.Model, domain string, srvs []*site.Server) []*site.Server {
	busiest := ps.busiestModel()
	if busiest == nil || busiest.Name == model.Name {
		return srvs
	}
	keep := ps.reservedForPartial(busiest, model, srvs)
	if keep == 0 && ps.hasGroup(busiest, domain) {
		keep = reservedSpares
	}
	return ps.withoutHolders(busiest, keep, srvs)
}

// replacementsFor returns the servers of a domain that may replace members of a group of
// the model: the members of a group of the scarcest model that is to be formed
// stay.
func (ps *pass) replacementsFor(model *site.Model, srvs []*site.Server) []*site.Server {
	busiest := ps.busiestModel()
	if busiest == nil || busiest.Name == model.Name {
		return srvs
	}
	return ps.withoutHolders(busiest, ps.reservedForPartial(busiest, model, srvs), srvs)
}

// reservedForPartial returns how many of the servers wait for others to form a group of
// the scarcest model, if it is loaded that much more than the other one.
func (ps *pass) reservedForPartial(busiest, model *site.Model, srvs []*site.Server) int {
	if ps.input.Utilisation[busiest.Name] < partialGroupMargin*ps.input.Utilisation[model.Name] {
		return 0
	}
	return ps.partialGroupSize(busiest, srvs)
}

// withoutHolders leaves out up to keep servers that hold the model.
func (ps *pass) withoutHolders(busiest *site.Model, keep int, srvs []*site.Server) []*site.Server {
	kept := 0
	return slices.DeleteFunc(slices.Clone(srvs), func(srv *site.Server) bool {
		if kept == keep || ps.joinCost(busiest, srv) == costLoad {
			return false
		}
		kept++
		return true
	})
}

// partialGroupSize returns how many of the free servers of a domain hold the model if they
// are a group that misses the smaller part of its members, and zero otherwise.
// Only groups of the largest model are hard to bring together.
func (ps *pass) partialGroupSize(model *site.Model, srvs []*site.Server) int {
	for _, other := range ps.service.Engine.Models {
		if other.Name != model.Name && other.GroupSize >= model.GroupSize {
			return 0
		}
	}
	num := 0
	for _, srv := range srvs {
		if srv.HasStaged(model.Name) {
			num++
		}
	}
	if 2*num < model.GroupSize {
		return 0
	}
	return min(num, model.GroupSize)
}

// hasGroup reports whether a group of the model stands or is formed in a domain.
func (ps *pass) hasGroup(model *site.Model, domain string) bool {
	for id := range ps.held {
		srv := ps.input.View.Server(id)
		if hist := ps.planner.servers[id]; srv != nil && srv.Domain == domain && hist != nil && (srv.Model == model.Name || hist.lastModel == model.Name) {
			return true
		}
	}
	return false
}

// settled reports whether no server of the domain has come just now.
func (ps *pass) settled(domain string) bool {
	for id, srv := range ps.input.View.Servers() {
		if srv.Domain == domain && ps.input.Now.Sub(ps.planner.servers[id].firstSeenAt) < settleDelay {
			return false
		}
	}
	return true
}

// loadsNeeded returns the number of loads that a group of the model needs.
func (ps *pass) loadsNeeded(model *site.Model, srvs []*site.Server) int {
	num := 0
	for _, srv := range srvs {
		if ps.joinCost(model, srv) < costLoad {
			num++
		}
	}
	return max(0, model.GroupSize-num)
}

// stageSpares loads models onto the hosts of servers that no group needs, so
// that they can stand in for a lost member.
func (ps *pass) stageSpares() {
	for _, domain := range ps.domains() {
		if ps.input.BeforeTraffic && !ps.settled(domain) {
			continue
		}
		var empty, other []*site.Server
		staged := map[string]int{}
		for _, srv := range ps.freeServers(domain) {
			hist := ps.planner.servers[srv.ID]
			switch {
			case hist.stagingModel != "":
				staged[hist.stagingModel]++
			case len(srv.StagedModels) == 0:
				empty = append(empty, srv)
			default:
				staged[lastStaged(srv)]++
				other = append(other, srv)
			}
		}
		// The members of a group to be formed are no spares.
		busiest := ps.busiestModel()
		if busiest != nil {
			num := ps.partialGroupSize(busiest, other)
			staged[busiest.Name] = max(0, staged[busiest.Name]-num)
			if num > 0 {
				other = slices.DeleteFunc(other, func(srv *site.Server) bool { return lastStaged(srv) == busiest.Name })
			}
		}
		for _, srv := range empty {
			model := ps.mostNeededSpare(domain, staged)
			ps.stage(srv, model, staged)
		}
		ps.restage(domain, other, staged)
	}
}

// lastStaged returns the model that was loaded last onto the server's host.
func lastStaged(srv *site.Server) string { return srv.StagedModels[len(srv.StagedModels)-1] }

// spareValue is what one more spare of the model is worth in a domain: losses
// come by members, and a loss hurts by the square of the load.
func (ps *pass) spareValue(model *site.Model, domain string, staged int) float64 {
	util := 1.0
	if ps.input.Utilisation != nil {
		util = max(ps.input.Utilisation[model.Name], minUtilisation)
	}
	value := float64(model.GroupSize) * util * util / float64(1+staged)
	if !ps.hasGroup(model, domain) {
		value /= 2
	}
	return value
}

// mostNeededSpare returns the model of which the domain needs a spare most.
func (ps *pass) mostNeededSpare(domain string, staged map[string]int) *site.Model {
	model := slices.MaxFunc(ps.service.Engine.Models, func(one, two site.Model) int {
		return cmp.Compare(ps.spareValue(&one, domain, staged[one.Name]), ps.spareValue(&two, domain, staged[two.Name]))
	})
	return &model
}

// restage replaces the model on one spare's host if another is worth far more.
func (ps *pass) restage(domain string, srvs []*site.Server, staged map[string]int) {
	model := ps.mostNeededSpare(domain, staged)
	for _, srv := range srvs {
		old := lastStaged(srv)
		idx := slices.IndexFunc(ps.service.Engine.Models, func(one site.Model) bool { return one.Name == old })
		if idx < 0 || old == model.Name {
			continue
		}
		value := ps.spareValue(&ps.service.Engine.Models[idx], domain, staged[old]-1)
		if ps.spareValue(model, domain, staged[model.Name]) > minRestageGain*value {
			ps.stage(srv, model, staged)
			return
		}
	}
}

// stage loads a model onto a spare's host.
func (ps *pass) stage(srv *site.Server, model *site.Model, staged map[string]int) {
	if !ps.reserveLoads(model, []*site.Server{srv}) {
		return
	}
	if ps.addOrder(srv, site.Order{Kind: site.OrderStage, Model: model.Name}) {
		staged[model.Name]++
		hist := ps.planner.servers[srv.ID]
		hist.stagingModel, hist.stagingDeadline = model.Name, ps.input.Now.Add(maxLoadSlowdown*model.LoadTime)
	}
}
