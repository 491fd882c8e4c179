package learn

import (
	"math"
	"time"
)

// channel sums the samples of one kind of latency. Old samples count less.
type channel struct {
	// count is the number of samples, late that of those which missed their target.
	count, late float64
	// load and lateLoad are the sums of the requests at the server at all and at the
	// late samples.
	load, lateLoad float64
}

// add adds a sample.
func (chn *channel) add(load int, late bool) {
	chn.count++
	chn.load += float64(load)
	if late {
		chn.late++
		chn.lateLoad += float64(load)
	}
}

// addScaled adds the samples of another channel with a weight.
func (chn *channel) addScaled(other channel, weight float64) {
	chn.count += weight * other.count
	chn.late += weight * other.late
	chn.load += weight * other.load
	chn.lateLoad += weight * other.lateLoad
}

// lateShare returns the fraction of the samples that were late.
func (chn *channel) lateShare() float64 {
	return chn.late / max(chn.count, math.SmallestNonzeroFloat32)
}

// fewLate is the fraction of late samples below which their load is not regarded.
const fewLate = 0.03

// meanLoad returns the mean load at the late samples, or at all if few were late.
func (chn *channel) meanLoad() float64 {
	if chn.lateShare() >= fewLate {
		return chn.lateLoad / chn.late
	}
	return chn.load / max(chn.count, math.SmallestNonzeroFloat32)
}

// samples are the samples of a server.
type samples struct {
	// firsts are first events and answers, gaps the intervals between events.
	firsts, gaps channel
	// time is the sum over timed samples of the binary logarithm of the time that the
	// server takes, in milliseconds and corrected for its load.
	time, timed float64
	// squares is the sum of the squares of these logarithms. It is not reported.
	squares float64
}

// addScaled adds other samples with a weight.
func (smp *samples) addScaled(other *samples, weight float64) {
	smp.firsts.addScaled(other.firsts, weight)
	smp.gaps.addScaled(other.gaps, weight)
	smp.time += weight * other.time
	smp.timed += weight * other.timed
	smp.squares += weight * other.squares
}

// scale reduces the weight of all samples.
func (smp *samples) scale(weight float64) {
	old := *smp
	*smp = samples{}
	smp.addScaled(&old, weight)
}

// addTime adds the time that the server took. A full batch takes up to twice as long as
// a single request, which says nothing about the speed of the server.
func (smp *samples) addTime(took time.Duration, load, slots int) {
	use := min(1, float64(load)/float64(max(1, slots)))
	log := math.Log2(max(minTimeMillis, took.Seconds()*1000) / (1 + use))
	smp.time += log
	smp.squares += log * log
	smp.timed++
}

// minTimeMillis is the shortest time that is distinguished, in milliseconds.
const minTimeMillis = 0.1
