package main_test

import (
	"math"
	"slices"
	"testing"
)

// fit collects what was measured at several sizes and reports the line of
// least squares through the medians.
type fit struct {
	unit string
	vals map[float64][]float64
}

func newFit(unit string) *fit { return &fit{unit: unit, vals: map[float64][]float64{}} }

// add notes one value at a size.
func (fit *fit) add(size, val float64) { fit.vals[size] = append(fit.vals[size], val) }

// report prints the slope for one more of size, the value at size zero, and
// the greatest distance of a median from the line as a share of the greatest
// median. It reports nothing of fewer than three sizes.
func (fit *fit) report(ben *testing.B, name string) {
	var xs, ys []float64
	for size, vals := range fit.vals {
		slices.Sort(vals)
		xs = append(xs, size)
		ys = append(ys, vals[len(vals)/2])
	}
	if len(xs) < 3 {
		return
	}
	slope, zero := line(xs, ys)
	worst := 0.0
	for idx := range xs {
		worst = max(worst, math.Abs(ys[idx]-zero-slope*xs[idx]))
	}
	ben.Run("fit="+name, func(ben *testing.B) {
		for ben.Loop() {
			ben.ReportMetric(slope, fit.unit+"/more")
		}
		ben.ReportMetric(zero, fit.unit+"/none")
		ben.ReportMetric(100*worst/slices.Max(ys), "%residual")
		ben.ReportMetric(0, "ns/op")
	})
}

// line returns the line of least squares.
func line(xs, ys []float64) (slope, zero float64) {
	num := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for idx, val := range xs {
		sx += val
		sy += ys[idx]
		sxx += val * val
		sxy += val * ys[idx]
	}
	slope = (num*sxy - sx*sy) / (num*sxx - sx*sx)
	return slope, (sy - slope*sx) / num
}
