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
// Groups that need no loads go first.
func (stp *step) next(names []string, free map[string][]*site.Server) (*site.Model, string) {
	var best candidate
	for idx := range stp.svc.Engine.Models {
		mod := &stp.svc.Engine.Models[idx]
		if stp.ratio(mod) > stp.lowest()*surplus {
			continue
		}
		for _, nam := range names {
			if len(free[nam]) < mod.Size {
				continue
			}
			cnd := candidate{model: mod, domain: nam, loads: stp.loadsFor(mod, free[nam]), ratio: stp.ratio(mod)}
			if cnd.loads > 0 && !stp.settled(free[nam]) {
				continue
			}
			if best.model == nil || cnd.before(best) {
				best = cnd
			}
		}
	}
	return best.model, best.domain
}

// candidate is a group that could be formed.
type candidate struct {
	model  *site.Model
	domain string
	loads  int
	ratio  float64
}

func (cnd candidate) before(oth candidate) bool {
	if (cnd.loads == 0) != (oth.loads == 0) {
		return cnd.loads == 0
	}
	return cmp.Or(cmp.Compare(cnd.ratio, oth.ratio), cmp.Compare(cnd.loads, oth.loads)) < 0
}

// ratio returns the servers of a model for its share of the work.
func (stp *step) ratio(mod *site.Model) float64 {
	return float64(stp.have[mod.Name]) / max(mod.Share, minShare)
}

// lowest returns the ratio of the model that has the fewest servers.
func (stp *step) lowest() float64 {
	low := math.Inf(1)
	for idx := range stp.svc.Engine.Models {
		low = min(low, stp.ratio(&stp.svc.Engine.Models[idx]))
	}
	return low
}

// settled reports whether none of the servers has come just now.
func (stp *step) settled(srvs []*site.Server) bool {
	if stp.inp.Calm {
		return true
	}
	return !slices.ContainsFunc(srvs, func(srv *site.Server) bool {
		return stp.inp.Now.Sub(stp.mac.pasts[srv.ID].seen) < settleTime
	})
}

// loadsFor returns the number of loads that a group of the model needs.
func (stp *step) loadsFor(mod *site.Model, srvs []*site.Server) int {
	num := 0
	for _, srv := range srvs {
		if stp.rank(mod, srv) < rankLoad {
			num++
		}
	}
	return max(0, mod.Size-num)
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
