package entry

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// reregisterGrace is the time after the store's recovery within which running
// servers register again. A registration that is still missing after it has
// expired.
const reregisterGrace = 2 * time.Second

// minExpiryInterval is the least time between two checks of the pending expiries. Each
// publishes a view, which takes a millisecond with hundreds of servers.
const minExpiryInterval = 100 * time.Millisecond

const (
	// goneRetention is the time for which the last registration of a removed server
	// is kept. It exceeds the age of the copies that the store comes back from.
	goneRetention = 10 * time.Minute
	// restoredEntryTimeout is the time within which the store removes the restored
	// registration of a server that is gone: a few heartbeats of servers.
	restoredEntryTimeout = 10 * time.Second
)

// serverRegistry holds the registrations of the backend servers and publishes
// views of them.
type serverRegistry struct {
	state        *sharedState
	health       *storeHealth
	log          *logrus.Logger
	metrics      *nodeMetrics
	cold         *coldServers
	changes      chan topicChange
	tableUpdates chan struct{}

	servers map[string]*site.Server
	// pendingExpiry holds the servers whose registrations were removed while
	// the store was unavailable or just after. They are kept for
	// reregisterGrace.
	pendingExpiry map[string]bool
	// expired holds the group members whose registrations were removed, by ID.
	expired map[string]expiredServer
	// gone holds the last registrations of the servers that were removed within
	// goneRetention.
	gone map[string]expiredServer
	// heldBack holds the restored registrations of removed servers.
	heldBack map[string]heldRegistration
	// overrides maps server IDs to states received from the orderer during an
	// outage of the store.
	overrides  map[string]stateOverride
	observedIn chan []observedState
	// leaving holds the processes that said that they leave. leavingSnapshot is a copy
	// for other tasks.
	leaving         leavingServers
	leavingSnapshot atomic.Pointer[map[site.ServerRun]bool]
	leavingIn       chan leavingNotice
}

// heldRegistration is the restored registration of a removed server, which is not
// used before until.
type heldRegistration struct {
	server *site.Server
	offset int64
	until  time.Time
}

// expiredServer is a server whose registration was removed.
type expiredServer struct {
	server    *site.Server
	expiredAt time.Time
}

func newServerRegistry(state *sharedState, health *storeHealth, log *logrus.Logger, meter *nodeMetrics) *serverRegistry {
	return &serverRegistry{
		state: state, health: health, log: log, metrics: meter,
		changes: make(chan topicChange, 16), tableUpdates: make(chan struct{}, 1),
		servers: map[string]*site.Server{}, pendingExpiry: map[string]bool{}, expired: map[string]expiredServer{}, gone: map[string]expiredServer{}, heldBack: map[string]heldRegistration{},
		overrides: map[string]stateOverride{}, observedIn: make(chan []observedState, 8),
		leaving: leavingServers{notedAt: map[site.ServerRun]time.Time{}}, leavingIn: make(chan leavingNotice, 64),
	}
}

// apply queues a change of the servers topic for the registry's task.
func (reg *serverRegistry) apply(change topicChange) { reg.changes <- change }

// notifyTableChanged signals that another configuration is in force.
func (reg *serverRegistry) notifyTableChanged() {
	select {
	case reg.tableUpdates <- struct{}{}:
	default:
	}
}

// run processes changes and publishes views until ctx ends.
func (reg *serverRegistry) run(ctx context.Context) error {
	var timer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-reg.changes:
			reg.applyChange(change, time.Now())
		case <-reg.tableUpdates:
		case states := <-reg.observedIn:
			if !reg.applyObserved(states, time.Now()) {
				continue
			}
		case notice := <-reg.leavingIn:
			if !reg.noteLeaving(notice, time.Now()) {
				continue
			}
		case <-timer:
			reg.expirePending(time.Now())
			reg.releaseHeldBack(time.Now())
		}
		timer = nil
		switch {
		case len(reg.overrides) > 0:
			timer = time.After(observedStateTTL)
		case len(reg.pendingExpiry) > 0:
			timer = time.After(reg.untilExpiry(time.Now()))
		case len(reg.heldBack) > 0:
			timer = time.After(reg.untilRelease(time.Now()))
		}
		reg.publishView()
	}
}

// untilExpiry returns the time until the pending expiries are checked again. While the
// store is down its last recovery may be long ago, but nothing expires.
func (reg *serverRegistry) untilExpiry(now time.Time) time.Duration {
	if reg.health.down.Load() {
		return reregisterGrace
	}
	return max(minExpiryInterval, reregisterGrace-reg.health.sinceRecovery(now))
}

func (reg *serverRegistry) applyChange(change topicChange, now time.Time) {
	for _, rec := range change.Records() {
		reg.applyRecord(rec, change, now)
	}
	for _, key := range change.Removed() {
		reg.remove(key, change.fromPeer, now)
	}
}

// applyRecord applies one record. An unexpected error ends this record alone.
func (reg *serverRegistry) applyRecord(rec site.Record, change topicChange, now time.Time) {
	defer recoverPanic(reg.log, reg.metrics, "registry", nil)
	if len(rec.Value) == 0 {
		reg.remove(rec.Key, change.fromPeer, now)
		return
	}
	srv, err := platform.DecodeServer(rec.Key, rec.Value)
	if err != nil {
		reg.log.WithFields(logrus.Fields{"event": "entry_unreadable", "server": rec.Key, "offset": rec.Offset, "error": err}).Warn("failed to decode the registration of a server; the server is not used")
		delete(reg.servers, rec.Key)
		return
	}
	if change.Restored() && reg.olderThanKnown(srv) {
		reg.holdBack(srv, rec.Offset, now)
		return
	}
	reg.upsert(srv, rec.Offset)
}

// holdBack keeps what this node knows of a server whose registration was restored
// from an older copy. A removed server gets its registration back if that still
// stands after restoredEntryTimeout.
func (reg *serverRegistry) holdBack(srv *site.Server, off int64, now time.Time) {
	known := reg.servers[srv.ID]
	if known == nil {
		reg.heldBack[srv.ID] = heldRegistration{server: srv, offset: off, until: now.Add(restoredEntryTimeout)}
	} else if srv.Updates == known.Updates {
		delete(reg.pendingExpiry, srv.ID)
	}
	reg.log.WithFields(logrus.Fields{
		"event": "entry_restored", "server": srv.ID, "offset": off, "born": srv.StartMillis, "updates": srv.Updates, "removed": known == nil,
	}).Debug("ignoring the restored registration of a server, which is not newer than the known one")
}

// untilRelease returns the time until the first held back registration is used.
func (reg *serverRegistry) untilRelease(now time.Time) time.Duration {
	first := restoredEntryTimeout
	for _, held := range reg.heldBack {
		first = min(first, held.until.Sub(now))
	}
	return max(0, first)
}

// releaseHeldBack gives removed servers the registrations back that are held back
// for long enough.
func (reg *serverRegistry) releaseHeldBack(now time.Time) {
	for id, held := range reg.heldBack {
		if !now.Before(held.until) {
			reg.upsert(held.server, held.offset)
			delete(reg.heldBack, id)
		}
	}
}

// olderThanKnown reports whether the registration of a server, restored from an
// older copy of the store, is not newer than what this node knows of the server.
func (reg *serverRegistry) olderThanKnown(srv *site.Server) bool {
	known := reg.servers[srv.ID]
	if gone, ok := reg.gone[srv.ID]; ok {
		known = gone.server
	}
	return known != nil && (srv.StartMillis < known.StartMillis || srv.StartMillis == known.StartMillis && srv.Updates <= known.Updates)
}

// upsert stores a server's registration.
func (reg *serverRegistry) upsert(srv *site.Server, off int64) {
	old := reg.servers[srv.ID]
	reg.servers[srv.ID] = srv
	delete(reg.pendingExpiry, srv.ID)
	delete(reg.expired, srv.ID)
	delete(reg.gone, srv.ID)
	delete(reg.heldBack, srv.ID)
	if old != nil && old.StartMillis == srv.StartMillis && old.Draining == srv.Draining && old.Group == srv.Group && old.Addr == srv.Addr {
		return
	}
	reg.log.WithFields(logrus.Fields{
		"event": "server", "server": srv.ID, "offset": off, "addr": srv.Addr, "zone": srv.Zone, "domain": srv.Domain,
		"draining": srv.Draining, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "rank": srv.Group.Rank,
		"state": srv.Group.State, "model": srv.Model, "staged": srv.StagedModels, "born": srv.StartMillis, "updates": srv.Updates,
	}).Info("registration of a server changed")
}

// remove removes a server whose registration was removed. While the store is
// unavailable, and shortly after its recovery, the server is kept, since it may
// be running and register again. That does not apply to a removal received from
// a peer, which reached the store throughout, unless the store has come back from
// an older copy.
func (reg *serverRegistry) remove(id string, fromPeer bool, now time.Time) {
	delete(reg.heldBack, id)
	if reg.servers[id] == nil {
		return
	}
	if reg.health.restoredWithin(reregisterGrace, now) || !fromPeer && (reg.health.down.Load() || reg.health.sinceRecovery(now) < reregisterGrace) {
		reg.pendingExpiry[id] = true
		return
	}
	reg.drop(id, "registration removed")
}

func (reg *serverRegistry) drop(id, reason string) {
	srv := reg.servers[id]
	delete(reg.servers, id)
	delete(reg.pendingExpiry, id)
	reg.gone[id] = expiredServer{server: srv, expiredAt: time.Now()}
	if srv.Group.State != site.GroupNone && !srv.Draining {
		reg.expired[id] = expiredServer{server: srv, expiredAt: time.Now()}
	}
	reg.log.WithFields(logrus.Fields{"event": "server_gone", "server": id, "reason": reason, "group": srv.Group.Name, "epoch": srv.Group.Epoch}).Info("server removed")
}

// expirePending removes the servers that did not register again after an
// outage.
func (reg *serverRegistry) expirePending(now time.Time) {
	if reg.health.down.Load() || reg.health.sinceRecovery(now) < reregisterGrace {
		return
	}
	for id := range maps.Clone(reg.pendingExpiry) {
		if reg.servers[id] != nil {
			reg.drop(id, "not registered again after a store outage")
		}
		delete(reg.pendingExpiry, id)
	}
}

func (reg *serverRegistry) publishView() {
	defer recoverPanic(reg.log, reg.metrics, "view", nil)
	removed := map[string]*site.Server{}
	for id, gone := range reg.expired {
		if time.Since(gone.expiredAt) > unregisteredMaxAge {
			delete(reg.expired, id)
			continue
		}
		removed[id] = gone.server
	}
	maps.DeleteFunc(reg.gone, func(_ string, gone expiredServer) bool { return time.Since(gone.expiredAt) > goneRetention })
	servers := maps.Clone(reg.servers)
	reg.applyOverrides(servers, time.Now())
	reg.applyLeaving(servers, time.Now())
	reg.cold.updateEntries(servers, reg.state.table.Load(), time.Now())
	reg.state.view.Store(site.NewViewWithout(*reg.state.evacuations.Load(), servers, reg.state.table.Load()).WithRecentlyRemoved(removed))
	reg.metrics.servers.Set(float64(len(reg.servers)))
	reg.state.wakeOrderer()
}
