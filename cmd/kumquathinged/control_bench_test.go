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
// in which during runs.
func (rig *rig) measure(ben *testing.B, during func()) {
	for _, cnt := range rig.bytes {
		cnt.Store(0)
	}
	begin, spent := time.Now(), rig.cpu()
	end := time.After(rigWindow)
	during()
	<-end
	took := time.Since(begin).Seconds()
	ben.ReportMetric(100*(rig.cpu()-spent).Seconds()/took, "%core")
	total := 0.0
	for _, kind := range []string{"peer", "probe", "list", "log"} {
		per := float64(rig.bytes[kind].Load()) / took / 1000
		ben.ReportMetric(per, kind+"-KB/s")
		total += per
	}
	ben.ReportMetric(total, "control-KB/s")
	got := rig.vars()
	ben.ReportMetric(float64(got.Mem.HeapAlloc)/1e6, "heap-MB")
	ben.ReportMetric(rig.resident()/1e6, "resident-MB")
	ben.ReportMetric(float64(got.Node.Live), "live")
	ben.ReportMetric(0, "ns/op")
}

// BenchmarkControl is what one daemon without requests spends: by entry VMs,
// by model servers of its zone, by all listed, and by organisations, each
// alone, and all at the size of the target.
func BenchmarkControl(ben *testing.B) {
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
				rig.measure(ben, func() {})
			}
		})
	}
}

// BenchmarkFollow is what one daemon spends while other entry VMs append
// claims and results, each record in an entry of its own, and while operators
// change settings.
func BenchmarkFollow(ben *testing.B) {
	for _, cas := range []struct{ claims, changes int }{{0, 0}, {25, 0}, {50, 0}, {100, 0}, {170, 0}, {0, 1}, {0, 10}} {
		ben.Run(fmt.Sprintf("claims=%d/changes=%d", cas.claims, cas.changes), func(ben *testing.B) {
			rig := newRig(ben, rigConfig{nodes: 1, servers: 8, listed: 600, orgs: 10})
			for ben.Loop() {
				rig.measure(ben, func() {
					tic := time.NewTicker(time.Second / time.Duration(max(1, cas.claims+cas.changes)))
					defer tic.Stop()
					for range int(rigWindow.Seconds()) * (cas.claims + cas.changes) {
						<-tic.C
						if cas.changes > 0 {
							rig.set("/models/m1", "model.capacity", 4000+rand.IntN(1000))
							continue
						}
						rig.claim()
					}
				})
			}
		})
	}
}

// claim appends a claim and its result as another entry VM would.
func (rig *rig) claim() {
	key := core.RequestKey(fmt.Sprintf("%08x-8f63-4d0e-9a9e-%012x", rand.Uint32(), rand.Uint64()>>16))
	off := rig.append(recd.Record{By: "entry-vm-017", Claim: &recd.Claim{
		Org: "organisation-1", Key: key, Issued: time.Now().UTC(), Digest: rand.Uint64(), Holder: "entry-vm-017",
	}})
	assert.Assert(rig.tst, off > 0)
	rig.append(recd.Record{By: "entry-vm-017", Result: &recd.Result{
		Org: "organisation-1", Key: key, Claim: off, Reply: core.Reply{Status: 200, Type: "application/json", Body: []byte(`{"charged":"12.50"}`)},
	}})
}
