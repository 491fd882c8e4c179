package repair

import (
	"slices"
	"time"

	"kumquathinge/core"
)

// Reasons of a retirement.
const (
	reasonUnwanted = "not wanted"
	reasonSpec     = "settings changed"
	reasonLeaving  = "member leaves"
	reasonReplace  = "member replaced"
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
		if vew.in.InFlight[asn.Group] > 0 {
			return ""
		}
		return reasonLeaving
	}
	if changed(wnt, asn) && ctl.mayRoll(vew, asn) {
		return reasonSpec
	}
	return ctl.reasonMissing(vew, asn)
}

func changed(wnt Wanted, asn core.Assignment) bool {
	return !wnt.Spec.Equal(asn.Spec) || wnt.Size != len(asn.VMs) || (wnt.Domain != "" && wnt.Domain != asn.Domain)
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

// reasonMissing decides whether to go on waiting for missing members.
func (ctl *Controller) reasonMissing(vew *view, asn core.Assignment) string {
	missing, longest := ctl.missing(vew, asn)
	if missing == 0 || longest < vew.in.Weights.ReturnWait {
		return ""
	}
	if len(ctl.free(vew)[asn.Domain]) >= missing {
		return reasonReplace
	}
	return ""
}

// missing returns the number of members that do not answer and the time for
// which the first of them has been missing.
func (ctl *Controller) missing(vew *view, asn core.Assignment) (int, time.Duration) {
	num := 0
	var longest time.Duration
	for _, vmn := range asn.VMs {
		if gone := ctl.goneFor(vew, vmn, asn); gone > 0 {
			num++
			longest = max(longest, gone)
		}
	}
	return num, longest
}

// goneFor returns how long the member has not answered. A member that was
// never probed counts from the assignment on.
func (ctl *Controller) goneFor(vew *view, vmn core.VMName, asn core.Assignment) time.Duration {
	if trk, ok := ctl.vms[vmn]; ok {
		return trk.goneFor(vew.in.Now)
	}
	return max(1, vew.in.Now.Sub(ctl.seen(asn)))
}

// seen returns the instant at which the phase of the assignment was first
// seen.
func (ctl *Controller) seen(asn core.Assignment) time.Time {
	trk, ok := ctl.grps[asn.Group]
	if !ok {
		return time.Time{}
	}
	return trk.seen
}
