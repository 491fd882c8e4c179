package repair

import (
	"slices"
	"time"

	"kumquathinge/core"
)

// Reasons of a retirement.
const (
	reasonUnwanted = "not wanted"
	reasonChanged  = "settings changed"
	reasonLeaving  = "member leaves"
	reasonReplace  = "member missing"
	reasonBreakUp  = "broken up for another group"
)

// rollShare of the groups of a model may be out of service for a planned
// change, and always one.
const rollShare = 0.25

// reason returns why the assignment should be retired now, empty if it should
// not.
func (ctl *Controller) reason(vew *view, asn core.Assignment) string {
	wnt, ok := vew.want[asn.Group]
	if !ok || !wnt.Enabled || wnt.Draining {
		return reasonUnwanted
	}
	if slices.ContainsFunc(asn.VMs, vew.leaving) {
		if vew.in.InFlight[asn.Group] > 0 || ctl.awaits(vew, wnt, asn) {
			return ""
		}
		return reasonLeaving
	}
	if changed(wnt, asn) && ctl.mayRoll(vew, asn) {
		return reasonChanged
	}
	if cse, missing := ctl.lacking(vew, wnt, asn); missing && ctl.cfg.Policy.Replace(cse) {
		return reasonReplace
	}
	if ctl.repairs(vew, asn) {
		return reasonReplace
	}
	if ctl.donates(vew, asn) {
		return reasonBreakUp
	}
	return ""
}

// awaits reports whether an assignment with leaving members is kept until their
// VMs return: no others are there to build it anew, and the settings do not
// ask for the VMs to be emptied.
func (ctl *Controller) awaits(vew *view, wnt Wanted, asn core.Assignment) bool {
	cse := Case{Size: len(asn.VMs), Leaving: true, Weights: vew.in.Weights}
	for _, vmn := range asn.VMs {
		if vew.in.Draining.Has(vmn) {
			return false
		}
		if vew.leaving(vmn) {
			cse.Missing++
		}
	}
	cse.Placed = ctl.placeable(vew, wnt, asn, cse.Missing)
	return !ctl.cfg.Policy.Replace(cse)
}

func changed(wnt Wanted, asn core.Assignment) bool {
	return !wnt.Spec.Equal(asn.Spec) || wnt.Size != len(asn.VMs) || !wnt.allows(asn.Domain)
}

// mayRoll reports whether another group of the model may go out of service.
func (ctl *Controller) mayRoll(vew *view, asn core.Assignment) bool {
	if !vew.ready(asn) {
		return true
	}
	all, down := 0, 0
	for _, wnt := range vew.wanted {
		if wnt.Spec.Model != asn.Spec.Model || !wnt.Enabled || wnt.Draining {
			continue
		}
		all++
		oth := vew.asns[wnt.Group]
		_, pending := ctl.proposed[wnt.Group]
		if pending || oth.Phase != core.PhaseAssigned || !vew.ready(oth) {
			down++
		}
	}
	return down < max(1, int(float64(all)*rollShare))
}

// lacking describes an assignment with missing members and reports whether it
// has any.
func (ctl *Controller) lacking(vew *view, wnt Wanted, asn core.Assignment) (Case, bool) {
	cse := Case{Size: len(asn.VMs), Weights: vew.in.Weights}
	for _, vmn := range asn.VMs {
		gone, ok := ctl.vms[vmn].goneFor(vew.in.Now)
		if !ok {
			continue
		}
		cse.Missing++
		cse.Gone = max(cse.Gone, gone)
	}
	if cse.Missing == 0 {
		return cse, false
	}
	cse.Placed = ctl.placeable(vew, wnt, asn, cse.Missing)
	cse.Reload = ctl.past.load(asn.Spec.Model)
	cse.Rebuild = ctl.rebuild(vew, wnt, cse.Reload)
	cse.known = len(ctl.past.returns)
	cse.beyond = ctl.past.beyond(cse.Gone, vew.in.Weights.ReturnWait)
	return cse, true
}

// placeable reports whether the free VMs, together with the members that are
// left, make up the group in one domain.
func (ctl *Controller) placeable(vew *view, wnt Wanted, asn core.Assignment, missing int) bool {
	for dom, vms := range ctl.look(vew).free {
		have := len(vms)
		if dom == asn.Domain {
			have += len(asn.VMs) - missing
		}
		if have >= wnt.Size && wnt.allows(dom) {
			return true
		}
	}
	return false
}

// rebuild estimates the time from a retirement until the group serves again:
// three records and the unload, two bounds, the queue of the weight store, and
// the load itself.
func (ctl *Controller) rebuild(vew *view, wnt Wanted, load time.Duration) time.Duration {
	steps := 3*recordTime + unloadTime + 2*vew.in.Weights.Bound
	rate := vew.in.Weights.LoadsPerMinute
	if rate > 0 {
		steps += time.Duration(float64(wnt.Size) / rate * float64(time.Minute))
	}
	return steps + load
}

const (
	recordTime = time.Second
	unloadTime = 2 * time.Second
)
