package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"kumquathinge/model/trial"
)

func printTable(out io.Writer, results []*trial.Result) {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "load\tpolicy\tmin within\tmin\tmean\tJain\thits\trefused\twaited\tmean wait\tlate\ttokens in time\t")
	for _, res := range results {
		_, _ = fmt.Fprintf(tab, "%.1f\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.3f\t%.1f%%\t%d\t%d\t%s\t%d\t%d\t\n",
			res.Load, res.Policy, 100*res.MinWithin, 100*res.MinShare, 100*res.MeanShare,
			res.Jain, 100*res.HitShare, res.Refused, res.Waited,
			res.Wait.Round(time.Millisecond), res.Late, res.Tokens)
	}
	_ = tab.Flush()
}

func printOrgs(out io.Writer, results []*trial.Result) {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "load\tpolicy\torganisation\twithin\toffered\tmet\trefused\twaited\tlate\tshare\t")
	for _, res := range results {
		for idx := range res.Orgs {
			org := &res.Orgs[idx]
			_, _ = fmt.Fprintf(tab, "%.1f\t%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t\n", res.Load, res.Policy, org.Name,
				org.Within, org.Offered, org.Met, org.Refused, org.RefusedWait, org.Late, 100*org.MetRatio())
		}
	}
	_ = tab.Flush()
}
