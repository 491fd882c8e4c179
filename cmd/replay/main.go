package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"kumquathinge/core/repair"
	"kumquathinge/core/trace"
)

type options struct {
	TraceDir string `long:"traces" default:"cmd/replay/testdata" description:"directory of the traces"`
	Generate bool   `long:"generate" description:"regenerate the traces and exit"`
	Seed     uint64 `long:"seed" default:"70" description:"seed of the generated traces"`
}

// maxParallel is the number of traces that are replayed concurrently.
const maxParallel = 4

// deployments holds the policy weights of the two deployments.
var deployments = []trace.Deployment{
	{Name: "Huellas Andinas", DowntimeWeight: 3, StrandedWeight: 1, ReturnWait: 2 * time.Minute},
	{Name: "Kallergis", DowntimeWeight: 1, StrandedWeight: 3, ReturnWait: 2 * time.Minute},
}

// policies holds the policy and its baselines, in the order of the columns.
var policies = []struct {
	name   string
	policy repair.Policy
}{
	{"policy", repair.CostBased{}},
	{"wait", repair.AlwaysWait{}},
	{"rebuild", repair.AlwaysRebuild{}},
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(1)
	}
	if err := run(opt, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "level=error msg=%q\n", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(opt options, out io.Writer) error {
	if opt.Generate {
		return generate(opt.TraceDir, opt.Seed)
	}
	paths, err := filepath.Glob(filepath.Join(opt.TraceDir, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		return eris.Errorf("no traces in %s", opt.TraceDir)
	}
	var traces []*trace.Trace
	for _, path := range paths {
		tr, err := load(path)
		if err != nil {
			return eris.Wrapf(err, "trace %s", path)
		}
		traces = append(traces, tr)
	}
	for _, dep := range deployments {
		if err := report(out, dep, traces, playAll(dep, traces)); err != nil {
			return err
		}
	}
	return nil
}

func load(path string) (*trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return trace.Read(file)
}

// playAll replays every trace with every policy. The results are indexed by
// trace, then by policy.
func playAll(dep trace.Deployment, traces []*trace.Trace) [][]trace.Result {
	out := make([][]trace.Result, len(traces))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for idx, tr := range traces {
		out[idx] = make([]trace.Result, len(policies))
		group.Go(func() error {
			for col, pol := range policies {
				out[idx][col] = trace.Play(tr, dep, pol.policy)
			}
			return nil
		})
	}
	_ = group.Wait()
	return out
}
