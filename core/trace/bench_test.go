package trace_test

import (
	"os"
	"testing"
	"time"

	"kumquathinge/core/repair"
	"kumquathinge/core/trace"
)

var huellas = trace.Deployment{Name: "h", Downtime: 3, Stranded: 1, Wait: 2 * time.Minute}

func BenchmarkPlay(b *testing.B) {
	for b.Loop() {
		fil, err := os.Open("../../cmd/replay/testdata/week.jsonl")
		if err != nil {
			b.Fatal(err)
		}
		trc, err := trace.Read(fil)
		fil.Close()
		if err != nil {
			b.Fatal(err)
		}
		trace.Play(trc, huellas, repair.CostBased{})
	}
}
