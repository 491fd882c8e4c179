package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquathinge/core"
)

// Listed returns the requests that are quarantined at now by what several nodes
// tell of what each saw itself, by print. Crashes are added up, and Until is
// the last.
func Listed(now time.Time, told ...[]core.Suspect) []core.Suspect {
	sum := make(map[uint64]core.Suspect)
	for _, sus := range told {
		for _, one := range sus {
			if one.Cleared || !now.Before(one.Until) {
				continue
			}
			all := sum[one.Print]
			all.Print = one.Print
			all.Crashes += one.Crashes
			if one.Until.After(all.Until) {
				all.Until = one.Until
			}
			sum[one.Print] = all
		}
	}
	maps.DeleteFunc(sum, func(_ uint64, sus core.Suspect) bool { return sus.Crashes < quarantineAt })
	return slices.SortedFunc(maps.Values(sum), func(one, two core.Suspect) int { return cmp.Compare(one.Print, two.Print) })
}
