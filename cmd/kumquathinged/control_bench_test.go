package main_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// rigWindow is the time over which a rig is measured.
const rigWindow = 6 * time.Second

// measure reports the daemon's processor time, memory and bytes over a window
// in which during runs, and returns them by unit.
func (rig *rig) measure(ben *testing.B, during func()) map[string]float64 {
	for _, cnt := range rig.bytes {
		cnt.Store(0)
	}
	begin, spent := time.Now(), rig.cpu()
	end := time.After(rigWindow)
	during()
	<-end
	took := time.Since(begin).Seconds()
	out := map[string]float64{"%core": 100 * (rig.cpu() - spent).Seconds() / took}
	for _, kind := range []string{"peer", "probe", "list", "log"} {
		out[kind+"-KB/s"] = float64(rig.bytes[kind].Load()) / took / 1000
		out["control-KB/s"] += out[kind+"-KB/s"]
	}
	got := rig.vars()
	out["heap-MB"] = float64(got.Mem.HeapAlloc) / 1e6
	out["resident-MB"] = rig.resident() / 1e6
	out["live"] = float64(got.Node.Live)
	for unit, val := range out {
		ben.ReportMetric(val, unit)
	}
	ben.ReportMetric(0, "ns/op")
	return out
}

// BenchmarkControl is what one daemon without requests spends: by entry VMs,
// by model servers of its zone, by all listed, and by organisations, each
// alone, and all at the size of the target.
func BenchmarkControl(ben *testing.B) {
	fits := map[string]*fit{}
	note := func(name, unit string, size int, val float64) {
		if fits[name] == nil {
			fits[name] = newFit(unit)
		}
		fits[name].add(float64(size), val)
	}
	for _, cfg := range []rigConfig{
		{nodes: 1, servers: 8, listed: 8, orgs: 1},
		{nodes: 4, servers: 8, listed: 8, orgs: 1},
		{nodes: 42, servers: 8, listed: 8, orgs: 1},
		{nodes: 170, servers: 8, listed: 8, orgs: 1},
		{nodes: 340, servers: 8, listed: 8, orgs: 1},
		{nodes: 1, servers: 24, listed: 24, orgs: 1},
		{nodes: 1, servers: 48, listed: 48, orgs: 1},
		{nodes: 1, servers: 88, listed: 88, orgs: 1},
		{nodes: 1, servers: 8, listed: 304, orgs: 1},
		{nodes: 1, servers: 8, listed: 600, orgs: 1},
		{nodes: 340, servers: 8, listed: 8, orgs: 10},
		{nodes: 340, servers: 8, listed: 8, orgs: 100},
		{nodes: 340, servers: 88, listed: 600, orgs: 10},
	} {
		ben.Run(cfg.String(), func(ben *testing.B) {
			rig := newRig(ben, cfg)
			for ben.Loop() {
				got := rig.measure(ben, func() {})
				note("list-by-VM", "KB/s", cfg.nodes+cfg.listed, got["list-KB/s"])
				switch {
				case cfg.listed == 8 && cfg.orgs == 1:
					note("cpu-by-node", "%core", cfg.nodes, got["%core"])
					note("resident-by-node", "MB", cfg.nodes, got["resident-MB"])
				case cfg.nodes == 1 && cfg.servers == cfg.listed:
					note("cpu-by-server", "%core", cfg.servers, got["%core"])
					note("probe-by-server", "KB/s", cfg.servers, got["probe-KB/s"])
				}
			}
		})
	}
	for name, fit := range fits {
		fit.report(ben, name)
	}
}

// BenchmarkFollow is what one daemon spends while other entry VMs append
// claims and results, each record in an entry of its own, and while operators
// change settings.
func BenchmarkFollow(ben *testing.B) {
	cpu, wire := newFit("%core"), newFit("KB/s")
	for _, cas := range []struct{ claims, changes int }{{0, 0}, {25, 0}, {50, 0}, {100, 0}, {170, 0}, {0, 1}, {0, 10}} {
		ben.Run(fmt.Sprintf("claims=%d/changes=%d", cas.claims, cas.changes), func(ben *testing.B) {
			rig := newRig(ben, rigConfig{nodes: 1, servers: 8, listed: 600, orgs: 10})
			for ben.Loop() {
				got := rig.measure(ben, func() { rig.follow(cas.claims, cas.changes) })
				if cas.changes == 0 {
					cpu.add(float64(cas.claims), got["%core"])
					wire.add(float64(cas.claims), got["log-KB/s"])
				}
			}
		})
	}
	cpu.report(ben, "cpu-by-claim-a-second")
	wire.report(ben, "log-by-claim-a-second")
}

// follow appends for a window what other entry VMs would.
func (rig *rig) follow(claims, changes int) {
	tic := time.NewTicker(time.Second / time.Duration(max(1, claims+changes)))
	defer tic.Stop()
	for range int(rigWindow.Seconds()) * (claims + changes) {
		<-tic.C
		if changes > 0 {
			rig.set("/models/m1", "model.capacity", 4000+rand.IntN(1000))
		} else {
			rig.claim()
		}
	}
}

// claim appends a claim and its result as another entry VM would.
func (rig *rig) claim() {
	key := core.IdempotencyKey(fmt.Sprintf("%08x-8f63-4d0e-9a9e-%012x", rand.Uint32(), rand.Uint64()>>16))
	off := rig.append(recd.Record{By: "entry-vm-017", Claim: &recd.Claim{
		Org: "organisation-1", Key: key, Issued: time.Now().UTC(), Digest: rand.Uint64(), Holder: "entry-vm-017",
	}})
	assert.Assert(rig.tst, off > 0)
	rig.append(recd.Record{By: "entry-vm-017", Result: &recd.Result{
		Org: "organisation-1", Key: key, Claim: off, Reply: core.Reply{Status: 200, Type: "application/json", Body: []byte(`{"charged":"12.50"}`)},
	}})
}
