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
// records.
type Config struct {
	ID func() core.RecordID
	By string
}

// Controller is the repair policy of one zone at one node. It is not safe for
// concurrent use.
type Controller struct {
	cfg      Config
	vms      map[core.VMName]*track
	grps     map[core.GroupName]*groupTrack
	proposed map[core.GroupName]proposal
	budget   budget
}

// track is what a Controller remembers of a VM. Idle is the instant since
// which every probe showed it empty; gone the one since which none answered.
type track struct {
	idle    time.Time
	gone    time.Time
	inc     core.Incarnation
	ordered time.Time
	number  core.Offset
	action  core.Action
}

// groupTrack is the instant at which a phase of an assignment was first seen.
type groupTrack struct {
	order core.Offset
	phase core.Phase
	seen  time.Time
}

// proposal is a record that was proposed and has had no effect so far.
type proposal struct {
	base  core.Offset
	phase core.Phase
	at    time.Time
	vms   []core.VMName
}

// New returns a Controller that has seen nothing. It panics if cfg.ID is nil.
func New(cfg Config) *Controller {
	if cfg.ID == nil {
		panic("repair: no record IDs")
	}
	return &Controller{
		cfg:      cfg,
		vms:      make(map[core.VMName]*track),
		grps:     make(map[core.GroupName]*groupTrack),
		proposed: make(map[core.GroupName]proposal),
	}
}

// Step returns what to do at in.Now. Calls must come in the order of Now, at
// every node of the zone and not only at its proposer, so that a node that
// takes over knows since when members are missing. A node that is not the
// proposer gets no actions.
func (ctl *Controller) Step(in Input) []Action {
	ctl.observe(&in)
	if !in.Proposer {
		return nil
	}
	vew := newView(&in)
	out := ctl.orders(vew)
	if in.LogOK {
		out = append(out, ctl.proposals(vew)...)
	}
	return out
}

func (ctl *Controller) observe(in *Input) {
	for vmn, sgt := range in.Sights {
		trk, ok := ctl.vms[vmn]
		if !ok {
			trk = &track{}
			ctl.vms[vmn] = trk
		}
		trk.observe(sgt, in.Now, in.Weights.Bound)
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
		if in.Now.Sub(pro.at) >= proposeRetry {
			delete(ctl.proposed, grp)
		}
	}
}

func (ctl *Controller) observeGroup(asn core.Assignment, now time.Time) {
	trk, ok := ctl.grps[asn.Group]
	if !ok || trk.order != asn.Order || trk.phase != asn.Phase {
		ctl.grps[asn.Group] = &groupTrack{order: asn.Order, phase: asn.Phase, seen: now}
	}
	pro, ok := ctl.proposed[asn.Group]
	if ok && (pro.base != asn.Order || pro.phase != asn.Phase) {
		delete(ctl.proposed, asn.Group)
	}
}

// propose returns the action for rec unless one for the group is under way.
func (ctl *Controller) propose(vew *view, grp core.GroupName, rec recd.Record, vms []core.VMName) []Action {
	if _, ok := ctl.proposed[grp]; ok {
		return nil
	}
	asn := vew.asns[grp]
	ctl.proposed[grp] = proposal{base: asn.Order, phase: asn.Phase, at: vew.in.Now, vms: vms}
	rec.ID = ctl.cfg.ID()
	rec.By = ctl.cfg.By
	return []Action{Propose{Record: rec}}
}
