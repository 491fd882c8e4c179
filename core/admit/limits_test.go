package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// cluster simulates four entry VMs in three zones that divide the request
// limit of one organisation by the latest demands received from each other.
type cluster struct {
	ctrls      []*admit.Controller
	zones      []core.Zone
	lastDemand [][]float64 // by receiving and reporting node
	reachable  func(one, two int) bool
	admitted   int
	nextID     uint64
	now        time.Time
}

const (
	limitRate  = 40.0 // requests per second
	limitFloor = 0.2
)

func newCluster() *cluster {
	cl := &cluster{zones: []core.Zone{"z1", "z1", "z2", "z3"}, now: startTime}
	for range cl.zones {
		ctrl := admit.New(admit.Config{})
		ctrl.SetCapacity("m", 1<<20)
		ctrl.SetOrg("a", admit.OrgLimits{RequestsPerSecond: limitRate})
		ctrl.SetShare("a", 1.0/4)
		cl.ctrls = append(cl.ctrls, ctrl)
		cl.lastDemand = append(cl.lastDemand, make([]float64, len(cl.zones)))
	}
	return cl
}

// exchange delivers the demands between nodes that reach each other and
// updates the shares.
func (cl *cluster) exchange() {
	for self, ctrl := range cl.ctrls {
		var nodes []admit.Node
		for idx, other := range cl.ctrls {
			ok := idx == self || cl.reachable(self, idx)
			if ok {
				cl.lastDemand[self][idx] = other.Usage(cl.now)["a"].Requests
			}
			nodes = append(nodes, admit.Node{Zone: cl.zones[idx], Demand: cl.lastDemand[self][idx], Reachable: ok})
		}
		ctrl.SetShare("a", admit.Share(nodes, self, limitFloor))
	}
}

// offerAll offers requests at the rate of each node for the duration dur, with
// an exchange every second.
func (cl *cluster) offerAll(dur time.Duration, rates []float64) {
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < dur; elapsed += step {
		if elapsed%time.Second == 0 {
			cl.exchange()
		}
		for idx, rate := range rates {
			every := time.Duration(float64(time.Second) / max(rate, 1e-3)).Truncate(step)
			if elapsed%every != 0 {
				continue
			}
			cl.nextID++
			for _, act := range cl.ctrls[idx].Offer(admit.Item{ID: cl.nextID, Org: "a", Model: "m", Cost: 1}, cl.now) {
				if _, ok := act.(admit.Admit); ok {
					cl.admitted++
				}
			}
		}
		cl.now = cl.now.Add(step)
	}
}

// TestLimitAcrossNodes checks that the admitted requests stay within the limit
// in several partitions and distributions of demand, and that they use what
// the floor leaves to demand.
func TestLimitAcrossNodes(t *testing.T) {
	const secs = 30
	all := func(int, int) bool { return true }
	zone := func(one, two int) bool { return (one < 2) == (two < 2) } // z1 is partitioned
	isolated := func(one, two int) bool { return one == two }
	tests := []struct {
		name      string
		reachable func(one, two int) bool
		rates     []float64
		least     float64 // fraction of the limit
	}{
		{"even demand", all, []float64{50, 50, 50, 50}, 0.95},
		{"all demand at one node", all, []float64{100, 0, 0, 0}, 0.8},
		{"zone partitioned, demand on both sides", zone, []float64{100, 100, 100, 100}, 0.95},
		{"zone partitioned, demand in it", zone, []float64{100, 0, 0, 0}, 0.5 * 0.8},
		{"all nodes partitioned", isolated, []float64{100, 100, 100, 100}, 0.95},
		{"all nodes partitioned, demand at one", isolated, []float64{100, 0, 0, 0}, 0.25 * 0.95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster()
			cl.reachable = tt.reachable
			cl.offerAll(5*time.Second, tt.rates)
			cl.admitted = 0
			cl.offerAll(secs*time.Second, tt.rates)
			got := float64(cl.admitted)
			// Each node may have accumulated up to one second at its rate.
			assert.Assert(t, got <= limitRate*(secs+1)+4, "%v requests were admitted", got)
			assert.Assert(t, got >= limitRate*secs*tt.least, "%v requests were admitted", got)
		})
	}
}

// TestLimitDuringPartition partitions a zone and reconnects it while the
// demand differs by node. The excess must not be larger than what nodes admit
// before they detect the change, which takes one second each time.
func TestLimitDuringPartition(t *testing.T) {
	cl := newCluster()
	partitioned := false
	cl.reachable = func(one, two int) bool { return !partitioned || (one < 2) == (two < 2) }
	rates := []float64{100, 10, 20, 100}
	cl.offerAll(5*time.Second, rates)
	cl.admitted = 0
	const rounds, each = 4, 5
	for range rounds {
		partitioned = !partitioned
		cl.offerAll(each*time.Second, rates)
	}
	most := limitRate * (rounds*each + 1 + rounds)
	assert.Assert(t, float64(cl.admitted) <= most, fmt.Sprint(cl.admitted))
}
