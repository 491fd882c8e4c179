package main_test

import (
	"math"
	"slices"
	"testing"
)

// linearFit collects samples at several sizes and reports the least-squares line
// through their medians.
type linearFit struct {
	unit    string
	samples map[float64][]float64
}

func newFit(unit string) *linearFit { return &linearFit{unit: unit, samples: map[float64][]float64{}} }

// add adds a sample.
func (fit *linearFit) add(size, val float64) { fit.samples[size] = append(fit.samples[size], val) }

// report reports the slope, the intercept, and the largest distance of a median
// from the line in percent of the largest median. With fewer than three sizes it
// reports nothing.
func (fit *linearFit) report(b *testing.B, name string) {
	var xs, ys []float64
	for size, vals := range fit.samples {
		slices.Sort(vals)
		xs = append(xs, size)
		ys = append(ys, vals[len(vals)/2])
	}
	if len(xs) < 3 {
		return
	}
	slope, intercept := leastSquares(xs, ys)
	maxResidual := 0.0
	for idx := range xs {
		maxResidual = max(maxResidual, math.Abs(ys[idx]-intercept-slope*xs[idx]))
	}
	b.Run("fit="+name, func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(slope, fit.unit+"/more")
		}
		b.ReportMetric(intercept, fit.unit+"/none")
		b.ReportMetric(100*maxResidual/slices.Max(ys), "%residual")
		b.ReportMetric(0, "ns/op")
	})
}

// leastSquares returns the slope and intercept of the least-squares line.
func leastSquares(xs, ys []float64) (slope, intercept float64) {
	count := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for idx, val := range xs {
		sx += val
		sy += ys[idx]
		sxx += val * val
		sxy += val * ys[idx]
	}
	slope = (count*sxy - sx*sy) / (count*sxx - sx*sx)
	return slope, (sy - slope*sx) / count
}
