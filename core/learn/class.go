package learn

import (
	"math"
	"slices"
	"time"

	"kumquathinge/core/site"
)

// changeRatio is the ratio of two limits of a server from which a further fall is
// returned as a change.
const changeRatio = 0.75

// median is the lower median of a figure over the servers of a class.
type median struct {
	value   float64
	servers int
}

// normal holds what is normal in a class.
type normal struct {
	lateFirsts, lateGaps, time median
	// spread is the standard deviation of the logarithmic times at one server: answers
	// differ more than the intervals between events.
	spread float64
}

const (
	// maxSpread is the assumed spread without samples, and minSpreadSamples the number
	// from which it is known.
	maxSpread, minSpreadSamples = 2.0, 10.0
)

// spreadOf returns the spread of the times of the servers of a class that this node sees.
func spreadOf(srvs []*server) float64 {
	sum, samples := 0.0, 0.0
	for _, srv := range srvs {
		if own := &srv.own; own.timed > 1 {
			sum += own.squares - own.time*own.time/own.timed
			samples += own.timed - 1
		}
	}
	if samples < minSpreadSamples {
		return maxSpread
	}
	return math.Sqrt(max(0, sum/samples))
}

// medianOf returns the lower median of a figure of the servers that have it.
func medianOf(srvs []*server, figure func(*server) (float64, bool)) median {
	values := make([]float64, 0, len(srvs))
	for _, srv := range srvs {
		if value, ok := figure(srv); ok {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return median{}
	}
	slices.Sort(values)
	return median{value: values[(len(values)-1)/2], servers: len(values)}
}

// findNormal returns what is normal for the servers of a class. If all are slow at once,
// that is normal, and none is limited.
func findNormal(srvs []*server) normal {
	return normal{
		lateFirsts: medianOf(srvs, func(srv *server) (float64, bool) {
			return srv.sum.firsts.lateShare(), srv.sum.firsts.count >= minPeerSamples
		}),
		lateGaps: medianOf(srvs, func(srv *server) (float64, bool) {
			return srv.sum.gaps.lateShare(), srv.sum.gaps.count >= minPeerSamples
		}),
		time: medianOf(srvs, func(srv *server) (float64, bool) {
			return srv.sum.time / max(srv.sum.timed, 1), srv.sum.timed >= minPeerSamples
		}),
		spread: spreadOf(srvs),
	}
}

// setClass updates what a server's class and entry say of it.
func (srv *server) setClass(class *Class, target *site.Server) {
	slots := class.Slots
	if slots == 0 {
		slots = target.Slots
	}
	srv.setSlots(max(1, slots))
	srv.timesGaps = class.Streams
}

// stepClass updates the estimates of a class.
func (est *Estimator) stepClass(class *Class, srvs []*server, elapsed time.Duration, now time.Time) []Change {
	norm := findNormal(srvs)
	summary := ClassSummary{Class: class.Name, Servers: len(srvs)}
	var out []Change
	for _, srv := range srvs {
		srv.updateSpeed(&norm, elapsed)
		srv.update(&norm, est.phase(srv), now)
		if srv.changed() {
			out = append(out, srv.change(class.Name))
			srv.loggedLimit = srv.limit
		}
		summary.add(srv)
	}
	est.summaries = append(est.summaries, summary)
	if class.Streams && norm.time.servers > 0 {
		est.gaps[class.Name] = time.Duration(math.Exp2(norm.time.value) * typicalUse * float64(time.Millisecond))
	}
	return out
}

// typicalUse is the factor of the time between two events at a head whose batch is half
// full, relative to a single request.
const typicalUse = 1.5

// add adds a server to the summary.
func (sum *ClassSummary) add(srv *server) {
	if srv.limited() {
		sum.Limited++
	}
	if srv.speed <= slowSpeed {
		sum.Slow++
	}
	sum.Fraction += min(1, srv.limit/float64(srv.slots)) / float64(sum.Servers)
}

// changed reports whether the limit fell much, or reached what the server published.
func (srv *server) changed() bool {
	recovered := !srv.limited() && srv.loggedLimit < float64(srv.slots)
	return recovered || srv.limited() && srv.limit < changeRatio*srv.loggedLimit
}

// change returns the change since the last one.
func (srv *server) change(class string) Change {
	return Change{
		Class: class, Server: srv.run.ID, Slots: srv.slots, From: srv.loggedLimit, To: srv.limit,
		LateFirsts: srv.sum.firsts.lateShare(), LateGaps: srv.sum.gaps.lateShare(), Load: srv.sum.firsts.meanLoad(), Speed: srv.speed,
	}
}
