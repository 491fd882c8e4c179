package serve

import (
	"context"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/flight"
)

// isolationPollInterval is the interval at which a suspect that waits for a group
// without another suspect checks again, in addition to each change of the state.
const isolationPollInterval = 50 * time.Millisecond

// handleChoose performs flight.ActionChoose. It releases the reserved group if
// the machine does not dispatch to it.
func (ex *executor) handleChoose(ctx context.Context, act flight.Action) {
	ev := ex.choose(ctx, act)
	ex.step(ev)
	if ev.Kind != flight.EventChosen || ex.job.Service != "" {
		return
	}
	for _, queued := range ex.pending {
		if queued.Kind == flight.ActionDispatch {
			return
		}
	}
	ex.releaseReservation(ev.Group)
}

// choose selects a group that may receive requests, reserves it, and obtains the
// permit. Groups at which the request failed before come last.
func (ex *executor) choose(ctx context.Context, act flight.Action) flight.Event {
	if ctx.Err() != nil {
		return contextEndEvent(ctx)
	}
	if ex.forwardOnly {
		return flight.Event{Kind: flight.EventNoGroup, Code: noBackendCode(ex.job)}
	}
	if ex.job.Service != "" {
		return ex.choosePlain(act)
	}
	untried, failed := partitionExcluded(ex.srv.cfg.Backends.Candidates(ex.job), act.Exclude)
	for _, cands := range [][]core.Candidate{untried, failed} {
		ev := ex.chooseFrom(ctx, cands, act)
		if ev.Kind != "" {
			return ev
		}
	}
	return flight.Event{Kind: flight.EventNoGroup, Code: core.CodeNoGroup}
}

// chooseFrom selects one of the candidates. It returns the zero event if none of
// them may receive the request.
func (ex *executor) chooseFrom(ctx context.Context, cands []core.Candidate, act flight.Action) flight.Event {
	for len(cands) > 0 {
		pos, wait, ev := ex.reserveCandidate(cands)
		if ev.Kind != "" {
			return ev
		}
		if wait != nil {
			if !waitForChange(ctx, wait) {
				return contextEndEvent(ctx)
			}
			continue
		}
		grp := cands[pos].Group
		permit, err := ex.srv.cfg.Gate.Permit(grp, ex.srv.cfg.Now())
		if err == nil && ex.compatible(permit, act) {
			ex.permit = permit
			return flight.Event{Kind: flight.EventChosen, Group: grp, Spec: permit.Spec}
		}
		if err != nil {
			ex.detail = err.Error()
		}
		ex.releaseReservation(grp)
		cands = slices.Delete(cands, pos, pos+1)
	}
	return flight.Event{}
}

// partitionExcluded separates the candidates at which the request has already
// failed from the others.
func partitionExcluded(cands []core.Candidate, exclude []core.GroupName) (untried, failed []core.Candidate) {
	for _, cand := range cands {
		if slices.Contains(exclude, cand.Group) {
			failed = append(failed, cand)
		} else {
			untried = append(untried, cand)
		}
	}
	return untried, failed
}

// compatible returns whether the group's output may continue the parts that were
// already delivered.
func (ex *executor) compatible(permit core.Permit, act flight.Action) bool {
	spec, ok := act.Spec.Get()
	if !ok {
		return true
	}
	spec.Role = permit.Spec.Role
	return spec.Equal(permit.Spec)
}

// reserveCandidate reserves one of the candidates and returns its index. If the
// request is suspect and every candidate runs another suspect, it returns a
// channel to wait on instead; if the request is in quarantine, the event that
// ends it. Other requests avoid groups that run a suspect if possible.
func (ex *executor) reserveCandidate(cands []core.Candidate) (int, <-chan struct{}, flight.Event) {
	srv := ex.srv
	now := srv.cfg.Now()
	var decision crash.Decision
	var wait <-chan struct{}
	var quiet []int
	srv.withState(func(st *nodeState) {
		decision = st.suspects.Decide(ex.fingerprint, now)
		positions := srv.isolationCandidates(cands, decision.Disposition)
		for pos := range cands {
			cands[pos].InFlight = st.inFlight[cands[pos].Group]
		}
		quiet = st.withoutSuspects(cands, positions, now)
		if len(quiet) == 0 && decision.Disposition == crash.Isolated {
			wait = st.nextChange()
		}
	})
	ex.suspect = decision.Disposition == crash.Isolated
	if decision.Disposition == crash.Quarantined {
		return 0, nil, flight.Event{Kind: flight.EventNoGroup, Code: core.CodeQuarantined, RetryAfter: decision.QuarantinedUntil.Sub(now)}
	}
	if wait != nil {
		return 0, wait, flight.Event{}
	}
	pos := ex.selectCandidate(cands, quiet, now)
	srv.withState(func(st *nodeState) {
		ok := st.reserveGroup(ex.fingerprint, cands[pos].Group, srv.cfg.Now())
		if !ok {
			wait = st.nextChange()
		}
	})
	return pos, wait, flight.Event{}
}

// isolationCandidates returns the positions of the candidates that may receive a
// request of the disposition.
func (srv *Server) isolationCandidates(cands []core.Candidate, disposition crash.Disposition) []int {
	all := make([]int, 0, len(cands))
	var isolating []int
	for pos := range cands {
		all = append(all, pos)
		if disposition == crash.Isolated && srv.cfg.MayIsolate != nil && srv.cfg.MayIsolate(cands[pos].Group) {
			isolating = append(isolating, pos)
		}
	}
	if len(isolating) > 0 {
		return isolating
	}
	return all
}

// selectCandidate returns the index that the Chooser selects from the candidates
// at the given positions, or from all candidates if there are no positions.
func (ex *executor) selectCandidate(cands []core.Candidate, positions []int, now time.Time) int {
	var blocks []uint64
	if ex.srv.cfg.PrefixBlocks != nil {
		blocks = ex.srv.cfg.PrefixBlocks(ex.job.Prompt)
	}
	rnd := ex.srv.cfg.Rand()
	if len(positions) == 0 || len(positions) == len(cands) {
		return ex.srv.cfg.Chooser.Choose(cands, blocks, now, rnd)
	}
	subset := make([]core.Candidate, 0, len(positions))
	for _, pos := range positions {
		subset = append(subset, cands[pos])
	}
	return positions[ex.srv.cfg.Chooser.Choose(subset, blocks, now, rnd)]
}

func (ex *executor) releaseReservation(grp core.GroupName) {
	now := ex.srv.cfg.Now()
	ex.srv.withState(func(st *nodeState) { st.releaseGroup(ex.fingerprint, grp, endStopped, now) })
}

// choosePlain selects a random server of a plain service, preferably one at which
// the request has not failed.
func (ex *executor) choosePlain(act flight.Action) flight.Event {
	vms := ex.srv.cfg.Backends.Plains(ex.job.Service)
	if len(vms) == 0 {
		return flight.Event{Kind: flight.EventNoGroup, Code: core.CodeNoService}
	}
	untried := make([]core.VMName, 0, len(vms))
	for _, vm := range vms {
		if !slices.Contains(act.Exclude, core.GroupName(vm)) {
			untried = append(untried, vm)
		}
	}
	if len(untried) == 0 {
		untried = vms
	}
	ex.plainServer = untried[ex.srv.cfg.Rand()%uint64(len(untried))]
	return flight.Event{Kind: flight.EventChosen, Group: core.GroupName(ex.plainServer)}
}

// waitForChange waits for a change, for at most isolationPollInterval. It returns
// false if ctx ended.
func waitForChange(ctx context.Context, change <-chan struct{}) bool {
	timer := time.NewTimer(isolationPollInterval)
	defer timer.Stop()
	select {
	case <-change:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// noBackendCode returns the result code for a job without a backend server.
func noBackendCode(job core.Job) core.Code {
	if job.Service != "" {
		return core.CodeNoService
	}
	return core.CodeNoGroup
}
