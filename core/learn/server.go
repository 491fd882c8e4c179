package learn

import (
	"math"
	"time"

	"kumquathinge/core/site"
)

// server is the estimate of one process of a server.
type server struct {
	run   site.ServerRun
	key   uint32
	slots int
	// timesGaps is set if the times between events tell the speed.
	timesGaps bool
	// limit is the number of requests that the server sustains, at most slots.
	limit float64
	// speed is the speed relative to the median of the class, at most 1.
	speed float64
	// own are the samples of this node, sum those of all nodes at the last step.
	own, sum samples
	// limits is the sum of the limits that peers reported, limitWeight of their
	// weights.
	limits, limitWeight float64
	firstSeenAt         time.Time
	fellAt, raisedAt    time.Time
	// ceiling is the load at which samples were late at the last fall, zero if there
	// was none. The limit stays below it for hold after the fall.
	ceiling float64
	hold    time.Duration
	// loggedLimit is the limit at the last Change.
	loggedLimit float64
}

func newServer(run site.ServerRun, now time.Time) *server {
	return &server{run: run, key: runKey(run), speed: 1, firstSeenAt: now}
}

// setSlots sets the published number of requests. A limit is kept, since it was found by
// measurement.
func (srv *server) setSlots(slots int) {
	if srv.slots == 0 || srv.limit >= float64(srv.slots) || srv.limit > float64(slots) {
		srv.limit = float64(slots)
		srv.loggedLimit = srv.limit
	}
	srv.slots = slots
}

// limited reports whether the server sustains less than it published.
func (srv *server) limited() bool { return srv.limit < float64(srv.slots) }

// suspect reports whether the estimate is about to change or differs from what the server
// published, so that all nodes report their samples.
func (srv *server) suspect() bool {
	return srv.limited() || srv.speed < 1 || srv.sum.firsts.late >= 1 || srv.sum.gaps.late >= 1
}

// informative reports whether late samples tell that the server doesn't sustain its limit.
// Requests that were sent before a fall of the limit are late in any case.
func (srv *server) informative(chn *channel) bool {
	return chn.meanLoad() <= limitSlack*srv.limit+1
}

const (
	// limitSlack is the excess over the limit up to which samples count. Nodes whose
	// load figures are old exceed it.
	limitSlack = 1.15
	// minFirsts and minGaps are the numbers of samples within sampleTime from which a
	// server is judged.
	minFirsts, minGaps = 4.0, 4.0
	// minPeerSamples is the number from which a server counts for the median of its
	// class.
	minPeerSamples = 2.0
	// tolerance is the fraction of late samples that never limits a server, and
	// medianFactor and medianSlack the ones beyond the median of its class.
	tolerance, medianFactor, medianSlack = 0.25, 2.0, 0.1
	// confidence scales the uncertainty of a fraction of few samples.
	confidence = 1.0
	// maxCut is the largest fraction of the limit that a fall takes away, when all
	// samples are late.
	maxCut = 0.5
	// fallInterval is the time between two falls. Reports of the load that a fall left
	// arrive within it.
	fallInterval = 300 * time.Millisecond
	// raiseInterval is the time between two raises while the server is used to its
	// limit and on time, idleRaiseInterval that while it is not used so far: its
	// samples say nothing about a higher load.
	raiseInterval, idleRaiseInterval = 600 * time.Millisecond, 5 * time.Second
	// raiseDivisor determines the step of a raise, as a fraction of the limit. It is at
	// least one request.
	raiseDivisor = 8
	// minRest is the time without a raise after a fall. minHold is the time without
	// one up to the ceiling, which doubles with each fall at about the same load, up to
	// maxHold: above that load all requests at the server are late.
	minRest          = time.Second
	minHold, maxHold = 2 * time.Second, 16 * time.Second
	// provenRatio is the fraction of the ceiling at which a server that is on time has
	// recovered. It is above ceilingRatio, so that this is rare while the limit holds.
	provenRatio = 0.95
	// ceilingRatio is the fraction of the ceiling that the limit reaches in that time,
	// and sameCeiling the ratio of two loads from which they are about the same.
	ceilingRatio, sameCeiling = 0.8, 0.7
	// usedRatio is the fraction of the limit from which a server counts as used to it.
	usedRatio = 0.7
	// adoptUp and adoptDown are the weights of the peers' mean limit in each step.
	// adoptTime is the time after a fall in which it does not raise the limit, and the
	// time after the server was first seen in which it is taken over at once.
	adoptUp, adoptDown, adoptTime = 0.1, 0.3, 3 * time.Second
)

// judge returns the largest excess of late samples of the two kinds over what is normal
// in the class, and the channel. The excess is negative for a server that is not judged
// or normal.
func (srv *server) judge(normal *normal) (float64, *channel) {
	firsts := excess(&srv.sum.firsts, minFirsts, normal.lateFirsts)
	gaps := excess(&srv.sum.gaps, minGaps, normal.lateGaps)
	if gaps > firsts {
		return gaps, &srv.sum.gaps
	}
	return firsts, &srv.sum.firsts
}

// excess returns by how much the fraction of late samples surely exceeds what is normal.
func excess(chn *channel, minCount float64, normal median) float64 {
	if chn.count < minCount || normal.servers < 2 {
		return -1
	}
	return chn.lateShare() - confidence/math.Sqrt(chn.count) - max(tolerance, medianFactor*normal.value+medianSlack)
}

// update changes the limit by the samples of all nodes. phase, in [0, 1), differs between
// nodes, so that they don't raise their limits at the same time.
func (srv *server) update(normal *normal, phase float64, now time.Time) {
	srv.adopt(now)
	over, chn := srv.judge(normal)
	switch {
	case over > 0 && srv.informative(chn) && now.Sub(srv.fellAt) >= fallInterval:
		srv.fall(chn, phase, now)
	case over <= 0 && srv.limited() && srv.mayRaise(now):
		srv.limit = srv.raised()
		srv.raisedAt = now
	}
	if !srv.limited() && now.Sub(srv.fellAt) > maxHold {
		srv.ceiling = 0
	}
}

// adopt moves the limit towards the mean of the peers' limits. A node that has just
// started, or a server that was just seen, takes it over.
func (srv *server) adopt(now time.Time) {
	if srv.limitWeight < 1 {
		return
	}
	mean := min(float64(srv.slots), srv.limits/srv.limitWeight)
	weight := adoptDown
	if mean > srv.limit {
		weight = adoptUp
	}
	switch {
	case now.Sub(srv.firstSeenAt) < adoptTime && srv.fellAt.IsZero():
		weight = 1
	case mean > srv.limit && now.Sub(srv.fellAt) < adoptTime:
		return
	case math.Abs(mean-srv.limit) <= 1:
		return
	}
	srv.limit = max(1, srv.limit+weight*(mean-srv.limit))
	if float64(srv.slots)-srv.limit < 1.0/limitScale {
		srv.limit = float64(srv.slots)
	}
}

// fall lowers the limit below the load at which samples were late.
func (srv *server) fall(chn *channel, phase float64, now time.Time) {
	load := chn.meanLoad()
	if load < sameCeiling*srv.ceiling || load > srv.ceiling/sameCeiling {
		srv.hold = 0
	}
	srv.hold = min(maxHold, max(minHold, 2*srv.hold))
	srv.ceiling = load
	srv.limit = max(1, min(srv.limit, load)*(1-maxCut*chn.lateShare()))
	srv.fellAt = now
	srv.raisedAt = now.Add(time.Duration(phase * float64(raiseInterval)))
}

// raised returns the limit after a raise.
func (srv *server) raised() float64 {
	return min(float64(srv.slots), srv.limit+max(1, srv.limit/raiseDivisor))
}

// mayRaise reports whether it is time to try a little more.
func (srv *server) mayRaise(now time.Time) bool {
	since := now.Sub(srv.fellAt)
	chn := &srv.sum.firsts
	if srv.sum.gaps.count > srv.sum.firsts.count {
		chn = &srv.sum.gaps
	}
	load := 0.0
	if chn.count >= minFirsts {
		load = chn.load / chn.count
	}
	if since < minRest || since < srv.hold && srv.raised() > ceilingRatio*srv.ceiling && load < provenRatio*srv.ceiling {
		return false
	}
	interval := idleRaiseInterval
	if load >= usedRatio*srv.limit {
		interval = raiseInterval
	}
	return now.Sub(srv.raisedAt) >= interval
}

const (
	// minSpeed limits the estimate of a speed: a server that gets no requests would
	// never be seen to recover.
	minSpeed = 0.125
	// evenSpeed is the speed from which a server counts as fast as its class. The
	// times of equal servers differ with the lengths of their prompts.
	evenSpeed = 0.75
	// speedRecovery is the time constant with which the speed of a server without
	// samples returns to 1.
	speedRecovery = 10 * time.Second
	// minTimed is the number of samples from which the speed is known.
	minTimed = 3.0
	// certainty is the number of standard errors by which the mean time of a server
	// must exceed that of its class.
	certainty = 1.5
)

// updateSpeed sets the speed from the times of the server and its class.
func (srv *server) updateSpeed(normal *normal, elapsed time.Duration) {
	switch {
	case srv.sum.timed >= minTimed && normal.time.servers >= 2:
		slower := srv.sum.time/srv.sum.timed - normal.time.value - certainty*normal.spread/math.Sqrt(srv.sum.timed)
		srv.speed = min(1, max(minSpeed, math.Exp2(-slower)))
		if srv.speed >= evenSpeed {
			srv.speed = 1
		}
	case srv.speed < 1:
		srv.speed += min(1, elapsed.Seconds()/speedRecovery.Seconds()) * (1 - srv.speed)
		if srv.speed >= evenSpeed {
			srv.speed = 1
		}
	}
}
