package crash_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquathinge/core"
)

// TestCrashingPartProperty draws scenarios of one part that crashes servers, with
// nodes that start anew or are cut off and servers that end for other reasons.
// Whatever comes together, few requests with the part reach servers once the
// part could be known.
func TestCrashingPartProperty(t *testing.T) {
	moments := func(rt *rapid.T, label string) []time.Duration {
		var out []time.Duration
		for _, millis := range rapid.SliceOfN(rapid.IntRange(0, 9_000), 0, 4).Draw(rt, label) {
			out = append(out, time.Duration(millis)*time.Millisecond)
		}
		return out
	}
	rapid.Check(t, func(rt *rapid.T) {
		cfg := partsScenario{
			nodes: rapid.IntRange(1, 8).Draw(rt, "nodes"), heads: rapid.IntRange(4, 9).Draw(rt, "heads"),
			rate: float64(rapid.IntRange(10, 60).Draw(rt, "rate")), share: float64(rapid.IntRange(1, 10).Draw(rt, "share")) / 100,
			deadly: []core.PromptPart{"deadly"}, length: 10 * time.Second, countFrom: soundCountedFrom,
			restarts: moments(rt, "restarts"), cuts: moments(rt, "cuts"), losses: float64(rapid.IntRange(0, 5).Draw(rt, "losses")) / 100,
			seed: rapid.Uint64().Draw(rt, "seed"),
		}
		cl := runParts(cfg)
		crashes := cl.deadCrashes["deadly"]
		if len(crashes) < maxPartCrashes {
			return
		}
		// A node that is cut off or has just started lacks evidence that others have.
		known := crashes[maxPartCrashes-1].Add(knownAfter)
		later := 0
		for _, sent := range cl.deadlySent["deadly"] {
			if sent.at.After(known) && !cl.outOfTouch(sent) {
				later++
			}
		}
		if later > maxSentLater {
			rt.Fatalf("%d requests reached servers after the part could be known; %d crashes", later, len(crashes))
		}
	})
}
