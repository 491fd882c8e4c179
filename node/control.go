package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/membr"
	"kumquathinge/core/order"
	"kumquathinge/core/recd"
	"kumquathinge/core/repair"
	"kumquathinge/store"
)

// Timing of the control task.
const (
	controlInterval = 250 * time.Millisecond
	orderTimeout    = 2 * time.Second
	proposeTimeout  = 10 * time.Second
)

// zoneController is the task that sends orders and proposes assignments for
// the node's zone. Every node of the zone runs it; only the first in the
// zone's ranking proposes.
type zoneController struct {
	self       core.NodeName
	zone       core.Zone
	state      func() *clusterState
	vmPoller   *vmListPoller
	membership *membership
	prober     *engineProber
	gate       *gate.Gate
	store      *store.Store
	inFlight   func() map[core.GroupName]int
	log        *logrus.Logger
	now        func() time.Time
	repair     *repair.Controller
	wg         sync.WaitGroup
}

// run steps the policy until ctx ends.
func (ctl *zoneController) run(ctx context.Context) error {
	defer ctl.wg.Wait()
	return runEvery(ctx, controlInterval, func() { ctl.step(ctx) })
}

// step runs the policy once and starts its actions. The groups of an evacuated zone
// are left alone.
func (ctl *zoneController) step(ctx context.Context) {
	if !ctl.store.Status().Ready || ctl.state().evacuated {
		return
	}
	in := ctl.repairInput()
	for _, action := range ctl.repair.Step(in) {
		switch action := action.(type) {
		case repair.SendOrder:
			ctl.wg.Go(func() { ctl.sendOrder(ctx, action, in.Settings.OrderLease) })
		case repair.Propose:
			ctl.wg.Go(func() { ctl.propose(ctx, action.Record) })
		}
	}
}

// repairInput returns the present input of the policy.
func (ctl *zoneController) repairInput() repair.Input {
	// The status is read before the view, so that the view is not older than
	// the time at which it was confirmed.
	status := ctl.store.Status()
	state := ctl.state()
	list := ctl.vmPoller.list()
	nodes := ctl.membership.liveNodes()
	ranking := membr.Rank(string(ctl.zone), nodes.inZone(ctl.zone))
	return repair.Input{
		Now:             ctl.now(),
		Zone:            ctl.zone,
		IsProposer:      len(ranking) > 0 && ranking[0] == ctl.self,
		LogOK:           status.LogOK,
		ConfirmedAt:     status.ConfirmedAt,
		Assignments:     state.zoneAssignments,
		Holds:           state.holds,
		Desired:         state.desiredGroups,
		VMs:             list.vms,
		Statuses:        ctl.gate.Statuses(),
		DrainingVMs:     state.drainingVMs,
		LeavingVMs:      state.leavingVMs(list),
		FencingVMs:      state.fencingVMs(list),
		InFlightByGroup: zoneInFlight(nodes, ctl.self, ctl.zone, ctl.inFlight()),
		Settings:        state.repairSettings,
	}
}

// zoneInFlight returns the number of in-flight requests by group, summed over
// the nodes of the zone.
func zoneInFlight(nodes *liveNodes, self core.NodeName, zone core.Zone, own map[core.GroupName]int) map[core.GroupName]int {
	out := make(map[core.GroupName]int, len(own))
	for group, num := range own {
		out[group] += num
	}
	for _, hb := range nodes.heartbeats {
		if hb.Node == self || hb.Zone != zone {
			continue
		}
		for group, num := range hb.InFlightByGroup {
			out[group] += num
		}
	}
	return out
}

// sendOrder sends an order to a backend server and logs the result.
func (ctl *zoneController) sendOrder(ctx context.Context, send repair.SendOrder, lease time.Duration) {
	fields := logrus.Fields{
		"event":  "order",
		"vm":     send.VM,
		"group":  send.Order.Group,
		"action": send.Order.Action,
		"number": send.Order.FencingToken,
	}
	eng, err := ctl.prober.engine(send.VM)
	if err == nil {
		req := send.Request(ctl.store.Status().ConfirmedAt, ctl.now(), lease)
		err = ctl.sendWithinLease(ctx, eng, send, req)
	}
	entry := ctl.log.WithFields(fields).WithField("code", core.CodeOf(err))
	if err != nil {
		entry.WithField("error", err.Error()).Warn("order failed")
		return
	}
	entry.Info("order sent")
}

// sendWithinLease sends the order if its lease allows it, and gives up when
// the lease ends.
func (ctl *zoneController) sendWithinLease(ctx context.Context, eng core.Engine, send repair.SendOrder, req order.Request) error {
	err := order.CheckSend(req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if leaseEnd, ok := order.Deadline(req); ok {
		var cancelLease context.CancelFunc
		ctx, cancelLease = context.WithDeadline(ctx, leaseEnd)
		defer cancelLease()
	}
	_, err = eng.Order(ctx, send.Order)
	return err
}

// propose appends one record and logs the decision.
func (ctl *zoneController) propose(ctx context.Context, rec recd.Record) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	decisions, err := ctl.store.Propose(ctx, rec)
	entry := ctl.log.WithFields(logrus.Fields{"event": "proposal", "record": rec.ID})
	if err != nil {
		entry.WithFields(logrus.Fields{"code": core.CodeOf(err), "error": err.Error()}).Warn("proposal not confirmed")
		return
	}
	logDecisions(entry, decisions)
}

// logDecisions logs the decisions on proposed records.
func logDecisions(entry *logrus.Entry, decisions []fold.Decision) {
	for _, decision := range decisions {
		entry.WithFields(logrus.Fields{
			"kind":   decision.Kind,
			"code":   decision.Code,
			"offset": decision.Offset,
			"detail": decision.Detail,
		}).Info("proposal decided")
	}
}
