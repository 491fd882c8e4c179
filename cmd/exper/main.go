// Command exper simulates recorded arrivals and compares the system's admission
// and routing with baseline policies. Its subcommand press instead generates
// load on a running entry VM or model engine and measures the latencies.
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

// options are the command-line flags.
type options struct {
	Arrivals      string        `long:"arrivals" default:"model/trial/testdata/arrivals.jsonl" description:"recorded arrivals, JSON lines"`
	Loads         []float64     `long:"load" description:"load as a multiple of the capacity; repeatable (default 0.8, 1 and 1.5)"`
	Policies      []string      `long:"policy" description:"name of a policy; repeatable (default all)"`
	Slowdown      float64       `long:"slow" default:"1" description:"factor by which one group is slower; 1 for none"`
	CacheBlocks   int           `long:"cache" default:"1200" description:"prefix cache capacity of a group, in blocks"`
	EventLoss     float64       `long:"loss" default:"0.1" description:"fraction of the cache events that are lost"`
	EventLag      time.Duration `long:"lag" default:"700ms" description:"lag of the cache events"`
	PrintOrgs     bool          `long:"orgs" description:"print a line for each organisation too"`
	JSONPath      string        `long:"json" description:"file for the results"`
	PlotDir       string        `long:"plots" description:"directory for plots"`
	GenerateCount int           `long:"generate" description:"write this number of new arrivals to the file and exit"`
	Rate          float64       `long:"rate" default:"6.5" description:"arrivals per second with --generate"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of --generate"`
}

func main() {
	var opt options
	parser := flags.NewParser(&opt, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.AddCommand("press", "generate load on a running entry VM or engine", "", &loadCommand{}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("groups", "play patterns of lost servers against the planner of groups", "", &groupsCommand{}); err != nil {
		panic(err)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if parser.Active != nil {
		return
	}
	if err := run(&opt, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opt *options, out io.Writer) error {
	if opt.GenerateCount > 0 {
		return writeArrivals(opt)
	}
	arrivals, err := readArrivals(opt.Arrivals)
	if err != nil {
		return err
	}
	results := runTrials(opt, arrivals, out)
	printTable(out, results)
	if opt.PrintOrgs {
		printOrgs(out, results)
	}
	if opt.JSONPath != "" {
		if err = writeJSON(opt.JSONPath, results); err != nil {
			return err
		}
	}
	if opt.PlotDir != "" {
		return savePlots(opt.PlotDir, results)
	}
	return nil
}

func readArrivals(path string) ([]trial.Arrival, error) {
	src, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open arrivals")
	}
	defer func() { _ = src.Close() }()
	arrivals, err := trial.Read(src)
	return arrivals, eris.Wrapf(err, "read %s", path)
}

func writeArrivals(opt *options) error {
	if err := os.MkdirAll(filepath.Dir(opt.Arrivals), 0o755); err != nil {
		return eris.Wrap(err, "create directory of arrivals")
	}
	dst, err := os.Create(opt.Arrivals)
	if err != nil {
		return eris.Wrap(err, "create arrivals")
	}
	err = trial.Write(dst, trial.Generate(opt.GenerateCount, opt.Rate, opt.Seed))
	if closeErr := dst.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "write arrivals")
}

// runTrials simulates each selected policy at each load.
func runTrials(opt *options, arrivals []trial.Arrival, out io.Writer) []*trial.Result {
	loads := opt.Loads
	if len(loads) == 0 {
		loads = []float64{0.8, 1, 1.5}
	}
	zone := trial.ZoneConfig(opt.Slowdown)
	zone.CacheBlocks, zone.EventLoss, zone.EventLag = opt.CacheBlocks, opt.EventLoss, opt.EventLag
	capacity := trial.MeasureCapacity(zone, arrivals)
	_, _ = fmt.Fprintf(out, "%d arrivals, capacity %.2f requests/s, %.0f tokens/s\n",
		len(arrivals), capacity.Requests, capacity.Tokens)
	var results []*trial.Result
	for _, load := range loads {
		for _, pol := range trial.Policies() {
			if selected(opt.Policies, pol.Name) {
				results = append(results, trial.RunAtLoad(pol, zone, arrivals, capacity, load))
			}
		}
	}
	return results
}

func selected(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
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
