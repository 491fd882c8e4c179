package place

import (
	"cmp"
	"math"
	"slices"

	"kumquathinge/core/site"
)

const (
	// minShare replaces the initial share of a model configured without one, so
	// that the model gets a group if servers are left over.
	minShare = 0.01
	// maxSurplus limits how far the supply ratio of a model may exceed the
	// lowest one while servers are still registering.
	maxSurplus = 1.15
	// minUtilisation replaces the utilisation of an idle model, so that it keeps
	// some weight.
	minUtilisation = 0.05
	// reservedSpares is the number of servers kept in a domain to replace lost
	// members of its group of the busiest model.
	reservedSpares = 2
	// partialGroupMargin is the ratio of utilisations from which servers that
	// hold the busier model are reserved for an incomplete group of it.
	partialGroupMargin = 1.2
	// minRestageGain is the ratio of spare values from which a spare's staged
	// model is replaced.
	minRestageGain = 2.5
	// maxLoadSlowdown is the factor by which concurrent loads may prolong a
	// load.
	maxLoadSlowdown = 2
)

// formGroups forms new groups from free servers, the model with the lowest
// supply ratio first.
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

// nextGroup returns the model and the domain of the next group, or nil if no
// group can be formed. Groups that need no loads come first.
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
	// displacedGroups is the number of larger groups for which the domain would
	// no longer have enough free servers.
	displacedGroups int
}

// betterThan reports whether the candidate is preferred to another. Before
// traffic starts, loads are cheap and have the lowest precedence.
func (cand candidate) betterThan(other candidate, beforeTraffic bool) bool {
	if !beforeTraffic && (cand.loadsNeeded == 0) != (other.loadsNeeded == 0) {
		return cand.loadsNeeded == 0
	}
	return cmp.Or(cmp.Compare(cand.supplyRatio, other.supplyRatio), cmp.Compare(cand.displacedGroups, other.displacedGroups), cmp.Compare(cand.loadsNeeded, other.loadsNeeded)) < 0
}

// displacedGroups returns by how many the larger groups that fit into the free
// servers of a domain decrease when a group of the model is formed.
func (ps *pass) displacedGroups(model *site.Model, free int) int {
	num := 0
	for _, other := range ps.service.Engine.Models {
		if other.GroupSize > model.GroupSize {
			num += free/other.GroupSize - (free-model.GroupSize)/other.GroupSize
		}
	}
	return num
}

// supplyRatio returns the number of servers of a model relative to its demand.
// The model with the lowest ratio gets the next group.
func (ps *pass) supplyRatio(model *site.Model) float64 {
	return float64(ps.serverCountByModel[model.Name]) / max(ps.demand(model), minShare)
}

// lowestSupplyRatio returns the lowest ratio of all models.
func (ps *pass) lowestSupplyRatio() float64 {
	low := math.Inf(1)
	for idx := range ps.service.Engine.Models {
		low = min(low, ps.supplyRatio(&ps.service.Engine.Models[idx]))
	}
	return low
}

// demand returns the demand for a model as the number of servers kept busy, or
// its initial share while its utilisation is unknown.
func (ps *pass) demand(model *site.Model) float64 {
	if ps.input.Utilisation == nil || ps.serverCountByModel[model.Name] == 0 {
		return model.InitialShare
	}
	return max(ps.input.Utilisation[model.Name], minUtilisation) * float64(ps.serverCountByModel[model.Name])
}

// busiestModel returns the model with the highest utilisation, nil if unknown.
func (ps *pass) busiestModel() *site.Model {
	if ps.input.Utilisation == nil {
		return nil
	}
	model := slices.MaxFunc(ps.service.Engine.Models, func(one, two site.Model) int {
		return cmp.Compare(ps.input.Utilisation[one.Name], ps.input.Utilisation[two.Name])
	})
	return &model
}

// availableFor returns the servers of a domain that a new group of the model
// may use. Servers that hold the busiest model are kept as its spares or as
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

// replacementsFor returns the servers of a domain that may replace members of a
// group of the model. Servers reserved for an incomplete group of the busiest
// model are left out.
func (ps *pass) replacementsFor(model *site.Model, srvs []*site.Server) []*site.Server {
	busiest := ps.busiestModel()
	if busiest == nil || busiest.Name == model.Name {
		return srvs
	}
	return ps.withoutHolders(busiest, ps.reservedForPartial(busiest, model, srvs), srvs)
}

// reservedForPartial returns the number of servers reserved for an incomplete
// group of the busiest model, zero unless its utilisation exceeds that of the
// other model by partialGroupMargin.
func (ps *pass) reservedForPartial(busiest, model *site.Model, srvs []*site.Server) int {
	if ps.input.Utilisation[busiest.Name] < partialGroupMargin*ps.input.Utilisation[model.Name] {
		return 0
	}
	return ps.partialGroupSize(busiest, srvs)
}

// withoutHolders returns the servers without the first keep ones that hold or
// are loading the model.
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

// partialGroupSize returns how many of a domain's free servers hold the model
// if they are at least half of a group, and zero otherwise. It is zero for all
// but the largest model, since smaller groups are easy to complete.
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

// hasGroup reports whether the domain has a group of the model, existing or
// being formed.
func (ps *pass) hasGroup(model *site.Model, domain string) bool {
	for id := range ps.held {
		srv := ps.input.View.Server(id)
		if hist := ps.planner.servers[id]; srv != nil && srv.Domain == domain && hist != nil && (srv.Model == model.Name || hist.lastModel == model.Name) {
			return true
		}
	}
	return false
}

// settled reports whether no server of the domain was first seen within
// settleDelay.
func (ps *pass) settled(domain string) bool {
	for id, srv := range ps.input.View.Servers() {
		if srv.Domain == domain && ps.input.Now.Sub(ps.planner.servers[id].firstSeenAt) < settleDelay {
			return false
		}
	}
	return true
}

// loadsNeeded returns the number of members for which a group of the model must
// load it from the weight store.
func (ps *pass) loadsNeeded(model *site.Model, srvs []*site.Server) int {
	num := 0
	for _, srv := range srvs {
		if ps.joinCost(model, srv) < costLoad {
			num++
		}
	}
	return max(0, model.GroupSize-num)
}

// stageSpares loads models onto the hosts of unused servers, so that these can
// replace lost members quickly.
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
		// Members of a group to be formed aren't spares.
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

// lastStaged returns the model loaded last onto the server's host.
func lastStaged(srv *site.Server) string { return srv.StagedModels[len(srv.StagedModels)-1] }

// spareValue returns the value of one more spare of the model in a domain. The
// probability of a loss grows with the number of members, its impact with the
// square of the utilisation.
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

// mostNeededSpare returns the model whose next spare has the highest value in
// the domain.
func (ps *pass) mostNeededSpare(domain string, staged map[string]int) *site.Model {
	model := slices.MaxFunc(ps.service.Engine.Models, func(one, two site.Model) int {
		return cmp.Compare(ps.spareValue(&one, domain, staged[one.Name]), ps.spareValue(&two, domain, staged[two.Name]))
	})
	return &model
}

// restage replaces the staged model of at most one spare, if another model has
// a much higher value.
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

// stage orders a spare to load a model onto its host.
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
