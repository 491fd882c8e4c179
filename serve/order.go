package serve

import (
	"context"
	"time"

	"kumquathinge/core"
)

// orderingQueue is the queue of the calls with one ordering key. The first runs.
type orderingQueue struct {
	waiting []chan struct{}
}

// orderingTurn is a job's place in the line of its ordering key. The zero turn is that
// of a job without one.
type orderingTurn struct {
	srv   *Server
	key   string
	ready chan struct{}
}

// enterOrderingQueue takes the job's place.
func (srv *Server) enterOrderingQueue(job core.Job) orderingTurn {
	if job.Service == "" || job.OrderingKey == "" {
		return orderingTurn{}
	}
	turn := orderingTurn{
		srv:   srv,
		key:   string(job.Org) + "\x00" + job.Service + "\x00" + job.OrderingKey,
		ready: make(chan struct{}),
	}
	srv.withState(func(st *nodeState) { st.enqueue(turn.key, turn.ready) })
	return turn
}

// wait waits until the job is the first of its line.
func (turn orderingTurn) wait(ctx context.Context, until time.Time) error {
	if turn.ready == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	select {
	case <-turn.ready:
		return nil
	case <-ctx.Done():
		return resultError(contextEndCode(ctx), 0, "waiting behind calls with the same ordering key")
	}
}

// leave gives up the place, so that the next job runs.
func (turn orderingTurn) leave() {
	if turn.ready != nil {
		turn.srv.withState(func(st *nodeState) { st.leave(turn.key, turn.ready) })
	}
}

func (st *nodeState) enqueue(key string, ready chan struct{}) {
	queue := st.orderingQueues[key]
	if queue == nil {
		queue = &orderingQueue{}
		st.orderingQueues[key] = queue
	}
	queue.waiting = append(queue.waiting, ready)
	if len(queue.waiting) == 1 {
		close(ready)
	}
}

// leave removes the turn and, if it was the first, starts the next.
func (st *nodeState) leave(key string, ready chan struct{}) {
	queue := st.orderingQueues[key]
	for pos, other := range queue.waiting {
		if other != ready {
			continue
		}
		queue.waiting = append(queue.waiting[:pos], queue.waiting[pos+1:]...)
		if pos == 0 && len(queue.waiting) > 0 {
			close(queue.waiting[0])
		}
		break
	}
	if len(queue.waiting) == 0 {
		delete(st.orderingQueues, key)
	}
}

// contextEndCode tells why ctx ended.
func contextEndCode(ctx context.Context) core.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeDeadline
	}
	return core.CodeCallerGone
}
