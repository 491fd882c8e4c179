package admit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// filled returns a Machine with 64 running items and so many waiting for each
// organisation.
func filled(orgs, depth int) (*admit.Machine, []core.OrgName, uint64) {
	mac := admit.New(admit.Config{MaxQueued: 1 << 30, MaxPerOrg: 1 << 30})
	names := make([]core.OrgName, orgs)
	for idx := range names {
		names[idx] = core.OrgName(fmt.Sprint("org", idx))
	}
	mac.SetCapacity("m", 64)
	var id uint64
	for id < 64 {
		id++
		mac.Offer(admit.Item{ID: id, Org: names[int(id)%orgs], Model: "m", Cost: 100}, t0)
	}
	for range depth {
		for _, name := range names {
			id++
			mac.Offer(admit.Item{ID: id, Org: name, Model: "m", Cost: 100, Priority: int(id % 3)}, t0)
		}
	}
	return mac, names, id
}

// BenchmarkOfferDone offers an item and ends a running one, so that the depth
// stays.
func BenchmarkOfferDone(b *testing.B) {
	for _, orgs := range []int{10, 100, 1000} {
		for _, depth := range []int{0, 1, 10, 100} {
			b.Run(fmt.Sprintf("orgs=%d/waiting=%d", orgs, orgs*depth), func(b *testing.B) {
				mac, names, id := filled(orgs, depth)
				running := make([]uint64, 0, 65)
				for run := uint64(1); run <= 64; run++ {
					running = append(running, run)
				}
				now := t0
				b.ReportAllocs()
				for pos := 0; b.Loop(); pos++ {
					id++
					now = now.Add(time.Millisecond)
					itm := admit.Item{ID: id, Org: names[pos%orgs], Model: "m", Cost: 100, Deadline: now.Add(time.Hour)}
					acts := mac.Offer(itm, now)
					acts = append(acts, mac.Done(running[0], 100, now)...)
					running = running[1:]
					for _, act := range acts {
						if adm, ok := act.(admit.Admit); ok {
							running = append(running, adm.ID)
						}
					}
				}
			})
		}
	}
}

// BenchmarkTick checks waiting items of which none is late.
func BenchmarkTick(b *testing.B) {
	for _, depth := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("waiting=%d", 100*depth), func(b *testing.B) {
			mac, _, _ := filled(100, depth)
			for b.Loop() {
				mac.Tick(t0)
			}
		})
	}
}

// BenchmarkMemory reports the heap that an organisation and a waiting item
// take.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc)
	}
	const orgs, depth = 1000, 100
	for b.Loop() {
		before := heap()
		one, _, _ := filled(orgs, 1)
		perOrg := (heap() - before) / orgs
		runtime.KeepAlive(one)
		before = heap()
		many, _, _ := filled(orgs, depth)
		perItem := (heap() - before - perOrg*orgs) / (orgs * (depth - 1))
		runtime.KeepAlive(many)
		b.ReportMetric(perOrg, "B/org")
		b.ReportMetric(perItem, "B/item")
	}
}
