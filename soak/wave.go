package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// A wave cuts waveShare of the servers off.
	waveShare = 0.2
	// minWave is the shortest time of a wave, and waveSpread by how much it may be longer.
	minWave    = 4 * time.Second
	waveSpread = 29 * time.Second
)

// AddWaves adds waves of servers that are cut off from all nodes to the faults of a seed: two
// to four, none to planned maintenance.
func AddWaves(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 9))
	if planned {
		return faults
	}
	return appendFaults(faults, rng, ServerWave, 2+rng.IntN(3), duration, minWave, waveSpread)
}

// injectWave cuts a part of the servers off from all nodes. Waves that overlap add up.
func (dep *deployment) injectWave(_ Fault, rng *rand.Rand) func() {
	var ends []func()
	for _, srv := range dep.activeServers() {
		if rng.Float64() < waveShare {
			ends = append(ends, srv.cutOff())
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// cutOff drops all bytes between the nodes and the server, and returns the function that ends
// this.
func (srv *server) cutOff() func() {
	end := srv.beginFault()
	srv.addCut(1)
	return func() {
		srv.addCut(-1)
		end()
	}
}

// addCut adds to the number of cuts in progress.
func (srv *server) addCut(num int) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.cuts += num
	fault := ConnFault{}
	if srv.cuts > 0 {
		fault = ConnFault{DropUpstream: true, DropDownstream: true}
	}
	srv.proxy.SetFault(fault)
}
