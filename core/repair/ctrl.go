package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

const (
	// proposeRetry is the time after which a proposal without effect is made
	// anew.
	proposeRetry = 5 * time.Second

	// orderRetry is the time after which an order without effect is sent anew.
	orderRetry = 3 * time.Second
)

// Config holds what a Controller needs of its node. ID returns a record ID
// that no record had before, on this node or another. By is written into the
// records. Policy is Weighted if nil.
type Config struct {
	ID     func() core.RecordID
	By     string
	Policy Policy
}

// Controller is the repair policy of one zone at one node. It is not safe for
// concurrent use.
type Controller struct {
	cfg      Config
	vms      map[core.VMName]*track
	grps     map[core.GroupName]*groupTrack
	proposed map[core.GroupName]proposal
	past     *history
	budget   budget
}

// groupTrack is the instant at which a phase of an assignment was first seen.
type groupTrack struct {
	order core.Offset
	phase core.Phase
	seen  time.Time
}

// premise is what a proposal for a group was made from.
type premise struct {
	order core.Offset
	phase core.Phase
	holds int
}

// proposal is a record that was proposed and has had no effect so far.
type proposal struct {
	from premise
	at   time.Time
	vms  []core.VMName
}

// New returns a Controller that has seen nothing. It panics if cfg.ID is nil.
func New(cfg Config) *Controller {
	if cfg.ID == nil {
		panic("repair: no record IDs")
	}
	if cfg.Policy == nil {
		cfg.Policy = Weighted{}
	}
	return &Controller{
		cfg:      cfg,
		vms:      make(map[core.VMName]*track),
		grps:     make(map[core.GroupName]*groupTrack),
		proposed: make(map[core.GroupName]proposal),
		past:     newHistory(),
	}
}

// Step returns what to do at in.Now. Calls must come in the order of Now, at
// every node of the zone and not only at its proposer, so that a node that
// takes over knows since when members are missing. A node that is not the
// proposer gets no actions.
func (ctl *Controller) Step(in Input) []Action {
	vew := newView(&in)
	ctl.observe(vew)
	if !in.Proposer {
		return nil
	}
	out := ctl.orders(vew)
	if in.LogOK {
		out = append(out, ctl.proposals(vew)...)
	}
	return out
}

func (ctl *Controller) observe(vew *view) {
	in := vew.in
	for vmn, sgt := range in.Sights {
		trk, ok := ctl.vms[vmn]
		if !ok {
			trk = &track{}
			ctl.vms[vmn] = trk
		}
		trk.observe(sgt, in.Now, in.Weights.Bound, ctl.past)
	}
	for vmn := range ctl.vms {
		if _, ok := in.Sights[vmn]; !ok {
			delete(ctl.vms, vmn)
		}
	}
	for _, asn := range in.Assignments {
		ctl.observeGroup(asn, in.Now)
	}
	for grp, pro := range ctl.proposed {
		if pro.from != vew.premise(grp) || in.Now.Sub(pro.at) >= proposeRetry {
			delete(ctl.proposed, grp)
		}
	}
}

func (ctl *Controller) observeGroup(asn core.Assignment, now time.Time) {
	trk, ok := ctl.grps[asn.Group]
	if !ok || trk.order != asn.FencingToken || trk.phase != asn.Phase {
		ctl.grps[asn.Group] = &groupTrack{order: asn.FencingToken, phase: asn.Phase, seen: now}
	}
}

// propose returns the action for rec unless one for the group is under way.
// Vms are those that no other proposal may use meanwhile.
func (ctl *Controller) propose(vew *view, grp core.GroupName, rec recd.Record, vms []core.VMName) []Action {
	if _, ok := ctl.proposed[grp]; ok {
		return nil
	}
	ctl.proposed[grp] = proposal{from: vew.premise(grp), at: vew.in.Now, vms: vms}
	rec.ID = ctl.cfg.ID()
	rec.By = ctl.cfg.By
	return []Action{Propose{Record: rec}}
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
