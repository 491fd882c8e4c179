package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
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
	duration = flag.Duration("soak.length", 0, "period in which faults start; 0 selects 6 s for short streams and 20 s for the traffic of a profile")
	nodes    = flag.Int("soak.nodes", 4, "number of entry VMs")
	groups   = flag.Int("soak.groups", 3, "number of groups")
	jobs     = flag.Int("soak.jobs", 1, "number of seeds that run concurrently")
	traffic  = flag.String("soak.traffic", "", "file of the traffic profile; empty selects those in deploy/traffic in turn with short streams")
	program  = flag.String("soak.program", "", "path of the kumentry binary; empty builds it")
	stranded = flag.Bool("soak.stranded", false, "cut nodes off from all backend servers")
	waves    = flag.Bool("soak.waves", false, "cut waves of servers off from all nodes")
	joinTime = flag.Duration("soak.join", 0, "time that joins of servers take")
	out      = flag.String("soak.out", "", "directory for the reports and logs of failed seeds")
)

// Default periods in which faults start. Clients of a profile leave connections unused
// for up to 12 s.
const (
	shortLength   = 6 * time.Second
	profileLength = 20 * time.Second
)

// Files of the traffic of deployments.
const (
	alerts = "../deploy/traffic/alerts.json"
	fleet  = "../deploy/traffic/fleet.json"
)

// regressions lists seeds that failed before, with the traffic, short streams if it is
// empty, and the cause.
var regressions = []struct {
	seed    uint64
	traffic string
	// later adds the kinds of faults that the older seeds don't have.
	later bool
	cause string
}{
	{404, "", false, "a node did not exit after SIGTERM, because the goroutine that receives heartbeats kept running (commit c60dc85)"},
	{1796384022829, "", false, "the check counted only the SIGTERM that a node was sent 1 ms after SIGKILL, and reported its exit by SIGKILL as an error"},
	{1796403216844, "", false, "an idle zone without nodes counted as unreachable after 0.3 s, so its servers got no requests and never counted as reachable again"},
	{4, fleet, false, "streams on connections that had been open for long were cut by the deadline for reading a request"},
	{12, alerts, false, "the same as seed 4"},
	{7000, fleet, false, "the check took a request on a connection to a process that had been stopped for lost; all tasks of a stopping node ended with the next datagram of a peer"},
	{9001, fleet, false, "a group without a spare for a member without an entry was ended at once, with streams that may not be resumed"},
	{7008, alerts, false, "SIGTERM right after the start of a node ended its process by the signal"},
	{1796558402308, fleet, true, "a node whose process had run late took that for silence of the servers, and broke off streams that found no place at another one"},
	{1796587018634, "", true, "the check counted the crash of a server that had become cold while the store was down, by requests at the usual rate"},
}

// buildProgram builds kumentry, unless -soak.program names it, and returns the path of the
// binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	if *program != "" {
		return *program
	}
	path := filepath.Join(t.TempDir(), "kumentry")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/kumentry").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// profileOf returns the traffic of a seed, nil for short streams.
func profileOf(t *testing.T, seed uint64) *soak.Profile {
	t.Helper()
	path := *traffic
	if path == "" {
		path = []string{alerts, fleet, ""}[seed%3]
	}
	return loadProfile(t, path)
}

// loadProfile reads a profile, nil if the path is empty.
func loadProfile(t *testing.T, path string) *soak.Profile {
	t.Helper()
	if path == "" {
		return nil
	}
	prof, err := soak.LoadProfile(path)
	assert.NilError(t, err)
	return prof
}

// runSeed runs a seed with the traffic, short streams if it is nil, and reports each
// violation as a test error. later adds the kinds of faults that the older seeds don't have.
func runSeed(t *testing.T, binary string, seed uint64, prof *soak.Profile, later bool) {
	t.Helper()
	length := *duration
	switch {
	case length == 0 && prof == nil:
		length = shortLength
	case length == 0:
		length = profileLength
	}
	run(t, soak.Options{Program: binary, Seed: seed, Duration: length, Nodes: *nodes, Groups: *groups, Profile: prof, Garble: later, Evacuate: later, Cold: later, Uneven: later, Repeat: later, Stranded: *stranded, Waves: *waves, JoinTime: *joinTime})
}

// subnets has the number of each subnet that a run uses.
var subnets sync.Map

// reserveSubnet returns a subnet for a run, that of the seed if it is free. Runs at the same
// time share the loopback network, so that each needs its own subnet until its test ends.
func reserveSubnet(t *testing.T, seed uint64) string {
	t.Helper()
	for num := seed % maxSubnets; ; num = (num + 1) % maxSubnets {
		_, used := subnets.LoadOrStore(num, true)
		if !used {
			t.Cleanup(func() { subnets.Delete(num) })
			return fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, num)
		}
	}
}

// maxSubnets is the number of subnets for runs at the same time.
const maxSubnets = 250

// run runs the deployment of the options, reports each violation as a test error and returns
// the report.
func run(t *testing.T, opts soak.Options) soak.Report {
	t.Helper()
	seed := opts.Seed
	opts.Subnet = reserveSubnet(t, seed)
	opts.Dir, opts.Plain = t.TempDir(), max(3, opts.Nodes/4)
	report, err := soak.Run(opts)
	assert.NilError(t, err)
	t.Logf("seed %d: %d faults, planned maintenance only %v, %d of %d requests served, %d MB at most", seed, len(report.Schedule), report.PlannedOnly, report.Served, report.Calls, report.PeakMemory>>20)
	t.Logf("requests by excuse: %v", report.Excuses)
	for _, cnt := range report.Cuts {
		t.Logf("first tries while nodes were cut off: %+v", cnt)
	}
	for _, fault := range report.Schedule {
		t.Log(fault)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if len(report.Violations) > 0 && *out != "" {
		assert.NilError(t, report.Save(filepath.Join(*out, fmt.Sprint(seed))))
	}
	return report
}

// TestSoak runs new seeds, each as a subtest with the seed as its name.
func TestSoak(t *testing.T) {
	binary := buildProgram(t)
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
				runSeed(t, binary, seed, profileOf(t, seed), true)
			})
		}
	})
}

// regressionJobs is the number of regressions that run at a time.
const regressionJobs = 3

// TestRegressions runs the seeds that failed before.
func TestRegressions(t *testing.T) {
	binary := buildProgram(t)
	slots := make(chan struct{}, regressionJobs)
	for _, regression := range regressions {
		t.Run(fmt.Sprint(regression.seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			t.Log(regression.cause)
			runSeed(t, binary, regression.seed, loadProfile(t, regression.traffic), regression.later)
		})
	}
}

// TestSchedule checks that a seed always yields the same faults, and that planned
// runs hold planned maintenance only.
func TestSchedule(t *testing.T) {
	for seed := range uint64(200) {
		faults, planned := soak.Schedule(seed, 10*time.Second)
		again, _ := soak.Schedule(seed, 10*time.Second)
		for _, add := range []func([]soak.Fault, uint64, time.Duration, bool) []soak.Fault{soak.AddGarble, soak.AddCold, soak.AddUneven, soak.AddRepeat, soak.AddStranded, soak.AddWaves} {
			faults = add(faults, seed, 10*time.Second, planned)
			again = add(again, seed, 10*time.Second, planned)
		}
		assert.DeepEqual(t, faults, again)
		assert.DeepEqual(t, soak.AddEvacuation(faults, seed, 10*time.Second), soak.AddEvacuation(again, seed, 10*time.Second))
		for _, fault := range faults {
			assert.Assert(t, !planned || fault.Kind <= soak.LastPlanned, "%v", fault)
		}
	}
}
