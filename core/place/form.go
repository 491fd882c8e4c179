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
	// share than the model that has the fewest.
	surplus = 1.15
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
		mems := stp.fastest(mod, free[where])[:mod.Size]
		if !stp.load(mod, mems) {
			return
		}
		stp.start(stp.mac.name(), mod, mems)
		free[where] = slices.DeleteFunc(free[where], func(srv *site.Server) bool { return stp.held[srv.ID] })
	}
}

// next returns the model of the next group and its domain, nil if none fits.
func (stp *step) next(names []string, free map[string][]*site.Server) (*site.Model, string) {
	ratio := func(mod *site.Model) float64 { return float64(stp.have[mod.Name]) / max(mod.Share, minShare) }
	low := math.Inf(1)
	for idx := range stp.svc.Engine.Models {
		low = min(low, ratio(&stp.svc.Engine.Models[idx]))
	}
	var best *site.Model
	where, cost := "", math.Inf(1)
	for idx := range stp.svc.Engine.Models {
		mod := &stp.svc.Engine.Models[idx]
		if best != nil && ratio(mod) >= ratio(best) || ratio(mod) > low*surplus {
			continue
		}
		for _, nam := range names {
			if len(free[nam]) < mod.Size {
				continue
			}
			if val := stp.loadsFor(mod, free[nam]); best != mod || val < cost {
				best, where, cost = mod, nam, val
			}
		}
	}
	return best, where
}

// loadsFor returns the number of loads that a group of the model needs.
func (stp *step) loadsFor(mod *site.Model, srvs []*site.Server) float64 {
	num := 0
	for _, srv := range srvs {
		if stp.rank(mod, srv) < rankLoad {
			num++
		}
	}
	return float64(max(0, mod.Size-num))
}

// stageSpares loads models onto the hosts of servers that no group needs, so
// that they can stand in for a lost member.
func (stp *step) stageSpares() {
	for _, dom := range stp.domains() {
		var empty []*site.Server
		staged := map[string]int{}
		for _, srv := range stp.free(dom) {
			pst := stp.mac.pasts[srv.ID]
			switch {
			case pst != nil && pst.staging != "":
				staged[pst.staging]++
			case len(srv.Staged) == 0:
				empty = append(empty, srv)
			default:
				staged[srv.Staged[len(srv.Staged)-1]]++
			}
		}
		for _, srv := range empty {
			stp.stage(srv, staged)
		}
	}
}

// stage loads the model of which the domain has the fewest spares, the larger
// one first.
func (stp *step) stage(srv *site.Server, staged map[string]int) {
	mod := slices.MinFunc(stp.svc.Engine.Models, func(one, two site.Model) int {
		return cmp.Or(cmp.Compare(staged[one.Name], staged[two.Name]), cmp.Compare(two.Size, one.Size))
	})
	if !stp.load(&mod, []*site.Server{srv}) {
		return
	}
	if stp.send(srv, site.Order{Kind: site.OrderStage, Model: mod.Name}) {
		staged[mod.Name]++
		pst := stp.mac.pasts[srv.ID]
		pst.staging, pst.until = mod.Name, stp.inp.Now.Add(stagingFactor*mod.LoadTime)
	}
}
