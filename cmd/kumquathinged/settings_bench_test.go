package main_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// BenchmarkSettingPropagation measures the time from an operator's change at one
// daemon until it is accepted and until all daemons have applied it.
func BenchmarkSettingPropagation(b *testing.B) {
	for _, count := range []int{4, 12, 36} {
		b.Run(fmt.Sprint("daemons=", count), func(b *testing.B) {
			sys := nodets.Start(b, nodets.Config{Program: program, Engine: stand.EngineConfig{TokenTime: time.Millisecond}})
			for idx := len(sys.EntryVMs); idx < count; idx++ {
				sys.AddEntryVM(core.NodeName(fmt.Sprintf("e%d", idx+1)), nodets.Zones[idx%len(nodets.Zones)])
			}
			time.Sleep(warmupTime)
			var accepted, everywhere []time.Duration
			for round := range 20 {
				begin := time.Now()
				assert.NilError(b, sys.TrySet(sys.EntryVMs[0], "/", "queue.depth", fmt.Append(nil, 300+round)))
				accepted = append(accepted, time.Since(begin))
				want, err := sys.Settings(sys.EntryVMs[0], "/")
				assert.NilError(b, err)
				for _, vm := range sys.EntryVMs[1:] {
					for got := want; ; {
						got, err = sys.Settings(vm, "/")
						assert.NilError(b, err)
						if got.Version >= want.Version {
							break
						}
					}
				}
				everywhere = append(everywhere, time.Since(begin))
			}
			slices.Sort(everywhere)
			b.ReportMetric(p95(accepted), "accepted-p95-ms")
			b.ReportMetric(p95(everywhere), "everywhere-p95-ms")
			b.ReportMetric(everywhere[len(everywhere)/2].Seconds()*1000, "everywhere-median-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
