package trial_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/route"
	"kumquathinge/model/trial"
)

// withinTarget is the least fraction of deadlines that must be met for an
// organisation whose demand is within its fair share.
const withinTarget = 0.95

func readRecorded(t *testing.T) []trial.Arrival {
	t.Helper()
	src, err := os.Open("testdata/arrivals.jsonl")
	assert.NilError(t, err)
	defer src.Close()
	arrivals, err := trial.Read(src)
	assert.NilError(t, err)
	return arrivals
}

// TestWithinShare checks at 1.5 times the capacity, with and without a
// straggler, that the system's policy meets withinTarget for each organisation
// within its fair share.
func TestWithinShare(t *testing.T) {
	arrivals := readRecorded(t)
	for name, slow := range map[string]float64{"even": 1, "straggler": 2.5} {
		t.Run(name, func(t *testing.T) {
			zone := trial.ZoneConfig(slow)
			capacity := trial.MeasureCapacity(zone, arrivals)
			res := trial.RunAtLoad(trial.Policies()[0], zone, arrivals, capacity, 1.5)
			within := 0
			for idx := range res.Orgs {
				org := &res.Orgs[idx]
				assert.Equal(t, org.Offered, org.Met+org.Refused+org.RefusedWait+org.Late)
				if org.Within {
					within++
					assert.Assert(t, org.MetRatio() >= withinTarget, "%s met %.3f", org.Name, org.MetRatio())
				}
			}
			assert.Equal(t, within, 7)
		})
	}
}

// TestRepeatable checks that a trial is deterministic.
func TestRepeatable(t *testing.T) {
	arrivals := trial.Generate(300, 8, 7)
	capacity := trial.MeasureCapacity(trial.ZoneConfig(1), arrivals)
	for _, pol := range trial.Policies() {
		one := trial.RunAtLoad(pol, trial.ZoneConfig(1), arrivals, capacity, 1.2)
		two := trial.RunAtLoad(pol, trial.ZoneConfig(1), arrivals, capacity, 1.2)
		assert.DeepEqual(t, one.Orgs, two.Orgs)
		assert.Equal(t, one.HitShare, two.HitShare)
		sum := 0
		for _, org := range one.Orgs {
			sum += org.Met + org.Refused + org.RefusedWait + org.Late
		}
		assert.Equal(t, sum, len(arrivals))
	}
}

func TestReadWrite(t *testing.T) {
	arrivals := trial.Generate(50, 8, 3)
	var buf bytes.Buffer
	assert.NilError(t, trial.Write(&buf, arrivals))
	back, err := trial.Read(&buf)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, arrivals)
}

func TestReadErrors(t *testing.T) {
	good := `{"at":5,"org":"a","in":10,"out":5,"max":5,"dl":100}` + "\n"
	tests := map[string]string{
		"not JSON":        "{",
		"wrong type":      `{"at":"x"}`,
		"no prompt":       `{"at":5,"org":"a","out":5,"max":5,"dl":100}`,
		"out above max":   `{"at":5,"org":"a","in":10,"out":5,"max":4,"dl":100}`,
		"no deadline":     `{"at":5,"org":"a","in":10,"out":5,"max":5}`,
		"back in time":    good + strings.Replace(good, "5", "4", 1),
		"second is wrong": good + "[]",
	}
	for name, give := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := trial.Read(strings.NewReader(give))
			assert.Equal(t, core.CodeOf(err), core.CodeBadRequest)
		})
	}
	arrivals, err := trial.Read(strings.NewReader(good))
	assert.NilError(t, err)
	assert.Equal(t, len(arrivals), 1)
}

// TestSummary checks the summary against values computed by hand. With one
// group of one slot, only one of two simultaneous requests meets its deadline.
func TestSummary(t *testing.T) {
	zone := trial.ZoneConfig(1)
	zone.Groups, zone.Slots = 1, 1
	arr := func(at int64, org core.OrgName) trial.Arrival {
		return trial.Arrival{AtMillis: at, Org: org, PromptTokens: 32, OutputTokens: 100, MaxTokens: 100, DeadlineMillis: 4000}
	}
	arrivals := []trial.Arrival{arr(0, "a"), arr(0, "b"), arr(60000, "a")}
	res := trial.Run(trial.Config{Zone: zone, EntryVMs: 1, Seed: 1, Policy: trial.Policy{
		Chooser: func() core.Chooser { return route.New(route.Config{}) },
	}}, arrivals)
	res.MarkWithin(6, time.Minute)
	assert.Equal(t, res.Late, 1)
	assert.Equal(t, res.MinShare, 0.0)
	assert.Equal(t, res.MeanShare, 0.5)
	// 264 tokens were served; the fair allocation is 132 for each.
	assert.Equal(t, res.Jain, 0.5)
	assert.Assert(t, !res.Orgs[0].Within && res.Orgs[1].Within)
	assert.Equal(t, res.MinWithin, 0.0)
}
