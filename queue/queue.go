package queue

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// DefaultTickInterval is the default interval at which queued jobs are checked
// for deadlines and admission.
const DefaultTickInterval = 100 * time.Millisecond

// messageBufferSize is the capacity of the channel of messages to Run.
const messageBufferSize = 256

// Config configures a Queue.
type Config struct {
	Admit        admit.Config
	Clock        func() time.Time       // time.Now if nil
	Cost         func(core.Job) float64 // Cost if nil; must return a positive number
	Work         func(core.Job) float64 // Work if nil; must return a positive number
	TickInterval time.Duration          // DefaultTickInterval if zero
}

// Queue admits jobs. It must be created with New and works while Run runs.
type Queue struct {
	clock        func() time.Time
	cost         func(core.Job) float64
	work         func(core.Job) float64
	tickInterval time.Duration
	controller   *admit.Controller
	msgs         chan func()
	stopped      chan struct{} // closed when Run stops accepting jobs
	nextID       uint64
	resultsByJob map[uint64]waiter
	priorities   int
	latest       atomic.Pointer[snapshot]
	counts       Counts
}

// waiter is a queued job: where its result goes, and its urgency.
type waiter struct {
	results chan<- result
	urgency int
}

// result is the outcome of a queued job; a nil error means admitted.
type result struct{ err *core.Error }

// snapshot is the state that the accessors return, as of the last tick.
type snapshot struct {
	usage  map[core.OrgName]core.Usage
	queues []admit.QueueStats
	counts Counts
}

// Counts are the numbers of jobs since the queue was created.
type Counts struct {
	Entered   uint64
	Admitted  uint64
	Cancelled uint64
	Refused   map[core.Code]uint64
	// ByUrgency counts the admitted and refused jobs by urgency, 0 for the highest
	// priority.
	ByUrgency admit.LevelCounts
}

// New returns a Queue that accepts jobs while Run runs. No model has capacity
// until SetCapacity is called.
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
		resultsByJob: make(map[uint64]waiter),
		priorities:   cmp.Or(cfg.Admit.Priorities, admit.DefaultPriorities),
		counts:       Counts{Refused: make(map[core.Code]uint64), ByUrgency: admit.LevelCounts{}},
	}
	que.publish()
	return que
}

// Run handles messages until ctx is done. Jobs that are queued then, and later
// ones, are rejected with core.CodeDraining. Run must be called once and always
// returns nil.
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

// tick rejects jobs that would miss their deadline, admits jobs for which there
// is capacity, and publishes the snapshot.
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
	counts.ByUrgency = maps.Clone(que.counts.ByUrgency)
	que.latest.Store(&snapshot{usage: que.controller.Usage(que.clock()), queues: que.controller.Queues(), counts: counts})
}

// apply sends the controller's decisions to the queued jobs.
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

// respond sends the job's result. It panics if the job is not queued, since
// each job gets exactly one result.
func (que *Queue) respond(id uint64, err *core.Error) {
	job, ok := que.resultsByJob[id]
	if !ok {
		panic(fmt.Sprintf("queue: result for job %d, which is not queued", id))
	}
	delete(que.resultsByJob, id)
	que.counts.ByUrgency.Record(job.urgency, err == nil)
	if err == nil {
		que.counts.Admitted++
	} else {
		que.counts.Refused[err.Code()]++
	}
	job.results <- result{err: err}
}

// send sends a message to Run. It returns false if Run has stopped.
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

// SetCapacity sets how many jobs of a class (see Class) may run concurrently.
func (que *Queue) SetCapacity(class core.ModelName, slots int) {
	que.send(func() {
		que.controller.SetCapacity(class, slots)
		que.apply(que.controller.Tick(que.clock()))
	})
}

// SetMaxQueued sets how many jobs of a class may be queued.
func (que *Queue) SetMaxQueued(class core.ModelName, depth int) {
	que.send(func() { que.controller.SetMaxQueued(class, depth) })
}

// SetOrg sets an organisation's limits.
func (que *Queue) SetOrg(name core.OrgName, limits admit.OrgLimits) {
	que.send(func() { que.controller.SetOrg(name, limits) })
}

// SetShare sets the fraction of an organisation's limits, in [0, 1], that this
// entry VM may use. See admit.Share.
func (que *Queue) SetShare(name core.OrgName, share float64) {
	que.send(func() { que.controller.SetShare(name, share) })
}

// Usage returns the organisations' usage as of the last tick, which heartbeats
// report to peers. The caller must not modify the map.
func (que *Queue) Usage() map[core.OrgName]core.Usage { return que.latest.Load().usage }

// QueueStats returns the state of the queues as of the last tick.
func (que *Queue) QueueStats() []admit.QueueStats { return que.latest.Load().queues }

// Counts returns the numbers of jobs as of the last tick.
func (que *Queue) Counts() Counts { return que.latest.Load().counts }

// Stats returns an expvar variable with the queue states and the counts.
func (que *Queue) Stats() expvar.Var {
	return expvar.Func(func() any {
		latest := que.latest.Load()
		return struct {
			Depths []admit.QueueStats
			Counts Counts
		}{latest.queues, latest.counts}
	})
}
