package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// lapseGrace is the time after the store's return within which a server that
// lives has registered again. An entry that is missing after it is gone.
const lapseGrace = 2 * time.Second

// registry owns the entries of the backend servers and publishes views.
type registry struct {
	sta *state
	hea *health
	log *logrus.Logger
	met *meter
	in  chan change
	tab chan struct{}

	servers map[string]*site.Server
	// lapsed are servers whose entries went while the store was away.
	lapsed map[string]bool
	// ended are members of groups whose entries went, with the time of that.
	ended map[string]ended
	// moved are states of servers that the orderer told while the store was
	// away.
	moved   map[string]movedMark
	movedIn chan []moved
}

// ended is a server whose entry went.
type ended struct {
	srv *site.Server
	at  time.Time
}

func newRegistry(sta *state, hea *health, log *logrus.Logger, met *meter) *registry {
	return &registry{
		sta: sta, hea: hea, log: log, met: met,
		in: make(chan change, 16), tab: make(chan struct{}, 1),
		servers: map[string]*site.Server{}, lapsed: map[string]bool{}, ended: map[string]ended{},
		moved: map[string]movedMark{}, movedIn: make(chan []moved, 8),
	}
}

// apply hands a change of the topic to the task.
func (reg *registry) apply(chg change) { reg.in <- chg }

// tableChanged tells that another configuration is in force.
func (reg *registry) tableChanged() {
	select {
	case reg.tab <- struct{}{}:
	default:
	}
}

// run owns the entries until ctx ends.
func (reg *registry) run(ctx context.Context) error {
	var timer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case chg := <-reg.in:
			reg.take(chg, time.Now())
		case <-reg.tab:
		case list := <-reg.movedIn:
			if !reg.noteMoved(list, time.Now()) {
				continue
			}
		case <-timer:
			reg.expire(time.Now())
		}
		timer = nil
		switch {
		case len(reg.moved) > 0:
			timer = time.After(movedBound)
		case len(reg.lapsed) > 0:
			timer = time.After(max(0, lapseGrace-reg.hea.sinceBack(time.Now())))
		}
		reg.publish()
	}
}

func (reg *registry) take(chg change, now time.Time) {
	for _, rec := range chg.records {
		if len(rec.Value) == 0 {
			reg.remove(rec.Key, chg.mirrored, now)
			continue
		}
		srv, err := platform.DecodeServer(rec.Key, rec.Value)
		if err != nil {
			reg.log.WithFields(logrus.Fields{"event": "entry_unreadable", "server": rec.Key, "offset": rec.Offset, "error": err}).Warn("entry of a server names none to use")
			delete(reg.servers, rec.Key)
			continue
		}
		reg.note(srv, rec.Offset)
	}
	for _, key := range chg.gone {
		reg.remove(key, chg.mirrored, now)
	}
}

// note takes a server's entry.
func (reg *registry) note(srv *site.Server, off int64) {
	old := reg.servers[srv.ID]
	reg.servers[srv.ID] = srv
	delete(reg.lapsed, srv.ID)
	delete(reg.ended, srv.ID)
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
func (reg *registry) remove(id string, mirrored bool, now time.Time) {
	if reg.servers[id] == nil {
		return
	}
	if !mirrored && (reg.hea.down.Load() || reg.hea.sinceBack(now) < lapseGrace) {
		reg.lapsed[id] = true
		return
	}
	reg.drop(id, "entry removed")
}

func (reg *registry) drop(id, why string) {
	srv := reg.servers[id]
	delete(reg.servers, id)
	delete(reg.lapsed, id)
	if srv.Group.State != site.GroupNone && !srv.Draining {
		reg.ended[id] = ended{srv: srv, at: time.Now()}
	}
	reg.log.WithFields(logrus.Fields{"event": "server_gone", "server": id, "reason": why, "group": srv.Group.Name, "epoch": srv.Group.Epoch}).Info("server is gone")
}

// expire drops the servers that have not come back after an outage.
func (reg *registry) expire(now time.Time) {
	if reg.hea.down.Load() || reg.hea.sinceBack(now) < lapseGrace {
		return
	}
	for id := range maps.Clone(reg.lapsed) {
		if reg.servers[id] != nil {
			reg.drop(id, "not registered again after an outage of the store")
		}
		delete(reg.lapsed, id)
	}
}

func (reg *registry) publish() {
	lapsed := map[string]*site.Server{}
	for id, one := range reg.ended {
		if time.Since(one.at) > ghostBound {
			delete(reg.ended, id)
			continue
		}
		lapsed[id] = one.srv
	}
	servers := maps.Clone(reg.servers)
	reg.overlay(servers, time.Now())
	reg.sta.view.Store(site.NewView(servers, reg.sta.table.Load()).WithRecentlyRemoved(lapsed))
	reg.met.servers.Set(float64(len(reg.servers)))
	reg.sta.wake()
}
