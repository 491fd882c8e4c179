package entry

import (
	"time"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// loadTime is the time over which the load of models is averaged.
const loadTime = 3 * time.Second

// measure returns the mean part of the batches that requests take by model, nil
// while no requests have come.
func (ord *orderer) measure(now time.Time) map[string]float64 {
	if ord.busy() == 0 {
		return nil
	}
	part := min(1, float64(now.Sub(ord.measured))/float64(loadTime))
	ord.measured = now
	if ord.load == nil {
		ord.load = map[string]float64{}
		part = 1
	}
	tab, vie := ord.sta.table.Load(), ord.sta.view.Load()
	for _, svc := range tab.Config().Services {
		if svc.Engine == nil {
			continue
		}
		for _, mod := range svc.Engine.Models {
			ord.load[mod.Name] += part * (ord.used(&svc, vie.ServingHeads(svc.Name, mod.Name), now) - ord.load[mod.Name])
		}
	}
	return ord.load
}

// used returns the mean part of the batch that requests take at the heads, or 1
// if there are none.
func (ord *orderer) used(svc *site.Service, heads []*site.Server, now time.Time) float64 {
	if len(heads) == 0 {
		return 1
	}
	sum := 0.0
	ord.lod.with(func(boo *share.Balancer) {
		for _, hea := range heads {
			sum += boo.Load(hea.ID, now).Utilisation(svc.Engine.Slots)
		}
	})
	return sum / float64(len(heads))
}
