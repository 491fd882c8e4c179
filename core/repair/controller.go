package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

const (
	// proposalRetryInterval is the time after which a proposal without effect
	// is repeated.
	proposalRetryInterval = 5 * time.Second

	// orderRetryInterval is the time after which an order without effect is
	// sent again.
	orderRetryInterval = 3 * time.Second
)

// Config configures a Controller. NewRecordID returns a record ID that is
// unique across all nodes. ProposedBy is the author of the proposed records. A
// nil Policy stands for CostBased.
type Config struct {
	NewRecordID func() core.RecordID
	ProposedBy  string
	Policy      Policy
}

// Controller runs the repair policy for one zone at one node. It is not safe
// for concurrent use.
type Controller struct {
	cfg            Config
	stateByVM      map[core.VMName]*vmState
	phaseByGroup   map[core.GroupName]*groupPhase
	pendingByGroup map[core.GroupName]pendingProposal
	history        *absenceHistory
	loadLimiter    loadLimiter
}

// groupPhase is the current phase of a group's assignment, with the time at
// which it was first seen.
type groupPhase struct {
	fencingToken core.Offset
	phase        core.Phase
	seenAt       time.Time
}

// groupState is the state of a group on which a proposal is based. The proposal
// is settled once the state differs.
type groupState struct {
	fencingToken core.Offset
	phase        core.Phase
	heldVMs      int
}

// pendingProposal is a proposed record that has had no effect so far. No other
// proposal may use its VMs.
type pendingProposal struct {
	basedOn    groupState
	proposedAt time.Time
	vms        []core.VMName
}

// New returns a Controller without history. It panics if cfg.NewRecordID is
// nil.
func New(cfg Config) *Controller {
	if cfg.NewRecordID == nil {
		panic("repair: Config.NewRecordID is nil")
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

// Step returns the actions to take at in.Now, none if the node is not the
// proposer. Calls must be in the order of Now. Every node of the zone must call
// Step, not only the proposer, so that a node that takes over has recorded
// since when members are missing.
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

// propose returns the action that proposes rec, unless another proposal for the
// group is pending. No other proposal may use vms until this one is settled.
func (ctl *Controller) propose(view *zoneView, grp core.GroupName, rec recd.Record, vms []core.VMName) []Action {
	if _, ok := ctl.pendingByGroup[grp]; ok {
		return nil
	}
	ctl.pendingByGroup[grp] = pendingProposal{basedOn: view.groupState(grp), proposedAt: view.in.Now, vms: vms}
	rec.ID = ctl.cfg.NewRecordID()
	rec.By = ctl.cfg.ProposedBy
	return []Action{Propose{Record: rec}}
}

// phaseSeenAt returns the time at which the phase of the assignment was first
// seen.
func (ctl *Controller) phaseSeenAt(asn core.Assignment) time.Time {
	phase, ok := ctl.phaseByGroup[asn.Group]
	if !ok {
		return time.Time{}
	}
	return phase.seenAt
}
