// Package drain decides what a node does with requests while it stops: which it still
// accepts, when it answers those that no server has answered, and when its process ends.
//
// It does no I/O and reads no clock.
package drain

import "time"

// Config holds the times of a stop. All count from its begin.
type Config struct {
	// Grace is the time after which the platform kills the process.
	Grace time.Duration
	// AcceptTime is how long requests are accepted that end in time. The load balancer
	// needs it to notice that the node is not ready.
	AcceptTime time.Duration
	// EndMargin is the part of the grace that is left to the end of the process,
	// AnswerMargin the part before it in which open requests are answered.
	EndMargin, AnswerMargin time.Duration
}

// Phase is a part of a stop.
type Phase uint8

// Phases of a stop, in their order.
const (
	// Accepting: requests that end in time are accepted, others are rejected.
	Accepting Phase = iota
	// Rejecting: all new requests are rejected, open ones go on.
	Rejecting
	// Answering: open requests whose response has not begun are answered with an error.
	Answering
	// Ended: the process ends, and with it the responses that have begun.
	Ended
)

// String returns the name of the phase.
func (phase Phase) String() string {
	return [...]string{"accepting", "rejecting", "answering", "ended"}[phase]
}

// maxBackdate is the largest part of the grace by which the begin of a stop lies before
// its signal was handled. A process that was suspended for longer counts as disrupted.
const maxBackdate = 4

// Stop is a planned stop of a node.
type Stop struct {
	cfg   Config
	begin time.Time
	late  time.Duration
}

// New returns a stop whose signal was handled at now. The process last ran on time at
// lastOnTime, so the signal may have been sent at any time since. lateness is by how
// much the process has run late recently. The node may be that late again at the end,
// so that it ends earlier by as much.
func New(cfg Config, now, lastOnTime time.Time, lateness time.Duration) *Stop {
	begin := now
	if lastOnTime.Before(now) {
		begin = lastOnTime
	}
	if earliest := now.Add(-cfg.Grace / maxBackdate); begin.Before(earliest) {
		begin = earliest
	}
	return &Stop{cfg: cfg, begin: begin, late: min(max(0, lateness), cfg.Grace/maxBackdate)}
}

// Begin returns the earliest time at which the signal may have been sent.
func (st *Stop) Begin() time.Time { return st.begin }

const (
	// lastParts is the number of parts of the grace in the last of which a response that
	// has begun may be cut. Until then its server must be given the time to finish it.
	lastParts = 6
	// beginSlack is the time by which the begin may precede the signal of a process that
	// runs on time.
	beginSlack = 100 * time.Millisecond
)

// EndsAt returns when the process ends at the latest. A process that has run late ends
// earlier, but not before the last part of the grace.
func (st *Stop) EndsAt() time.Time {
	latest := max(0, st.cfg.Grace/lastParts-st.cfg.EndMargin-beginSlack)
	return st.begin.Add(st.cfg.Grace - st.cfg.EndMargin - min(st.late, latest))
}

// AnswersAt returns when requests without a response are answered.
func (st *Stop) AnswersAt() time.Time {
	return st.begin.Add(st.cfg.Grace - st.cfg.EndMargin - st.late - st.cfg.AnswerMargin)
}

// Phase returns the phase at a time. active is the number of requests that are read or
// answered.
func (st *Stop) Phase(now time.Time, active int) Phase {
	switch {
	case !now.Before(st.EndsAt()):
		return Ended
	case now.Sub(st.begin) <= st.cfg.AcceptTime && now.Before(st.AnswersAt()):
		return Accepting
	case active == 0:
		return Ended
	case !now.Before(st.AnswersAt()):
		return Answering
	}
	return Rejecting
}

// Admits reports whether a request that takes up to need may be accepted.
func (st *Stop) Admits(now time.Time, need time.Duration) bool {
	return st.Phase(now, 1) == Accepting && !now.Add(need).After(st.AnswersAt())
}
