package repair

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/order"
	"kumquathinge/core/recd"
)

// DesiredGroup is a group that the settings define. If Domain is set, the group
// must be placed in that fabric domain.
type DesiredGroup struct {
	Group    core.GroupName
	Zone     core.Zone
	Domain   core.Domain
	Size     int
	Spec     core.Spec
	Enabled  bool
	Draining bool
}

// Settings are the settings of the repair policy.
//
// DowntimeWeight is the cost of one second in which a group can't serve,
// StrandedWeight that of one second in which a healthy VM is idle because its
// group is incomplete. ReturnTimeout is the time after which a missing member
// is replaced until enough absences have been observed. Spares is the number of
// free VMs to keep in a domain if there is a choice of domains. LoadsPerMinute
// is the zone's share of the weight store's rate, zero if unlimited. OrderLease
// is the lease of package order, MaxProbeAge the maximum probe age of package
// gate.
type Settings struct {
	DowntimeWeight float64
	StrandedWeight float64
	ReturnTimeout  time.Duration
	Spares         int
	LoadsPerMinute float64
	OrderLease     time.Duration
	MaxProbeAge    time.Duration
}

// Input is a node's view of the zone at Now.
//
// LogOK states that the log is reachable, PeersAgree that all peers of the zone
// have the same state. ConfirmedAt is the time just before the last check, with
// the log or with all peers of the zone, that showed the view to be current.
// Holds are the VMs that the folded state marks as held by a group; if nil,
// each assignment is assumed to hold its VMs. The groups may no longer use the
// VMs in DrainingVMs and LeavingVMs. FencingVMs are the VMs whose engines
// reject old fencing tokens. InFlightByGroup counts the requests in flight at
// all nodes of the zone.
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

// Action is a Propose or a SendOrder.
type Action interface{ action() }

// Propose is the action to append a record to the log.
type Propose struct {
	Record recd.Record
}

// SendOrder is the action to send an order to an engine. The sender must check
// Request with order.CheckSend right before the send. ConfirmedAt belongs to
// the view on which the order is based; a later confirmation does not extend
// the right to send the order.
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

// Request returns the argument for order.CheckSend at now. It uses the earlier
// of confirmed and send.ConfirmedAt.
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
