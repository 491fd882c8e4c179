// Package burst emulates entry VMs with an admit.Shares each in front of groups of one
// model, under a burst of requests of different urgency. Reports and counts of requests at
// groups lag, a part of the groups may be lost, and refused callers return once.
package burst

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/core/site"
)

// startTime is the begin of a run.
var startTime = time.Unix(1_000_000, 0)

// Size of the emulated deployment with urgencies.
const (
	numGroups, slots, numOrgs = 40, 20, 8
	// UsualLoad is the usual demand as a fraction of the capacity.
	UsualLoad = 0.75
	deadline  = 6 * time.Second
	// Times of the burst, and from when to when its requests are counted.
	burstStart, countStart, countEnd, endTime = 9 * time.Second, 9500 * time.Millisecond, 17 * time.Second, 20 * time.Second
	// tick is the interval of the emulation, rebalanceInterval that of the divisions.
	tick, rebalanceInterval = 10 * time.Millisecond, 120 * time.Millisecond
)

// Parts are the parts of the usual load by urgency, targets the times in which
// requests are due to begin.
var (
	Parts   = []float64{0.5, 0.25, 0.25}
	targets = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second}
)

// request is a request of a caller, which returns once after a refusal.
type request struct {
	class    admit.Class
	sentAt   time.Duration // of the first attempt
	tries    int
	service  time.Duration
	arrived  time.Duration // at the group
	large    bool
	counting bool
}

// Tally counts requests and how they ended.
type Tally struct{ Asked, Served, OnTime float64 }

// ServedRatio returns the part of the requests that was served.
func (tal Tally) ServedRatio() float64 { return tal.Served / max(tal.Asked, 1) }

// OnTimeRatio returns the part of the requests that began in time.
func (tal Tally) OnTimeRatio() float64 { return tal.OnTime / max(tal.Asked, 1) }

// Options are the parameters of a run.
type Options struct {
	Nodes int
	// Levels divides the groups by urgency. Without it the run has the policy for
	// requests that are equally urgent.
	Levels bool
	// Factors multiply the usual demand by urgency in the burst, and the fraction Lost of
	// the groups is lost in it.
	Factors [3]float64
	Lost    float64
	// ReturnAtOnce makes callers ignore Retry-After.
	ReturnAtOnce bool
	// Drops reports whether the reports between two nodes get lost in the burst. It may
	// be nil.
	Drops func(from, to int) bool
}

// Result counts the requests that were sent in the burst.
type Result struct {
	// Tallies has the keys "all", "level0" to "level2", and of each level "level0/ORG" and
	// "level0/large", the tenth of the requests that take longest.
	Tallies map[string]*Tally
	// Refusals counts refused attempts in the whole run.
	Refusals int
	// Demand is the demand in the burst as the first node knows it, and NewDemand the groups
	// that new callers of each urgency keep busy then.
	Demand    site.ModelDemand
	NewDemand [3]float64
}

// cluster emulates entry VMs in front of groups with slots. Requests wait at a group
// by urgency with levels, and by arrival without.
type cluster struct {
	opts     Options
	rnd      *rand.Rand
	nodes    []*admit.Shares
	interval time.Duration // of reports
	choices  int           // groups that an entry VM compares
	groups   int
	burst    bool
	running  [][]time.Duration // ends of the requests in slots
	waiting  [][]request
	known    []float64 // requests at groups, as old as reports are on the mean, and own ones since
	later    map[time.Duration][]request
	result   Result
}

// Run emulates a deployment with the options.
func Run(opts Options) Result {
	cl := &cluster{
		opts: opts, rnd: rand.New(rand.NewPCG(uint64(opts.Nodes), 1)), interval: 120 * time.Millisecond, choices: 2, groups: numGroups,
		running: make([][]time.Duration, numGroups), waiting: make([][]request, numGroups), known: make([]float64, numGroups),
		later: map[time.Duration][]request{}, result: Result{Tallies: map[string]*Tally{}},
	}
	if opts.Nodes <= 6 {
		cl.choices = 8
	}
	if opts.Nodes > 37 {
		cl.interval = 480 * time.Millisecond
	}
	for idx := range opts.Nodes {
		shr := admit.NewShares()
		shr.SetNode(fmt.Sprint("n", idx))
		if opts.Levels {
			shr.SetLevels([]int{0, 1, 2})
		}
		cl.nodes = append(cl.nodes, shr)
	}
	cl.run()
	return cl.result
}

// run plays the time until endTime, with the burst and the loss of a part of the groups.
func (cl *cluster) run() {
	for at := time.Duration(0); at < endTime; at += tick {
		if at == burstStart {
			cl.burst, cl.groups = true, int((1-cl.opts.Lost)*numGroups)
		}
		cl.serveGroups(at)
		for idx := range cl.groups {
			count := float64(len(cl.running[idx]) + len(cl.waiting[idx]))
			cl.known[idx] += min(1, 2*float64(tick)/float64(cl.interval)) * (count - cl.known[idx])
		}
		if at%cl.interval == 0 {
			cl.exchange(startTime.Add(at))
		}
		if at%rebalanceInterval == 0 {
			busy := 0
			for idx := range cl.groups {
				busy += len(cl.running[idx]) + len(cl.waiting[idx])
			}
			for _, shr := range cl.nodes {
				shr.Rebalance(float64(cl.groups), float64(busy)/float64(cl.groups*slots), startTime.Add(at))
			}
		}
		cl.arrive(at)
		if at == countEnd {
			cl.result.Demand = cl.nodes[0].ModelDemand(startTime.Add(at))
		}
	}
	for urgency, part := range Parts {
		cl.result.NewDemand[urgency] = UsualLoad * numGroups * part * cl.opts.Factors[urgency]
	}
}

// exchange delivers the reports of each node to the others.
func (cl *cluster) exchange(now time.Time) {
	for from, sender := range cl.nodes {
		reports, demand := sender.Report(8<<10, now), sender.Demand(now)
		for to, shr := range cl.nodes {
			switch name := fmt.Sprint("n", from); {
			case to == from || cl.burst && cl.opts.Drops != nil && cl.opts.Drops(from, to):
			case cl.opts.Levels:
				shr.UpdatePeerLevels(name, reports, now.Add(3*cl.interval))
			default:
				shr.UpdatePeer(name, demand, now.Add(3*cl.interval))
			}
		}
	}
}

// serveGroups ends requests whose time has come and begins waiting ones.
func (cl *cluster) serveGroups(at time.Duration) {
	for idx := range cl.groups {
		cl.running[idx] = slices.DeleteFunc(cl.running[idx], func(end time.Duration) bool { return end <= at })
		if cl.opts.Levels {
			slices.SortStableFunc(cl.waiting[idx], func(one, two request) int { return one.class.Urgency - two.class.Urgency })
		}
		for len(cl.running[idx]) < slots && len(cl.waiting[idx]) > 0 {
			req := cl.waiting[idx][0]
			cl.waiting[idx] = cl.waiting[idx][1:]
			if at-req.sentAt > deadline {
				continue
			}
			cl.running[idx] = append(cl.running[idx], at+req.service)
			late := at-req.arrived > targets[req.class.Urgency]
			if late {
				cl.nodes[cl.rnd.IntN(len(cl.nodes))].RecordLate(req.class.Urgency, req.service/slots, startTime.Add(at))
			}
			cl.count(req, func(tal *Tally) {
				tal.Served++
				if !late {
					tal.OnTime++
				}
			})
		}
	}
}

// count changes the tallies that a request belongs to.
func (cl *cluster) count(req request, change func(*Tally)) {
	names := []string{"all", fmt.Sprint("level", req.class.Urgency), fmt.Sprintf("level%d/%s", req.class.Urgency, req.class.Org)}
	if req.large {
		names = append(names, fmt.Sprintf("level%d/large", req.class.Urgency))
	}
	for _, name := range names {
		if cl.result.Tallies[name] == nil {
			cl.result.Tallies[name] = &Tally{}
		}
		if req.counting {
			change(cl.result.Tallies[name])
		}
	}
}

// arrive serves the requests of new and returning callers.
func (cl *cluster) arrive(at time.Duration) {
	due := cl.later[at]
	delete(cl.later, at)
	for urgency, part := range Parts {
		factor := 1.0
		if cl.burst {
			factor = cl.opts.Factors[urgency]
		}
		for org := range numOrgs {
			cls := admit.Class{Urgency: urgency, Org: core.OrgName(fmt.Sprint("org", org))}
			expected := UsualLoad * numGroups * slots * part / numOrgs * factor * tick.Seconds()
			for ; cl.rnd.Float64() < expected; expected-- {
				req := request{class: cls, sentAt: at, service: 800 * time.Millisecond, counting: at >= countStart && at < countEnd}
				if req.large = cl.rnd.IntN(10) == 0; req.large {
					req.service = 2800 * time.Millisecond
				}
				cl.count(req, func(tal *Tally) { tal.Asked++ })
				due = append(due, req)
			}
		}
	}
	for _, req := range due {
		cl.serve(req, at)
	}
}

// serve sends a request to the better of two groups, or refuses it.
func (cl *cluster) serve(req request, at time.Duration) {
	shr, now := cl.nodes[cl.rnd.IntN(len(cl.nodes))], startTime.Add(at)
	limit, offered := slots, false
	if len(cl.nodes) < 24 {
		limit += 3
	}
	if cl.opts.Levels {
		offered = shr.OfferClass(req.class, req.service/slots, now)
		if keep := shr.Reserve(req.class.Urgency, slots, now); keep > 0 {
			limit = slots - keep
		}
	} else {
		offered = shr.Offer(req.class.Org, req.service/slots, now)
	}
	best := cl.rnd.IntN(cl.groups)
	for range cl.choices - 1 {
		if other := cl.rnd.IntN(cl.groups); cl.known[other] < cl.known[best] {
			best = other
		}
	}
	if offered && cl.known[best] < float64(limit) {
		cl.known[best] += 1 / float64(len(cl.nodes))
		req.arrived = at
		cl.waiting[best] = append(cl.waiting[best], req)
		return
	}
	cl.result.Refusals++
	if offered {
		shr.RecordRefused(req.class.Urgency, req.service/slots, now)
	}
	if req.tries++; req.tries < 2 {
		back := at + cl.wait(shr, req, at)
		cl.later[back] = append(cl.later[back], req)
	}
}

// wait returns after what time a refused caller returns.
func (cl *cluster) wait(shr *admit.Shares, req request, at time.Duration) time.Duration {
	left := deadline - (at - req.sentAt)
	from, to := 200*time.Millisecond, 900*time.Millisecond
	switch {
	case cl.opts.ReturnAtOnce:
		from, to = 50*time.Millisecond, 60*time.Millisecond
	case cl.opts.Levels:
		from, to = admit.RetryWindow(shr.Chance(req.class), left, req.service)
	}
	return min(from+time.Duration(cl.rnd.Int64N(int64(to-from))), left/3).Truncate(tick) + tick
}
