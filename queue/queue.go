package queue

import (
	"context"
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// DefaultTick is the time between two checks of what waits.
const DefaultTick = 100 * time.Millisecond

// messageBuffer bounds the messages that wait for the task.
const messageBuffer = 256

// Config sets up a Queue.
type Config struct {
	Admit admit.Config
	Clock func() time.Time       // time.Now if nil
	Cost  func(core.Job) float64 // Cost if nil; must return a positive number
	Work  func(core.Job) float64 // Work if nil; must return a positive number
	Tick  time.Duration          // DefaultTick if zero
}

// Queue is the admission task. Use New and Run.
type Queue struct {
	clock  func() time.Time
	cost   func(core.Job) float64
	work   func(core.Job) float64
	tick   time.Duration
	mac    *admit.Controller
	msgs   chan func()
	stop   chan struct{} // closed when Run stops taking jobs
	nextID uint64
	waits  map[uint64]chan<- verdict
	seen   atomic.Pointer[view]
	counts Counts
}

// verdict is the answer to a waiting Enter.
type verdict struct{ err *core.Error }

// view is what Usage and Stats show, as of the last check.
type view struct {
	usage  map[core.OrgName]core.Usage
	depths []admit.QueueStats
	counts Counts
}

// Counts are the numbers of jobs since the start.
type Counts struct {
	Entered   uint64
	Admitted  uint64
	Cancelled uint64
	Refused   map[core.Code]uint64
}

// New returns a Queue that takes jobs once Run runs. No model has capacity
// until SetCapacity.
func New(cfg Config) *Queue {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Cost == nil {
		cfg.Cost = Cost
	}
	if cfg.Work == nil {
		cfg.Work = Work
	}
	if cfg.Tick <= 0 {
		cfg.Tick = DefaultTick
	}
	que := &Queue{
		clock:  cfg.Clock,
		cost:   cfg.Cost,
		work:   cfg.Work,
		tick:   cfg.Tick,
		mac:    admit.New(cfg.Admit),
		msgs:   make(chan func(), messageBuffer),
		stop:   make(chan struct{}),
		waits:  make(map[uint64]chan<- verdict),
		counts: Counts{Refused: make(map[core.Code]uint64)},
	}
	que.publish()
	return que
}

// Run handles messages until ctx is done. Jobs that then wait are refused with
// CodeDraining; later ones too. Run must be called once and returns nil.
func (que *Queue) Run(ctx context.Context) error {
	tkr := time.NewTicker(que.tick)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			que.close()
			return nil
		case msg := <-que.msgs:
			msg()
		case <-tkr.C:
			que.check()
		}
	}
}

// check refuses what is late, admits what may run and publishes the view.
func (que *Queue) check() {
	que.carry(que.mac.Tick(que.clock()))
	que.publish()
}

func (que *Queue) close() {
	for id := range que.waits {
		que.answer(id, draining())
	}
	close(que.stop)
	que.publish()
}

func (que *Queue) publish() {
	cnt := que.counts
	cnt.Refused = make(map[core.Code]uint64, len(que.counts.Refused))
	for code, num := range que.counts.Refused {
		cnt.Refused[code] = num
	}
	que.seen.Store(&view{usage: que.mac.Usage(que.clock()), depths: que.mac.Queues(), counts: cnt})
}

// carry tells the waiting jobs what the machine decided.
func (que *Queue) carry(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Admit:
			que.answer(act.ID, nil)
		case admit.Reject:
			que.answer(act.ID, refusal(act))
		}
	}
}

// answer panics if the job doesn't wait, since a job gets one answer.
func (que *Queue) answer(id uint64, err *core.Error) {
	ans, ok := que.waits[id]
	if !ok {
		panic(fmt.Sprintf("queue: answer to job %d, which does not wait", id))
	}
	delete(que.waits, id)
	if err == nil {
		que.counts.Admitted++
	} else {
		que.counts.Refused[err.Code()]++
	}
	ans <- verdict{err: err}
}

// send hands a message to the task. It reports false if the task has stopped.
func (que *Queue) send(msg func()) bool {
	select {
	case <-que.stop:
		return false
	default:
	}
	select {
	case que.msgs <- msg:
		return true
	case <-que.stop:
		return false
	}
}

// SetCapacity sets how many jobs of a class (see Class) may run at once.
func (que *Queue) SetCapacity(class core.ModelName, slots int) {
	que.send(func() {
		que.mac.SetCapacity(class, slots)
		que.carry(que.mac.Tick(que.clock()))
	})
}

// SetDepth bounds how many jobs of a class may wait.
func (que *Queue) SetDepth(class core.ModelName, depth int) {
	que.send(func() { que.mac.SetMaxQueued(class, depth) })
}

// SetOrg sets an organisation's limits.
func (que *Queue) SetOrg(name core.OrgName, lim admit.OrgLimits) {
	que.send(func() { que.mac.SetOrg(name, lim) })
}

// SetShare sets the part of an organisation's limits that this entry VM may
// use, in [0, 1]. See admit.Share.
func (que *Queue) SetShare(name core.OrgName, share float64) {
	que.send(func() { que.mac.SetShare(name, share) })
}

// Usage returns the organisations' demand as of the last check, for the beat
// that peers get. The caller must not change the map.
func (que *Queue) Usage() map[core.OrgName]core.Usage { return que.seen.Load().usage }

// Depths returns the queues' state as of the last check.
func (que *Queue) Depths() []admit.QueueStats { return que.seen.Load().depths }

// Counts returns the numbers of jobs as of the last check.
func (que *Queue) Counts() Counts { return que.seen.Load().counts }

// Stats returns a variable for expvar with the depths and counts.
func (que *Queue) Stats() expvar.Var {
	return expvar.Func(func() any {
		vw := que.seen.Load()
		return struct {
			Depths []admit.QueueStats
			Counts Counts
		}{vw.depths, vw.counts}
	})
}
