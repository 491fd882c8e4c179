package emul_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/model/emul"
)

const (
	// seedCount is the number of seeds per pattern.
	seedCount = 12
	// targetRatio is the part of the bound that the planner must reach.
	targetRatio = 0.85
)

func readPattern(t *testing.T, name string) *emul.Pattern {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name+".json"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	pat, err := emul.ReadPattern(file)
	assert.NilError(t, err)
	return pat
}

// requireTarget plays a pattern with several seeds. The worth that the groups
// served must reach targetRatio of the bound on the mean, and no order may
// violate an invariant.
func requireTarget(t *testing.T, name string) {
	t.Helper()
	pat := readPattern(t, name)
	sum := 0.0
	for seed := range seedCount {
		res := emul.Run(pat, uint64(seed))
		assert.Equal(t, len(res.Violations), 0, "%v", res.Violations)
		assert.Assert(t, res.Worth <= res.Bound, "worth %.3f exceeds the bound %.3f", res.Worth, res.Bound)
		sum += res.Worth / res.Bound
	}
	assert.Assert(t, sum/seedCount >= targetRatio, "%.3f of the bound", sum/seedCount)
}

// TestLoadPairsLost loses two members of groups every three seconds.
func TestLoadPairsLost(t *testing.T) { requireTarget(t, "pairs") }

// TestLoadDomainLost also loses a whole domain, whose hosts return.
func TestLoadDomainLost(t *testing.T) {
	requireTarget(t, "domain_lost")
	requireTarget(t, "large_fleet_domain_lost")
}

// TestLoadLargeFleet loses pairs in a fleet whose large groups have 16 members.
func TestLoadLargeFleet(t *testing.T) { requireTarget(t, "large_fleet") }

// TestLoadOrdererLost also replaces the orderer five times.
func TestLoadOrdererLost(t *testing.T) { requireTarget(t, "orderers") }

// TestLoadSlowMembers also makes members of groups slow.
func TestLoadSlowMembers(t *testing.T) { requireTarget(t, "slow_members") }

// TestLoadSlack loses pairs while there are more groups than the work needs.
func TestLoadSlack(t *testing.T) { requireTarget(t, "slack") }

// TestLoadLossesAndBurst loses pairs during a burst of the small model's
// requests, for which all servers together just suffice.
func TestLoadLossesAndBurst(t *testing.T) { requireTarget(t, "burst") }

// TestConcurrentLoads checks that the planner starts no more loads than the
// weight store carries at full speed.
func TestConcurrentLoads(t *testing.T) {
	pat := readPattern(t, "pairs")
	res := emul.Run(pat, 1)
	shortest := time.Duration(pat.Models[1].Load)
	most := pat.ConcurrentLoads * int(time.Duration(pat.Length)/shortest+1)
	assert.Assert(t, res.Loads > 0 && res.Loads <= most, "%d loads, %d are possible", res.Loads, most)
}

// TestInvalidPattern checks that a pattern with an error is refused and the
// error named.
func TestInvalidPattern(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "pairs.json"))
	assert.NilError(t, err)
	valid := string(raw)
	tests := []struct{ old, changed, want string }{
		{`"zones": 3`, `"zones": 0`, "must be positive"},
		{`"zones": 3`, `"zoness": 3`, "unknown field"},
		{`"kind": "lose"`, `"kind": "loose"`, `kind "loose" is unknown`},
		{`"at": "2.5s"`, `"at": "2500s"`, "outside"},
		{`"at": "2.5s"`, `"at": "soon"`, "invalid duration"},
		{`"zone": 1, "count": 2`, `"zone": 9, "count": 2`, "zone 9 does not exist"},
		{`"zone": 1, "count": 2`, `"zone": 1`, "positive count"},
		{`"demand": 4.5`, `"demand": 0`, "positive size"},
		{`"length": "40s"`, `"length": "0s"`, "length must be positive"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			changed := strings.Replace(valid, tt.old, tt.changed, 1)
			assert.Assert(t, changed != valid)
			_, err = emul.ReadPattern(strings.NewReader(changed))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func ExampleRun() {
	pat, err := emul.ReadPattern(strings.NewReader(`{
		"name": "calm", "zones": 1, "domains_per_zone": 1, "servers_per_domain": 9, "slots": 8,
		"loads_per_second": 4, "concurrent_loads": 6, "lead": "10s", "length": "5s",
		"models": [
			{"name": "a", "size": 4, "load": "16s", "warm": "1.6s", "share": 0.5, "demand": 1, "worth": 1},
			{"name": "b", "size": 3, "load": "12s", "warm": "1.1s", "share": 0.5, "demand": 1, "worth": 1}
		]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	res := emul.Run(pat, 1)
	fmt.Printf("served %.2f of the work, bound %.2f\n", res.Worth, res.Bound)
	// Output: served 1.00 of the work, bound 1.00
}
