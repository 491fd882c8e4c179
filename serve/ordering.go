package serve

import (
	"context"
	"time"

	"kumquathinge/core"
)

// orderingQueue is the queue of calls with one ordering key. The first one runs.
type orderingQueue struct {
	waiting []chan struct{}
}

// orderingTurn is a job's place in the queue of its ordering key. The zero value
// is for a job without an ordering key.
type orderingTurn struct {
	srv   *Server
	key   string
	ready chan struct{}
}

// enterOrderingQueue appends the job to the queue of its ordering key.
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

// wait waits until the job is the first in its queue.
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
		return resultError(contextEndCode(ctx), 0, "the call was still queued behind calls with the same ordering key")
	}
}

// leave removes the job from its queue, so that the next one can run.
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

// leave removes a call from the queue and, if it was the first, starts the next.
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

// contextEndCode returns the result code for the end of ctx.
func contextEndCode(ctx context.Context) core.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeDeadline
	}
	return core.CodeCallerGone
}
