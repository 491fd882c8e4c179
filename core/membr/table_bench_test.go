package membr_test

import (
	"fmt"
	"testing"
	"time"

	"kumquathinge/core/membr"
)

// pace is the configuration of the daemon.
var pace = membr.Config{Suspect: 2 * time.Second, Dead: time.Minute, Interval: 500 * time.Millisecond, Fanout: 12}

var tableSizes = []int{4, 42, 85, 170, 340, 680}

// BenchmarkHeard is what a table does for one beat heard: take it in and list
// who is live.
func BenchmarkHeard(b *testing.B) {
	for _, num := range tableSizes {
		b.Run(fmt.Sprint("nodes=", num), func(b *testing.B) {
			tab := membr.New(beat(0, 7), pace)
			for idx := 1; idx < num; idx++ {
				tab.Heard(beat(idx, 7), start)
			}
			b.ReportAllocs()
			seq := uint64(1)
			for b.Loop() {
				seq++
				bea := beat(1, 7)
				bea.Seq = seq
				tab.Heard(bea, start)
				if live := tab.Live(start); len(live) != num {
					b.Fatal(len(live))
				}
			}
		})
	}
}

// BenchmarkTargets is what a table does at each tick: forget the dead and
// choose whom to ask.
func BenchmarkTargets(b *testing.B) {
	for _, num := range tableSizes {
		b.Run(fmt.Sprint("nodes=", num), func(b *testing.B) {
			tab := membr.New(beat(0, 7), pace)
			for idx := 1; idx < num; idx++ {
				tab.Heard(beat(idx, 7), start)
			}
			b.ReportAllocs()
			seq := uint64(1)
			for b.Loop() {
				seq++
				tab.Targets(start, seq)
			}
		})
	}
}
