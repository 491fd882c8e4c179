package entry

import (
	"time"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// loadTimeConstant is the time constant of the moving average of the load.
const loadTimeConstant = 3 * time.Second

// sampleLoad updates and returns the mean batch utilisation by model, or nil if
// no requests have arrived yet.
func (ord *orderer) sampleLoad(now time.Time) map[string]float64 {
	if ord.requestCount() == 0 {
		return nil
	}
	weight := min(1, float64(now.Sub(ord.loadSampledAt))/float64(loadTimeConstant))
	ord.loadSampledAt = now
	if ord.loadByModel == nil {
		ord.loadByModel = map[string]float64{}
		weight = 1
	}
	table, view := ord.state.table.Load(), ord.state.view.Load()
	for _, svc := range table.Config().Services {
		if svc.Engine == nil {
			continue
		}
		for _, model := range svc.Engine.Models {
			ord.loadByModel[model.Name] += weight * (ord.meanUtilisation(&svc, view.ServingHeads(svc.Name, model.Name), now) - ord.loadByModel[model.Name])
		}
	}
	return ord.loadByModel
}

// meanUtilisation returns the mean batch utilisation of the heads, or 1 if
// there are none.
func (ord *orderer) meanUtilisation(svc *site.Service, heads []*site.Server, now time.Time) float64 {
	if len(heads) == 0 {
		return 1
	}
	sum := 0.0
	ord.loads.withLock(func(balancer *share.Balancer) {
		for _, head := range heads {
			sum += balancer.Load(head.ID, now).Utilisation(svc.Engine.Slots)
		}
	})
	return sum / float64(len(heads))
}
