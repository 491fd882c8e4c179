package place

import (
	"math"
	"time"

	"kumquathinge/core/site"
)

const (
	// sustainedUtilisation is the demand per group up to which requests are on time
	// if they arrive evenly.
	sustainedUtilisation = 0.95
	// queueingSharpness sets how suddenly requests get late as the demand approaches
	// sustainedUtilisation: with 8, 8 % are late or refused at it, 3 % at 0.8 of a
	// group, and less than 1 % below 0.65.
	queueingSharpness = 8
	// urgencyBase is the factor between the values of two urgencies that differ by
	// one, and minUrgencyWeight the least value relative to the most urgent requests.
	urgencyBase      = 2
	minUrgencyWeight = 0.25
	// contendedUtilisation is the demand per group, and contendedRefusal the refused
	// part of the demand, above which the demand decides on groups. Below both every
	// model has what it needs.
	contendedUtilisation = 0.9
	contendedRefusal     = 0.01
	// contentionTime is the time for which the demand decides after a model lacked
	// groups: the longest period, so that it also decides in troughs.
	contentionTime = 20 * time.Second
	// maxDemandUtilisation limits the utilisation that demand stands for.
	maxDemandUtilisation = 2.0
)

// served returns the part of a demand that a number of groups serves on time, both in
// groups. It is concave in the groups: near full batches a small change of the demand
// per group costs much, and groups beyond the demand add little.
func served(asked float64, groups int) float64 {
	if asked <= 0 || groups <= 0 {
		return 0
	}
	ratio := asked / (sustainedUtilisation * float64(groups))
	return asked * math.Pow(1+math.Pow(ratio, queueingSharpness), -1.0/queueingSharpness)
}

// valuation values the groups of the models of a service by the demand of callers.
type valuation struct {
	demand map[string]site.ModelDemand
	// highest is the most urgent level that has demand.
	highest int
}

// newValuation returns the valuation of the models, or nil if the demand of one of
// them is unknown.
func newValuation(demand map[string]site.ModelDemand, models []site.Model) *valuation {
	val := &valuation{demand: demand, highest: math.MaxInt}
	for _, model := range models {
		dem, known := demand[model.Name]
		if !known {
			return nil
		}
		for _, lvl := range dem.Levels {
			if lvl.Asked > 0 {
				val.highest = min(val.highest, lvl.Urgency)
			}
		}
	}
	return val
}

// weight returns the value of requests of an urgency relative to the most urgent.
func (val *valuation) weight(urgency int) float64 {
	return max(minUrgencyWeight, math.Pow(urgencyBase, float64(val.highest-urgency)))
}

// asked returns the demand for a model in groups.
func (val *valuation) asked(model string) float64 {
	sum := 0.0
	for _, lvl := range val.demand[model].Levels {
		sum += lvl.Asked
	}
	return sum
}

// refused returns the refused demand for a model in groups.
func (val *valuation) refused(model string) float64 {
	sum := 0.0
	for _, lvl := range val.demand[model].Levels {
		sum += lvl.Refused
	}
	return sum
}

// groups returns the value per second of a number of groups of a model. Urgent
// requests are served first.
func (val *valuation) groups(model string, num int) float64 {
	asked, before, sum := 0.0, 0.0, 0.0
	for _, lvl := range val.demand[model].Levels {
		asked += lvl.Asked
		total := served(asked, num)
		sum += val.weight(lvl.Urgency) * (total - before)
		before = total
	}
	return sum
}

// urgencyFactor returns the mean weight of the demand for a model.
func (val *valuation) urgencyFactor(model string) float64 {
	asked, sum := 0.0, 0.0
	for _, lvl := range val.demand[model].Levels {
		asked += lvl.Asked
		sum += val.weight(lvl.Urgency) * lvl.Asked
	}
	if asked == 0 {
		return 1
	}
	return sum / asked
}

// groupCount returns the number of groups of a model, existing or being formed.
func (ps *pass) groupCount(model string) int {
	num := 0
	for _, counts := range ps.groupCounts {
		num += counts[model]
	}
	return num
}

// valueDemand sets the valuation that decides on groups. It is nil, and the utilisation
// decides, while the demand of a model is unknown or no model lacks groups.
func (ps *pass) valueDemand() {
	models := ps.service.Engine.Models
	if ps.input.Demand == nil || ps.input.Utilisation == nil || ps.input.BeforeTraffic || len(models) < 2 {
		return
	}
	val := newValuation(ps.input.Demand, models)
	if val == nil {
		return
	}
	for idx := range models {
		if ps.contended(val, &models[idx]) {
			ps.planner.contendedUntil = ps.input.Now.Add(contentionTime)
		}
	}
	if ps.input.Now.Before(ps.planner.contendedUntil) {
		ps.valuation = val
	}
}

// contended reports whether a model lacks groups: requests are refused, or its groups
// are nearly full and the demand exceeds them. The demand alone may be estimated too
// high.
func (ps *pass) contended(val *valuation, model *site.Model) bool {
	asked := val.asked(model.Name)
	if val.refused(model.Name) > contendedRefusal*asked {
		return true
	}
	return ps.input.Utilisation[model.Name] >= neededUtilisation && asked > contendedUtilisation*float64(ps.groupCount(model.Name))
}

// utilisation returns the utilisation of a model, or the demand per group if that is
// known and greater.
func (ps *pass) utilisation(model *site.Model) float64 {
	util := ps.input.Utilisation[model.Name]
	num := ps.groupCount(model.Name)
	if ps.valuation == nil || num == 0 {
		return util
	}
	return max(util, min(ps.valuation.asked(model.Name)/float64(num), maxDemandUtilisation))
}
