package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/place"
	"kumquathinge/core/site"
	"kumquathinge/model/emul"
)

// newFormedCluster returns a cluster of two domains with all groups serving.
func newFormedCluster(t *testing.T, seed uint64) (*emul.Cluster, *place.Planner) {
	t.Helper()
	fc := newCluster(seed)
	fc.AddServers("d0", 11)
	fc.AddServers("d1", 11)
	pl := place.New(5)
	fc.SetBeforeTraffic(true)
	fc.Run(pl, 10*time.Second)
	fc.SetBeforeTraffic(false)
	fc.Run(pl, 30*time.Second)
	assert.Equal(t, len(fc.ServingHeads(large)), 2)
	assert.Equal(t, len(fc.ServingHeads(small)), 2)
	checkViolations(t, fc)
	return fc, pl
}

// spares returns the running servers of a domain that hold a model and belong to
// no group but a warm-up group.
func spares(fc *emul.Cluster, domain string) []*emul.Engine {
	var out []*emul.Engine
	for _, id := range fc.IDs() {
		eng := fc.Engine(id)
		srv := eng.Server()
		if eng.Running() && srv.Domain == domain && len(eng.Members()) < 2 && len(srv.StagedModels) > 0 {
			out = append(out, eng)
		}
	}
	return out
}

func TestInitialFormation(t *testing.T) {
	fc, _ := newFormedCluster(t, 1)
	assert.Equal(t, len(spares(fc, "d0"))+len(spares(fc, "d1")), 4, "spares with a model")
}

// TestGradualRegistration registers the servers of six domains over three
// seconds before traffic starts. Each domain must get one large group and two
// small ones.
func TestGradualRegistration(t *testing.T) {
	for seed := range 10 {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			big, little := largeModel, smallModel
			big.GroupSize, little.GroupSize, big.InitialShare, little.InitialShare = 12, 6, 0.5, 0.5
			fc := newCluster(uint64(seed), big, little)
			fc.SetBeforeTraffic(true)
			for num := range 6 {
				fc.AddServers(fmt.Sprint("d", num), 27)
			}
			for _, id := range fc.IDs() {
				fc.HideUntil(id, fc.Now().Add(time.Duration(fc.Rand().Int64N(int64(3*time.Second)))))
			}
			fc.Run(place.New(5), 30*time.Second)
			assert.Equal(t, len(fc.ServingHeads(large)), 6)
			assert.Equal(t, len(fc.ServingHeads(small)), 12)
			checkViolations(t, fc)
		})
	}
}

// TestLostMember kills a member of each rank. Its group must serve again under
// its own name within 2.5 s after the loss is detected.
func TestLostMember(t *testing.T) {
	for rank := range 6 {
		t.Run(fmt.Sprint("rank=", rank), func(t *testing.T) {
			fc, pl := newFormedCluster(t, 2)
			head := fc.ServingHeads(large)[0]
			name := head.Server().Group.Name
			fc.Kill(head.Members()[rank])
			fc.Run(pl, 800*time.Millisecond+2500*time.Millisecond)
			assert.Equal(t, len(fc.ServingHeads(large)), 2)
			names := map[string]bool{}
			for _, eng := range fc.ServingHeads(large) {
				names[eng.Server().Group.Name] = true
			}
			assert.Assert(t, names[name])
			checkViolations(t, fc)
		})
	}
}

// TestSparesExhausted kills members of one domain until no spare is left. At
// least one large group must still serve.
func TestSparesExhausted(t *testing.T) {
	fc, pl := newFormedCluster(t, 3)
	for range 4 {
		head := fc.ServingHeads(large)[0]
		fc.Kill(head.Members()[3])
		fc.Run(pl, 6*time.Second)
		checkViolations(t, fc)
	}
	fc.Run(pl, 20*time.Second)
	assert.Assert(t, len(fc.ServingHeads(large)) >= 1)
	checkViolations(t, fc)
}

// TestSurvivorsKeepModel removes all spares and a member of a large group. The
// survivors must keep the model on their hosts, so that the group serves soon
// after a new spare has loaded it.
func TestSurvivorsKeepModel(t *testing.T) {
	fc, pl := newFormedCluster(t, 3)
	fc.SetUtilisation(map[string]float64{large: 1, small: 0.5})
	head := fc.ServingHeads(large)[0]
	domain := head.Server().Domain
	for _, eng := range spares(fc, domain) {
		fc.Kill(eng.ID())
	}
	fc.Run(pl, 5*time.Second)
	fc.Kill(head.Members()[3])
	fc.Run(pl, 10*time.Second)
	for idx, id := range head.Members() {
		if idx != 3 {
			srv := fc.Engine(id).Server()
			assert.Assert(t, srv.HasStaged(large) && !fc.Engine(id).Loading(), "%s holds %v and loads another model: %t", id, srv.StagedModels, fc.Engine(id).Loading())
		}
	}
	fc.AddServers(domain, 1)
	fc.Run(pl, largeModel.LoadTime+5*time.Second)
	assert.Equal(t, len(fc.ServingHeads(large)), 2)
	checkViolations(t, fc)
}

// TestSpareOfOtherModel kills the head of a large group while the spares hold
// the small model, which is busier. The group must serve again as soon as a
// spare has loaded its model.
func TestSpareOfOtherModel(t *testing.T) {
	fc, pl := newFormedCluster(t, 3)
	fc.SetUtilisation(map[string]float64{large: 0.4, small: 1})
	fc.Run(pl, smallModel.LoadTime+5*time.Second)
	head := fc.ServingHeads(large)[0]
	for _, eng := range spares(fc, head.Server().Domain) {
		srv := eng.Server()
		if srv.HasStaged(large) {
			fc.Kill(eng.ID())
		}
	}
	fc.Run(pl, 5*time.Second)
	left := spares(fc, head.Server().Domain)
	assert.Equal(t, len(left), 1, "spares of the small model")
	srv := left[0].Server()
	assert.Assert(t, srv.HasStaged(small))
	fc.Kill(head.ID())
	fc.Run(pl, largeModel.LoadTime+4*time.Second)
	assert.Equal(t, len(fc.ServingHeads(large)), 2)
	checkViolations(t, fc)
}

// TestDomainBack partitions a whole domain and heals it. Its entries return one
// by one, in some cases under new orderers.
func TestDomainBack(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			fc, pl := newFormedCluster(t, uint64(seed))
			fc.Partition("d0")
			fc.Run(pl, 4*time.Second)
			if seed%2 == 0 {
				pl = place.New(6)
			}
			fc.Run(pl, 2*time.Second)
			fc.Heal("d0")
			if seed%4 == 0 {
				pl = place.New(7)
			}
			fc.Run(pl, 8*time.Second)
			assert.Equal(t, len(fc.ServingHeads(large)), 2)
			assert.Equal(t, len(fc.ServingHeads(small)), 2)
			assert.Equal(t, fc.LoadCount(), 0, "no model is loaded again")
			checkViolations(t, fc)
		})
	}
}

// TestNewOrderer replaces the orderer at varying moments of a repair. Orders of
// the old one must be refused.
func TestNewOrderer(t *testing.T) {
	for num := range 30 {
		t.Run(fmt.Sprint("after=", num), func(t *testing.T) {
			fc, pl := newFormedCluster(t, 5)
			head := fc.ServingHeads(large)[0]
			fc.Kill(head.Members()[num%6])
			fc.Run(pl, 800*time.Millisecond+time.Duration(num)*emul.StepInterval)
			next := place.New(6)
			fc.Run(next, 4*time.Second)
			assert.Equal(t, len(fc.ServingHeads(large)), 2)
			checkViolations(t, fc)
			for _, ord := range pl.Step(fc.Input()) {
				assert.Equal(t, fc.Execute(ord), site.OrderFenced, "%v", ord)
			}
			checkViolations(t, fc)
		})
	}
}

// TestRenewedTerm guards against a repair that begins anew when the orderer gets a
// later term without another one in between: the group must serve in the epoch that
// was begun.
func TestRenewedTerm(t *testing.T) {
	begun := 0
	for num := range 25 {
		fc, pl := newFormedCluster(t, 5)
		head := fc.ServingHeads(large)[0]
		group := head.Server().Group
		fc.Kill(head.Members()[1+num%5])
		fc.Run(pl, 800*time.Millisecond+time.Duration(num)*emul.StepInterval)
		epoch := newestEpoch(fc, group.Name)
		pl.Renew(9)
		fc.Run(pl, 4*time.Second)
		assert.Equal(t, len(fc.ServingHeads(large)), 2)
		checkViolations(t, fc)
		if epoch > group.Epoch {
			begun++
			assert.Equal(t, newestEpoch(fc, group.Name), epoch, "after %d steps", num)
		}
	}
	assert.Assert(t, begun > 0)
}

// newestEpoch returns the newest epoch that a running server reports for a group.
func newestEpoch(fc *emul.Cluster, name string) int64 {
	newest := int64(0)
	for _, id := range fc.IDs() {
		if eng := fc.Engine(id); eng.Running() && eng.Server().Group.Name == name {
			newest = max(newest, eng.Server().Group.Epoch)
		}
	}
	return newest
}

// TestDrainingMember drains a member, which must be replaced while it still
// runs.
func TestDrainingMember(t *testing.T) {
	fc, pl := newFormedCluster(t, 6)
	head := fc.ServingHeads(large)[0]
	id := head.Members()[2]
	fc.Drain(id)
	fc.Run(pl, 5*time.Second)
	assert.Equal(t, len(fc.ServingHeads(large)), 2)
	for _, eng := range fc.ServingHeads(large) {
		for _, member := range eng.Members() {
			assert.Assert(t, member != id)
		}
	}
	checkViolations(t, fc)
}

// TestLoadLimit starts without any staged models under traffic, so that all
// hosts load at once.
func TestLoadLimit(t *testing.T) {
	fc := emul.New(emul.Config{Models: []site.Model{largeModel, smallModel}, Slots: 26, LoadsPerSec: 5.5, Seed: 7})
	for num := range 6 {
		fc.AddServers(fmt.Sprint("d", num), 11)
	}
	fc.Run(place.New(5), 60*time.Second)
	// The limit is 5.5 loads/s for five seconds plus 10 %, and 3 loads more.
	assert.Assert(t, fc.MaxLoadsPerWindow(5*time.Second) <= 33, "%d loads in five seconds", fc.MaxLoadsPerWindow(5*time.Second))
	assert.Equal(t, len(fc.ServingHeads(large)), 6)
	checkViolations(t, fc)
}

// randomSeedCount is the number of seeds of TestRandomTrouble in addition to
// regressionSeeds.
const randomSeedCount = 60

// regressionSeeds are seeds that have failed before, with the cause.
var regressionSeeds = []uint64{
	70,   // an epoch opened while a join order of a later epoch was in flight
	88,   // the head of the epoch before the planned one was used as a spare
	571,  // an in-flight join order was dropped while its server was not visible
	956,  // as 88
	1705, // as 571
	1839, // as 88
	1923, // as 88
}

// TestRandomTrouble kills, restarts, drains, partitions and adds servers at
// random, with outdated entries, lost responses and changing orderers.
func TestRandomTrouble(t *testing.T) {
	seeds := slices.Clone(regressionSeeds)
	for seed := range randomSeedCount {
		seeds = append(seeds, uint64(seed))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, seed, nil)
		})
		t.Run(fmt.Sprint("uneven,seed=", seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, seed, map[string]float64{large: 1, small: 0.2})
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64, utilisation map[string]float64) {
	fc := newCluster(seed)
	fc.SetUtilisation(utilisation)
	fc.AddServers("d0", 11)
	fc.AddServers("d1", 11)
	fc.AddServers("d2", 12)
	fc.SetViewLag(time.Duration(fc.Rand().IntN(4)) * emul.StepInterval)
	term := int64(5)
	pl := place.New(term)
	fc.Run(pl, 30*time.Second)
	for range 60 {
		injectFault(fc, &term, &pl)
		endLongIsolations(fc)
		fc.Run(pl, time.Duration(fc.Rand().Int64N(int64(2*time.Second))))
	}
	fc.SetOrderLoss(0)
	for _, domain := range []string{"d0", "d1", "d2"} {
		if fc.Partitioned(domain) {
			fc.Heal(domain)
		}
	}
	for _, id := range fc.IDs() {
		fc.Reconnect(id)
	}
	fc.Run(pl, 60*time.Second)
	checkViolations(t, fc)
	assert.Assert(t, len(fc.ServingHeads(large))+len(fc.ServingHeads(small)) >= 2, "too few groups serve after the faults")
}

// maxIsolation is the maximum time for which a single server is cut off.
const maxIsolation = 40 * time.Second

// endLongIsolations ends isolations that would otherwise exceed maxIsolation.
func endLongIsolations(fc *emul.Cluster) {
	for _, id := range fc.IDs() {
		if fc.IsolatedFor(id) > maxIsolation-4*time.Second {
			fc.Reconnect(id)
		}
	}
}

// injectFault injects one random fault.
func injectFault(fc *emul.Cluster, term *int64, pl **place.Planner) {
	ids := slices.DeleteFunc(fc.IDs(), func(id string) bool { return !fc.Engine(id).Running() })
	if len(ids) == 0 {
		return
	}
	eng := fc.Engine(ids[fc.Rand().IntN(len(ids))])
	domain := eng.Server().Domain
	switch fc.Rand().IntN(10) {
	case 0, 1:
		if len(ids) > 18 {
			fc.Kill(eng.ID())
		}
	case 2:
		if len(ids) > 18 {
			fc.Drain(eng.ID())
		}
	case 3:
		fc.AddServers(domain, 1)
	case 4:
		*term += 3
		*pl = place.New(*term)
	case 5:
		fc.SetOrderLoss([]float64{0, 0.3}[fc.Rand().IntN(2)])
	case 6:
		if fc.Partitioned(domain) {
			fc.Heal(domain)
		} else {
			fc.Partition(domain)
		}
	case 8, 9:
		if fc.IsolatedFor(eng.ID()) > 0 {
			fc.Reconnect(eng.ID())
		} else {
			fc.Isolate(eng.ID())
		}
	case 7:
		fc.Restart(eng.ID())
	}
}
