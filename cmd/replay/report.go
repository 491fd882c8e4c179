package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"kumquathinge/core/trace"
)

// minGain is the target for the policy's weighted sum over all traces: the
// fraction by which it must be below that of the better baseline.
const minGain = 0.25

// dominantMeasure returns the measure with the larger weight in the deployment.
func dominantMeasure(dep trace.Deployment, res trace.Result) time.Duration {
	if dep.DowntimeWeight > dep.StrandedWeight {
		return res.Downtime
	}
	return res.Stranded
}

func minutes(dur time.Duration) string { return fmt.Sprintf("%.1f", dur.Minutes()) }

// textReport is the buffer of a report.
type textReport struct{ text strings.Builder }

func (rep *textReport) printf(format string, args ...any) { fmt.Fprintf(&rep.text, format, args...) }

func report(out io.Writer, dep trace.Deployment, traces []*trace.Trace, res [][]trace.Result) error {
	rep := &textReport{}
	rep.printf("%s: downtime weighs %g, stranded VMs %g\n", dep.Name, dep.DowntimeWeight, dep.StrandedWeight)
	rep.printf("%-9s%30s%33s%30s  %s\n", "trace", "downtime min", "stranded VM-min", "weighted sum", "not beaten")
	rep.printf("%-9s", "")
	for range 3 {
		for _, pol := range policies {
			rep.printf("%10s", pol.name)
		}
		rep.printf(" ")
	}
	rep.printf("\n")
	sums := make([]float64, len(policies))
	missedCount := 0
	for idx, tr := range traces {
		met := printRow(rep, dep, tr.Name(), res[idx])
		if !met {
			missedCount++
		}
		for col := range policies {
			sums[col] += res[idx][col].Cost(dep)
		}
	}
	printSummary(rep, sums, missedCount, len(traces))
	_, err := io.WriteString(out, rep.text.String())
	return err
}

// printRow prints the results of one trace. It returns whether no baseline is
// better than the policy in the dominant measure.
func printRow(rep *textReport, dep trace.Deployment, name string, res []trace.Result) bool {
	rep.printf("%-9s", name)
	met := true
	for _, result := range res {
		rep.printf("%10s", minutes(result.Downtime))
		met = met && dominantMeasure(dep, res[0]) <= dominantMeasure(dep, result)
	}
	rep.printf(" ")
	for _, result := range res {
		rep.printf("%10s", minutes(result.Stranded))
	}
	rep.printf(" ")
	for _, result := range res {
		rep.printf("%10.0f", result.Cost(dep))
	}
	rep.printf("  %s\n", metWord(met))
	return met
}

func printSummary(rep *textReport, sums []float64, missed, all int) {
	best := min(sums[1], sums[2])
	gain := 1 - sums[0]/best
	rep.printf("weighted sum: policy %.0f, wait %.0f, rebuild %.0f\n", sums[0], sums[1], sums[2])
	rep.printf("target: beaten on no trace: %s (%d of %d held)\n", metWord(missed == 0), all-missed, all)
	rep.printf("target: at least %.0f%% below the better baseline: %s (%.1f%%)\n\n", 100*minGain, metWord(gain >= minGain), 100*gain)
}

func metWord(met bool) string {
	if met {
		return "held"
	}
	return "MISSED"
}
