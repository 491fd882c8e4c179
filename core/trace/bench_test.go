package trace_test

import (
	"os"
	"testing"
	"time"

	"kumquathinge/core/repair"
	"kumquathinge/core/trace"
)

var testDeployment = trace.Deployment{Name: "h", DowntimeWeight: 3, StrandedWeight: 1, ReturnWait: 2 * time.Minute}

func BenchmarkPlay(b *testing.B) {
	for b.Loop() {
		file, err := os.Open("../../cmd/replay/testdata/week.jsonl")
		if err != nil {
			b.Fatal(err)
		}
		tr, err := trace.Read(file)
		file.Close()
		if err != nil {
			b.Fatal(err)
		}
		trace.Play(tr, testDeployment, repair.CostBased{})
	}
}
