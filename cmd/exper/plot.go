package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"kumquathinge/model/trial"
)

// Size of a plot image.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// chart plots one measure against the load, with a line for each policy.
type chart struct {
	file  string
	title string
	value func(res *trial.Result) float64
}

var charts = []chart{
	{"within.png", "least fraction of deadlines met, organisations within their fair share",
		func(res *trial.Result) float64 { return res.MinWithin }},
	{"mean.png", "mean fraction of deadlines met",
		func(res *trial.Result) float64 { return res.MeanShare }},
	{"jain.png", "Jain's fairness index",
		func(res *trial.Result) float64 { return res.Jain }},
	{"hits.png", "prefix cache hit ratio",
		func(res *trial.Result) float64 { return res.HitShare }},
}

func savePlots(dir string, results []*trial.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create directory of plots")
	}
	for _, chart := range charts {
		if err := chart.draw(dir, results); err != nil {
			return err
		}
	}
	return nil
}

func (chart chart) draw(dir string, results []*trial.Result) error {
	plt := plot.New()
	plt.Title.Text = chart.title
	plt.X.Label.Text = "load, as a multiple of the capacity"
	plt.Y.Min, plt.Y.Max = 0, 1
	plt.Legend.Left = true
	var args []any
	for _, name := range policyNames(results) {
		var pts plotter.XYs
		for _, res := range results {
			if res.Policy == name {
				pts = append(pts, plotter.XY{X: res.Load, Y: chart.value(res)})
			}
		}
		args = append(args, name, pts)
	}
	if err := plotutil.AddLinePoints(plt, args...); err != nil {
		return eris.Wrap(err, "draw lines")
	}
	err := plt.Save(plotWidth, plotHeight, filepath.Join(dir, chart.file))
	return eris.Wrap(err, fmt.Sprintf("save %s", chart.file))
}

func policyNames(results []*trial.Result) []string {
	var out []string
	seen := make(map[string]bool)
	for _, res := range results {
		if !seen[res.Policy] {
			seen[res.Policy] = true
			out = append(out, res.Policy)
		}
	}
	return out
}
