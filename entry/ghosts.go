package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
)

const (
	// ghostPause is the pause between two questions to a server that has no
	// entry any more.
	ghostPause = 400 * time.Millisecond
	// ghostFails is the number of questions without an answer after which such
	// a server is gone.
	ghostFails = 2
	// ghostBound is the longest time for which a server without an entry is
	// kept in its group.
	ghostBound = 30 * time.Second
)

// ghost is a member of a group whose entry lapsed although it may live: it is
// cut off from the store, or leaves without a word.
type ghost struct {
	srv   *site.Server
	since time.Time
	asked time.Time
	fails int
}

// ghosts keeps the members of groups that have no entry but answer. The orderer
// owns it.
type ghosts struct {
	last *site.View
	byID map[string]*ghost
	// seen are the lapsed servers that were looked at.
	seen map[string]*site.Server
}

// overlay returns the view with the members that have no entry.
func (ord *orderer) overlay(ctx context.Context, now time.Time) *site.View {
	vie := ord.sta.view.Load()
	if vie != ord.gho.last {
		ord.noteLapsed(vie, now)
		ord.gho.last = vie
	}
	for id, gst := range ord.gho.byID {
		if vie.Server(id) != nil || now.Sub(gst.since) > ghostBound {
			delete(ord.gho.byID, id)
		} else if now.Sub(gst.asked) >= ghostPause {
			gst.asked = now
			go ord.askGhost(ctx, gst)
		}
	}
	if len(ord.gho.byID) == 0 {
		return vie
	}
	all := maps.Clone(vie.Servers())
	for id, gst := range ord.gho.byID {
		all[id] = gst.srv
	}
	return site.NewView(all, ord.sta.table.Load())
}

// noteLapsed notes the members whose entries went since the last look.
func (ord *orderer) noteLapsed(vie *site.View, now time.Time) {
	for id, srv := range vie.RecentlyRemoved() {
		known := ord.gho.seen[id]
		ord.gho.seen[id] = srv
		if known == srv || ord.isLost(id) {
			continue
		}
		ord.gho.byID[id] = &ghost{srv: srv, since: now}
	}
	for id := range ord.gho.seen {
		if vie.RecentlyRemoved()[id] == nil {
			delete(ord.gho.seen, id)
		}
	}
}

// askGhost asks a server without an entry for its state.
func (ord *orderer) askGhost(ctx context.Context, gst *ghost) {
	rep, err := ord.probe(ctx, gst.srv, 1)
	ord.done <- func() { ord.heardGhost(gst, rep, err) }
}

// heardGhost notes the answer of a server without an entry.
func (ord *orderer) heardGhost(gst *ghost, rep site.Report, err error) {
	id := gst.srv.ID
	if ord.gho.byID[id] != gst {
		return
	}
	if err == nil && rep.Server.StartMillis == gst.srv.StartMillis {
		gst.fails = 0
		gst.srv = rep.Server
		return
	}
	gst.fails++
	if gst.fails < ghostFails {
		return
	}
	delete(ord.gho.byID, id)
	ord.log.WithFields(logrus.Fields{"event": "server_lost", "server": id, "group": gst.srv.Group.Name, "epoch": gst.srv.Group.Epoch, "error": err}).Warn("server without an entry doesn't answer")
}

// unlisted reports whether a server has no entry.
func (ord *orderer) unlisted(id string) bool { return ord.gho.byID[id] != nil }
