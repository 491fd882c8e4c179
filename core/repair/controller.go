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
	history        *vmHistory
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
		history:        newVMHistory(),
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
	for vmName, status := range in.Statuses {
		state, ok := ctl.stateByVM[vmName]
		if !ok {
			state = &vmState{}
			ctl.stateByVM[vmName] = state
		}
		state.observe(status, in.Now, in.Settings.MaxProbeAge, ctl.history)
	}
	for vmName := range ctl.stateByVM {
		if _, ok := in.Statuses[vmName]; !ok {
			delete(ctl.stateByVM, vmName)
		}
	}
	for _, assignment := range in.Assignments {
		ctl.observeGroup(assignment, in.Now)
	}
	for group, proposal := range ctl.pendingByGroup {
		if proposal.basedOn != view.groupState(group) || in.Now.Sub(proposal.proposedAt) >= proposalRetryInterval {
			delete(ctl.pendingByGroup, group)
		}
	}
}

func (ctl *Controller) observeGroup(assignment core.Assignment, now time.Time) {
	phase, ok := ctl.phaseByGroup[assignment.Group]
	if !ok || phase.fencingToken != assignment.FencingToken || phase.phase != assignment.Phase {
		ctl.phaseByGroup[assignment.Group] = &groupPhase{fencingToken: assignment.FencingToken, phase: assignment.Phase, seenAt: now}
	}
}

// propose returns the action that proposes rec, unless another proposal for the
// group is pending. No other proposal may use vms until this one is settled.
func (ctl *Controller) propose(view *zoneView, group core.GroupName, rec recd.Record, vms []core.VMName) []Action {
	if _, ok := ctl.pendingByGroup[group]; ok {
		return nil
	}
	ctl.pendingByGroup[group] = pendingProposal{basedOn: view.groupState(group), proposedAt: view.in.Now, vms: vms}
	rec.ID = ctl.cfg.NewRecordID()
	rec.By = ctl.cfg.ProposedBy
	return []Action{Propose{Record: rec}}
}

// phaseSeenAt returns the time at which the phase of the assignment was first
// seen.
func (ctl *Controller) phaseSeenAt(assignment core.Assignment) time.Time {
	phase, ok := ctl.phaseByGroup[assignment.Group]
	if !ok {
		return time.Time{}
	}
	return phase.seenAt
}
