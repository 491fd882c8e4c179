package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquathinge/core"
)

// QuarantinedRequests returns the requests that are quarantined at now
// according to the exports of several nodes, sorted by fingerprint. Crashes are
// added up, and ExpiresAt is the latest expiry time.
func QuarantinedRequests(now time.Time, reports ...[]core.Suspect) []core.Suspect {
	totals := make(map[uint64]core.Suspect)
	for _, report := range reports {
		for _, sus := range report {
			if sus.Cleared || !now.Before(sus.ExpiresAt) {
				continue
			}
			total := totals[sus.Fingerprint]
			total.Fingerprint = sus.Fingerprint
			total.Crashes += sus.Crashes
			if sus.ExpiresAt.After(total.ExpiresAt) {
				total.ExpiresAt = sus.ExpiresAt
			}
			totals[sus.Fingerprint] = total
		}
	}
	maps.DeleteFunc(totals, func(_ uint64, sus core.Suspect) bool { return sus.Crashes < quarantineThreshold })
	return slices.SortedFunc(maps.Values(totals), func(first, second core.Suspect) int { return cmp.Compare(first.Fingerprint, second.Fingerprint) })
}
