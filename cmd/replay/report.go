package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"kumquathinge/core/trace"
)

// targetGain is the part by which the policy's weighted sum over all traces
// has to be below that of the better baseline.
const targetGain = 0.25

// heavier returns the measure that the deployment weighs more.
func heavier(dep trace.Deployment, res trace.Result) time.Duration {
	if dep.DowntimeWeight > dep.StrandedWeight {
		return res.Downtime
	}
	return res.Stranded
}

func minutes(dur time.Duration) string { return fmt.Sprintf("%.1f", dur.Minutes()) }

// page collects the lines of a report.
type page struct{ text strings.Builder }

func (pag *page) printf(format string, args ...any) { fmt.Fprintf(&pag.text, format, args...) }

func report(out io.Writer, dep trace.Deployment, trcs []*trace.Trace, res [][]trace.Result) error {
	pag := &page{}
	pag.printf("%s: downtime weighs %g, stranded VMs %g\n", dep.Name, dep.DowntimeWeight, dep.StrandedWeight)
	pag.printf("%-9s%30s%33s%30s  %s\n", "trace", "downtime min", "stranded VM-min", "weighted sum", "not beaten")
	pag.printf("%-9s", "")
	for range 3 {
		for _, pol := range policies {
			pag.printf("%10s", pol.name)
		}
		pag.printf(" ")
	}
	pag.printf("\n")
	sums := make([]float64, len(policies))
	missed := 0
	for idx, trc := range trcs {
		held := row(pag, dep, trc.Name(), res[idx])
		if !held {
			missed++
		}
		for col := range policies {
			sums[col] += res[idx][col].Cost(dep)
		}
	}
	verdict(pag, sums, missed, len(trcs))
	_, err := io.WriteString(out, pag.text.String())
	return err
}

// row prints one trace and reports whether no baseline beats the policy on the
// measure that the deployment weighs more.
func row(pag *page, dep trace.Deployment, name string, res []trace.Result) bool {
	pag.printf("%-9s", name)
	held := true
	for _, one := range res {
		pag.printf("%10s", minutes(one.Downtime))
		held = held && heavier(dep, res[0]) <= heavier(dep, one)
	}
	pag.printf(" ")
	for _, one := range res {
		pag.printf("%10s", minutes(one.Stranded))
	}
	pag.printf(" ")
	for _, one := range res {
		pag.printf("%10.0f", one.Cost(dep))
	}
	pag.printf("  %s\n", word(held))
	return held
}

func verdict(pag *page, sums []float64, missed, all int) {
	better := min(sums[1], sums[2])
	gain := 1 - sums[0]/better
	pag.printf("weighted sum: policy %.0f, wait %.0f, rebuild %.0f\n", sums[0], sums[1], sums[2])
	pag.printf("target: beaten on no trace: %s (%d of %d held)\n", word(missed == 0), all-missed, all)
	pag.printf("target: at least %.0f%% below the better baseline: %s (%.1f%%)\n\n", 100*targetGain, word(gain >= targetGain), 100*gain)
}

func word(held bool) string {
	if held {
		return "held"
	}
	return "MISSED"
}
