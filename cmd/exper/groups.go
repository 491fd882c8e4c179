package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"kumquathinge/model/emul"
)

// groupsCommand is the subcommand groups, which plays patterns of losses and
// arrivals against the planner of groups.
type groupsCommand struct {
	Dir     string `long:"patterns" default:"model/emul/testdata" description:"directory of the patterns, JSON files"`
	Seeds   int    `long:"seeds" default:"10" description:"number of seeds per pattern"`
	Demand  bool   `long:"demand" description:"let the planner learn the demand of callers"`
	PlotDir string `long:"plots" description:"directory for plots of the serving groups over time"`
}

// Execute plays all patterns and prints a line for each.
func (cmd *groupsCommand) Execute([]string) error {
	patterns, err := readPatterns(cmd.Dir)
	if err != nil {
		return err
	}
	if cmd.Seeds < 1 {
		return eris.New("--seeds must be positive")
	}
	play := emul.Run
	if cmd.Demand {
		play = emul.RunDemand
	}
	var rows []groupsRow
	for _, pat := range patterns {
		row := groupsRow{name: pat.Name, idle: map[emul.IdleReason]float64{}}
		for seed := range cmd.Seeds {
			res := play(pat, uint64(seed))
			row.add(res, cmd.Seeds)
			if seed == 0 && cmd.PlotDir != "" {
				if err = plotGroups(cmd.PlotDir, res); err != nil {
					return err
				}
			}
		}
		rows = append(rows, row)
	}
	printGroups(os.Stdout, rows)
	return nil
}

func readPatterns(dir string) ([]*emul.Pattern, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "list patterns")
	}
	if len(paths) == 0 {
		return nil, eris.Errorf("no patterns in %s", dir)
	}
	var out []*emul.Pattern
	for _, path := range paths {
		file, openErr := os.Open(path)
		if openErr != nil {
			return nil, eris.Wrap(openErr, "open pattern")
		}
		pat, readErr := emul.ReadPattern(file)
		if err = file.Close(); err != nil {
			return nil, eris.Wrap(err, "close pattern")
		}
		if readErr != nil {
			return nil, eris.Wrap(readErr, path)
		}
		out = append(out, pat)
	}
	return out, nil
}

// groupsRow holds the means of a pattern over its seeds.
type groupsRow struct {
	name                         string
	worth, bound, least, seconds float64
	idle                         map[emul.IdleReason]float64
	outages                      []time.Duration
	orders, loads                float64
	violations                   int
}

func (row *groupsRow) add(res *emul.Result, seeds int) {
	num := float64(seeds)
	row.worth += res.Worth / num
	row.bound += res.Bound / num
	if ratio := res.Worth / res.Bound; row.least == 0 || ratio < row.least {
		row.least = ratio
	}
	for _, mod := range res.Models {
		row.seconds += mod.GroupSeconds / num
	}
	for reason, secs := range res.Idle {
		row.idle[reason] += secs / num
	}
	row.outages = append(row.outages, res.Outages...)
	row.orders += float64(res.Orders) / num
	row.loads += float64(res.Loads) / num
	row.violations += len(res.Violations)
}

// medianOutage returns the median time from a loss to the return of the group.
func (row *groupsRow) medianOutage() time.Duration {
	if len(row.outages) == 0 {
		return 0
	}
	slices.Sort(row.outages)
	return row.outages[len(row.outages)/2]
}

func printGroups(out io.Writer, rows []groupsRow) {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "pattern\tworth\tbound\tratio\tleast\tgroup s\tempty\tloading\tspare\tincomplete\toutage\torders\tloads\tviolations\t")
	for _, row := range rows {
		_, _ = fmt.Fprintf(tab, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%.0f\t%.0f\t%d\t\n",
			row.name, row.worth, row.bound, row.worth/row.bound, row.least, row.seconds, row.idle[emul.IdleEmpty], row.idle[emul.IdleLoading],
			row.idle[emul.IdleSpare], row.idle[emul.IdleIncomplete], row.medianOutage().Round(time.Millisecond), row.orders, row.loads, row.violations)
	}
	_ = tab.Flush()
}

// plotGroups draws the number of serving groups of each model over time.
func plotGroups(dir string, res *emul.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create directory of plots")
	}
	plt := plot.New()
	plt.Title.Text = "serving groups, pattern " + res.Pattern
	plt.X.Label.Text = "seconds"
	plt.Y.Min = 0
	var args []any
	for idx, mod := range res.Models {
		var pts plotter.XYs
		for sec, counts := range res.Groups {
			pts = append(pts, plotter.XY{X: float64(sec), Y: float64(counts[idx])})
		}
		args = append(args, mod.Name, pts)
	}
	if err := plotutil.AddLines(plt, args...); err != nil {
		return eris.Wrap(err, "draw lines")
	}
	return eris.Wrap(plt.Save(plotWidth, plotHeight, filepath.Join(dir, "groups-"+res.Pattern+".png")), "save plot")
}
