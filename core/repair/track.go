package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
)

// observe updates the track from a sight. An old probe is no sign of a lost
// server by itself, but it ends the time for which the server is known empty.
func (trk *track) observe(sgt gate.Sight, now time.Time, bound time.Duration) {
	if !sgt.Fresh(now, bound) {
		trk.idle = time.Time{}
		if trk.gone.IsZero() && !sgt.Seen() {
			trk.gone = sgt.Missing
		}
		if trk.gone.IsZero() {
			trk.gone = now
		}
		return
	}
	trk.gone = time.Time{}
	if sgt.Probe.State != core.EngineEmpty || sgt.Probe.Incarnation != trk.inc {
		trk.idle = time.Time{}
	}
	trk.inc = sgt.Probe.Incarnation
	if sgt.Probe.State == core.EngineEmpty && trk.idle.IsZero() {
		trk.idle = sgt.Sent
	}
}

// idleFor reports whether the VM has been empty for at least dur.
func (trk *track) idleFor(now time.Time, dur time.Duration) bool {
	return trk != nil && !trk.idle.IsZero() && now.Sub(trk.idle) >= dur
}

// goneFor returns how long the VM has not answered, zero if it has.
func (trk *track) goneFor(now time.Time) time.Duration {
	if trk == nil || trk.gone.IsZero() {
		return 0
	}
	return now.Sub(trk.gone)
}
