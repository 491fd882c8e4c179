package entry

import (
	"context"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// watchPause is the pause between two questions to a server that was given
	// an order while the store doesn't answer.
	watchPause = 200 * time.Millisecond
	// movedKeep is the time after the store's return within which entries show
	// what happened meanwhile: servers are back about 2 s after it.
	movedKeep = 3 * time.Second
	// maxMoved is the number of servers whose states are told, those that were
	// given orders last. At some 120 bytes each a report stays within a datagram.
	maxMoved = 100
	// movedBound is the time for which a state that the orderer tells holds; it
	// repeats it several times within.
	movedBound = 700 * time.Millisecond
)

// moved is the state of a server that is known from its own report, while its
// entry can't change because the store doesn't answer.
type moved struct {
	ID     string          `cbor:"1,keyasint"`
	Born   int64           `cbor:"2,keyasint"`
	Group  site.Membership `cbor:"3,keyasint"`
	Model  string          `cbor:"4,keyasint"`
	Staged []string        `cbor:"5,keyasint"`
}

func movedFrom(srv *site.Server) moved {
	return moved{ID: srv.ID, Born: srv.StartMillis, Group: srv.Group, Model: srv.Model, Staged: srv.StagedModels}
}

func (mov moved) same(oth moved) bool {
	return mov.ID == oth.ID && mov.Born == oth.Born && mov.Group == oth.Group && mov.Model == oth.Model && slices.Equal(mov.Staged, oth.Staged)
}

// watched is a server that was given an order lately.
type watched struct {
	srv            *site.Server
	ordered, asked time.Time
	// state is what it reported last, nil if nothing yet.
	state *moved
}

// watch notes that a server is given an order.
func (ord *orderer) watch(id string, now time.Time) {
	if srv := ord.sta.view.Load().Server(id); srv != nil {
		ord.watched[id] = &watched{srv: srv, ordered: now, asked: now}
	}
}

// askOrdered asks the servers that were given orders for their state while the
// store doesn't answer, and tells the registry and the peers.
func (ord *orderer) askOrdered(ctx context.Context, now time.Time) {
	away := ord.hea.age(now) > 0 || ord.hea.sinceBack(now) < movedKeep
	var known []*watched
	for id, wat := range ord.watched {
		if !away {
			if now.Sub(wat.ordered) > movedKeep {
				delete(ord.watched, id)
			}
			continue
		}
		if now.Sub(wat.asked) >= watchPause {
			wat.asked = now
			go ord.askWatched(ctx, wat)
		}
		if wat.state != nil {
			known = append(known, wat)
		}
	}
	slices.SortFunc(known, func(one, two *watched) int { return two.ordered.Compare(one.ordered) })
	list := make([]moved, 0, maxMoved)
	for _, wat := range known[:min(maxMoved, len(known))] {
		list = append(list, *wat.state)
	}
	ord.movedNow.Store(&list)
	if len(list) > 0 {
		ord.reg.tell(list)
	}
}

// askWatched asks a server for its state.
func (ord *orderer) askWatched(ctx context.Context, wat *watched) {
	rep, err := ord.probe(ctx, wat.srv, 1)
	if err != nil || rep.Server.StartMillis != wat.srv.StartMillis {
		// Whether the server is lost is found out by its group's silence.
		return
	}
	mov := movedFrom(rep.Server)
	ord.done <- func() { wat.state = &mov }
}

// movedList returns what this node tells of servers while it orders.
func (ord *orderer) movedList() []moved {
	if list := ord.movedNow.Load(); list != nil && ord.active.Load() {
		return *list
	}
	return nil
}

// movedMark is a state that the orderer told, and the entry that it replaces.
type movedMark struct {
	state moved
	base  *site.Server
	until time.Time
}

// tell hands states that the orderer knows to the task. A state that is lost
// comes again.
func (reg *registry) tell(list []moved) {
	select {
	case reg.movedIn <- list:
	default:
	}
}

// noteMoved takes states that the orderer told, and reports whether they change
// anything. One that a newer entry has replaced stays so.
func (reg *registry) noteMoved(list []moved, now time.Time) bool {
	changed := false
	for _, mov := range list {
		until := now.Add(movedBound)
		if mrk, ok := reg.moved[mov.ID]; ok && mrk.state.same(mov) {
			mrk.until = until
			reg.moved[mov.ID] = mrk
			continue
		}
		srv := reg.servers[mov.ID]
		if srv == nil || srv.StartMillis != mov.Born || movedFrom(srv).same(mov) {
			continue
		}
		if mov.Group.State != site.GroupNone && mov.Group.Epoch < srv.Group.Epoch {
			continue
		}
		reg.moved[mov.ID] = movedMark{state: mov, base: srv, until: until}
		reg.log.WithFields(movedFields(mov)).Info("state of a server is known from the orderer")
		changed = true
	}
	return changed
}

func movedFields(mov moved) map[string]any {
	return map[string]any{
		"event": "server_moved", "server": mov.ID, "group": mov.Group.Name, "epoch": mov.Group.Epoch, "rank": mov.Group.Rank,
		"state": mov.Group.State, "model": mov.Model, "staged": mov.Staged, "born": mov.Born,
	}
}

// overlay puts the states that the orderer told in place of the entries that are
// older.
func (reg *registry) overlay(servers map[string]*site.Server, now time.Time) {
	for id, mrk := range reg.moved {
		if now.After(mrk.until) {
			delete(reg.moved, id)
			continue
		}
		if servers[id] != mrk.base {
			continue
		}
		srv := *mrk.base
		srv.Group, srv.Model, srv.StagedModels = mrk.state.Group, mrk.state.Model, mrk.state.Staged
		servers[id] = &srv
	}
}
