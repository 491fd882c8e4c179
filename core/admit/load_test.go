package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// Size of the emulated deployment.
const (
	loadNodes  = 119
	loadGroups = 60
	loadOrgs   = 40
	// usualLoad is the load of all organisations at their usual demand, as a
	// fraction of the capacity.
	usualLoad = 0.7
	// requestTime is how long a request keeps a group busy, loadObjective the
	// time in which its first event is due, and maxBacklog the work that may wait
	// at a group: twice the 15 % of its batch that each node allows by counts that
	// are a report old.
	requestTime   = 85 * time.Millisecond
	loadObjective = 300 * time.Millisecond
	maxBacklog    = 4 * requestTime
	// loadTick is the interval of the simulation, rebalanceInterval that of the
	// updates of shares, and reportInterval that of the reports to other nodes.
	loadTick          = 10 * time.Millisecond
	rebalanceInterval = 120 * time.Millisecond
	reportInterval    = 480 * time.Millisecond
	slotsPerGroup     = 13
)

// arrival is a request of an organisation at a node.
type arrival struct {
	org   int
	node  int
	tries int
}

// loadCluster emulates nodes with a Shares each in front of groups that work
// through their requests in the order of arrival. Nodes choose the less busy of
// two random groups.
type loadCluster struct {
	rnd      *rand.Rand
	now      time.Time
	nodes    []*admit.Shares
	backlogs []time.Duration
	busy     float64
	// limited is false for a run that admits whatever finds a place.
	limited bool
	// factor multiplies the usual demand of an organisation.
	factor func(org int, at time.Duration) float64
	// retries is the number of immediate retries of a refused caller.
	retries int
	// blocked reports whether no group can be reached.
	blocked func(at time.Duration) bool
	later   map[int64][]arrival
	asked   []int
	onTime  []int
	late    int
	from    time.Duration
	to      time.Duration
	work    time.Duration
}

func newLoadCluster(seed uint64) *loadCluster {
	lc := &loadCluster{
		rnd: rand.New(rand.NewPCG(seed, 7)), now: startTime, limited: true, backlogs: make([]time.Duration, loadGroups), later: map[int64][]arrival{},
		asked: make([]int, loadOrgs), onTime: make([]int, loadOrgs), factor: func(int, time.Duration) float64 { return 1 }, blocked: func(time.Duration) bool { return false },
	}
	for range loadNodes {
		lc.nodes = append(lc.nodes, admit.NewShares())
	}
	return lc
}

func orgName(org int) core.OrgName { return core.OrgName(fmt.Sprint("org", org)) }

// usualDemand returns the requests a second of an organisation. A few are large.
func usualDemand(org int) float64 {
	weight := 1.0
	if org < 4 {
		weight = 8
	}
	return usualLoad * loadGroups / requestTime.Seconds() * weight / (4*8 + loadOrgs - 4)
}

// run plays the given time and counts the requests that arrive between from and
// to.
func (lc *loadCluster) run(length, from, to time.Duration) {
	lc.from, lc.to = from, to
	for at := time.Duration(0); at < length; at += loadTick {
		lc.now = startTime.Add(at)
		for idx := range lc.backlogs {
			lc.backlogs[idx] = max(0, lc.backlogs[idx]-loadTick)
		}
		lc.updateBusy()
		if at%reportInterval == 0 {
			lc.exchange()
		}
		if at%rebalanceInterval == 0 {
			for _, shr := range lc.nodes {
				shr.Rebalance(loadGroups, lc.utilisation(), lc.now)
			}
		}
		lc.arrive(at)
	}
}

// exchange delivers a report of each node to all others.
func (lc *loadCluster) exchange() {
	for from, sender := range lc.nodes {
		demand := sender.Demand(lc.now)
		for to, shr := range lc.nodes {
			if to != from {
				shr.UpdatePeer(fmt.Sprint("n", from), demand, lc.now.Add(3*reportInterval))
			}
		}
	}
}

// utilisation returns the mean number of requests at the groups as a fraction of
// a batch. A group that works all the time has a full batch, and its backlog
// waits beyond it.
func (lc *loadCluster) utilisation() float64 {
	waiting := 0.0
	for _, backlog := range lc.backlogs {
		waiting += float64(backlog) / float64(requestTime)
	}
	return lc.busy + waiting/(loadGroups*slotsPerGroup)
}

// updateBusy updates the mean fraction of groups that work.
func (lc *loadCluster) updateBusy() {
	busy := 0.0
	for _, backlog := range lc.backlogs {
		if backlog > 0 {
			busy++
		}
	}
	lc.busy += float64(loadTick) / float64(time.Second) * (busy/loadGroups - lc.busy)
}

func (lc *loadCluster) arrive(at time.Duration) {
	key := int64(at / loadTick)
	due := lc.later[key]
	delete(lc.later, key)
	for org := range loadOrgs {
		expected := usualDemand(org) * lc.factor(org, at) * loadTick.Seconds()
		for ; lc.rnd.Float64() < expected; expected-- {
			due = append(due, arrival{org: org, node: lc.rnd.IntN(loadNodes)})
		}
	}
	for _, req := range due {
		lc.serve(req, at)
	}
}

// serve admits or refuses a request. A refused caller may retry at once.
func (lc *loadCluster) serve(req arrival, at time.Duration) {
	counted := at >= lc.from && at < lc.to && req.tries == 0
	if counted {
		lc.asked[req.org]++
	}
	shr := lc.nodes[req.node]
	admitted := shr.Offer(orgName(req.org), requestTime, lc.now) || !lc.limited
	one, two := lc.rnd.IntN(loadGroups), lc.rnd.IntN(loadGroups)
	if lc.backlogs[two] < lc.backlogs[one] {
		one = two
	}
	if !admitted || lc.backlogs[one] > maxBacklog || lc.blocked(at) {
		if req.tries < lc.retries {
			req.tries++
			req.node = lc.rnd.IntN(loadNodes)
			next := int64((at + 50*time.Millisecond) / loadTick)
			lc.later[next] = append(lc.later[next], req)
		}
		return
	}
	inTime := lc.backlogs[one] < loadObjective
	lc.backlogs[one] += requestTime
	if at < lc.from || at >= lc.to {
		return
	}
	lc.work += requestTime
	if inTime {
		lc.onTime[req.org]++
	} else {
		lc.late++
	}
}

// inTimeRatio returns the fraction of requests that were served in time, of the
// organisations for which keep returns true.
func (lc *loadCluster) inTimeRatio(keep func(org int) bool) float64 {
	asked, onTime := 0, 0
	for org := range loadOrgs {
		if keep(org) {
			asked += lc.asked[org]
			onTime += lc.onTime[org]
		}
	}
	return float64(onTime) / float64(asked)
}

// Times of a flood in the tests.
const (
	floodStart = 20 * time.Second
	floodEnd   = 27 * time.Second
	// maxFloodLoss is what an organisation within its share may lose in a flood.
	maxFloodLoss = 0.02
)

// flood returns a factor of demand for organisations that flood.
func flood(times float64, orgs ...int) func(int, time.Duration) float64 {
	return func(org int, at time.Duration) float64 {
		for _, hot := range orgs {
			if org == hot && at >= floodStart && at < floodEnd {
				return times
			}
		}
		return 1
	}
}

// TestLoadHotOrganisation lets one or two organisations send many times their
// usual demand to 119 nodes with reports that lag. The others must be served as
// without the flood, and the groups must stay busy.
func TestLoadHotOrganisation(t *testing.T) {
	tests := []struct {
		name  string
		times float64
		orgs  []int
	}{
		{"largest", 7.5, []int{0}},
		{"smallest", 60, []int{39}},
		{"two", 6, []int{1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			others := func(org int) bool { return tt.times > 0 && org != tt.orgs[0] && org != tt.orgs[len(tt.orgs)-1] }
			calm := newLoadCluster(1)
			calm.run(floodEnd, floodStart+time.Second, floodEnd)
			hot := newLoadCluster(1)
			hot.factor = flood(tt.times, tt.orgs...)
			hot.run(floodEnd, floodStart+time.Second, floodEnd)
			without, with := calm.inTimeRatio(others), hot.inTimeRatio(others)
			assert.Assert(t, with >= without-maxFloodLoss, "others in time: %.3f without the flood, %.3f with it", without, with)
			busy := hot.work.Seconds() / (loadGroups * (floodEnd - floodStart - time.Second).Seconds())
			assert.Assert(t, busy >= 0.85, "groups are busy %.2f of the time", busy)
		})
	}
}

// TestLoadBurst lets all organisations send 1.6 times their usual demand, more
// than the groups can do. What is admitted must start in time.
func TestLoadBurst(t *testing.T) {
	lc := newLoadCluster(2)
	lc.factor = flood(1.6, allOrgs()...)
	lc.run(floodEnd, floodStart+time.Second, floodEnd)
	best := 1 / (1.6 * usualLoad)
	got := lc.inTimeRatio(func(int) bool { return true })
	assert.Assert(t, got >= 0.85*best, "%.3f of the requests in time, %.3f are possible", got, best)
}

func allOrgs() []int {
	out := make([]int, loadOrgs)
	for org := range out {
		out[org] = org
	}
	return out
}

// TestLoadRetryAbuse lets one organisation flood with callers that retry at once
// and three times. The others must be served as without it.
func TestLoadRetryAbuse(t *testing.T) {
	others := func(org int) bool { return org != 0 }
	calm := newLoadCluster(3)
	calm.run(floodEnd, floodStart+time.Second, floodEnd)
	hot := newLoadCluster(3)
	hot.factor = flood(7.5, 0)
	hot.retries = 3
	hot.run(floodEnd, floodStart+time.Second, floodEnd)
	without, with := calm.inTimeRatio(others), hot.inTimeRatio(others)
	assert.Assert(t, with >= without-maxFloodLoss, "others in time: %.3f without the flood, %.3f with it", without, with)
}

// TestLoadReturnTogether blocks all groups for a second, after which the refused
// callers return together. Two seconds later requests must be served in time.
func TestLoadReturnTogether(t *testing.T) {
	lc := newLoadCluster(4)
	lc.retries = 20
	lc.blocked = func(at time.Duration) bool { return at >= floodStart && at < floodStart+time.Second }
	lc.run(floodEnd, floodStart+3*time.Second, floodEnd)
	got := lc.inTimeRatio(func(int) bool { return true })
	assert.Assert(t, got >= 0.9, "%.3f of the requests in time", got)
}
