package node

import (
	"context"
	"sync"
	"time"

	"kumquathinge/core"
)

// Timing of the cache task.
const (
	cacheInterval = time.Second
	cacheTimeout  = time.Second
)

// cacher is the task that asks the leaders of the zone's groups for events of
// their prefix caches.
type cacher struct {
	world func() *world
	prb   *prober
	cho   *chooser
	after map[core.VMName]cacheMark
}

// cacheMark is the last event seen of an assignment's leader.
type cacheMark struct {
	order core.Offset
	seq   uint64
}

// leaderEvents are the events of one leader.
type leaderEvents struct {
	asg  core.Assignment
	evts []core.CacheEvent
}

// newCacher returns a cacher that has seen no event.
func newCacher(wor func() *world, prb *prober, cho *chooser) *cacher {
	return &cacher{world: wor, prb: prb, cho: cho, after: make(map[core.VMName]cacheMark)}
}

// run asks at every interval until ctx ends.
func (cac *cacher) run(ctx context.Context) error {
	return every(ctx, cacheInterval, func() { cac.round(ctx) })
}

// round asks every leader once.
func (cac *cacher) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	var wg sync.WaitGroup
	asgs := cac.world().assigned
	got := make([]leaderEvents, len(asgs))
	for idx, asg := range asgs {
		if asg.Phase != core.PhaseAssigned {
			continue
		}
		aft := cac.mark(asg).seq
		wg.Go(func() { got[idx] = leaderEvents{asg: asg, evts: cac.ask(ctx, asg, aft)} })
	}
	wg.Wait()
	for _, led := range got {
		cac.take(led)
	}
}

// mark returns what was last seen of the assignment's leader.
func (cac *cacher) mark(asg core.Assignment) cacheMark {
	mrk := cac.after[asg.VMs[0]]
	if mrk.order != asg.FencingToken {
		return cacheMark{order: asg.FencingToken}
	}
	return mrk
}

// ask returns a leader's new events, none if it can't be asked.
func (cac *cacher) ask(ctx context.Context, asg core.Assignment, aft uint64) []core.CacheEvent {
	eng, err := cac.prb.engine(asg.VMs[0])
	if err != nil {
		return nil
	}
	evts, err := eng.CacheEvents(ctx, aft)
	if err != nil {
		return nil
	}
	return evts
}

// take hands a leader's events to the chooser.
func (cac *cacher) take(led leaderEvents) {
	if len(led.evts) == 0 {
		return
	}
	mrk := cac.mark(led.asg)
	for _, evt := range led.evts {
		mrk.seq = max(mrk.seq, evt.Seq)
	}
	cac.after[led.asg.VMs[0]] = mrk
	cac.cho.cached(led.asg.Group, led.evts)
}
