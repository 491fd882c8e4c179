package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// reregisterGrace is the time after the store's return within which a server that
// lives has registered again. An entry that is missing after it is gone.
const reregisterGrace = 2 * time.Second

// serverRegistry owns the entries of the backend servers and publishes views.
type serverRegistry struct {
	state        *sharedState
	health       *storeHealth
	log          *logrus.Logger
	metrics      *nodeMetrics
	changes      chan topicChange
	tableUpdates chan struct{}

	servers map[string]*site.Server
	// pendingExpiry are servers whose entries went while the store was away.
	pendingExpiry map[string]bool
	// expired are members of groups whose entries went, with the time of that.
	expired map[string]expiredServer
	// overrides are states of servers that the orderer told while the store was
	// away.
	overrides  map[string]stateOverride
	observedIn chan []observedState
}

// expiredServer is a server whose entry went.
type expiredServer struct {
	server    *site.Server
	expiredAt time.Time
}

func newServerRegistry(state *sharedState, health *storeHealth, log *logrus.Logger, meter *nodeMetrics) *serverRegistry {
	return &serverRegistry{
		state: state, health: health, log: log, metrics: meter,
		changes: make(chan topicChange, 16), tableUpdates: make(chan struct{}, 1),
		servers: map[string]*site.Server{}, pendingExpiry: map[string]bool{}, expired: map[string]expiredServer{},
		overrides: map[string]stateOverride{}, observedIn: make(chan []observedState, 8),
	}
}

// apply hands a change of the topic to the task.
func (reg *serverRegistry) apply(change topicChange) { reg.changes <- change }

// notifyTableChanged tells that another configuration is in force.
func (reg *serverRegistry) notifyTableChanged() {
	select {
	case reg.tableUpdates <- struct{}{}:
	default:
	}
}

// run owns the entries until ctx ends.
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
		case <-timer:
			reg.expirePending(time.Now())
		}
		timer = nil
		switch {
		case len(reg.overrides) > 0:
			timer = time.After(observedStateTTL)
		case len(reg.pendingExpiry) > 0:
			timer = time.After(max(0, reregisterGrace-reg.health.sinceRecovery(time.Now())))
		}
		reg.publishView()
	}
}

func (reg *serverRegistry) applyChange(change topicChange, now time.Time) {
	for _, rec := range change.records {
		if len(rec.Value) == 0 {
			reg.remove(rec.Key, change.fromPeer, now)
			continue
		}
		srv, err := platform.DecodeServer(rec.Key, rec.Value)
		if err != nil {
			reg.log.WithFields(logrus.Fields{"event": "entry_unreadable", "server": rec.Key, "offset": rec.Offset, "error": err}).Warn("entry of a server names none to use")
			delete(reg.servers, rec.Key)
			continue
		}
		reg.upsert(srv, rec.Offset)
	}
	for _, key := range change.removedKeys {
		reg.remove(key, change.fromPeer, now)
	}
}

// upsert takes a server's entry.
func (reg *serverRegistry) upsert(srv *site.Server, off int64) {
	old := reg.servers[srv.ID]
	reg.servers[srv.ID] = srv
	delete(reg.pendingExpiry, srv.ID)
	delete(reg.expired, srv.ID)
	if old != nil && old.StartMillis == srv.StartMillis && old.Draining == srv.Draining && old.Group == srv.Group && old.Addr == srv.Addr {
		return
	}
	reg.log.WithFields(logrus.Fields{
		"event": "server", "server": srv.ID, "offset": off, "addr": srv.Addr, "zone": srv.Zone, "domain": srv.Domain,
		"draining": srv.Draining, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "rank": srv.Group.Rank,
		"state": srv.Group.State, "model": srv.Model, "staged": srv.StagedModels, "born": srv.StartMillis,
	}).Info("entry of a server changed")
}

// remove drops a server whose entry went. While the store is back for a short
// time only, the server may live and register again; a peer that tells of it has
// reached the store all the while.
func (reg *serverRegistry) remove(id string, mirrored bool, now time.Time) {
	if reg.servers[id] == nil {
		return
	}
	if !mirrored && (reg.health.down.Load() || reg.health.sinceRecovery(now) < reregisterGrace) {
		reg.pendingExpiry[id] = true
		return
	}
	reg.drop(id, "entry removed")
}

func (reg *serverRegistry) drop(id, reason string) {
	srv := reg.servers[id]
	delete(reg.servers, id)
	delete(reg.pendingExpiry, id)
	if srv.Group.State != site.GroupNone && !srv.Draining {
		reg.expired[id] = expiredServer{server: srv, expiredAt: time.Now()}
	}
	reg.log.WithFields(logrus.Fields{"event": "server_gone", "server": id, "reason": reason, "group": srv.Group.Name, "epoch": srv.Group.Epoch}).Info("server is gone")
}

// expirePending drops the servers that have not come back after an outage.
func (reg *serverRegistry) expirePending(now time.Time) {
	if reg.health.down.Load() || reg.health.sinceRecovery(now) < reregisterGrace {
		return
	}
	for id := range maps.Clone(reg.pendingExpiry) {
		if reg.servers[id] != nil {
			reg.drop(id, "not registered again after an outage of the store")
		}
		delete(reg.pendingExpiry, id)
	}
}

func (reg *serverRegistry) publishView() {
	lapsed := map[string]*site.Server{}
	for id, gone := range reg.expired {
		if time.Since(gone.expiredAt) > unregisteredMaxAge {
			delete(reg.expired, id)
			continue
		}
		lapsed[id] = gone.server
	}
	servers := maps.Clone(reg.servers)
	reg.applyOverrides(servers, time.Now())
	reg.state.view.Store(site.NewView(servers, reg.state.table.Load()).WithRecentlyRemoved(lapsed))
	reg.metrics.servers.Set(float64(len(reg.servers)))
	reg.state.wakeOrderer()
}
