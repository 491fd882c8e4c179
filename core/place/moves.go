package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// moveHorizon is the time within which a move has to pay. It covers some
	// periods of the demand, so that a single crest doesn't move servers.
	moveHorizon = 60 * time.Second
	// moveMargin is the least ratio of the gain of a move to its cost, and
	// minMoveGain the least gain in groups. Together they keep servers from moving
	// back when the estimates of demand change by a few percent.
	moveMargin  = 1.5
	minMoveGain = 0.15
	// moveInterval is the time from the end of a move to the next one, in which the
	// demand settles: refused callers return, and the waiting requests end.
	moveInterval = 10 * time.Second
	// loadOrderTimeout is the time after which an ordered load of a move must show in
	// the server's entry, which is about a second late.
	loadOrderTimeout = 3 * time.Second
	// moveTimeout is added to the expected duration of the loads of a move.
	moveTimeout = 30 * time.Second
)

// Move is the decision to give up groups of one model for another.
type Move struct {
	Service, Domain string
	From, To        string
	// Groups are given up one after the other, as loads can start. Formed is the
	// number of groups of the other model that their servers form, Loads the number of
	// loads that this takes.
	Groups        []string
	Formed, Loads int
	// Gain and Loss are the values of the formed and the given-up groups per second,
	// in groups that serve the most urgent requests.
	Gain, Loss float64
	// FromGroups and ToGroups are the numbers of groups before the move.
	FromGroups, ToGroups int
	// FromAsked, FromRefused, ToAsked and ToRefused are the demands, in groups.
	FromAsked, FromRefused, ToAsked, ToRefused float64
}

// net returns the gain of a move per second over moveHorizon, less its cost. The
// groups serve nothing during the loads.
func (mv *Move) net(loadTime time.Duration) float64 {
	rest := max(0, moveHorizon-loadTime).Seconds() / moveHorizon.Seconds()
	return mv.Gain*rest - moveMargin*mv.Loss
}

// move is a Move in progress.
type move struct {
	Move
	deadline time.Time
	// begun is the number of groups that are being given up or have been.
	begun int
	// servers maps the members of the groups that are given up to when they were
	// ordered to load the other model, zero if they were not.
	servers map[string]time.Time
	// loadsLeft is the number of loads that have not been ordered.
	loadsLeft int
}

// givesUp reports whether a group is being given up.
func (mv *move) givesUp(group string) bool {
	return mv != nil && slices.Contains(mv.Groups[:mv.begun], group)
}

// includes reports whether a server is one of the move.
func (mv *move) includes(srv *site.Server) bool {
	if mv == nil {
		return false
	}
	_, included := mv.servers[srv.ID]
	return included
}

// reserves reports whether a server is kept for a load of the move that has not ended.
func (mv *move) reserves(srv *site.Server) bool {
	return mv.includes(srv) && !srv.HasStaged(mv.To)
}

// ordered reports whether a server was ordered to load the other model.
func (mv *move) ordered(srv *site.Server) bool {
	return mv.reserves(srv) && !mv.servers[srv.ID].IsZero()
}

// TakeMoves returns the moves that were decided on since the last call.
func (pl *Planner) TakeMoves() []Move {
	out := pl.decisions
	pl.decisions = nil
	return out
}

// planMove continues the move in progress, or begins one that pays.
func (ps *pass) planMove(infos []*groupInfo) {
	if mv := ps.planner.move; mv != nil {
		switch {
		case mv.Service == ps.service.Name:
			ps.continueMove(mv)
		case ps.input.Now.After(mv.deadline):
			// The configuration no longer has the service of the move.
			ps.endMove()
		}
		return
	}
	if ps.valuation == nil || ps.input.Now.Sub(ps.planner.moveEndedAt) < moveInterval || !ps.loadsToSpare() {
		return
	}
	best := ps.bestMove(infos)
	if best == nil {
		return
	}
	mv := &move{Move: *best, servers: map[string]time.Time{}, loadsLeft: best.Loads}
	mv.deadline = ps.input.Now.Add(maxLoadSlowdown*ps.loadTime(best) + moveTimeout)
	ps.planner.move = mv
	ps.planner.decisions = append(ps.planner.decisions, *best)
	ps.beginGroup(mv)
}

// loadsToSpare reports whether no group waits for a member and the weight store carries
// more loads than the replacement of lost servers takes. Otherwise the loads of a move
// would keep groups waiting that cost more than it gains.
func (ps *pass) loadsToSpare() bool { return len(ps.shortages) == 0 && ps.moveLoads() > 0 }

// beginGroup lets the next group of a move be given up, from the next step on.
func (ps *pass) beginGroup(mv *move) {
	name := mv.Groups[mv.begun]
	mv.begun++
	for _, grp := range ps.input.View.Groups() {
		if grp.Name != name {
			continue
		}
		for _, member := range nonNil(grp.Members) {
			mv.servers[member.ID] = time.Time{}
		}
	}
}

// giveUp closes a group that a move gives up, lets its requests end and frees its
// members. It reports whether the group is one of these.
func (ps *pass) giveUp(info *groupInfo) bool {
	members := info.survivors(ps)
	if !ps.planner.move.givesUp(info.name) || info.current == nil || len(members) == 0 {
		return false
	}
	hist := ps.planner.group(info.name)
	if !ps.finishRequests(info, hist) {
		ps.dissolve(info, hist, members)
	}
	return true
}

// continueMove gives up the next group once all servers of the earlier ones load and
// another load can start, and ends the move when its loads have ended.
func (ps *pass) continueMove(mv *move) {
	waiting, loading := ps.countMoved(mv)
	allBegun := mv.begun == len(mv.Groups)
	switch {
	case ps.input.Now.After(mv.deadline), mv.loadsLeft == 0 && loading == 0, allBegun && waiting+loading == 0:
		ps.endMove()
	case !allBegun && mv.loadsLeft > 0 && waiting == 0 && loading < ps.moveLoads():
		ps.beginGroup(mv)
	case mv.begun == 1 && mv.loadsLeft == mv.Loads && ps.outweighed(mv):
		// Nothing was loaded yet: the group opens again, or its servers form another.
		ps.planner.group(mv.Groups[0]).closeSentAt = time.Time{}
		ps.endMove()
	}
}

// countMoved returns the numbers of servers of a move that wait for their load and that
// load. A load that doesn't show after loadOrderTimeout is ordered again.
func (ps *pass) countMoved(mv *move) (waiting, loading int) {
	for id, orderedAt := range mv.servers {
		srv := ps.input.View.Server(id)
		switch {
		case !ps.usable(srv):
			delete(mv.servers, id)
		case !mv.reserves(srv):
		case orderedAt.IsZero():
			waiting++
		case ps.loadingModel(srv) != mv.To && ps.input.Now.Sub(orderedAt) > loadOrderTimeout:
			mv.servers[id] = time.Time{}
			mv.loadsLeft++
			waiting++
		default:
			loading++
		}
	}
	return waiting, loading
}

func (ps *pass) endMove() { ps.planner.move, ps.planner.moveEndedAt = nil, ps.input.Now }

// outweighed reports whether the groups that a move gives up have become worth more
// than those that it forms. The first of them is no longer counted.
func (ps *pass) outweighed(mv *move) bool {
	if ps.valuation == nil {
		return false
	}
	from, to := ps.groupCount(mv.From)+1, ps.groupCount(mv.To)
	gain := ps.valuation.groups(mv.To, to+mv.Formed) - ps.valuation.groups(mv.To, to)
	return gain < ps.valuation.groups(mv.From, from)-ps.valuation.groups(mv.From, from-len(mv.Groups))
}

// loadMoved orders loads of the servers of a move, at most limit, and returns their
// number.
func (ps *pass) loadMoved(limit int) int {
	mv := ps.planner.move
	if mv == nil || mv.Service != ps.service.Name {
		return 0
	}
	num := 0
	for _, srv := range ps.serversByDomain[mv.Domain] {
		if !mv.reserves(srv) || mv.ordered(srv) || ps.held[srv.ID] || ps.planner.pendingOrders[srv.ID] != nil {
			continue
		}
		if mv.loadsLeft == 0 {
			// The rest of the servers are spares of their model.
			delete(mv.servers, srv.ID)
			continue
		}
		if num >= limit || ps.planner.loadLimiter.available(ps.input.Now, ps.service.Engine.LoadsPerSec) < 1 {
			return num
		}
		ps.planner.loadLimiter.record(ps.input.Now)
		ps.addOrder(srv, site.Order{Kind: site.OrderJoin, Group: warmUpName(mv.To, srv.ID), Epoch: ps.planner.nextEpoch(), Model: mv.To, Members: []string{srv.ID}})
		mv.servers[srv.ID] = ps.input.Now
		mv.loadsLeft--
		num++
	}
	return num
}

// moveLoads returns the number of concurrent loads that a move may take: those that are
// neither reserved nor needed to replace servers at the rate at which they are lost.
func (ps *pass) moveLoads() int {
	num := ps.service.Engine.MaxConcurrentLoads
	if num == 0 {
		return math.MaxInt
	}
	longest := time.Duration(0)
	for _, model := range ps.service.Engine.Models {
		longest = max(longest, model.LoadTime)
	}
	replacing := ps.planner.losses.count(ps.input.Now) * longest.Seconds() / lossWindow.Seconds()
	return num - num/loadsPerReserved - int(math.Ceil(replacing))
}

// loadTime returns the time that the loads of a move take.
func (ps *pass) loadTime(mv *Move) time.Duration {
	rounds := math.Ceil(float64(mv.Loads) / float64(max(1, ps.moveLoads())))
	for _, model := range ps.service.Engine.Models {
		if model.Name == mv.To {
			return time.Duration(rounds * float64(model.LoadTime))
		}
	}
	return 0
}

// bestMove returns the move that pays most, or nil if none does.
func (ps *pass) bestMove(infos []*groupInfo) *Move {
	var best *Move
	bestNet := 0.0
	for idx := range ps.service.Engine.Models {
		to := &ps.service.Engine.Models[idx]
		if !ps.lacksGroups(to) {
			continue
		}
		for other := range ps.service.Engine.Models {
			from := &ps.service.Engine.Models[other]
			if other == idx {
				continue
			}
			for _, domain := range ps.domains() {
				mv := ps.moveIn(domain, from, to, infos)
				if mv == nil || ps.neededMore(mv) {
					continue
				}
				if net := mv.net(ps.loadTime(mv)); mv.Gain >= minMoveGain && net > bestNet {
					best, bestNet = mv, net
				}
			}
		}
	}
	return best
}

// neededMore reports whether the model that a move takes groups from would then have
// more demand for each of them, weighted by urgency, than the other model has now. Without
// this a model of large groups would lose all, since each yields several smaller ones.
func (ps *pass) neededMore(mv *Move) bool {
	val := ps.valuation
	own := val.urgencyFactor(mv.From) * mv.FromAsked / float64(mv.FromGroups-len(mv.Groups))
	return own >= val.urgencyFactor(mv.To)*mv.ToAsked/float64(max(1, mv.ToGroups))
}

// lacksGroups reports whether requests of a model are refused, or its groups have
// recently been full. The demand alone may be estimated too high.
func (ps *pass) lacksGroups(model *site.Model) bool {
	return ps.valuation.refused(model.Name) > contendedRefusal*ps.valuation.asked(model.Name) || ps.input.Utilisation[model.Name] >= neededUtilisation
}

// moveIn returns the smallest move in a domain by which another group of a model is
// formed, or nil if there is none.
func (ps *pass) moveIn(domain string, from, to *site.Model, infos []*groupInfo) *Move {
	var groups []*groupInfo
	for _, info := range infos {
		if info.plan == nil && info.model == from && info.current != nil && info.current.Domain == domain && ps.operational(info) && info.current.Head().Group.State == site.GroupOpen {
			groups = append(groups, info)
		}
	}
	slices.SortStableFunc(groups, func(one, two *groupInfo) int {
		return cmp.Compare(ps.pinnedCount(one.current.Head()), ps.pinnedCount(two.current.Head()))
	})
	holders := ps.unusedHolders(domain, to)
	mv := &Move{Service: ps.service.Name, Domain: domain, From: from.Name, To: to.Name, FromGroups: ps.groupCount(from.Name), ToGroups: ps.groupCount(to.Name)}
	// A model without a group would refuse its next callers for a whole load.
	for _, info := range groups[:max(0, min(len(groups), mv.FromGroups-1))] {
		mv.Groups = append(mv.Groups, info.name)
		servers := holders + len(mv.Groups)*from.GroupSize
		if servers < to.GroupSize {
			continue
		}
		mv.Formed = servers / to.GroupSize
		mv.Loads = mv.Formed*to.GroupSize - holders
		ps.valueMove(mv)
		return mv
	}
	return nil
}

// unusedHolders returns the number of free servers of a domain that hold or load a model,
// beyond those that complete its groups.
func (ps *pass) unusedHolders(domain string, model *site.Model) int {
	num := 0
	for _, srv := range ps.serversByDomain[domain] {
		if ps.held[srv.ID] {
			continue
		}
		if ps.loadingModel(srv) == model.Name || ps.loadingModel(srv) == "" && srv.HasStaged(model.Name) {
			num++
		}
	}
	for _, need := range ps.shortages[domain][model.Name] {
		num -= need
	}
	return max(0, num) % model.GroupSize
}

func (ps *pass) valueMove(mv *Move) {
	val := ps.valuation
	mv.Gain = val.groups(mv.To, mv.ToGroups+mv.Formed) - val.groups(mv.To, mv.ToGroups)
	mv.Loss = val.groups(mv.From, mv.FromGroups) - val.groups(mv.From, mv.FromGroups-len(mv.Groups))
	mv.FromAsked, mv.FromRefused = val.asked(mv.From), val.refused(mv.From)
	mv.ToAsked, mv.ToRefused = val.asked(mv.To), val.refused(mv.To)
}

// pinnedCount returns the number of requests at a head that may not be resumed.
func (ps *pass) pinnedCount(head *site.Server) int {
	if ps.input.Pinned == nil {
		return 0
	}
	return ps.input.Pinned(head.ID)
}
