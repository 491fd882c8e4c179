package emul

import (
	"math/rand/v2"
	"time"

	"kumquathinge/core/demnd"
	"kumquathinge/core/place"
	"kumquathinge/core/site"
)

const (
	// reportInterval is the interval between two reports of demand.
	reportInterval = 200 * time.Millisecond
	// reportNoise is the greatest relative error of a report.
	reportNoise = 0.1
)

// demandReports reports the demand of a pattern with random errors.
type demandReports struct {
	tracker    demnd.Tracker
	rnd        *rand.Rand
	reportedAt time.Time
}

func newDemandReports(seed uint64) *demandReports {
	return &demandReports{rnd: rand.New(rand.NewPCG(seed, 2))}
}

// updateDemand sets the demand of the models and reports it.
func (run *runner) updateDemand() {
	now := run.cluster.now
	for _, spec := range run.pat.Models {
		run.demand[spec.Name] = run.base[spec.Name] * spec.demandAt(now.Sub(run.begin))
	}
	rep := run.reports
	if rep == nil || now.Sub(rep.reportedAt) < reportInterval {
		return
	}
	rep.reportedAt = now
	for _, spec := range run.pat.Models {
		asked := run.demand[spec.Name] * (1 + reportNoise*(2*rep.rnd.Float64()-1))
		lvl := site.LevelDemand{Urgency: spec.Urgency, Asked: asked, Refused: max(0, run.demand[spec.Name]-float64(len(run.cluster.ServingHeads(spec.Name))))}
		rep.tracker.Record(spec.Name, site.ModelDemand{Levels: []site.LevelDemand{lvl}}, now)
	}
	run.cluster.SetDemand(rep.tracker.Demand(now))
}

// RunCallers steps the orderer for the given duration with a constant demand for the
// models, which it knows, and returns its moves. What exceeds the serving groups is
// refused.
func (cl *Cluster) RunCallers(pl *place.Planner, callers map[string]site.LevelDemand, dur time.Duration) []place.Move {
	var moves []place.Move
	for end := cl.now.Add(dur); cl.now.Before(end); {
		demand, util := map[string]site.ModelDemand{}, map[string]float64{}
		for name, lvl := range callers {
			num := float64(len(cl.ServingHeads(name)))
			lvl.Refused = max(0, lvl.Asked-num)
			demand[name] = site.ModelDemand{Levels: []site.LevelDemand{lvl}}
			util[name] = min(lvl.Asked/max(num, 1), maxUtilisation)
		}
		cl.SetDemand(demand)
		cl.SetUtilisation(util)
		cl.Step(pl)
		moves = append(moves, pl.TakeMoves()...)
	}
	return moves
}
