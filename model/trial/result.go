package trial

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/model"
)

// Org is what one organisation got.
type Org struct {
	Name        core.OrgName
	Offered     int
	Met         int // whole answers by the deadline
	Refused     int // at once
	RefusedWait int // after a wait, without having run
	Late        int // ran or waited until the deadline
	Tokens      int // of the answers in time, prompts included
	Demand      int // tokens offered
	Within      bool
}

// Share returns the part of the organisation's requests that met their
// deadlines.
func (org *Org) Share() float64 { return float64(org.Met) / float64(max(1, org.Offered)) }

// Result is what a trial measured.
type Result struct {
	Policy    string
	Load      float64 // times the capacity; set by the caller of Run
	Orgs      []Org   // by name
	HitShare  float64 // of the prefix blocks that were prefilled
	Jain      float64 // of the tokens in time over the max-min fair allocation
	MinWithin float64 // least share of an organisation within its share; 1 if none is
	MinShare  float64
	MeanShare float64
	Refused   int
	Waited    int           // refused after a wait
	Wait      time.Duration // mean time to a refusal, at once or not
	Late      int
	Tokens    int

	arrs []Arrival
	byID map[core.OrgName]*Org
	wait time.Duration // of all refused
	ends []time.Time   // of the answers in time
}

func newResult(policy string, arrs []Arrival) *Result {
	res := &Result{Policy: policy, arrs: arrs, byID: make(map[core.OrgName]*Org)}
	for idx := range arrs {
		org, ok := res.byID[arrs[idx].Org]
		if !ok {
			org = &Org{Name: arrs[idx].Org}
			res.byID[arrs[idx].Org] = org
		}
		org.Offered++
		org.Demand += arrs[idx].used()
	}
	return res
}

func (res *Result) met(req *request, now time.Time) {
	res.ends = append(res.ends, now)
	org := res.byID[req.arr.Org]
	org.Met++
	org.Tokens += req.arr.used()
}

func (res *Result) late(req *request) { res.byID[req.arr.Org].Late++ }

func (res *Result) refused(req *request, now time.Time) {
	res.wait += now.Sub(req.at)
	if now.Equal(req.at) {
		res.byID[req.arr.Org].Refused++
		return
	}
	res.byID[req.arr.Org].RefusedWait++
}

// finish computes the summary.
func (res *Result) finish(hits model.Hits) {
	for _, org := range res.byID {
		res.Orgs = append(res.Orgs, *org)
	}
	slices.SortFunc(res.Orgs, func(one, two Org) int { return cmp.Compare(one.Name, two.Name) })
	res.MinShare = 1
	for idx := range res.Orgs {
		org := &res.Orgs[idx]
		res.MinShare = min(res.MinShare, org.Share())
		res.MeanShare += org.Share() / float64(len(res.Orgs))
		res.Refused += org.Refused
		res.Waited += org.RefusedWait
		res.Late += org.Late
		res.Tokens += org.Tokens
	}
	res.Wait = res.wait / time.Duration(max(1, res.Refused+res.Waited))
	if hits.Looked > 0 {
		res.HitShare = float64(hits.Found) / float64(hits.Looked)
	}
	res.Jain = jain(res.Orgs, res.Tokens)
}

// Within marks the organisations that stay within their even share of the
// capacity, in tokens per second, over the time span, and sets MinWithin.
func (res *Result) Within(capacity float64, span time.Duration) {
	res.MinWithin = 1
	even := capacity * span.Seconds() / float64(len(res.Orgs))
	for idx := range res.Orgs {
		org := &res.Orgs[idx]
		org.Within = float64(org.Demand) <= even
		if org.Within {
			res.MinWithin = min(res.MinWithin, org.Share())
		}
	}
}

// jain returns the fairness index of Jain, Chiu and Hawe ("A quantitative
// measure of fairness and discrimination", DEC TR-301, 1984) of what the
// organisations got over the max-min fair division of served among their
// demands.
func jain(orgs []Org, served int) float64 {
	fair := maxMin(orgs, float64(served))
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

// maxMin divides total among the demands by progressive filling.
func maxMin(orgs []Org, total float64) []float64 {
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
