package serve

import (
	"context"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/flight"
)

// isolationPoll bounds the wait of a suspect for a group without another one,
// beside the wake-up when a request ends.
const isolationPoll = 50 * time.Millisecond

// chooseAndStep answers flight.ActionChoose. A group that was reserved is given
// back if the machine does not dispatch to it.
func (drv *drive) chooseAndStep(ctx context.Context, act flight.Action) {
	ev := drv.choose(ctx, act)
	drv.step(ev)
	if ev.Kind != flight.EventChosen || drv.job.Service != "" {
		return
	}
	for _, one := range drv.todo {
		if one.Kind == flight.ActionDispatch {
			return
		}
	}
	drv.unreserve(ev.Group)
}

// choose picks a group that may be sent work
// now, reserves it, and takes the permit.
func (drv *drive) choose(ctx context.Context, act flight.Action) flight.Event {
	if ctx.Err() != nil {
		return endEvent(ctx)
	}
	if drv.nowhere {
		return flight.Event{Kind: flight.EventNoGroup, Code: noneCode(drv.job)}
	}
	if drv.job.Service != "" {
		return drv.choosePlain(act)
	}
	fresh, failed := split(drv.srv.cfg.Backends.Candidates(drv.job), act.Exclude)
	for _, cands := range [][]core.Candidate{fresh, failed} {
		ev := drv.chooseFrom(ctx, cands, act)
		if ev.Kind != "" {
			return ev
		}
	}
	return flight.Event{Kind: flight.EventNoGroup, Code: core.CodeNoGroup}
}

// chooseFrom picks one of the candidates. It returns no event if none of them
// may be sent the request.
func (drv *drive) chooseFrom(ctx context.Context, cands []core.Candidate, act flight.Action) flight.Event {
	for len(cands) > 0 {
		pos, wait, ev := drv.pick(cands)
		if ev.Kind != "" {
			return ev
		}
		if wait != nil {
			if !waitFor(ctx, wait) {
				return endEvent(ctx)
			}
			continue
		}
		grp := cands[pos].Group
		per, err := drv.srv.cfg.Gate.Permit(grp, drv.srv.cfg.Now())
		if err == nil && drv.fits(per, act) {
			drv.permit = per
			return flight.Event{Kind: flight.EventChosen, Group: grp, Spec: per.Spec}
		}
		if err != nil {
			drv.detail = err.Error()
		}
		drv.unreserve(grp)
		cands = slices.Delete(cands, pos, pos+1)
	}
	return flight.Event{}
}

// split parts the candidates into those that this request has not failed at and
// the others.
func split(cands []core.Candidate, exclude []core.GroupName) (fresh, failed []core.Candidate) {
	for _, cand := range cands {
		if slices.Contains(exclude, cand.Group) {
			failed = append(failed, cand)
		} else {
			fresh = append(fresh, cand)
		}
	}
	return fresh, failed
}

// fits reports whether the group's output may follow what was passed on.
func (drv *drive) fits(per core.Permit, act flight.Action) bool {
	spc, ok := act.Spec.Get()
	if !ok {
		return true
	}
	spc.Role = per.Spec.Role
	return spc.Equal(per.Spec)
}

// pick reserves one of the candidates and returns its index. A suspect gets a
// channel to wait on if each of them runs another suspect; a request in
// quarantine gets the event that ends it. Requests that are not suspect keep
// away from groups that run a suspect while there are others.
func (drv *drive) pick(cands []core.Candidate) (int, <-chan struct{}, flight.Event) {
	srv := drv.srv
	now := srv.cfg.Now()
	var dec crash.Decision
	var wait <-chan struct{}
	var calm []int
	srv.use(func(boo *books) {
		dec = boo.suspects.Decide(drv.print, now)
		poss := srv.isolated(cands, dec.Verdict)
		for pos := range cands {
			cands[pos].InFlight = boo.flying[cands[pos].Group]
		}
		calm = boo.calm(cands, poss, now)
		if len(calm) == 0 && dec.Verdict == crash.Isolated {
			wait = boo.wait()
		}
	})
	drv.suspect = dec.Verdict == crash.Isolated
	if dec.Verdict == crash.Quarantined {
		return 0, nil, flight.Event{Kind: flight.EventNoGroup, Code: core.CodeQuarantined, RetryAfter: dec.QuarantinedUntil.Sub(now)}
	}
	if wait != nil {
		return 0, wait, flight.Event{}
	}
	pos := drv.chooseAmong(cands, calm, now)
	srv.use(func(boo *books) {
		ok := boo.reserve(drv.print, cands[pos].Group, srv.cfg.Now())
		if !ok {
			wait = boo.wait()
		}
	})
	return pos, wait, flight.Event{}
}

// isolated returns the positions of the candidates that a request with the
// verdict may be sent to.
func (srv *Server) isolated(cands []core.Candidate, ver crash.Verdict) []int {
	all := make([]int, 0, len(cands))
	var own []int
	for pos := range cands {
		all = append(all, pos)
		if ver == crash.Isolated && srv.cfg.Isolate != nil && srv.cfg.Isolate(cands[pos].Group) {
			own = append(own, pos)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// chooseAmong asks the Chooser about the candidates at the positions poss, or
// about all if there are none.
func (drv *drive) chooseAmong(cands []core.Candidate, poss []int, now time.Time) int {
	var blocks []uint64
	if drv.srv.cfg.Blocks != nil {
		blocks = drv.srv.cfg.Blocks(drv.job.Prompt)
	}
	rnd := drv.srv.cfg.Rand()
	if len(poss) == 0 || len(poss) == len(cands) {
		return drv.srv.cfg.Chooser.Choose(cands, blocks, now, rnd)
	}
	sub := make([]core.Candidate, 0, len(poss))
	for _, pos := range poss {
		sub = append(sub, cands[pos])
	}
	return poss[drv.srv.cfg.Chooser.Choose(sub, blocks, now, rnd)]
}

func (drv *drive) unreserve(grp core.GroupName) {
	now := drv.srv.cfg.Now()
	drv.srv.use(func(boo *books) { boo.release(drv.print, grp, endStopped, now) })
}

// choosePlain picks a server of a plain service: a random one that this
// request has not failed at.
func (drv *drive) choosePlain(act flight.Action) flight.Event {
	vms := drv.srv.cfg.Backends.Plains(drv.job.Service)
	if len(vms) == 0 {
		return flight.Event{Kind: flight.EventNoGroup, Code: core.CodeNoService}
	}
	fresh := make([]core.VMName, 0, len(vms))
	for _, one := range vms {
		if !slices.Contains(act.Exclude, core.GroupName(one)) {
			fresh = append(fresh, one)
		}
	}
	if len(fresh) == 0 {
		fresh = vms
	}
	drv.plainVM = fresh[drv.srv.cfg.Rand()%uint64(len(fresh))]
	return flight.Event{Kind: flight.EventChosen, Group: core.GroupName(drv.plainVM)}
}

// waitFor waits for a change and reports false if ctx ended.
func waitFor(ctx context.Context, change <-chan struct{}) bool {
	tmr := time.NewTimer(isolationPoll)
	defer tmr.Stop()
	select {
	case <-change:
		return true
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// noneCode returns the code for a job that no backend server serves.
func noneCode(job core.Job) core.Code {
	if job.Service != "" {
		return core.CodeNoService
	}
	return core.CodeNoGroup
}
