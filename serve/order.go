package serve

import (
	"context"

	"kumquathinge/core"
)

// line is the queue of the calls with one ordering key. The first runs.
type line struct {
	turns []chan struct{}
}

// takeTurn waits until the job is the first of its ordering key. The function
// that it returns lets the next one run.
func (srv *Server) takeTurn(ctx context.Context, job core.Job) (func(), error) {
	if job.Service == "" || job.OrderKey == "" {
		return func() {}, nil
	}
	key := string(job.Org) + "\x00" + job.Service + "\x00" + job.OrderKey
	turn := make(chan struct{})
	srv.use(func(boo *books) { boo.enqueue(key, turn) })
	leave := func() { srv.use(func(boo *books) { boo.leave(key, turn) }) }
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	select {
	case <-turn:
		return leave, nil
	case <-ctx.Done():
		leave()
		return nil, fail(ctxCode(ctx), 0, "waiting behind calls with the same ordering key")
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
