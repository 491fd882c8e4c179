package entry

import (
	"context"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// statePollInterval is the interval between two polls of a server that
	// received an order while the store is unavailable.
	statePollInterval = 200 * time.Millisecond
	// observedStateGrace is the time after the store's recovery until
	// registrations show what changed during the outage: servers register again
	// about 2 s after it.
	observedStateGrace = 3 * time.Second
	// maxObservedStates limits the server states in a heartbeat to those of the
	// servers with the latest orders. At about 120 bytes each, the heartbeat
	// fits into a datagram.
	maxObservedStates = 100
	// observedStateTTL is the time for which a state received from the orderer
	// is valid. The orderer repeats it several times within it.
	observedStateTTL = 700 * time.Millisecond
)

// observedState is the state of a server from its own report. It is used while
// the store is unavailable and registrations cannot change.
type observedState struct {
	ID          string          `cbor:"1,keyasint"`
	StartMillis int64           `cbor:"2,keyasint"`
	Group       site.Membership `cbor:"3,keyasint"`
	Model       string          `cbor:"4,keyasint"`
	Staged      []string        `cbor:"5,keyasint"`
}

func observedStateOf(srv *site.Server) observedState {
	return observedState{ID: srv.ID, StartMillis: srv.StartMillis, Group: srv.Group, Model: srv.Model, Staged: srv.StagedModels}
}

func (obs observedState) equal(other observedState) bool {
	return obs.ID == other.ID && obs.StartMillis == other.StartMillis && obs.Group == other.Group && obs.Model == other.Model && slices.Equal(obs.Staged, other.Staged)
}

// orderedServer is a server that recently received an order.
type orderedServer struct {
	server                *site.Server
	orderedAt, lastPollAt time.Time
	// lastState is the state that it reported last, nil if none.
	lastState *observedState
}

// trackOrdered records that an order is sent to a server.
func (ord *orderer) trackOrdered(id string, now time.Time) {
	if srv := ord.state.view.Load().Server(id); srv != nil {
		ord.ordered[id] = &orderedServer{server: srv, orderedAt: now, lastPollAt: now}
	}
}

// pollOrdered polls the servers that received orders for their state while
// registrations are outdated, and publishes the states to the registry and the
// peers.
func (ord *orderer) pollOrdered(ctx context.Context, now time.Time) {
	registrationsStale := ord.health.unavailableFor(now) > 0 || ord.health.sinceRecovery(now) < observedStateGrace
	var reported []*orderedServer
	for id, tracked := range ord.ordered {
		if !registrationsStale {
			if now.Sub(tracked.orderedAt) > observedStateGrace {
				delete(ord.ordered, id)
			}
			continue
		}
		if now.Sub(tracked.lastPollAt) >= statePollInterval && !ord.state.excluded(tracked.server) {
			tracked.lastPollAt = now
			go ord.pollServer(ctx, tracked)
		}
		if tracked.lastState != nil {
			reported = append(reported, tracked)
		}
	}
	slices.SortFunc(reported, func(a, b *orderedServer) int { return b.orderedAt.Compare(a.orderedAt) })
	states := make([]observedState, 0, maxObservedStates)
	for _, tracked := range reported[:min(maxObservedStates, len(reported))] {
		states = append(states, *tracked.lastState)
	}
	ord.observedSnapshot.Store(&states)
	if len(states) > 0 {
		ord.registry.submitObserved(states)
	}
}

// pollServer requests the state of a server.
func (ord *orderer) pollServer(ctx context.Context, tracked *orderedServer) {
	report, err := ord.probe(ctx, tracked.server, 1)
	if err != nil || report.Server.StartMillis != tracked.server.StartMillis {
		// A server that does not respond is detected as lost when its group
		// stops sending.
		return
	}
	obs := observedStateOf(report.Server)
	ord.callbacks <- func() { tracked.lastState = &obs }
}

// observedStates returns the states for the heartbeats to peers, nil if this
// node is not the active orderer.
func (ord *orderer) observedStates() []observedState {
	if states := ord.observedSnapshot.Load(); states != nil && ord.active.Load() {
		return *states
	}
	return nil
}

// stateOverride is a state received from the orderer that replaces a
// registration until it expires.
type stateOverride struct {
	observed   observedState
	registered *site.Server
	expiresAt  time.Time
}

// submitObserved queues states for the registry. They are dropped if the queue
// is full, since the orderer repeats them.
func (reg *serverRegistry) submitObserved(states []observedState) {
	select {
	case reg.observedIn <- states:
	default:
	}
}

// applyObserved applies states received from the orderer and reports whether it
// added an override. A state that a newer registration has replaced is not
// applied again.
func (reg *serverRegistry) applyObserved(states []observedState, now time.Time) bool {
	changed := false
	for _, obs := range states {
		expiresAt := now.Add(observedStateTTL)
		if override, ok := reg.overrides[obs.ID]; ok && override.observed.equal(obs) {
			override.expiresAt = expiresAt
			reg.overrides[obs.ID] = override
			continue
		}
		srv := reg.servers[obs.ID]
		if srv == nil || srv.StartMillis != obs.StartMillis || observedStateOf(srv).equal(obs) {
			continue
		}
		if obs.Group.State != site.GroupNone && obs.Group.Epoch < srv.Group.Epoch {
			continue
		}
		reg.overrides[obs.ID] = stateOverride{observed: obs, registered: srv, expiresAt: expiresAt}
		reg.log.WithFields(observedLogFields(obs)).Info("using the state of a server reported by the orderer")
		changed = true
	}
	return changed
}

func observedLogFields(obs observedState) map[string]any {
	return map[string]any{
		"event": "server_moved", "server": obs.ID, "group": obs.Group.Name, "epoch": obs.Group.Epoch, "rank": obs.Group.Rank,
		"state": obs.Group.State, "model": obs.Model, "staged": obs.Staged, "born": obs.StartMillis,
	}
}

// applyOverrides replaces the registrations that are older than a state
// received from the orderer.
func (reg *serverRegistry) applyOverrides(servers map[string]*site.Server, now time.Time) {
	for id, override := range reg.overrides {
		if now.After(override.expiresAt) {
			delete(reg.overrides, id)
			continue
		}
		if servers[id] != override.registered {
			continue
		}
		srv := *override.registered
		srv.Group, srv.Model, srv.StagedModels = override.observed.Group, override.observed.Model, override.observed.Staged
		servers[id] = &srv
	}
}
