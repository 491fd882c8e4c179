package trial

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/model"
)

// Org is the result for one organisation. The counts are in requests unless
// stated otherwise.
type Org struct {
	Name        core.OrgName
	Offered     int
	Met         int  // completed by the deadline
	Refused     int  // rejected on arrival
	RefusedWait int  // rejected after queueing, without having run
	Late        int  // cancelled at the deadline, queued or running
	Tokens      int  // tokens of the requests in Met, prompts included
	Demand      int  // tokens of all requests
	Within      bool // Demand is within the organisation's fair share
}

// MetRatio returns the fraction of the organisation's requests that met their
// deadlines.
func (org *Org) MetRatio() float64 { return float64(org.Met) / float64(max(1, org.Offered)) }

// Result holds the measurements of a trial.
type Result struct {
	Policy    string
	Load      float64 // as a multiple of the capacity; set by RunAtLoad
	Orgs      []Org   // sorted by name
	HitShare  float64 // prefix cache hit ratio, in blocks
	Jain      float64 // fairness index of Org.Tokens relative to the max-min fair allocation
	MinWithin float64 // least MetRatio of the organisations with Within set; 1 if there are none
	MinShare  float64 // least MetRatio
	MeanShare float64 // mean MetRatio
	Refused   int
	Waited    int           // rejected after queueing
	Wait      time.Duration // mean time to a rejection, including those on arrival
	Late      int
	Tokens    int

	arrivals    []Arrival
	byName      map[core.OrgName]*Org
	totalWait   time.Duration // sum over all rejected requests
	completedAt []time.Time   // of the requests that met their deadlines
}

func newResult(policy string, arrivals []Arrival) *Result {
	res := &Result{Policy: policy, arrivals: arrivals, byName: make(map[core.OrgName]*Org)}
	for idx := range arrivals {
		org, ok := res.byName[arrivals[idx].Org]
		if !ok {
			org = &Org{Name: arrivals[idx].Org}
			res.byName[arrivals[idx].Org] = org
		}
		org.Offered++
		org.Demand += arrivals[idx].totalTokens()
	}
	return res
}

func (res *Result) recordMet(req *request, now time.Time) {
	res.completedAt = append(res.completedAt, now)
	org := res.byName[req.arrival.Org]
	org.Met++
	org.Tokens += req.arrival.totalTokens()
}

func (res *Result) recordLate(req *request) { res.byName[req.arrival.Org].Late++ }

func (res *Result) recordRefused(req *request, now time.Time) {
	res.totalWait += now.Sub(req.arrivedAt)
	if now.Equal(req.arrivedAt) {
		res.byName[req.arrival.Org].Refused++
		return
	}
	res.byName[req.arrival.Org].RefusedWait++
}

// summarise computes the totals and ratios of the Result.
func (res *Result) summarise(hits model.CacheStats) {
	for _, org := range res.byName {
		res.Orgs = append(res.Orgs, *org)
	}
	slices.SortFunc(res.Orgs, func(one, two Org) int { return cmp.Compare(one.Name, two.Name) })
	res.MinShare = 1
	for idx := range res.Orgs {
		org := &res.Orgs[idx]
		res.MinShare = min(res.MinShare, org.MetRatio())
		res.MeanShare += org.MetRatio() / float64(len(res.Orgs))
		res.Refused += org.Refused
		res.Waited += org.RefusedWait
		res.Late += org.Late
		res.Tokens += org.Tokens
	}
	res.Wait = res.totalWait / time.Duration(max(1, res.Refused+res.Waited))
	if hits.Lookups > 0 {
		res.HitShare = float64(hits.Hits) / float64(hits.Lookups)
	}
	res.Jain = jainIndex(res.Orgs, res.Tokens)
}

// MarkWithin sets Org.Within for the organisations whose demand over span is at
// most an equal share of the capacity, in tokens per second. It also sets
// MinWithin.
func (res *Result) MarkWithin(capacity float64, span time.Duration) {
	res.MinWithin = 1
	even := capacity * span.Seconds() / float64(len(res.Orgs))
	for idx := range res.Orgs {
		org := &res.Orgs[idx]
		org.Within = float64(org.Demand) <= even
		if org.Within {
			res.MinWithin = min(res.MinWithin, org.MetRatio())
		}
	}
}

// jainIndex returns the fairness index of Jain, Chiu and Hawe ("A quantitative
// measure of fairness and discrimination", DEC TR-301, 1984) of the tokens that
// each organisation received relative to the max-min fair allocation of served.
func jainIndex(orgs []Org, served int) float64 {
	fair := maxMinAllocation(orgs, float64(served))
	var sum, squares float64
	for idx := range orgs {
		val := float64(orgs[idx].Tokens) / max(1, fair[idx])
		sum += val
		squares += val * val
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(orgs)) * squares)
}

// maxMinAllocation returns the max-min fair allocation of total among the
// organisations' demands, by progressive filling.
func maxMinAllocation(orgs []Org, total float64) []float64 {
	order := make([]int, len(orgs))
	for idx := range order {
		order[idx] = idx
	}
	slices.SortFunc(order, func(one, two int) int { return orgs[one].Demand - orgs[two].Demand })
	out := make([]float64, len(orgs))
	for pos, idx := range order {
		out[idx] = min(float64(orgs[idx].Demand), total/float64(len(orgs)-pos))
		total -= out[idx]
	}
	return out
}
