package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/site"
)

// LevelReport is what an entry VM tells the others of one urgency of a model, in groups.
type LevelReport struct {
	Urgency int `cbor:"1,keyasint"`
	// Orgs is the demand of organisations, Rest that of all others.
	Orgs map[core.OrgName]float32 `cbor:"2,keyasint,omitempty"`
	Rest float32                  `cbor:"3,keyasint,omitempty"`
	// Refused and Late are the demand that was refused, and that began late.
	Refused float32 `cbor:"4,keyasint,omitempty"`
	Late    float32 `cbor:"5,keyasint,omitempty"`
}

// Bounds of a report.
const (
	// orgOverhead is the size of an organisation in a report beside its name, in bytes.
	orgOverhead = 8
	// maxReported is the largest number of groups that is believed.
	maxReported = 1e6
)

// levelTotal is the demand of one urgency in groups: all that was offered, what was
// refused and what began late.
type levelTotal struct{ offered, refused, late float64 }

func (total levelTotal) plus(other levelTotal) levelTotal {
	return levelTotal{offered: total.offered + other.offered, refused: total.refused + other.refused, late: total.late + other.late}
}

// levelTotals holds the totals of each urgency with demand. These are so few that a search
// takes less time than a map.
type levelTotals []urgencyTotal

type urgencyTotal struct {
	urgency int
	levelTotal
}

// add adds to the total of an urgency.
func (tots *levelTotals) add(urgency int, total levelTotal) {
	for idx := range *tots {
		if (*tots)[idx].urgency == urgency {
			(*tots)[idx].levelTotal = (*tots)[idx].plus(total)
			return
		}
	}
	*tots = append(*tots, urgencyTotal{urgency: urgency, levelTotal: total})
}

// addAll adds other totals.
func (tots *levelTotals) addAll(other levelTotals) {
	for _, total := range other {
		tots.add(total.urgency, total.levelTotal)
	}
}

// sorted sorts the totals by urgency, the highest first, and returns them.
func (tots levelTotals) sorted() levelTotals {
	slices.SortFunc(tots, func(one, two urgencyTotal) int { return cmp.Compare(one.urgency, two.urgency) })
	return tots
}

// RecordRefused records a request that was not admitted or found no server.
func (shr *Shares) RecordRefused(urgency int, groupTime time.Duration, now time.Time) {
	addRate(shr.refused, urgency, groupTime, now)
}

// RecordLate records a request whose answer began after its target.
func (shr *Shares) RecordLate(urgency int, groupTime time.Duration, now time.Time) {
	addRate(shr.late, urgency, groupTime, now)
}

func addRate(rates map[int]*decayingRate, urgency int, groupTime time.Duration, now time.Time) {
	rate := rates[urgency]
	if rate == nil {
		rate = &decayingRate{at: now}
		rates[urgency] = rate
	}
	rate.add(groupTime.Seconds(), now)
}

// ownTotals returns the totals of this entry VM's callers.
func (shr *Shares) ownTotals(now time.Time) levelTotals {
	var out levelTotals
	for cst, val := range shr.ownDemand(now) {
		out.add(cst.class.Urgency, levelTotal{offered: val})
	}
	for urgency, rate := range shr.refused {
		out.add(urgency, levelTotal{refused: rate.current(now)})
	}
	for urgency, rate := range shr.late {
		out.add(urgency, levelTotal{late: rate.current(now)})
	}
	return out
}

// levelTotals returns the totals of all entry VMs.
func (shr *Shares) levelTotals(now time.Time) levelTotals {
	out := shr.ownTotals(now)
	for _, peer := range shr.peers {
		if !now.After(peer.expiresAt) {
			out.addAll(peer.totals)
		}
	}
	return out
}

// validPeers returns the number of entry VMs whose reports are valid.
func (shr *Shares) validPeers(now time.Time) int {
	num := 0
	for _, peer := range shr.peers {
		if !now.After(peer.expiresAt) {
			num++
		}
	}
	return num
}

// Report returns the demand of this entry VM's callers by urgency. It names the
// organisations with the largest demand, as many as fit into the given size in bytes.
func (shr *Shares) Report(size int, now time.Time) []LevelReport {
	out := []LevelReport{}
	for _, total := range shr.ownTotals(now).sorted() {
		if total.offered+total.refused+total.late >= minDemand {
			out = append(out, LevelReport{Urgency: total.urgency, Orgs: map[core.OrgName]float32{}, Refused: float32(total.refused), Late: float32(total.late)})
		}
	}
	demand := make([]classDemand, 0, len(shr.classes))
	for cst, val := range shr.ownDemand(now) {
		demand = append(demand, classDemand{state: cst, demand: val})
	}
	slices.SortFunc(demand, func(one, two classDemand) int {
		return cmp.Or(cmp.Compare(two.demand, one.demand), one.state.class.compare(two.state.class))
	})
	for _, dem := range demand {
		cls := dem.state.class
		idx := slices.IndexFunc(out, func(rep LevelReport) bool { return rep.Urgency == cls.Urgency })
		if size -= len(cls.Org) + orgOverhead; size >= 0 {
			out[idx].Orgs[cls.Org] = float32(dem.demand)
		} else {
			out[idx].Rest += float32(dem.demand)
		}
	}
	return out
}

// UpdatePeerLevels replaces the report of another entry VM. Without levels, which that
// entry VM may know first, only the demand of organisations counts. Organisations that
// the report does not name count as one without a name.
func (shr *Shares) UpdatePeerLevels(node string, reports []LevelReport, expiresAt time.Time) {
	num := 0
	for _, rep := range reports {
		num += len(rep.Orgs) + 1
	}
	peer := peerDemand{demand: make([]classDemand, 0, num), expiresAt: expiresAt}
	for _, rep := range reports[:min(len(reports), site.MaxUrgency+1)] {
		if rep.Urgency < 0 || rep.Urgency > site.MaxUrgency {
			continue
		}
		urgency := rep.Urgency
		if !shr.HasLevels() {
			urgency = 0
		}
		for org, val := range rep.Orgs {
			peer.add(shr.state(Class{Urgency: urgency, Org: org}), believed(val))
		}
		if rest := believed(rep.Rest); rest > 0 {
			peer.add(shr.state(Class{Urgency: urgency}), rest)
		}
		peer.totals.add(urgency, levelTotal{refused: believed(rep.Refused), late: believed(rep.Late)})
	}
	shr.peers[node] = peer
}

// believed returns a reported number of groups, and zero if it is none.
func believed(val float32) float64 {
	out := float64(val)
	if math.IsNaN(out) || out < 0 {
		return 0
	}
	return min(out, maxReported)
}
