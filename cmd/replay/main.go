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
	Dir      string `long:"traces" default:"cmd/replay/testdata" description:"directory of the traces"`
	Generate bool   `long:"generate" description:"write the traces anew and exit"`
	Seed     uint64 `long:"seed" default:"70" description:"seed of the generated traces"`
}

// parallel is the number of traces that are replayed at a time.
const parallel = 4

// deployments are the weights of the two users of the system.
var deployments = []trace.Deployment{
	{Name: "Huellas Andinas", DowntimeWeight: 3, StrandedWeight: 1, ReturnWait: 2 * time.Minute},
	{Name: "Kallergis", DowntimeWeight: 1, StrandedWeight: 3, ReturnWait: 2 * time.Minute},
}

// policies are the policy and its baselines, in the order of the columns.
var policies = []struct {
	name string
	pol  repair.Policy
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
		return generate(opt.Dir, opt.Seed)
	}
	paths, err := filepath.Glob(filepath.Join(opt.Dir, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		return eris.Errorf("no traces in %s", opt.Dir)
	}
	var trcs []*trace.Trace
	for _, pth := range paths {
		trc, err := load(pth)
		if err != nil {
			return eris.Wrapf(err, "trace %s", pth)
		}
		trcs = append(trcs, trc)
	}
	for _, dep := range deployments {
		if err := report(out, dep, trcs, measure(dep, trcs)); err != nil {
			return err
		}
	}
	return nil
}

func load(path string) (*trace.Trace, error) {
	fil, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = fil.Close() }()
	return trace.Read(fil)
}

// measure replays every trace under every policy. The results are by trace,
// then by policy.
func measure(dep trace.Deployment, trcs []*trace.Trace) [][]trace.Result {
	out := make([][]trace.Result, len(trcs))
	var grp errgroup.Group
	grp.SetLimit(parallel)
	for idx, trc := range trcs {
		out[idx] = make([]trace.Result, len(policies))
		grp.Go(func() error {
			for col, pol := range policies {
				out[idx][col] = trace.Play(trc, dep, pol.pol)
			}
			return nil
		})
	}
	_ = grp.Wait()
	return out
}
