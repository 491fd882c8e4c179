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

// measureTime is the duration of one measurement.
const measureTime = 6 * time.Second

// measure reports the daemon's CPU time, memory and network traffic over
// measureTime and returns them by unit. It runs during in the meantime.
func (h *harness) measure(b *testing.B, during func()) map[string]float64 {
	for _, cnt := range h.byteCounts {
		cnt.Store(0)
	}
	begin, spent := time.Now(), h.cpuTime()
	end := time.After(measureTime)
	during()
	<-end
	took := time.Since(begin).Seconds()
	out := map[string]float64{"%core": 100 * (h.cpuTime() - spent).Seconds() / took}
	for _, kind := range []string{"peer", "probe", "list", "log"} {
		out[kind+"-KB/s"] = float64(h.byteCounts[kind].Load()) / took / 1000
		out["control-KB/s"] += out[kind+"-KB/s"]
	}
	got := h.readVars()
	out["heap-MB"] = float64(got.Mem.HeapAlloc) / 1e6
	out["resident-MB"] = h.residentBytes() / 1e6
	out["live"] = float64(got.Node.Live)
	for unit, val := range out {
		b.ReportMetric(val, unit)
	}
	b.ReportMetric(0, "ns/op")
	return out
}

// BenchmarkControl measures a daemon without requests by the number of entry
// VMs, of model servers in its zone, of all listed servers and of
// organisations, each varied separately, and with all at the target size.
func BenchmarkControl(b *testing.B) {
	fits := map[string]*linearFit{}
	addSample := func(name, unit string, size int, val float64) {
		if fits[name] == nil {
			fits[name] = newFit(unit)
		}
		fits[name].add(float64(size), val)
	}
	for _, cfg := range []harnessConfig{
		{entryVMs: 1, zoneServers: 8, listedServers: 8, orgs: 1},
		{entryVMs: 4, zoneServers: 8, listedServers: 8, orgs: 1},
		{entryVMs: 42, zoneServers: 8, listedServers: 8, orgs: 1},
		{entryVMs: 170, zoneServers: 8, listedServers: 8, orgs: 1},
		{entryVMs: 340, zoneServers: 8, listedServers: 8, orgs: 1},
		{entryVMs: 1, zoneServers: 24, listedServers: 24, orgs: 1},
		{entryVMs: 1, zoneServers: 48, listedServers: 48, orgs: 1},
		{entryVMs: 1, zoneServers: 88, listedServers: 88, orgs: 1},
		{entryVMs: 1, zoneServers: 8, listedServers: 304, orgs: 1},
		{entryVMs: 1, zoneServers: 8, listedServers: 600, orgs: 1},
		{entryVMs: 340, zoneServers: 8, listedServers: 8, orgs: 10},
		{entryVMs: 340, zoneServers: 8, listedServers: 8, orgs: 100},
		{entryVMs: 340, zoneServers: 88, listedServers: 600, orgs: 10},
	} {
		b.Run(cfg.String(), func(b *testing.B) {
			h := newHarness(b, cfg)
			for b.Loop() {
				got := h.measure(b, func() {})
				addSample("list-by-VM", "KB/s", cfg.entryVMs+cfg.listedServers, got["list-KB/s"])
				switch {
				case cfg.listedServers == 8 && cfg.orgs == 1:
					addSample("cpu-by-node", "%core", cfg.entryVMs, got["%core"])
					addSample("resident-by-node", "MB", cfg.entryVMs, got["resident-MB"])
				case cfg.entryVMs == 1 && cfg.zoneServers == cfg.listedServers:
					addSample("cpu-by-server", "%core", cfg.zoneServers, got["%core"])
					addSample("probe-by-server", "KB/s", cfg.zoneServers, got["probe-KB/s"])
				}
			}
		})
	}
	for name, fit := range fits {
		fit.report(b, name)
	}
}

// BenchmarkFollow measures a daemon while other entry VMs append claims and
// results, one record per log entry, and while operators change settings.
func BenchmarkFollow(b *testing.B) {
	cpu, wire := newFit("%core"), newFit("KB/s")
	for _, tc := range []struct{ claims, changes int }{{0, 0}, {25, 0}, {50, 0}, {100, 0}, {170, 0}, {0, 1}, {0, 10}} {
		b.Run(fmt.Sprintf("claims=%d/changes=%d", tc.claims, tc.changes), func(b *testing.B) {
			h := newHarness(b, harnessConfig{entryVMs: 1, zoneServers: 8, listedServers: 600, orgs: 10})
			for b.Loop() {
				got := h.measure(b, func() { h.appendAsOthers(tc.claims, tc.changes) })
				if tc.changes == 0 {
					cpu.add(float64(tc.claims), got["%core"])
					wire.add(float64(tc.claims), got["log-KB/s"])
				}
			}
		})
	}
	cpu.report(b, "cpu-by-claim-a-second")
	wire.report(b, "log-by-claim-a-second")
}

// appendAsOthers appends, for measureTime and on behalf of other entry VMs,
// claims with their results, or settings if changes is positive. The arguments
// are rates per second.
func (h *harness) appendAsOthers(claims, changes int) {
	ticker := time.NewTicker(time.Second / time.Duration(max(1, claims+changes)))
	defer ticker.Stop()
	for range int(measureTime.Seconds()) * (claims + changes) {
		<-ticker.C
		if changes > 0 {
			h.appendSetting("/models/m1", "model.capacity", 4000+rand.IntN(1000))
		} else {
			h.appendClaim()
		}
	}
}

// appendClaim appends a claim and its result on behalf of another entry VM.
func (h *harness) appendClaim() {
	key := core.IdempotencyKey(fmt.Sprintf("%08x-8f63-4d0e-9a9e-%012x", rand.Uint32(), rand.Uint64()>>16))
	off := h.appendEntry(recd.Record{By: "entry-vm-017", Claim: &recd.Claim{
		Org: "organisation-1", Key: key, Issued: time.Now().UTC(), Digest: rand.Uint64(), Holder: "entry-vm-017",
	}})
	assert.Assert(h.tb, off > 0)
	h.appendEntry(recd.Record{By: "entry-vm-017", Result: &recd.Result{
		Org: "organisation-1", Key: key, Claim: off, Reply: core.Reply{Status: 200, Type: "application/json", Body: []byte(`{"charged":"12.50"}`)},
	}})
}
