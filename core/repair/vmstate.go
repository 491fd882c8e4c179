package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
)

// vmState is what a Controller has observed of a VM. emptySince is the time of
// the first of the consecutive probes that showed it empty. missingSince is the
// time at which a new connection failed, zero if the VM has answered since.
type vmState struct {
	emptySince      time.Time
	missingSince    time.Time
	incarnation     core.Incarnation
	lastOrderAt     time.Time
	lastOrderToken  core.Offset
	lastOrderAction core.Action
	loadingSince    time.Time
}

func (state *vmState) observe(status gate.ServerStatus, now time.Time, maxProbeAge time.Duration, history *vmHistory) {
	if !status.Fresh(now, maxProbeAge) {
		state.emptySince = time.Time{}
		state.loadingSince = time.Time{}
		if state.missingSince.IsZero() {
			state.missingSince = status.FailedAt
		}
		return
	}
	if !state.missingSince.IsZero() && state.incarnation != "" {
		history.recordAbsence(now.Sub(state.missingSince), status.Probe.Incarnation == state.incarnation)
	}
	state.missingSince = time.Time{}
	state.observeEngineState(status, history)
	state.incarnation = status.Probe.Incarnation
}

func (state *vmState) observeEngineState(status gate.ServerStatus, history *vmHistory) {
	probe := status.Probe
	if probe.State != core.EngineEmpty || probe.Incarnation != state.incarnation {
		state.emptySince = time.Time{}
	}
	if probe.State == core.EngineEmpty && state.emptySince.IsZero() {
		state.emptySince = status.ProbeSentAt
	}
	switch probe.State {
	case core.EngineLoading:
		if state.loadingSince.IsZero() {
			state.loadingSince = status.ProbeSentAt
		}
	case core.EngineReady:
		if !state.loadingSince.IsZero() {
			history.recordLoadTime(probe.Spec.Model, status.ProbeSentAt.Sub(state.loadingSince))
		}
		state.loadingSince = time.Time{}
	default:
		state.loadingSince = time.Time{}
	}
}

// emptyFor reports whether probes have shown the VM empty for at least dur.
func (state *vmState) emptyFor(now time.Time, dur time.Duration) bool {
	return state != nil && !state.emptySince.IsZero() && now.Sub(state.emptySince) >= dur
}

// missingFor returns how long the VM has been missing, and false if it is not
// missing.
func (state *vmState) missingFor(now time.Time) (time.Duration, bool) {
	if state == nil || state.missingSince.IsZero() {
		return 0, false
	}
	return now.Sub(state.missingSince), true
}
