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

// Flags of longer runs by hand:
//
//	go test ./soak -run TestSoak -count=1 -timeout 60m -soak.seeds=50 -soak.jobs=3 -soak.out=DIR
var (
	seeds  = flag.Int("soak.seeds", 1, "number of fresh seeds")
	first  = flag.Uint64("soak.seed", 0, "the first seed; 0 draws one")
	length = flag.Duration("soak.length", 6*time.Second, "time in which faults begin")
	nodes  = flag.Int("soak.nodes", 4, "number of entry VMs")
	groups = flag.Int("soak.groups", 3, "number of groups")
	jobs   = flag.Int("soak.jobs", 1, "number of seeds at a time")
	out    = flag.String("soak.out", "", "directory for the logs of seeds that failed")
)

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{404, "a node that was told to stop did not end: the task that receives reports went on (commit c60dc85)"},
	{1796384022829, "the soak judged a node that was killed, and told to stop 1 ms later, as one that was only told to stop"},
}

// program builds kumentry.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "kumentry")
	txt, err := exec.Command("go", "build", "-o", path, "../cmd/kumentry").CombinedOutput()
	assert.NilError(t, err, "%s", txt)
	return path
}

// play plays a seed and fails the test for each promise that did not hold.
func play(t *testing.T, prog string, seed uint64) {
	t.Helper()
	// Processes of several test runs may share the machine's loopback.
	subnet := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, seed%250)
	rep, err := soak.Run(soak.Options{
		Program: prog, Dir: t.TempDir(), Seed: seed, Length: *length, Nodes: *nodes, Groups: *groups, Plain: 3, Subnet: subnet,
	})
	assert.NilError(t, err)
	t.Logf("seed %d: %d faults, planned work only %v, %d of %d requests served", seed, len(rep.Script), rep.Planned, rep.Served, rep.Calls)
	for _, flt := range rep.Script {
		t.Log(flt)
	}
	for _, bro := range rep.Broken {
		t.Error(bro)
	}
	if len(rep.Broken) > 0 && *out != "" {
		assert.NilError(t, rep.Save(filepath.Join(*out, fmt.Sprint(seed))))
	}
}

// TestSoak plays fresh seeds, each of which it names.
func TestSoak(t *testing.T) {
	prog := program(t)
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
				play(t, prog, seed)
			})
		}
	})
}

// TestRegressions plays the seeds that failed once.
func TestRegressions(t *testing.T) {
	prog := program(t)
	for _, reg := range regressions {
		t.Run(fmt.Sprint(reg.seed), func(t *testing.T) {
			t.Log(reg.cause)
			play(t, prog, reg.seed)
		})
	}
}

// TestScript checks that a seed always gives the same faults, and that planned
// runs hold planned work only.
func TestScript(t *testing.T) {
	for seed := range uint64(200) {
		one, planned := soak.Script(seed, 10*time.Second)
		two, _ := soak.Script(seed, 10*time.Second)
		assert.DeepEqual(t, one, two)
		for _, flt := range one {
			assert.Assert(t, !planned || flt.Kind <= soak.LastPlanned, "%v", flt)
		}
	}
}
