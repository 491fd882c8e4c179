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
			if one.Cleared || !now.Before(one.ExpiresAt) {
				continue
			}
			all := sum[one.Fingerprint]
			all.Fingerprint = one.Fingerprint
			all.Crashes += one.Crashes
			if one.ExpiresAt.After(all.ExpiresAt) {
				all.ExpiresAt = one.ExpiresAt
			}
			sum[one.Fingerprint] = all
		}
	}
	maps.DeleteFunc(sum, func(_ uint64, sus core.Suspect) bool { return sus.Crashes < quarantineAt })
	return slices.SortedFunc(maps.Values(sum), func(one, two core.Suspect) int { return cmp.Compare(one.Fingerprint, two.Fingerprint) })
}
