package serve

import (
	"context"
	"time"

	"kumquathinge/core"
)

// line is the queue of the calls with one ordering key. The first runs.
type line struct {
	turns []chan struct{}
}

// turn is a job's place in the line of its ordering key. The zero turn is that
// of a job without one.
type turn struct {
	srv   *Server
	key   string
	first chan struct{}
}

// lineUp takes the job's place.
func (srv *Server) lineUp(job core.Job) turn {
	if job.Service == "" || job.OrderingKey == "" {
		return turn{}
	}
	trn := turn{
		srv:   srv,
		key:   string(job.Org) + "\x00" + job.Service + "\x00" + job.OrderingKey,
		first: make(chan struct{}),
	}
	srv.use(func(boo *books) { boo.enqueue(trn.key, trn.first) })
	return trn
}

// wait waits until the job is the first of its line.
func (trn turn) wait(ctx context.Context, until time.Time) error {
	if trn.first == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	select {
	case <-trn.first:
		return nil
	case <-ctx.Done():
		return fail(ctxCode(ctx), 0, "waiting behind calls with the same ordering key")
	}
}

// leave gives up the place, so that the next job runs.
func (trn turn) leave() {
	if trn.first != nil {
		trn.srv.use(func(boo *books) { boo.leave(trn.key, trn.first) })
	}
}

func (boo *books) enqueue(key string, turn chan struct{}) {
	lin := boo.lines[key]
	if lin == nil {
		lin = &line{}
		boo.lines[key] = lin
	}
	lin.turns = append(lin.turns, turn)
	if len(lin.turns) == 1 {
		close(turn)
	}
}

// leave removes the turn and, if it was the first, starts the next.
func (boo *books) leave(key string, turn chan struct{}) {
	lin := boo.lines[key]
	for pos, one := range lin.turns {
		if one != turn {
			continue
		}
		lin.turns = append(lin.turns[:pos], lin.turns[pos+1:]...)
		if pos == 0 && len(lin.turns) > 0 {
			close(lin.turns[0])
		}
		break
	}
	if len(lin.turns) == 0 {
		delete(boo.lines, key)
	}
}

// ctxCode tells why ctx ended.
func ctxCode(ctx context.Context) core.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeDeadline
	}
	return core.CodeCallerGone
}
