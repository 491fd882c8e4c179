package crash_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/crash"
)

// FuzzPartsReport applies reports of peers, well-formed or not. None may end the
// process, and reports of one peer alone must not fill the memory.
func FuzzPartsReport(fuzz *testing.F) {
	for _, report := range []crash.PartsReport{
		{},
		{Crashes: []crash.EndReport{{Run: crash.ServerRun{ID: "a"}, Age: time.Second, Begun: []core.PromptPart{"p"}}}},
		{Quarantines: []crash.QuarantineReport{{Part: "p", Age: time.Second, Left: time.Minute, Count: 1, Servers: []string{"a"}}}},
		{Crashes: []crash.EndReport{{Age: -1 << 63}}, Quarantines: []crash.QuarantineReport{{Part: "p", Age: -1 << 63, Left: 1<<63 - 1, Count: -1 << 31}}},
		{Proved: map[core.PromptPart]time.Duration{"p": -1 << 63, "": 1<<63 - 1}, Trial: []core.PromptPart{"p"}},
	} {
		raw, err := cbor.Marshal(report)
		assert.NilError(fuzz, err)
		fuzz.Add(raw)
	}
	fuzz.Fuzz(func(t *testing.T, raw []byte) {
		var report crash.PartsReport
		if cbor.Unmarshal(raw, &report) != nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		tr := crash.NewPartTracker("n", crash.PartsConfig{})
		for range 3 {
			tr.UpdatePeer("peer", &report, now)
			tr.Decide(subjectOf("p"), now)
			tr.StartTrial(subjectOf("p"), now)
			tr.Interrupted(runOf("a"), subjectOf("p"), crash.StageBegun, now)
			tr.TakeChanges(now)
			if out := tr.Export(now); out != nil {
				assert.Assert(t, len(out.Quarantines) <= 24 && len(out.Crashes) <= 12)
			}
			now = now.Add(time.Second)
		}
	})
}
