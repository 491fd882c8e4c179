package entry

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/evac"
	"kumquathinge/core/keyed"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// minEvacuatedRetryAfter and maxEvacuatedRetryAfter spread the retries of callers whose
	// only servers are in evacuated zones. Evacuations last for longer than a deadline, and
	// groups of other zones take seconds to form.
	minEvacuatedRetryAfter = 2 * time.Second
	maxEvacuatedRetryAfter = 4 * time.Second
)

// newOperatorReplica returns the copy of the operators' topic. A known evacuation stays
// in force when the store comes back from a copy without its record.
func newOperatorReplica() *keyed.Replica {
	return keyed.NewReplica(replacesConfig).KeepAbsent(func(key string) bool {
		_, ok := platform.EvacuatedZone(key)
		return ok
	})
}

// operatorApplier applies the changes of the operators' topic.
type operatorApplier struct {
	state      *sharedState
	evacuation *evacuationApplier
	config     *configApplier
	// held is the first configuration, which is not applied before the whole content is
	// known: a node must not serve before it knows which zones are evacuated.
	held *site.Record
}

func (applier *operatorApplier) apply(change topicChange) {
	applier.evacuation.apply(change)
	if applier.state.table.Load() == nil && applier.evacuation.follower().incomplete() {
		for _, rec := range change.Records() {
			if rec.Key == platform.KeyConfig {
				applier.held = &rec
			}
		}
		return
	}
	if held := applier.held; held != nil {
		applier.held = nil
		applier.config.applyRecord(*held)
	}
	applier.config.apply(change)
}

// evacuationApplier publishes the evacuations that the operators' topic requests.
type evacuationApplier struct {
	// mtx guards zones and started. The follower of the topic and heartbeats change them.
	mtx   sync.Mutex
	zones *evac.State
	// started is set once the whole content of the topic has been read.
	started bool
	// claims are sent to peers with heartbeats.
	claims   atomic.Pointer[[]evac.Claim]
	follower func() *follower
	state    *sharedState
	log      *logrus.Logger
	metrics  *nodeMetrics
	onChange func()
}

// apply applies the records and removals of a change. A panic ends this change alone.
func (applier *evacuationApplier) apply(change topicChange) {
	defer recoverPanic(applier.log, applier.metrics, "evacuation", nil)
	incomplete, now := applier.follower().incomplete(), time.Now()
	applier.mtx.Lock()
	defer applier.mtx.Unlock()
	content := change.Restored() || !applier.started
	applier.started = applier.started || !incomplete
	changed := false
	for _, rec := range change.Records() {
		if zone, ok := platform.EvacuatedZone(rec.Key); ok {
			pos := site.Position{Era: change.End().Era, Offset: rec.Offset}
			changed = applier.applyUpdate(evac.Update{Zone: zone, Requested: len(rec.Value) > 0, Position: pos, Content: content}, now) || changed
		}
	}
	for _, key := range change.Removed() {
		if zone, ok := platform.EvacuatedZone(key); ok {
			changed = applier.applyUpdate(evac.Update{Zone: zone, Position: change.End(), Absent: true, Content: content}, now) || changed
		}
	}
	claims := applier.zones.Claims(change.End().Era)
	if incomplete {
		claims = nil
	}
	applier.claims.Store(&claims)
	if changed {
		applier.publish()
	}
}

// publish publishes the state. The caller holds the mutex.
func (applier *evacuationApplier) publish() {
	evs := applier.zones.Evacuations()
	applier.state.evacuations.Store(&evs)
	applier.onChange()
}

// currentClaims returns what this node has read of zones, for its peers.
func (applier *evacuationApplier) currentClaims() []evac.Claim {
	if claims := applier.claims.Load(); claims != nil {
		return *claims
	}
	return nil
}

// adopt applies the claims of a peer, which may have read what the store lost before this
// node started.
func (applier *evacuationApplier) adopt(hb *heartbeat, now time.Time) {
	if len(hb.Evacuations) == 0 || len(hb.positions()) <= operatorTopicIndex || applier.follower().incomplete() {
		return
	}
	asOf, next := hb.positions()[operatorTopicIndex], applier.follower().next()
	applier.mtx.Lock()
	defer applier.mtx.Unlock()
	if !applier.started {
		return
	}
	changed := false
	for _, claim := range hb.Evacuations {
		since := applier.zones.Since(claim.Zone)
		transition := applier.zones.Adopt(claim, asOf, next, now)
		if transition != evac.Unchanged {
			changed = true
			up := evac.Update{Zone: claim.Zone, Requested: claim.Evacuated, Position: site.Position{Era: claim.Era, Offset: claim.Offset}}
			applier.logTransition(transition, up, since, hb.Node, now)
		}
	}
	if changed {
		claims := applier.zones.Claims(next.Era)
		applier.claims.Store(&claims)
		applier.publish()
	}
}

// applyUpdate applies one update and reports whether a zone changed its state.
func (applier *evacuationApplier) applyUpdate(up evac.Update, now time.Time) bool {
	since := applier.zones.Since(up.Zone)
	transition := applier.zones.Apply(up, now)
	applier.logTransition(transition, up, since, "", now)
	return transition == evac.Begun || transition == evac.Ended
}

// logTransition logs and counts a change of a zone that had been evacuated since the time.
// peer is the node whose claim it follows, if any.
func (applier *evacuationApplier) logTransition(transition evac.Transition, up evac.Update, since time.Time, peer string, now time.Time) {
	logEntry := applier.log.WithFields(logrus.Fields{"zone": up.Zone, "offset": up.Position.Offset, "era": up.Position.Era, "content": up.Content, "peer": peer})
	switch transition {
	case evac.Begun:
		applier.metrics.recordEvacuation(up.Zone, true)
		logEntry.WithField("event", "evacuation_begun").Warn("zone is evacuated: its servers receive no requests, probes and orders")
	case evac.Ended:
		applier.metrics.recordEvacuation(up.Zone, false)
		logEntry.WithFields(logrus.Fields{"event": "evacuation_ended", "took": now.Sub(since), "absent": up.Absent}).Warn("zone is back in service")
	case evac.Ignored:
		logEntry.WithFields(logrus.Fields{"event": "evacuation_ignored", "requested": up.Requested, "known_offset": applier.zones.Position(up.Zone).Offset}).Warn("ignoring what the store restored from an older copy about a zone; a newer state is known")
	case evac.Unchanged:
	}
}

// inService returns the servers whose zones are not evacuated. The view leaves the others
// out as well, as soon as it is published again.
func (state *sharedState) inService(srvs []*site.Server) []*site.Server {
	if len(state.evacuations.Load().Zones()) == 0 || !slices.ContainsFunc(srvs, state.excluded) {
		return srvs
	}
	return slices.DeleteFunc(slices.Clone(srvs), state.excluded)
}

// excluded reports whether the zone of a server is evacuated, so that requests, probes
// and orders must not be sent to it.
func (state *sharedState) excluded(srv *site.Server) bool {
	return state.evacuations.Load().Evacuated(srv.Zone)
}

// excludesGroup reports whether a member of a group is in an evacuated zone.
func (state *sharedState) excludesGroup(grp *site.Group) bool {
	return slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return member != nil && state.excluded(member) })
}

// errZoneEvacuated ends an attempt whose server's zone was evacuated between the choice of
// the server and the sending. Nothing was sent.
var errZoneEvacuated = core.Errorf(core.CodeDialFailed, "the zone of the server was evacuated before the request was sent")

// beforeSend returns the check that is made when a request is sent to a server. Opening a
// connection may have taken long, and the VM may have been suspended meanwhile.
func (fwd *forwarder) beforeSend(ctx context.Context, call *call, srv *site.Server) func() error {
	confirmCold := fwd.loads.cold.beforeSend(call, srv)
	return func() error {
		fwd.resumed.await(ctx)
		if fwd.state.excluded(srv) {
			return errZoneEvacuated
		}
		if confirmCold != nil {
			return confirmCold()
		}
		return nil
	}
}

// evacuatedServers returns the number of servers that could serve a call if their zones
// were not evacuated.
func (fwd *forwarder) evacuatedServers(call *call) int {
	view := fwd.state.view.Load()
	if call.service.Engine != nil {
		return view.EvacuatedHeads(call.service.Name, call.model)
	}
	return view.EvacuatedPlainServers(call.service.Name)
}

// evacuatedLogInterval is the interval in which at most one rejection is logged as
// evacuation_refused.
const evacuatedLogInterval = time.Second

// logEvacuatedRefusal logs a sample of the calls whose servers are all in evacuated zones.
func (fwd *forwarder) logEvacuatedRefusal(call *call, num int, now time.Time) {
	last := fwd.evacuatedLoggedAt.Load()
	if now.UnixNano()-last < int64(evacuatedLogInterval) || !fwd.evacuatedLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	fwd.log.WithFields(logrus.Fields{
		"event": "evacuation_refused", "request": call.id, "service": call.service.Name, "model": call.model, "servers": num, "zones": slices.Sorted(maps.Keys(fwd.state.evacuations.Load().Zones())),
	}).Warn("rejecting a request: all servers that could take it are in evacuated zones")
}

// evacuatedError returns the error of a call whose num servers are all in evacuated zones.
func (fwd *forwarder) evacuatedError(call *call, num int) error {
	fwd.metrics.recordEvacuatedRefusal(call.service.Name)
	fwd.logEvacuatedRefusal(call, num, time.Now())
	err := fwd.noServerError(call, core.Errorf(core.CodeZoneEvacuated, "all %d servers of %s are in evacuated zones", num, call.service.Name))
	var notRun *notRunError
	if errors.As(err, &notRun) {
		notRun.retryAfter = minEvacuatedRetryAfter + rand.N(maxEvacuatedRetryAfter-minEvacuatedRetryAfter)
	}
	return err
}
