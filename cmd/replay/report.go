package main

import (
	"fmt"
	"io"
	"time"

	"kumquathinge/core/trace"
)

// targetGain is the part by which the policy's weighted sum over all traces
// has to be below that of the better baseline.
const targetGain = 0.25

// heavier returns the measure that the deployment weighs more.
func heavier(dep trace.Deployment, res trace.Result) time.Duration {
	if dep.Downtime > dep.Stranded {
		return res.Downtime
	}
	return res.Stranded
}

func minutes(dur time.Duration) string { return fmt.Sprintf("%.1f", dur.Minutes()) }

func report(out io.Writer, dep trace.Deployment, trcs []*trace.Trace, res [][]trace.Result) {
	fmt.Fprintf(out, "%s: downtime weighs %g, stranded VMs %g\n", dep.Name, dep.Downtime, dep.Stranded)
	fmt.Fprintf(out, "%-9s%30s%33s%30s  %s\n", "trace", "downtime min", "stranded VM-min", "weighted sum", "not beaten")
	fmt.Fprintf(out, "%-9s", "")
	for range 3 {
		for _, pol := range policies {
			fmt.Fprintf(out, "%10s", pol.name)
		}
		fmt.Fprint(out, " ")
	}
	fmt.Fprintln(out)
	sums := make([]float64, len(policies))
	missed := 0
	for idx, trc := range trcs {
		held := row(out, dep, trc.Name(), res[idx])
		if !held {
			missed++
		}
		for col := range policies {
			sums[col] += res[idx][col].Cost(dep)
		}
	}
	verdict(out, sums, missed, len(trcs))
}

// row prints one trace and reports whether no baseline beats the policy on the
// measure that the deployment weighs more.
func row(out io.Writer, dep trace.Deployment, name string, res []trace.Result) bool {
	fmt.Fprintf(out, "%-9s", name)
	held := true
	for _, one := range res {
		fmt.Fprintf(out, "%10s", minutes(one.Downtime))
		held = held && heavier(dep, res[0]) <= heavier(dep, one)
	}
	fmt.Fprint(out, " ")
	for _, one := range res {
		fmt.Fprintf(out, "%10s", minutes(one.Stranded))
	}
	fmt.Fprint(out, " ")
	for _, one := range res {
		fmt.Fprintf(out, "%10.0f", one.Cost(dep))
	}
	fmt.Fprintf(out, "  %s\n", word(held))
	return held
}

func verdict(out io.Writer, sums []float64, missed, all int) {
	better := min(sums[1], sums[2])
	gain := 1 - sums[0]/better
	fmt.Fprintf(out, "weighted sum: policy %.0f, wait %.0f, rebuild %.0f\n", sums[0], sums[1], sums[2])
	fmt.Fprintf(out, "target: beaten on no trace: %s (%d of %d held)\n", word(missed == 0), all-missed, all)
	fmt.Fprintf(out, "target: at least %.0f%% below the better baseline: %s (%.1f%%)\n\n", 100*targetGain, word(gain >= targetGain), 100*gain)
}

func word(held bool) string {
	if held {
		return "held"
	}
	return "MISSED"
}
