package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
)

// track is what a Controller remembers of a VM. Idle is the instant since
// which every probe showed it empty; gone is the one at which a fresh
// connection failed, zero if it has answered since.
type track struct {
	idle    time.Time
	gone    time.Time
	inc     core.Incarnation
	ordered time.Time
	number  core.Offset
	action  core.Action
	loading time.Time
}

func (trk *track) observe(sgt gate.ServerStatus, now time.Time, bound time.Duration, past *history) {
	if !sgt.Fresh(now, bound) {
		trk.idle = time.Time{}
		trk.loading = time.Time{}
		if trk.gone.IsZero() {
			trk.gone = sgt.FailedAt
		}
		return
	}
	if !trk.gone.IsZero() && trk.inc != "" {
		past.returned(now.Sub(trk.gone), sgt.Probe.Incarnation == trk.inc)
	}
	trk.gone = time.Time{}
	trk.observeState(sgt, past)
	trk.inc = sgt.Probe.Incarnation
}

func (trk *track) observeState(sgt gate.ServerStatus, past *history) {
	prb := sgt.Probe
	if prb.State != core.EngineEmpty || prb.Incarnation != trk.inc {
		trk.idle = time.Time{}
	}
	if prb.State == core.EngineEmpty && trk.idle.IsZero() {
		trk.idle = sgt.ProbeSentAt
	}
	switch prb.State {
	case core.EngineLoading:
		if trk.loading.IsZero() {
			trk.loading = sgt.ProbeSentAt
		}
	case core.EngineReady:
		if !trk.loading.IsZero() {
			past.loaded(prb.Spec.Model, sgt.ProbeSentAt.Sub(trk.loading))
		}
		trk.loading = time.Time{}
	default:
		trk.loading = time.Time{}
	}
}

// idleFor reports whether the VM has been empty for at least dur.
func (trk *track) idleFor(now time.Time, dur time.Duration) bool {
	return trk != nil && !trk.idle.IsZero() && now.Sub(trk.idle) >= dur
}

// goneFor returns how long the VM has been missing and whether it is.
func (trk *track) goneFor(now time.Time) (time.Duration, bool) {
	if trk == nil || trk.gone.IsZero() {
		return 0, false
	}
	return now.Sub(trk.gone), true
}
