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

// DefaultTickInterval is the time between two checks of what waits.
const DefaultTickInterval = 100 * time.Millisecond

// messageBufferSize bounds the messages that wait for the task.
const messageBufferSize = 256

// Config sets up a Queue.
type Config struct {
	Admit        admit.Config
	Clock        func() time.Time       // time.Now if nil
	Cost         func(core.Job) float64 // Cost if nil; must return a positive number
	Work         func(core.Job) float64 // Work if nil; must return a positive number
	TickInterval time.Duration          // DefaultTick if zero
}

// Queue is the admission task. Use New and Run.
type Queue struct {
	clock        func() time.Time
	cost         func(core.Job) float64
	work         func(core.Job) float64
	tickInterval time.Duration
	controller   *admit.Controller
	msgs         chan func()
	stopped      chan struct{} // closed when Run stops taking jobs
	nextID       uint64
	resultsByJob map[uint64]chan<- result
	latest       atomic.Pointer[snapshot]
	counts       Counts
}

// result is the answer to a waiting Enter.
type result struct{ err *core.Error }

// snapshot is what Usage and Stats show, as of the last check.
type snapshot struct {
	usage  map[core.OrgName]core.Usage
	queues []admit.QueueStats
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
	if cfg.TickInterval <= 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	que := &Queue{
		clock:        cfg.Clock,
		cost:         cfg.Cost,
		work:         cfg.Work,
		tickInterval: cfg.TickInterval,
		controller:   admit.New(cfg.Admit),
		msgs:         make(chan func(), messageBufferSize),
		stopped:      make(chan struct{}),
		resultsByJob: make(map[uint64]chan<- result),
		counts:       Counts{Refused: make(map[core.Code]uint64)},
	}
	que.publish()
	return que
}

// Run handles messages until ctx is done. Jobs that then wait are refused with
// CodeDraining; later ones too. Run must be called once and returns nil.
func (que *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(que.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			que.close()
			return nil
		case msg := <-que.msgs:
			msg()
		case <-ticker.C:
			que.tick()
		}
	}
}

// tick refuses what is late, admits what may run and publishes the view.
func (que *Queue) tick() {
	que.apply(que.controller.Tick(que.clock()))
	que.publish()
}

func (que *Queue) close() {
	for id := range que.resultsByJob {
		que.respond(id, drainingError())
	}
	close(que.stopped)
	que.publish()
}

func (que *Queue) publish() {
	counts := que.counts
	counts.Refused = make(map[core.Code]uint64, len(que.counts.Refused))
	for code, num := range que.counts.Refused {
		counts.Refused[code] = num
	}
	que.latest.Store(&snapshot{usage: que.controller.Usage(que.clock()), queues: que.controller.Queues(), counts: counts})
}

// apply tells the waiting jobs what the machine decided.
func (que *Queue) apply(actions []admit.Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case admit.Admit:
			que.respond(act.ID, nil)
		case admit.Reject:
			que.respond(act.ID, rejectionError(act))
		}
	}
}

// respond panics if the job doesn't wait, since a job gets one answer.
func (que *Queue) respond(id uint64, err *core.Error) {
	resultCh, ok := que.resultsByJob[id]
	if !ok {
		panic(fmt.Sprintf("queue: answer to job %d, which does not wait", id))
	}
	delete(que.resultsByJob, id)
	if err == nil {
		que.counts.Admitted++
	} else {
		que.counts.Refused[err.Code()]++
	}
	resultCh <- result{err: err}
}

// send hands a message to the task. It reports false if the task has stopped.
func (que *Queue) send(msg func()) bool {
	select {
	case <-que.stopped:
		return false
	default:
	}
	select {
	case que.msgs <- msg:
		return true
	case <-que.stopped:
		return false
	}
}

// SetCapacity sets how many jobs of a class (see Class) may run at once.
func (que *Queue) SetCapacity(class core.ModelName, slots int) {
	que.send(func() {
		que.controller.SetCapacity(class, slots)
		que.apply(que.controller.Tick(que.clock()))
	})
}

// SetMaxQueued bounds how many jobs of a class may wait.
func (que *Queue) SetMaxQueued(class core.ModelName, depth int) {
	que.send(func() { que.controller.SetMaxQueued(class, depth) })
}

// SetOrg sets an organisation's limits.
func (que *Queue) SetOrg(name core.OrgName, limits admit.OrgLimits) {
	que.send(func() { que.controller.SetOrg(name, limits) })
}

// SetShare sets the part of an organisation's limits that this entry VM may
// use, in [0, 1]. See admit.Share.
func (que *Queue) SetShare(name core.OrgName, share float64) {
	que.send(func() { que.controller.SetShare(name, share) })
}

// Usage returns the organisations' demand as of the last check, for the beat
// that peers get. The caller must not change the map.
func (que *Queue) Usage() map[core.OrgName]core.Usage { return que.latest.Load().usage }

// QueueStats returns the queues' state as of the last check.
func (que *Queue) QueueStats() []admit.QueueStats { return que.latest.Load().queues }

// Counts returns the numbers of jobs as of the last check.
func (que *Queue) Counts() Counts { return que.latest.Load().counts }

// Stats returns a variable for expvar with the depths and counts.
func (que *Queue) Stats() expvar.Var {
	return expvar.Func(func() any {
		latest := que.latest.Load()
		return struct {
			Depths []admit.QueueStats
			Counts Counts
		}{latest.queues, latest.counts}
	})
}
