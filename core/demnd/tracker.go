package demnd

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// bucketTime is the interval over which demand is averaged. Single long
	// requests disappear in it.
	bucketTime = time.Second
	// window is the time for which demand is kept: two of the longest periods.
	window = 40 * time.Second
	// crestPart is the part of the window that makes up the crest. It is shorter
	// than a burst of 9 s, and a single bucket adds a fifth to it at most.
	crestPart = 0.125
	// learnTime is the time for which a model has to be observed: about a period.
	learnTime = 10 * time.Second
	// settleTime is the time after the first report that is not counted, since the
	// callers of some time arrive together when entry VMs start.
	settleTime = 2 * time.Second
	// staleTime is the time after the last report from which nothing is known.
	staleTime = 2 * time.Second
	// refusedTime is the time over which refused demand is averaged.
	refusedTime = 20 * time.Second
)

// levelSum adds up the demand of one urgency.
type levelSum struct{ asked, refused float64 }

// bucket is the demand in one bucketTime.
type bucket struct {
	at      time.Time
	reports int
	levels  map[int]levelSum
}

// mean returns the mean demand of an urgency.
func (buck *bucket) mean(urgency int) levelSum {
	sum := buck.levels[urgency]
	num := float64(buck.reports)
	return levelSum{asked: sum.asked / num, refused: sum.refused / num}
}

// history is the demand of a model, the oldest bucket first.
type history struct {
	since, last time.Time
	buckets     []*bucket
}

// Tracker keeps the demand of models. The zero value is ready to use. It is not safe
// for concurrent use.
type Tracker struct {
	models map[string]*history
}

// Record adds a report of the demand of a model at all nodes. Reports are expected
// each 100 to 500 ms. One that is older than the latest is ignored.
func (trk *Tracker) Record(model string, dem site.ModelDemand, now time.Time) {
	if trk.models == nil {
		trk.models = map[string]*history{}
	}
	hist := trk.models[model]
	if hist == nil || now.Sub(hist.last) > staleTime {
		hist = &history{since: now}
		trk.models[model] = hist
	}
	if now.Before(hist.last) {
		return
	}
	hist.last = now
	if now.Sub(hist.since) < settleTime {
		return
	}
	hist.add(dem, now)
}

func (hist *history) add(dem site.ModelDemand, now time.Time) {
	num := len(hist.buckets)
	if num == 0 || now.Sub(hist.buckets[num-1].at) >= bucketTime {
		hist.buckets = append(hist.buckets, &bucket{at: now, levels: map[int]levelSum{}})
	}
	buck := hist.buckets[len(hist.buckets)-1]
	buck.reports++
	for _, lvl := range dem.Levels {
		sum := buck.levels[lvl.Urgency]
		sum.asked += finite(lvl.Asked)
		sum.refused += finite(min(lvl.Refused, lvl.Asked))
		buck.levels[lvl.Urgency] = sum
	}
	hist.buckets = slices.DeleteFunc(hist.buckets, func(old *bucket) bool { return now.Sub(old.at) >= window })
}

// finite returns a demand of a report, zero if it is not a number of groups.
func finite(val float64) float64 {
	if math.IsNaN(val) || math.IsInf(val, 0) {
		return 0
	}
	return max(val, 0)
}

// Confidence returns how much of the window of a model has been observed, in [0, 1].
// It is zero while Demand does not return the model.
func (trk *Tracker) Confidence(model string, now time.Time) float64 {
	hist := trk.models[model]
	if hist == nil || !hist.known(now) {
		return 0
	}
	return min(1, now.Sub(hist.since).Seconds()/window.Seconds())
}

func (hist *history) known(now time.Time) bool {
	return now.Sub(hist.last) <= staleTime && now.Sub(hist.since) >= learnTime
}

// Demand returns the demand to provide for, by model: Asked is the crest of the last
// periods, Refused the mean of the last 20 s. It returns nil while no model is known.
func (trk *Tracker) Demand(now time.Time) map[string]site.ModelDemand {
	var out map[string]site.ModelDemand
	for model, hist := range trk.models {
		if !hist.known(now) {
			continue
		}
		if out == nil {
			out = map[string]site.ModelDemand{}
		}
		out[model] = hist.demand(now)
	}
	return out
}

func (hist *history) demand(now time.Time) site.ModelDemand {
	urgencies := map[int]bool{}
	for _, buck := range hist.buckets {
		for urgency := range buck.levels {
			urgencies[urgency] = true
		}
	}
	var dem site.ModelDemand
	for _, urgency := range slices.Sorted(maps.Keys(urgencies)) {
		dem.Levels = append(dem.Levels, site.LevelDemand{Urgency: urgency, Asked: hist.crest(urgency), Refused: hist.refused(urgency, now)})
	}
	return dem
}

// crest returns the mean of the highest crestPart of the buckets.
func (hist *history) crest(urgency int) float64 {
	var asked []float64
	for _, buck := range hist.buckets {
		asked = append(asked, buck.mean(urgency).asked)
	}
	slices.SortFunc(asked, func(one, two float64) int { return cmp.Compare(two, one) })
	num := max(1, int(crestPart*float64(len(asked))))
	sum := 0.0
	for _, val := range asked[:num] {
		sum += val
	}
	return sum / float64(num)
}

// refused returns the mean refused demand of the last refusedTime.
func (hist *history) refused(urgency int, now time.Time) float64 {
	sum, num := 0.0, 0
	for _, buck := range hist.buckets {
		if now.Sub(buck.at) < refusedTime {
			sum += buck.mean(urgency).refused
			num++
		}
	}
	return sum / float64(max(1, num))
}
