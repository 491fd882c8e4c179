package entry

import (
	"sync/atomic"
	"time"

	"kumquathinge/core/site"
)

// state holds what tasks publish to each other. Its values are immutable.
type state struct {
	table atomic.Pointer[site.Table]
	view  atomic.Pointer[site.View]
	nodes atomic.Pointer[roster]
	// changed wakes the orderer.
	changed chan struct{}
}

func newState() *state {
	sta := &state{changed: make(chan struct{}, 1)}
	sta.view.Store(site.NewView(map[string]*site.Server{}, nil))
	sta.nodes.Store(&roster{})
	return sta
}

// wake tells the orderer that something changed.
func (sta *state) wake() {
	select {
	case sta.changed <- struct{}{}:
	default:
	}
}

// nodeRecord is what a node says of itself in the store.
type nodeRecord struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Life tells one start of the process from another.
	Life int64 `json:"life"`
}

// roster is the nodes that the store knows, and the orderer.
type roster struct {
	nodes map[string]nodeRecord
	// orderer is the record of the node that orders, its term is positive.
	orderer nodeRecord
	term    int64
	// end is the end of the topic that the roster was read to.
	end int64
	// since is the time at which this node read of the orderer.
	since time.Time
}

// health tells since when the store answers or doesn't.
type health struct {
	// last is the time of the last answer, in nanoseconds since start.
	last atomic.Int64
	// back is the time of the first answer after an outage.
	back atomic.Int64
	// down is set while the store doesn't answer.
	down  atomic.Bool
	since atomic.Int64
	start time.Time
	// nodes is the start of the last good read of the nodes' topic.
	nodes atomic.Int64
}

func newHealth(now time.Time) *health {
	hea := &health{start: now}
	hea.back.Store(-int64(time.Hour))
	return hea
}

// outageBound is the time without a good answer after which entries are taken
// as possibly lapsed: a beat of a server is missing by then.
const outageBound = 900 * time.Millisecond

// ok notes an answer. It reports true at the end of an outage.
func (hea *health) ok(now time.Time) bool {
	rel := int64(now.Sub(hea.start))
	hea.last.Store(rel)
	if !hea.down.CompareAndSwap(true, false) {
		return false
	}
	if time.Duration(rel-hea.since.Load()) >= outageBound {
		hea.back.Store(rel)
	}
	return true
}

// fail notes a call that failed. It reports true at the start of an outage.
func (hea *health) fail() bool {
	if !hea.down.CompareAndSwap(false, true) {
		return false
	}
	hea.since.Store(hea.last.Load())
	return true
}

// confirm notes a good read of the nodes' topic that was sent at the time.
func (hea *health) confirm(sent time.Time) { hea.nodes.Store(int64(sent.Sub(hea.start))) }

// confirmed returns when the last good read of the nodes' topic was sent.
func (hea *health) confirmed() time.Time { return hea.start.Add(time.Duration(hea.nodes.Load())) }

// age returns the time since the last answer, or since the start if there is
// none. It is zero while no call failed since the answer.
func (hea *health) age(now time.Time) time.Duration {
	if !hea.down.Load() && hea.last.Load() > 0 {
		return 0
	}
	return now.Sub(hea.start) - time.Duration(hea.last.Load())
}

// sinceBack returns the time since the end of the last outage.
func (hea *health) sinceBack(now time.Time) time.Duration {
	return now.Sub(hea.start) - time.Duration(hea.back.Load())
}
