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

// controller is the task that orders and proposes for the node's zone. Every
// node of the zone runs it; only the first of the ranking acts.
type controller struct {
	self   core.NodeName
	zone   core.Zone
	world  func() *world
	lst    *lister
	bet    *beater
	prb    *prober
	gat    *gate.Gate
	sto    *store.Store
	flying func() map[core.GroupName]int
	log    *logrus.Logger
	now    func() time.Time
	rep    *repair.Controller
	wg     sync.WaitGroup
}

// run steps the policy until ctx ends.
func (ctl *controller) run(ctx context.Context) error {
	defer ctl.wg.Wait()
	return every(ctx, controlInterval, func() { ctl.step(ctx) })
}

// step runs the policy once and carries its actions out.
func (ctl *controller) step(ctx context.Context) {
	if !ctl.sto.Status().Ready {
		return
	}
	inp := ctl.input()
	for _, act := range ctl.rep.Step(inp) {
		switch act := act.(type) {
		case repair.SendOrder:
			ctl.wg.Go(func() { ctl.send(ctx, act, inp.Settings.OrderLease) })
		case repair.Propose:
			ctl.wg.Go(func() { ctl.propose(ctx, act.Record) })
		}
	}
}

// input returns what the node knows now.
func (ctl *controller) input() repair.Input {
	// The status is read first: the view that is decided from must not be
	// older than its confirmation.
	sta := ctl.sto.Status()
	wor := ctl.world()
	ros := ctl.lst.roster()
	cir := ctl.bet.circle()
	rnk := membr.Rank(string(ctl.zone), cir.inZone(ctl.zone))
	return repair.Input{
		Now:             ctl.now(),
		Zone:            ctl.zone,
		IsProposer:      len(rnk) > 0 && rnk[0] == ctl.self,
		LogOK:           sta.LogOK,
		ConfirmedAt:     sta.Confirmed,
		Assignments:     wor.assigned,
		Holds:           wor.holds,
		Desired:         wor.wanted,
		VMs:             ros.vms,
		Statuses:        ctl.gat.Statuses(),
		DrainingVMs:     wor.drainVMs,
		LeavingVMs:      wor.leaving(ros),
		FencingVMs:      wor.fenced(ros),
		InFlightByGroup: zoneInFlight(cir, ctl.self, ctl.zone, ctl.flying()),
		Settings:        wor.weights,
	}
}

// zoneInFlight adds up the requests in progress by group over the zone's
// nodes.
func zoneInFlight(cir *circle, self core.NodeName, zon core.Zone, own map[core.GroupName]int) map[core.GroupName]int {
	out := make(map[core.GroupName]int, len(own))
	for grp, num := range own {
		out[grp] += num
	}
	for _, bea := range cir.live {
		if bea.Node == self || bea.Zone != zon {
			continue
		}
		for grp, num := range bea.InFlightByGroup {
			out[grp] += num
		}
	}
	return out
}

// send sends one order if it may be sent now.
func (ctl *controller) send(ctx context.Context, snd repair.SendOrder, lease time.Duration) {
	fld := logrus.Fields{
		"event":  "order",
		"vm":     snd.VM,
		"group":  snd.Order.Group,
		"action": snd.Order.Action,
		"number": snd.Order.FencingToken,
	}
	eng, err := ctl.prb.engine(snd.VM)
	if err == nil {
		req := snd.Request(ctl.sto.Status().Confirmed, ctl.now(), lease)
		err = ctl.sendNow(ctx, eng, snd, req)
	}
	ent := ctl.log.WithFields(fld).WithField("code", core.CodeOf(err))
	if err != nil {
		ent.WithField("error", err.Error()).Warn("order failed")
		return
	}
	ent.Info("order sent")
}

// sendNow holds the order against its lease and sends it before that ends.
func (ctl *controller) sendNow(ctx context.Context, eng core.Engine, snd repair.SendOrder, req order.Request) error {
	err := order.CheckSend(req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if end, ok := order.Deadline(req); ok {
		var undo context.CancelFunc
		ctx, undo = context.WithDeadline(ctx, end)
		defer undo()
	}
	_, err = eng.Order(ctx, snd.Order)
	return err
}

// propose appends one record and logs the verdict.
func (ctl *controller) propose(ctx context.Context, rec recd.Record) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ves, err := ctl.sto.Propose(ctx, rec)
	ent := ctl.log.WithFields(logrus.Fields{"event": "proposal", "record": rec.ID})
	if err != nil {
		ent.WithFields(logrus.Fields{"code": core.CodeOf(err), "error": err.Error()}).Warn("proposal not settled")
		return
	}
	logVerdict(ent, ves)
}

// logVerdict logs what the fold decided.
func logVerdict(ent *logrus.Entry, ves []fold.Verdict) {
	for _, ver := range ves {
		ent.WithFields(logrus.Fields{
			"kind":   ver.Kind,
			"code":   ver.Code,
			"offset": ver.Offset,
			"detail": ver.Detail,
		}).Info("proposal settled")
	}
}
