package drain

import "time"

const (
	// lateHold is how long after a late tick the process still counts as late: signals
	// that arrived meanwhile are handled by then.
	lateHold = 300 * time.Millisecond
	// latenessDecay is the factor by which the lateness falls with each tick.
	latenessDecay = 0.97
	// maxLatePeriods is the number of late periods that are kept. A process that runs late
	// more often than it runs on time would otherwise keep one for each tick.
	maxLatePeriods = 16
)

// Ticks observes how late a process runs, by a task that runs at an interval.
type Ticks struct {
	interval time.Duration
	last     time.Time
	// lateSince is the last tick before a late one, lateUntil the time until which it
	// counts.
	lateSince, lateUntil time.Time
	lateness             time.Duration
	// latePeriods are the latest periods, in order, in which the task should have run and
	// did not.
	latePeriods []latePeriod
}

type latePeriod struct{ from, to time.Time }

// NewTicks returns the Ticks of a task with the interval.
func NewTicks(interval time.Duration, now time.Time) *Ticks {
	return &Ticks{interval: interval, last: now}
}

// Record records that the task ran.
func (tks *Ticks) Record(now time.Time) {
	late := now.Sub(tks.last) - tks.interval
	if late > tks.interval {
		tks.lateSince, tks.lateUntil = tks.last, now.Add(lateHold)
		tks.latePeriods = append(tks.latePeriods, latePeriod{from: tks.last.Add(tks.interval), to: now})
		tks.latePeriods = tks.latePeriods[max(0, len(tks.latePeriods)-maxLatePeriods):]
	}
	tks.lateness = max(late, time.Duration(latenessDecay*float64(tks.lateness)))
	tks.last = now
}

// LastOnTime returns the last time at which the process is known to have run on time.
func (tks *Ticks) LastOnTime(now time.Time) time.Time {
	if now.Before(tks.lateUntil) {
		return tks.lateSince
	}
	return tks.last
}

// OnTime returns how much of the time from begin to now the process ran on time. It is zero
// within an interval after the process ran late: what arrived meanwhile may not have been
// read yet.
func (tks *Ticks) OnTime(begin, now time.Time) time.Duration {
	if now.Sub(tks.last) > 2*tks.interval {
		return 0
	}
	out := now.Sub(begin)
	for _, late := range tks.latePeriods {
		if now.Sub(late.to) < tks.interval {
			return 0
		}
		if late.to.After(begin) {
			out -= late.to.Sub(later(late.from, begin))
		}
	}
	return max(0, out)
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// Lateness returns by how much the process ran late in the last seconds.
func (tks *Ticks) Lateness(now time.Time) time.Duration {
	return max(tks.lateness, now.Sub(tks.last)-tks.interval)
}
