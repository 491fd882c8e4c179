package place

import (
	"maps"
	"math"
	"slices"
	"strings"

	"kumquathinge/core/site"
)

// warmUpPrefix begins the names of warm-up groups. A free server joins a
// warm-up group of its own, which is never opened, to load a model: unlike a
// staged copy on the host, this makes its next join to that model the shortest
// one. The name states the model, so that a new orderer knows which loads are
// in progress.
const warmUpPrefix = "w/"

func warmUpName(model, id string) string { return warmUpPrefix + model + "/" + id }

func isWarmUp(name string) bool { return strings.HasPrefix(name, warmUpPrefix) }

// loadingModel returns the model that a free server is loading, or an empty
// string.
func (ps *pass) loadingModel(srv *site.Server) string {
	name := ""
	if srv.Group.State == site.GroupJoining {
		name = srv.Group.Name
	}
	if pending := ps.planner.pendingOrders[srv.ID]; pending != nil && pending.order.Kind == site.OrderJoin {
		name = pending.order.Group
	}
	rest, ok := strings.CutPrefix(name, warmUpPrefix)
	if !ok {
		return ""
	}
	model, _, _ := strings.Cut(rest, "/")
	return model
}

const (
	// lossBatch is the number of members that groups of at least largeGroupSize
	// lose together.
	lossBatch      = 2
	largeGroupSize = 8
	// minLoadValue is the value from which an empty server loads a model.
	minLoadValue = 0.01
	// minConversionGain is the gain in value from which a free server replaces
	// the model that it holds. The server is of no use during the load.
	minConversionGain = 0.35
	// minBlindConversionGain replaces it while the utilisation is unknown, so
	// that only groups are completed.
	minBlindConversionGain = 0.3
	// loadsPerReserved is the number of concurrent loads for each one that is kept for
	// loads of at least reservedLoadValue, which complete a group or nearly do. While
	// servers are lost faster than the weight store replaces them, a group that lacks
	// one member would otherwise wait a whole load for spares and begun groups.
	loadsPerReserved  = 3
	reservedLoadValue = 1.0
	// idleUtilisation is the utilisation up to which more groups of a model are
	// of no use, and fullUtilisation the one at which they are needed.
	idleUtilisation = 0.4
	fullUtilisation = 0.9
	// partialHolderValue is the value of a server of an incomplete group relative
	// to that of the group.
	partialHolderValue = 1.0
	// freshGroupFactor lets a group that has begun to load be completed first.
	freshGroupFactor = 0.8
	// partialDiscount lowers the value of an incomplete group that waits for
	// servers to be added to its domain.
	partialDiscount = 0.8
	// unneededUtilisation is the utilisation up to which one more group has only
	// minNewGroupNeed of its weight.
	unneededUtilisation = 0.6
	minNewGroupNeed     = 0.2
	// minShortageScarcity is the least weight of a group that waits for a member:
	// the utilisation lags behind its loss.
	minShortageScarcity = 1.4
	// minScarcity and maxScarcity limit the weight of a model. A group that is
	// not needed now replaces one that is lost later.
	minScarcity = 0.7
	// noGroupScarcity is the weight of a model without any group.
	noGroupScarcity = 4.0
	maxScarcity     = 1.5
)

// scarcity returns the weight of a model's next group by its utilisation, which
// spare groups of free servers lower. Before the utilisation is known, the model
// with the fewest servers for its initial share counts as full.
func (ps *pass) scarcity(model *site.Model, plans []*loadPlan) float64 {
	servers := float64(ps.serverCountByModel[model.Name])
	if servers == 0 && ps.input.Utilisation != nil {
		return noGroupScarcity
	}
	total := servers
	for _, plan := range plans {
		total += float64(plan.available[model.Name] / model.GroupSize * model.GroupSize)
	}
	util := fullUtilisation
	if ps.input.Utilisation != nil {
		util = ps.input.Utilisation[model.Name] * max(servers, 1) / max(total, 1)
	} else if low := ps.lowestProjectedRatio(plans); total > 0 {
		util *= low / ps.projectedRatio(model, plans)
	}
	return min(max((util-idleUtilisation)/(fullUtilisation-idleUtilisation), minScarcity), maxScarcity)
}

// projectedRatio returns the supply ratio of a model with the free servers that
// hold or load it.
func (ps *pass) projectedRatio(model *site.Model, plans []*loadPlan) float64 {
	num := ps.serverCountByModel[model.Name]
	for _, plan := range plans {
		num += plan.available[model.Name]
	}
	return float64(num+1) / max(model.InitialShare, minShare)
}

func (ps *pass) lowestProjectedRatio(plans []*loadPlan) float64 {
	low := math.Inf(1)
	for idx := range ps.service.Engine.Models {
		low = min(low, ps.projectedRatio(&ps.service.Engine.Models[idx], plans))
	}
	return low
}

// loadPlan is the state of a domain for the choice of its loads.
type loadPlan struct {
	domain string
	// empty lists the free servers without a model, holders those that hold
	// one, by model.
	empty   []*site.Server
	holders map[string][]*site.Server
	// available is the number of free servers that hold or load a model.
	available map[string]int
	groups    map[string]int
	shortages map[string][]int
}

// planLoads returns the load plan of each domain, and the number of loads in
// progress.
func (ps *pass) planLoads() ([]*loadPlan, int) {
	var plans []*loadPlan
	loads := 0
	for _, domain := range ps.domains() {
		plan := &loadPlan{domain: domain, holders: map[string][]*site.Server{}, available: map[string]int{}, groups: ps.groupCounts[domain], shortages: ps.shortages[domain]}
		for _, srv := range ps.serversByDomain[domain] {
			if ps.held[srv.ID] {
				continue
			}
			if model := ps.loadingModel(srv); model != "" {
				loads++
				plan.available[model]++
				continue
			}
			if ps.planner.move.ordered(srv) {
				loads++
				plan.available[ps.planner.move.To]++
			}
			if ps.planner.pendingOrders[srv.ID] != nil || ps.planner.move.reserves(srv) {
				continue
			}
			if len(srv.StagedModels) == 0 {
				plan.empty = append(plan.empty, srv)
				continue
			}
			model := lastStaged(srv)
			if !ps.planner.move.includes(srv) {
				plan.holders[model] = append(plan.holders[model], srv)
			}
			plan.available[model]++
		}
		plans = append(plans, plan)
	}
	return plans, loads
}

// loadValue returns the value of one more free server that holds the model,
// beside the available ones. A server that completes a group is worth most; one
// of several that are missing has its part of that. Before traffic, what forms no
// group is a spare. Before the utilisation is known, the groups follow the
// initial shares, and one that has begun is completed first.
func (ps *pass) loadValue(plan *loadPlan, model *site.Model, available, reserve int) float64 {
	weight := ps.scarcityByModel[model.Name]
	spare := func(available int) float64 {
		return weight * ps.lossProbability(model, plan.groups[model.Name], available)
	}
	if ps.input.BeforeTraffic {
		return spare(available)
	}
	best := 0.0
	for _, need := range plan.shortages[model.Name] {
		if available >= need {
			available -= need
			continue
		}
		best = max(best, completionValue(max(weight, minShortageScarcity), need-available, reserve))
		available = 0
	}
	available %= model.GroupSize
	switch missing := model.GroupSize - available; {
	case ps.input.Utilisation != nil || missing > reserve:
		best = max(best, completionValue(ps.newGroupWeight(model, weight), missing, reserve))
	case available == 0:
		best = max(best, freshGroupFactor*weight)
	default:
		best = max(best, weight)
	}
	return max(best, spare(available))
}

// newGroupWeight returns the weight of one more group of a model. Groups beyond
// the demand are worth less than spares.
func (ps *pass) newGroupWeight(model *site.Model, weight float64) float64 {
	if ps.input.Utilisation == nil {
		return weight
	}
	need := (ps.input.Utilisation[model.Name] - unneededUtilisation) / (fullUtilisation - unneededUtilisation)
	return weight * min(max(need, minNewGroupNeed), 1)
}

// lossProbability returns the probability that more than the given number of
// servers of the groups of a model in one domain are lost during a load.
// Losses come as a Poisson process. Those of a large group come in pairs, since
// two servers that are lost together are often members of one.
func (ps *pass) lossProbability(model *site.Model, groups, spares int) float64 {
	batch := 1
	if model.GroupSize >= largeGroupSize {
		batch = lossBatch
	}
	mean := ps.planner.losses.perServer(ps.input.Now, ps.serverCount) * float64(groups*model.GroupSize) / float64(batch)
	term := math.Exp(-mean)
	sum := term
	for num := 1; num <= spares/batch; num++ {
		term *= mean / float64(num)
		sum += term
	}
	return 1 - sum
}

// completionValue returns the value of one of the servers that a group lacks. It
// is lower if the domain has too few free servers to complete the group.
func completionValue(weight float64, missing, reserve int) float64 {
	if missing > reserve {
		weight *= partialDiscount
	}
	return weight / float64(missing)
}

// warmUp orders the load of one model to one server.
type warmUp struct {
	plan  *loadPlan
	model *site.Model
	// replaced is the model that the server holds, empty if none.
	replaced string
	gain     float64
}

// bestWarmUp returns the load with the greatest gain, or nil if none is worth
// it.
func (ps *pass) bestWarmUp(plans []*loadPlan) *warmUp {
	var best *warmUp
	leastGain := minConversionGain
	if ps.input.Utilisation == nil {
		leastGain = minBlindConversionGain
	}
	consider := func(next warmUp, least float64) {
		if next.gain >= least && (best == nil || next.gain > best.gain) {
			best = &next
		}
	}
	for _, plan := range plans {
		// Servers that return together register within about a second, so that
		// what a domain holds is known only then.
		settled := ps.settled(plan.domain)
		if ps.input.BeforeTraffic && !settled {
			continue
		}
		for idx := range ps.service.Engine.Models {
			model := &ps.service.Engine.Models[idx]
			reserve := len(plan.empty)
			value := ps.loadValue(plan, model, plan.available[model.Name], reserve)
			if len(plan.empty) > 0 {
				consider(warmUp{plan: plan, model: model, gain: value}, minLoadValue)
				continue
			}
			for _, held := range slices.Sorted(maps.Keys(plan.holders)) {
				num := len(plan.holders[held])
				if held == model.Name || num == 0 || !settled {
					continue
				}
				lost := ps.holderValue(plan, held)
				gain := ps.loadValue(plan, model, plan.available[model.Name], num) - lost
				consider(warmUp{plan: plan, model: model, replaced: held, gain: gain}, min(leastGain, lost+minLoadValue))
			}
		}
	}
	return best
}

// holderValue returns the value of one of the free servers that hold a model.
// At least half of a group is kept together, since each server that is taken
// from it has to be replaced by another load.
func (ps *pass) holderValue(plan *loadPlan, name string) float64 {
	for idx := range ps.service.Engine.Models {
		model := &ps.service.Engine.Models[idx]
		if model.Name != name {
			continue
		}
		value := ps.loadValue(plan, model, plan.available[name]-1, len(plan.empty)+1)
		if 2*(plan.available[name]%model.GroupSize) >= model.GroupSize {
			value = max(value, partialHolderValue*ps.scarcityByModel[name])
		}
		return value
	}
	return 0
}

// warmUpServers lets free servers load models, the loads of the greatest gain
// first. Concurrent loads slow each other down, so no more are started than the
// weight store carries at full speed.
func (ps *pass) warmUpServers() {
	plans, loads := ps.planLoads()
	limit, unreserved := math.MaxInt, math.MaxInt
	if num := ps.service.Engine.MaxConcurrentLoads; num > 0 && !ps.input.BeforeTraffic {
		limit, unreserved = num, num-num/loadsPerReserved
	}
	loads += ps.loadMoved(unreserved - loads)
	for loads < limit {
		for idx := range ps.service.Engine.Models {
			model := &ps.service.Engine.Models[idx]
			ps.scarcityByModel[model.Name] = ps.scarcity(model, plans)
		}
		next := ps.bestWarmUp(plans)
		if next == nil || loads >= unreserved && next.gain < reservedLoadValue || !ps.startWarmUp(next) {
			return
		}
		loads++
	}
}

// startWarmUp orders a load. It returns false if the rate limit is reached.
func (ps *pass) startWarmUp(next *warmUp) bool {
	if !ps.input.BeforeTraffic {
		if ps.planner.loadLimiter.available(ps.input.Now, ps.service.Engine.LoadsPerSec) < 1 {
			return false
		}
		ps.planner.loadLimiter.record(ps.input.Now)
	}
	plan, model := next.plan, next.model
	var srv *site.Server
	if next.replaced == "" {
		srv, plan.empty = plan.empty[0], plan.empty[1:]
	} else {
		held := plan.holders[next.replaced]
		srv, plan.holders[next.replaced] = held[len(held)-1], held[:len(held)-1]
		plan.available[next.replaced]--
	}
	plan.available[model.Name]++
	ps.addOrder(srv, site.Order{Kind: site.OrderJoin, Group: warmUpName(model.Name, srv.ID), Epoch: ps.planner.nextEpoch(), Model: model.Name, Members: []string{srv.ID}})
	return true
}

// lastStaged returns the model loaded last onto the server's host.
func lastStaged(srv *site.Server) string { return srv.StagedModels[len(srv.StagedModels)-1] }
