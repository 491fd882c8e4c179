// Command exper measures admission and the choice of a group on recorded
// arrivals against simple policies. Its command press drives a running entry
// VM or model engine instead and measures the times of its answers.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"kumquathinge/model/trial"
)

// options are the command line.
type options struct {
	Arrivals string        `long:"arrivals" default:"model/trial/testdata/arrivals.jsonl" description:"recorded arrivals, JSON lines"`
	Load     []float64     `long:"load" description:"times the capacity; may be given again (0.8, 1 and 1.5 if not given)"`
	Policy   []string      `long:"policy" description:"name of a policy; may be given again (all if not given)"`
	Slow     float64       `long:"slow" default:"1" description:"slowness of one group; 1 for none"`
	Cache    int           `long:"cache" default:"1200" description:"prefix blocks that a group keeps"`
	Loss     float64       `long:"loss" default:"0.1" description:"part of the cache events that get lost"`
	Lag      time.Duration `long:"lag" default:"700ms" description:"lag of the cache events"`
	Orgs     bool          `long:"orgs" description:"print a line for each organisation too"`
	JSON     string        `long:"json" description:"file for the results"`
	Plots    string        `long:"plots" description:"directory for plots"`
	Generate int           `long:"generate" description:"write so many new arrivals to the file and exit"`
	Rate     float64       `long:"rate" default:"6.5" description:"arrivals per second with --generate"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of --generate"`
}

func main() {
	var opt options
	psr := flags.NewParser(&opt, flags.Default)
	psr.SubcommandsOptional = true
	if _, err := psr.AddCommand("press", "drive a running entry VM", "", &pressCommand{}); err != nil {
		panic(err)
	}
	if _, err := psr.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if psr.Active != nil {
		return
	}
	if err := run(&opt, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opt *options, out io.Writer) error {
	if opt.Generate > 0 {
		return generate(opt)
	}
	arrs, err := load(opt.Arrivals)
	if err != nil {
		return err
	}
	results := measure(opt, arrs, out)
	printTable(out, results)
	if opt.Orgs {
		printOrgs(out, results)
	}
	if opt.JSON != "" {
		if err = writeJSON(opt.JSON, results); err != nil {
			return err
		}
	}
	if opt.Plots != "" {
		return plotAll(opt.Plots, results)
	}
	return nil
}

func load(path string) ([]trial.Arrival, error) {
	src, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open arrivals")
	}
	defer func() { _ = src.Close() }()
	arrs, err := trial.Read(src)
	return arrs, eris.Wrapf(err, "read %s", path)
}

func generate(opt *options) error {
	if err := os.MkdirAll(filepath.Dir(opt.Arrivals), 0o755); err != nil {
		return eris.Wrap(err, "make directory of arrivals")
	}
	dst, err := os.Create(opt.Arrivals)
	if err != nil {
		return eris.Wrap(err, "create arrivals")
	}
	err = trial.Write(dst, trial.Generate(opt.Generate, opt.Rate, opt.Seed))
	if cerr := dst.Close(); err == nil {
		err = cerr
	}
	return eris.Wrap(err, "write arrivals")
}

// measure runs each policy at each load.
func measure(opt *options, arrs []trial.Arrival, out io.Writer) []*trial.Result {
	loads := opt.Load
	if len(loads) == 0 {
		loads = []float64{0.8, 1, 1.5}
	}
	zone := trial.ZoneConfig(opt.Slow)
	zone.CacheBlocks, zone.EventLoss, zone.EventLag = opt.Cache, opt.Loss, opt.Lag
	capacity := trial.MeasureCapacity(zone, arrs)
	_, _ = fmt.Fprintf(out, "%d arrivals, capacity %.2f requests/s, %.0f tokens/s\n",
		len(arrs), capacity.Requests, capacity.Tokens)
	var results []*trial.Result
	for _, lod := range loads {
		for _, pol := range trial.Policies() {
			if wanted(opt.Policy, pol.Name) {
				results = append(results, trial.RunAtLoad(pol, zone, arrs, capacity, lod))
			}
		}
	}
	return results
}

func wanted(names []string, name string) bool {
	for _, one := range names {
		if one == name {
			return true
		}
	}
	return len(names) == 0
}

func writeJSON(path string, results []*trial.Result) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write results")
}
