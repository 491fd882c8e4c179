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
	// serversPerSpare is the number of servers of a domain for each one that a
	// new group leaves as a spare, unless neededUtilisation is exceeded.
	serversPerSpare   = 16
	neededUtilisation = 0.8
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
		ps.startEpoch(ps.planner.nextName(), model, members)
		freeByDomain[domain] = slices.DeleteFunc(freeByDomain[domain], func(srv *site.Server) bool { return ps.held[srv.ID] })
	}
}

// nextGroup returns the model and the domain of the next group, or nil if no
// group can be formed. Before traffic the members may load the model as they
// join; afterwards only servers that hold it form groups.
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
			if cand.loadsNeeded > 0 && (!ps.input.BeforeTraffic || !ps.settled(domain)) {
				continue
			}
			if !ps.needed(model) && len(freeByDomain[domain])-model.GroupSize < len(ps.serversByDomain[domain])/serversPerSpare {
				continue
			}
			if best.model == nil || cand.betterThan(best) {
				best = cand
			}
		}
	}
	return best.model, best.domain
}

// needed reports whether the groups of a model are so busy that another one is
// worth more than spares.
func (ps *pass) needed(model *site.Model) bool {
	return ps.input.Utilisation != nil && ps.utilisation(model) >= neededUtilisation
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

// betterThan reports whether the candidate is preferred to another.
func (cand candidate) betterThan(other candidate) bool {
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
	demand := max(ps.utilisation(model), minUtilisation) * float64(ps.serverCountByModel[model.Name])
	if ps.valuation != nil {
		demand *= ps.valuation.urgencyFactor(model.Name)
	}
	return demand
}

// availableFor returns the servers that a group of the model may use: those that
// hold it, and before traffic, when loads are quick, all of them.
func (ps *pass) availableFor(model *site.Model, domain string, srvs []*site.Server) []*site.Server {
	if ps.input.BeforeTraffic {
		return srvs
	}
	return slices.DeleteFunc(slices.Clone(srvs), func(srv *site.Server) bool { return !srv.HasStaged(model.Name) })
}

// settled reports whether no entry of the domain appeared within settleDelay.
func (ps *pass) settled(domain string) bool {
	for id, srv := range ps.input.View.Servers() {
		if srv.Domain == domain && ps.input.Now.Sub(ps.planner.servers[id].seenSince) < settleDelay {
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
