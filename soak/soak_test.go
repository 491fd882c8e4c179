package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/soak"
)

// Flags for longer manual runs:
//
//	go test ./soak -run TestSoak -count=1 -timeout 60m -soak.seeds=50 -soak.jobs=3 -soak.out=DIR
var (
	seeds    = flag.Int("soak.seeds", 1, "number of seeds to run")
	first    = flag.Uint64("soak.seed", 0, "first seed; 0 uses the current time in milliseconds")
	duration = flag.Duration("soak.length", 6*time.Second, "period in which faults start")
	nodes    = flag.Int("soak.nodes", 4, "number of entry VMs")
	groups   = flag.Int("soak.groups", 3, "number of groups")
	jobs     = flag.Int("soak.jobs", 1, "number of seeds that run concurrently")
	out      = flag.String("soak.out", "", "directory for the reports and logs of failed seeds")
)

// regressions lists seeds that failed before, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{404, "a node did not exit after SIGTERM, because the goroutine that receives heartbeats kept running (commit c60dc85)"},
	{1796384022829, "the check counted only the SIGTERM that a node was sent 1 ms after SIGKILL, and reported its exit by SIGKILL as an error"},
	{1796403216844, "an idle zone without nodes counted as unreachable after 0.3 s, so its servers got no requests and never counted as reachable again"},
}

// buildProgram builds kumentry and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "kumentry")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/kumentry").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// runSeed runs a seed and reports each violation as a test error.
func runSeed(t *testing.T, program string, seed uint64) {
	t.Helper()
	// Test runs at the same time share the loopback network, so that each
	// needs its own subnet.
	subnet := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, seed%250)
	report, err := soak.Run(soak.Options{
		Program: program, Dir: t.TempDir(), Seed: seed, Duration: *duration, Nodes: *nodes, Groups: *groups, Plain: 3, Subnet: subnet,
	})
	assert.NilError(t, err)
	t.Logf("seed %d: %d faults, planned maintenance only %v, %d of %d requests served", seed, len(report.Schedule), report.PlannedOnly, report.Served, report.Calls)
	for _, fault := range report.Schedule {
		t.Log(fault)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if len(report.Violations) > 0 && *out != "" {
		assert.NilError(t, report.Save(filepath.Join(*out, fmt.Sprint(seed))))
	}
}

// TestSoak runs new seeds, each as a subtest with the seed as its name.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	from := *first
	if from == 0 {
		from = uint64(time.Now().UnixMilli())
	}
	slots := make(chan struct{}, *jobs)
	t.Run("seeds", func(t *testing.T) {
		for num := range *seeds {
			seed := from + uint64(num)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				runSeed(t, program, seed)
			})
		}
	})
}

// TestRegressions runs the seeds that failed before.
func TestRegressions(t *testing.T) {
	program := buildProgram(t)
	for _, regression := range regressions {
		t.Run(fmt.Sprint(regression.seed), func(t *testing.T) {
			t.Log(regression.cause)
			runSeed(t, program, regression.seed)
		})
	}
}

// TestSchedule checks that a seed always yields the same faults, and that planned
// runs hold planned maintenance only.
func TestSchedule(t *testing.T) {
	for seed := range uint64(200) {
		faults, planned := soak.Schedule(seed, 10*time.Second)
		again, _ := soak.Schedule(seed, 10*time.Second)
		assert.DeepEqual(t, faults, again)
		for _, fault := range faults {
			assert.Assert(t, !planned || fault.Kind <= soak.LastPlanned, "%v", fault)
		}
	}
}
