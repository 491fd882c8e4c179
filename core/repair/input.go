package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/order"
	"kumquathinge/core/recd"
)

// Wanted is a group that the settings ask for. Domain, if set, is the fabric
// domain that it must be in.
type Wanted struct {
	Group    core.GroupName
	Zone     core.Zone
	Domain   core.Domain
	Size     int
	Spec     core.Spec
	Enabled  bool
	Draining bool
}

// Weights are the settings of the repair policy. Downtime and Stranded weigh a
// second in which a group can't serve against a second in which one healthy VM
// is idle because its group is incomplete. ReturnWait is the time after which a
// missing member is taken to be lost unless experience says otherwise. Spares is the number of
// free VMs to leave in a domain where there is a choice. LoadsPerMinute is the
// zone's share of the weight store's rate. Lease is the order lease and Bound
// the dispatch bound.
type Weights struct {
	Downtime       float64
	Stranded       float64
	ReturnWait     time.Duration
	Spares         int
	LoadsPerMinute float64
	Lease          time.Duration
	Bound          time.Duration
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
	Now         time.Time
	Zone        core.Zone
	Proposer    bool
	LogOK       bool
	ZoneAgrees  bool
	Confirmed   time.Time
	Assignments []core.Assignment
	Holds       []fold.Hold
	Wanted      []Wanted
	VMs         []core.VM
	Sights      map[core.VMName]gate.ServerStatus
	Draining    core.Set[core.VMName]
	Leaving     core.Set[core.VMName]
	Fencing     core.Set[core.VMName]
	InFlight    map[core.GroupName]int
	Weights     Weights
}

// Action is Propose or Send.
type Action interface{ action() }

// Propose asks for a record to be appended to the log.
type Propose struct {
	Record recd.Record
}

// Send asks for an order to be sent to an engine. The sender must hold
// Request against order.May right before the send. Confirmed is that of the
// view from which the order was decided: what the node has learned since does
// not renew the right to send it.
type Send struct {
	VM           core.VMName
	Order        core.Order
	Fencing      bool
	Confirmed    time.Time
	AssignedSeen time.Time
}

var (
	_ Action = Propose{}
	_ Action = Send{}
)

func (Propose) action() {}
func (Send) action()    {}

// Request returns the request to hold against order.May at now. The earlier of
// confirmed and the confirmation of the order's own view counts.
func (snd Send) Request(confirmed, now time.Time, lease time.Duration) order.Request {
	if snd.Confirmed.Before(confirmed) {
		confirmed = snd.Confirmed
	}
	return order.Request{
		SupportsFencing:  snd.Fencing,
		ConfirmedAt:      confirmed,
		AssignmentSeenAt: snd.AssignedSeen,
		Now:              now,
		Lease:            lease,
	}
}
