package reach_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/reach"
)

const name = "service"

// run drives a Tracker from begin to end in steps of 10 ms. Rounds of probes take 100 ms,
// in which accepts returns how many probes succeed. A request whose connection fails, if
// fails returns true, comes in each step. It returns for how long servers counted as lost.
func run(trk *reach.Tracker, begin, end time.Time, fails func(at time.Time) bool, accepts func(at time.Time) int) (lost time.Duration, rounds int) {
	const step, roundTime = 10 * time.Millisecond, 100 * time.Millisecond
	var endsAt time.Time
	for at := begin; at.Before(end); at = at.Add(step) {
		if fails(at) {
			trk.RecordFailure(name, at)
		} else {
			trk.RecordConnected(name)
		}
		if !endsAt.IsZero() && !at.Before(endsAt) {
			trk.EndProbes(name, accepts(at), reach.ProbeCount, at)
			endsAt = time.Time{}
		}
		if trk.BeginProbes(name, at) {
			endsAt = at.Add(roundTime)
			rounds++
		}
		if trk.Lost(name) {
			lost += step
		}
	}
	return lost, rounds
}

// TestCut guards against a cut that is not noticed, or counted on after its end.
func TestCut(t *testing.T) {
	begin := time.Unix(0, 0)
	trk := reach.NewTracker()
	cutFrom, cutTo := begin.Add(time.Second), begin.Add(9*time.Second)
	inCut := func(at time.Time) bool { return at.After(cutFrom) && at.Before(cutTo) }
	accepts := func(at time.Time) int {
		if inCut(at) {
			return 0
		}
		return reach.ProbeCount
	}
	lost, _ := run(trk, begin, begin.Add(20*time.Second), inCut, accepts)
	assert.Assert(t, lost > 7500*time.Millisecond && lost < 8500*time.Millisecond, "lost for %v", lost)
	assert.Assert(t, !trk.Lost(name))
	assert.Equal(t, len(trk.LostServices()), 0)
}

// TestFailingServers guards against servers that fail one at a time and are taken for all,
// and against probes without end.
func TestFailingServers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	begin := time.Unix(0, 0)
	trk := reach.NewTracker()
	lost, rounds := run(trk, begin, begin.Add(time.Minute), func(time.Time) bool { return rng.Float64() < 0.9 }, func(time.Time) int { return 1 + rng.IntN(reach.ProbeCount) })
	assert.Equal(t, lost, time.Duration(0))
	assert.Assert(t, rounds <= 60, "%d rounds in a minute", rounds)
}

// TestSingleSuccess guards against servers that count as within reach since one of a round
// accepted a connection, while most are still cut off.
func TestSingleSuccess(t *testing.T) {
	now := time.Unix(0, 0)
	trk := reach.NewTracker()
	trk.RecordFailure(name, now)
	assert.Assert(t, trk.EndProbes(name, 0, 3, now))
	assert.Assert(t, !trk.EndProbes(name, 1, 3, now))
	assert.Assert(t, trk.Lost(name))
	assert.Assert(t, trk.EndProbes(name, 2, 3, now))
	assert.Assert(t, !trk.Lost(name))
}

// TestNoServers guards against a service without servers that counts as out of reach.
func TestNoServers(t *testing.T) {
	now := time.Unix(0, 0)
	trk := reach.NewTracker()
	trk.RecordFailure(name, now)
	trk.EndProbes(name, 0, 0, now)
	assert.Assert(t, !trk.Lost(name))
	trk.RecordFailure(name, now)
	trk.EndProbes(name, 0, 1, now)
	assert.DeepEqual(t, trk.LostServices(), []string{name})
	trk.Retain(func(string) bool { return false })
	assert.Assert(t, !trk.Lost(name))
}
