package entry

import (
	"context"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// statePollInterval is the pause between two questions to a server that was given
	// an order while the store doesn't answer.
	statePollInterval = 200 * time.Millisecond
	// observedStateGrace is the time after the store's return within which entries show
	// what happened meanwhile: servers are back about 2 s after it.
	observedStateGrace = 3 * time.Second
	// maxObservedStates is the number of servers whose states are told, those that were
	// given orders last. At some 120 bytes each a report stays within a datagram.
	maxObservedStates = 100
	// observedStateTTL is the time for which a state that the orderer tells holds; it
	// repeats it several times within.
	observedStateTTL = 700 * time.Millisecond
)

// observedState is the state of a server that is known from its own report, while its
// entry can't change because the store doesn't answer.
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

// orderedServer is a server that was given an order lately.
type orderedServer struct {
	server                *site.Server
	orderedAt, lastPollAt time.Time
	// lastState is what it reported last, nil if nothing yet.
	lastState *observedState
}

// trackOrdered notes that a server is given an order.
func (ord *orderer) trackOrdered(id string, now time.Time) {
	if srv := ord.state.view.Load().Server(id); srv != nil {
		ord.ordered[id] = &orderedServer{server: srv, orderedAt: now, lastPollAt: now}
	}
}

// pollOrdered asks the servers that were given orders for their state while the
// store doesn't answer, and tells the registry and the peers.
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
		if now.Sub(tracked.lastPollAt) >= statePollInterval {
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

// pollServer asks a server for its state.
func (ord *orderer) pollServer(ctx context.Context, tracked *orderedServer) {
	report, err := ord.probe(ctx, tracked.server, 1)
	if err != nil || report.Server.StartMillis != tracked.server.StartMillis {
		// Whether the server is lost is found out by its group's silence.
		return
	}
	obs := observedStateOf(report.Server)
	ord.callbacks <- func() { tracked.lastState = &obs }
}

// observedStates returns what this node tells of servers while it orders.
func (ord *orderer) observedStates() []observedState {
	if states := ord.observedSnapshot.Load(); states != nil && ord.active.Load() {
		return *states
	}
	return nil
}

// stateOverride is a state that the orderer told, and the entry that it replaces.
type stateOverride struct {
	observed   observedState
	registered *site.Server
	expiresAt  time.Time
}

// submitObserved hands states that the orderer knows to the task. A state that is lost
// comes again.
func (reg *serverRegistry) submitObserved(states []observedState) {
	select {
	case reg.observedIn <- states:
	default:
	}
}

// applyObserved takes states that the orderer told, and reports whether they change
// anything. One that a newer entry has replaced stays so.
func (reg *serverRegistry) applyObserved(states []observedState, now time.Time) bool {
	changed := false
	for _, obs := range states {
		until := now.Add(observedStateTTL)
		if override, ok := reg.overrides[obs.ID]; ok && override.observed.equal(obs) {
			override.expiresAt = until
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
		reg.overrides[obs.ID] = stateOverride{observed: obs, registered: srv, expiresAt: until}
		reg.log.WithFields(observedLogFields(obs)).Info("state of a server is known from the orderer")
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

// applyOverrides puts the states that the orderer told in place of the entries that are
// older.
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
