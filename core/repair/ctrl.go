package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

const (
	// proposalRetryInterval is the time after which a proposal without effect is made
	// anew.
	proposalRetryInterval = 5 * time.Second

	// orderRetryInterval is the time after which an order without effect is sent anew.
	orderRetryInterval = 3 * time.Second
)

// Config holds what a Controller needs of its node. ID returns a record ID
// that no record had before, on this node or another. By is written into the
// records. Policy is Weighted if nil.
type Config struct {
	NewRecordID func() core.RecordID
	ProposedBy  string
	Policy      Policy
}

// Controller is the repair policy of one zone at one node. It is not safe for
// concurrent use.
type Controller struct {
	cfg            Config
	stateByVM      map[core.VMName]*vmState
	phaseByGroup   map[core.GroupName]*groupPhase
	pendingByGroup map[core.GroupName]pendingProposal
	history        *absenceHistory
	loadLimiter    loadLimiter
}

// groupPhase is the instant at which a phase of an assignment was first seen.
type groupPhase struct {
	fencingToken core.Offset
	phase        core.Phase
	seenAt       time.Time
}

// groupState is what a proposal for a group was made from.
type groupState struct {
	fencingToken core.Offset
	phase        core.Phase
	heldVMs      int
}

// pendingProposal is a record that was proposed and has had no effect so far.
type pendingProposal struct {
	basedOn    groupState
	proposedAt time.Time
	vms        []core.VMName
}

// New returns a Controller that has seen nothing. It panics if cfg.ID is nil.
func New(cfg Config) *Controller {
	if cfg.NewRecordID == nil {
		panic("repair: no record IDs")
	}
	if cfg.Policy == nil {
		cfg.Policy = CostBased{}
	}
	return &Controller{
		cfg:            cfg,
		stateByVM:      make(map[core.VMName]*vmState),
		phaseByGroup:   make(map[core.GroupName]*groupPhase),
		pendingByGroup: make(map[core.GroupName]pendingProposal),
		history:        newAbsenceHistory(),
	}
}

// Step returns what to do at in.Now. Calls must come in the order of Now, at
// every node of the zone and not only at its proposer, so that a node that
// takes over knows since when members are missing. A node that is not the
// proposer gets no actions.
func (ctl *Controller) Step(in Input) []Action {
	view := newZoneView(&in)
	ctl.observe(view)
	if !in.IsProposer {
		return nil
	}
	out := ctl.orders(view)
	if in.LogOK {
		out = append(out, ctl.proposals(view)...)
	}
	return out
}

func (ctl *Controller) observe(view *zoneView) {
	in := view.in
	for vmn, status := range in.Statuses {
		state, ok := ctl.stateByVM[vmn]
		if !ok {
			state = &vmState{}
			ctl.stateByVM[vmn] = state
		}
		state.observe(status, in.Now, in.Settings.MaxProbeAge, ctl.history)
	}
	for vmn := range ctl.stateByVM {
		if _, ok := in.Statuses[vmn]; !ok {
			delete(ctl.stateByVM, vmn)
		}
	}
	for _, asn := range in.Assignments {
		ctl.observeGroup(asn, in.Now)
	}
	for grp, proposal := range ctl.pendingByGroup {
		if proposal.basedOn != view.groupState(grp) || in.Now.Sub(proposal.proposedAt) >= proposalRetryInterval {
			delete(ctl.pendingByGroup, grp)
		}
	}
}

func (ctl *Controller) observeGroup(asn core.Assignment, now time.Time) {
	phase, ok := ctl.phaseByGroup[asn.Group]
	if !ok || phase.fencingToken != asn.FencingToken || phase.phase != asn.Phase {
		ctl.phaseByGroup[asn.Group] = &groupPhase{fencingToken: asn.FencingToken, phase: asn.Phase, seenAt: now}
	}
}

// propose returns the action for rec unless one for the group is under way.
// Vms are those that no other proposal may use meanwhile.
func (ctl *Controller) propose(view *zoneView, grp core.GroupName, rec recd.Record, vms []core.VMName) []Action {
	if _, ok := ctl.pendingByGroup[grp]; ok {
		return nil
	}
	ctl.pendingByGroup[grp] = pendingProposal{basedOn: view.groupState(grp), proposedAt: view.in.Now, vms: vms}
	rec.ID = ctl.cfg.NewRecordID()
	rec.By = ctl.cfg.ProposedBy
	return []Action{Propose{Record: rec}}
}

// phaseSeenAt returns the instant at which the phase of the assignment was first
// seen.
func (ctl *Controller) phaseSeenAt(asn core.Assignment) time.Time {
	phase, ok := ctl.phaseByGroup[asn.Group]
	if !ok {
		return time.Time{}
	}
	return phase.seenAt
}
