package admit

import (
	"cmp"

	"kumquathinge/core"
)

// Class is the requests of one organisation with one urgency. Urgency 0 is the highest.
type Class struct {
	Urgency int
	Org     core.OrgName
}

// compare orders classes by organisation, then by urgency.
func (cls Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(cls.Org, other.Org), cmp.Compare(cls.Urgency, other.Urgency))
}

// UrgencyOf returns the urgency of a Controller's priority, of which the highest number is
// the most urgent.
func UrgencyOf(priority, priorities int) int {
	return max(0, priorities-1-max(priority, 0))
}

// LevelCounts counts decisions by urgency.
type LevelCounts map[int]LevelCount

// LevelCount is the number of requests of one urgency that were admitted and refused.
type LevelCount struct{ Admitted, Refused uint64 }

// Record counts a decision.
func (cnts LevelCounts) Record(urgency int, admitted bool) {
	cnt := cnts[urgency]
	if admitted {
		cnt.Admitted++
	} else {
		cnt.Refused++
	}
	cnts[urgency] = cnt
}
