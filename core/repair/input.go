package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/order"
	"kumquathinge/core/recd"
)

// DesiredGroup is a group that the settings ask for. Domain, if set, is the fabric
// domain that it must be in.
type DesiredGroup struct {
	Group    core.GroupName
	Zone     core.Zone
	Domain   core.Domain
	Size     int
	Spec     core.Spec
	Enabled  bool
	Draining bool
}

// Settings are the settings of the repair policy. Downtime and Stranded weigh a
// second in which a group can't serve against a second in which one healthy VM
// is idle because its group is incomplete. ReturnWait is the time after which a
// missing member is taken to be lost unless experience says otherwise. Spares is the number of
// free VMs to leave in a domain where there is a choice. LoadsPerMinute is the
// zone's share of the weight store's rate. Lease is the order lease and Bound
// the dispatch bound.
type Settings struct {
	DowntimeWeight float64
	StrandedWeight float64
	ReturnTimeout  time.Duration
	Spares         int
	LoadsPerMinute float64
	OrderLease     time.Duration
	MaxProbeAge    time.Duration
}

// Input is what a node knows at Now. Confirmed is the instant before the last
// check that showed the view to be current, by the log or by all peers of the
// zone. ZoneAgrees states that all peers of the zone have the same state.
// Holds are the holds of the folded state; if nil, each assignment is taken to
// hold its VMs.
// Fencing names the VMs whose engines refuse old order numbers. Leaving and
// Draining name the VMs that are to be given up. InFlight counts the requests
// in progress on a group over all nodes of the zone.
type Input struct {
	Now             time.Time
	Zone            core.Zone
	IsProposer      bool
	LogOK           bool
	PeersAgree      bool
	ConfirmedAt     time.Time
	Assignments     []core.Assignment
	Holds           []fold.Hold
	Desired         []DesiredGroup
	VMs             []core.VM
	Statuses        map[core.VMName]gate.ServerStatus
	DrainingVMs     core.Set[core.VMName]
	LeavingVMs      core.Set[core.VMName]
	FencingVMs      core.Set[core.VMName]
	InFlightByGroup map[core.GroupName]int
	Settings        Settings
}

// Action is Propose or Send.
type Action interface{ action() }

// Propose asks for a record to be appended to the log.
type Propose struct {
	Record recd.Record
}

// SendOrder asks for an order to be sent to an engine. The sender must hold
// Request against order.May right before the send. Confirmed is that of the
// view from which the order was decided: what the node has learned since does
// not renew the right to send it.
type SendOrder struct {
	VM               core.VMName
	Order            core.Order
	SupportsFencing  bool
	ConfirmedAt      time.Time
	AssignmentSeenAt time.Time
}

var (
	_ Action = Propose{}
	_ Action = SendOrder{}
)

func (Propose) action()   {}
func (SendOrder) action() {}

// Request returns the request to hold against order.May at now. The earlier of
// confirmed and the confirmation of the order's own view counts.
func (send SendOrder) Request(confirmed, now time.Time, lease time.Duration) order.Request {
	if send.ConfirmedAt.Before(confirmed) {
		confirmed = send.ConfirmedAt
	}
	return order.Request{
		SupportsFencing:  send.SupportsFencing,
		ConfirmedAt:      confirmed,
		AssignmentSeenAt: send.AssignmentSeenAt,
		Now:              now,
		Lease:            lease,
	}
}
