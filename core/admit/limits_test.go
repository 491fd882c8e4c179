package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// cluster is four entry VMs in three zones that divide one organisation's
// limit of requests, by what they last heard of each other.
type cluster struct {
	macs     []*admit.Machine
	zones    []core.Zone
	heard    [][]float64 // demand by hearer and node
	reached  func(one, two int) bool
	admitted int
	nextID   uint64
	now      time.Time
}

const (
	limitRate  = 40.0 // requests per second
	limitFloor = 0.2
)

func newCluster() *cluster {
	clu := &cluster{zones: []core.Zone{"z1", "z1", "z2", "z3"}, now: t0}
	for range clu.zones {
		mac := admit.New(admit.Config{})
		mac.SetCapacity("m", 1<<20)
		mac.SetOrg("a", admit.OrgLimits{Requests: limitRate})
		mac.SetShare("a", 1.0/4)
		clu.macs = append(clu.macs, mac)
		clu.heard = append(clu.heard, make([]float64, len(clu.zones)))
	}
	return clu
}

// exchange lets nodes that reach each other hear their demands, and divides.
func (clu *cluster) exchange() {
	for self, mac := range clu.macs {
		var nodes []admit.Node
		for idx, oth := range clu.macs {
			ok := idx == self || clu.reached(self, idx)
			if ok {
				clu.heard[self][idx] = oth.Usage(clu.now)["a"].Requests
			}
			nodes = append(nodes, admit.Node{Zone: clu.zones[idx], Demand: clu.heard[self][idx], Reached: ok})
		}
		mac.SetShare("a", admit.Share(nodes, self, limitFloor))
	}
}

// feed offers requests at each node's rate for a time, with an exchange every
// second.
func (clu *cluster) feed(dur time.Duration, rates []float64) {
	const step = 10 * time.Millisecond
	for ela := time.Duration(0); ela < dur; ela += step {
		if ela%time.Second == 0 {
			clu.exchange()
		}
		for idx, rate := range rates {
			every := time.Duration(float64(time.Second) / max(rate, 1e-3)).Truncate(step)
			if ela%every != 0 {
				continue
			}
			clu.nextID++
			for _, act := range clu.macs[idx].Offer(admit.Item{ID: clu.nextID, Org: "a", Model: "m", Cost: 1}, clu.now) {
				if _, ok := act.(admit.Admit); ok {
					clu.admitted++
				}
			}
		}
		clu.now = clu.now.Add(step)
	}
}

// TestLimitAcrossNodes offers more than the limit in several ways and wants
// the whole to stay within it, and to use what the floor leaves to demand.
func TestLimitAcrossNodes(t *testing.T) {
	const secs = 30
	all := func(int, int) bool { return true }
	zone := func(one, two int) bool { return (one < 2) == (two < 2) } // z1 cut off
	alone := func(one, two int) bool { return one == two }
	tests := []struct {
		name    string
		reached func(one, two int) bool
		rates   []float64
		least   float64 // of the limit's part
	}{
		{"even demand", all, []float64{50, 50, 50, 50}, 0.95},
		{"all demand at one node", all, []float64{100, 0, 0, 0}, 0.8},
		{"zone cut off, demand on both sides", zone, []float64{100, 100, 100, 100}, 0.95},
		{"zone cut off, demand in it", zone, []float64{100, 0, 0, 0}, 0.5 * 0.8},
		{"each alone", alone, []float64{100, 100, 100, 100}, 0.95},
		{"each alone, demand at one", alone, []float64{100, 0, 0, 0}, 0.25 * 0.95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clu := newCluster()
			clu.reached = tt.reached
			clu.feed(5*time.Second, tt.rates)
			clu.admitted = 0
			clu.feed(secs*time.Second, tt.rates)
			got := float64(clu.admitted)
			// Each node may have saved up a second's worth of its part.
			assert.Assert(t, got <= limitRate*(secs+1)+4, "%v admitted", got)
			assert.Assert(t, got >= limitRate*secs*tt.least, "%v admitted", got)
		})
	}
}

// TestLimitOverCut cuts a zone off and joins it again while all nodes have
// demand that differs, and wants the excess to be no more than what the nodes
// use before they notice, a second each time.
func TestLimitOverCut(t *testing.T) {
	clu := newCluster()
	cut := false
	clu.reached = func(one, two int) bool { return !cut || (one < 2) == (two < 2) }
	rates := []float64{100, 10, 20, 100}
	clu.feed(5*time.Second, rates)
	clu.admitted = 0
	const rounds, each = 4, 5
	for range rounds {
		cut = !cut
		clu.feed(each*time.Second, rates)
	}
	most := limitRate * (rounds*each + 1 + rounds)
	assert.Assert(t, float64(clu.admitted) <= most, fmt.Sprint(clu.admitted))
}
