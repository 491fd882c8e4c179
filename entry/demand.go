package entry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/demnd"
	"kumquathinge/core/place"
	"kumquathinge/core/site"
)

// demandInterval is the interval between two reports to the demand collector.
const demandInterval = 200 * time.Millisecond

// demandCollector keeps the demand of the callers of all nodes. Every node has one, so
// that a node that becomes the orderer knows the demand of the last periods already.
type demandCollector struct {
	tracker   demnd.Tracker
	sampledAt time.Time
	metrics   demandMetrics
}

// sample records the demand for the models of services that have several and whose
// callers compete. For others the utilisation decides on groups.
func (col *demandCollector) sample(table *site.Table, loads *loadTracker, meter *nodeMetrics, now time.Time) {
	if table == nil || now.Sub(col.sampledAt) < demandInterval {
		return
	}
	col.sampledAt = now
	for _, svc := range table.Config().Services {
		if svc.Engine == nil || len(svc.Engine.Models) < 2 || table.Levels(svc.Name) == nil {
			continue
		}
		for _, model := range svc.Engine.Models {
			dem := loads.modelDemand(model.Name, now)
			col.tracker.Record(model.Name, dem, now)
			col.metrics.update(meter, model.Name, dem)
		}
	}
}

// demandMetrics holds the labels of the demand that was exposed, so that urgencies
// without demand fall to zero.
type demandMetrics struct {
	urgencies map[string]map[int]bool
}

func (met *demandMetrics) update(meter *nodeMetrics, model string, dem site.ModelDemand) {
	if met.urgencies == nil {
		met.urgencies = map[string]map[int]bool{}
	}
	if met.urgencies[model] == nil {
		met.urgencies[model] = map[int]bool{}
	}
	levels := map[int]site.LevelDemand{}
	for _, lvl := range dem.Levels {
		levels[lvl.Urgency] = lvl
		met.urgencies[model][lvl.Urgency] = true
	}
	for urgency := range met.urgencies[model] {
		meter.setDemand(model, urgency, levels[urgency])
	}
}

// setDemand sets the demand for a model by urgency.
func (meter *nodeMetrics) setDemand(model string, urgency int, lvl site.LevelDemand) {
	gauges := meter.demands.with(demandLabels{model: model, urgency: urgency})
	gauges.asked.Set(lvl.Asked)
	gauges.refused.Set(lvl.Refused)
}

// recordMove counts the groups that are given up for another model.
func (meter *nodeMetrics) recordMove(mv *place.Move) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_groups_given_up_total{from=%q,to=%q}", mv.From, mv.To)).Add(len(mv.Groups))
}

// reportMoves logs and counts the moves that the planner decided on.
func (ord *orderer) reportMoves(now time.Time) {
	for _, mv := range ord.planner.TakeMoves() {
		ord.metrics.recordMove(&mv)
		ord.log.WithFields(logrus.Fields{
			"event": "group_given_up", "term": ord.planner.Term(), "service": mv.Service, "domain": mv.Domain, "from": mv.From, "to": mv.To,
			"groups": mv.Groups, "formed": mv.Formed, "loads": mv.Loads, "gain": mv.Gain, "loss": mv.Loss,
			"from_groups": mv.FromGroups, "from_asked": mv.FromAsked, "from_refused": mv.FromRefused,
			"to_groups": mv.ToGroups, "to_asked": mv.ToAsked, "to_refused": mv.ToRefused, "confidence": ord.demand.tracker.Confidence(mv.To, now),
		}).Info("groups of a model are given up for another one whose callers are worth more")
	}
}
