package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// sweepPause is the pause between two looks at the open calls. A caller
	// that leaves is seen within two of them.
	sweepPause = 100 * time.Millisecond
	// silenceBound is the time after which a head that sends nothing for any
	// of its streams is suspect. A batch of a full group takes 60 ms a pass,
	// and 270 ms when long prompts are read meanwhile.
	silenceBound = 450 * time.Millisecond
	// retryFactor is how many objectives an idempotent request waits for a
	// plain service before another server is asked.
	retryFactor = 2.5
)

// sweeper looks at the open calls: it ends those whose callers have left, and
// the attempts at servers that have fallen silent.
type sweeper struct {
	fwd  *forwarder
	log  *logrus.Logger
	mtx  sync.Mutex
	open map[*call]struct{}
}

func newSweeper(fwd *forwarder, log *logrus.Logger) *sweeper {
	return &sweeper{fwd: fwd, log: log, open: map[*call]struct{}{}}
}

func (swe *sweeper) add(cal *call) {
	swe.mtx.Lock()
	defer swe.mtx.Unlock()
	swe.open[cal] = struct{}{}
}

func (swe *sweeper) remove(cal *call) {
	swe.mtx.Lock()
	defer swe.mtx.Unlock()
	delete(swe.open, cal)
}

// count returns the number of open calls.
func (swe *sweeper) count() int {
	swe.mtx.Lock()
	defer swe.mtx.Unlock()
	return len(swe.open)
}

func (swe *sweeper) calls() []*call {
	swe.mtx.Lock()
	defer swe.mtx.Unlock()
	out := make([]*call, 0, len(swe.open))
	for cal := range swe.open {
		out = append(out, cal)
	}
	return out
}

// run sweeps until ctx ends.
func (swe *sweeper) run(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		sleep(ctx, sweepPause)
		now := time.Now()
		vie := swe.fwd.sta.view.Load()
		for _, cal := range swe.calls() {
			if turn%2 == 0 && cal.gone() {
				swe.log.WithFields(logrus.Fields{"event": "caller_gone", "request": cal.id, "after": now.Sub(cal.begin)}).Info("caller closed its connection")
				if cal.route.Retryable() || cal.svc.Engine != nil {
					cal.cancel(errCallerGone)
				}
				continue
			}
			swe.look(cal, vie, now)
		}
	}
	return nil
}

// look ends the attempt of a call whose server is silent, if another server
// can take it.
func (swe *sweeper) look(cal *call, vie *site.View, now time.Time) {
	srv := cal.server.Load()
	if srv == nil || cal.stop.Load() == nil || !cal.route.Retryable() {
		return
	}
	var cause error
	switch {
	case cal.svc.Engine != nil && vie.Server(srv.ID) != nil && vie.Server(srv.ID).Group.Epoch != srv.Group.Epoch:
		cause = errGroupGone
	case cal.svc.Engine != nil && cal.silent(now) > silenceBound && swe.silent(srv.ID, now):
		cause = errSilent
	case cal.svc.Engine == nil && cal.silent(now) > time.Duration(retryFactor*float64(cal.route.TargetLatency)):
		cause = errSilent
	default:
		return
	}
	if int(cal.sent.Load())+1 >= cal.attempts() || !swe.elsewhere(cal, srv, now) {
		return
	}
	cal.abort(cause)
}

// silent reports whether the server sends nothing for any request.
func (swe *sweeper) silent(id string, now time.Time) bool {
	out := false
	swe.fwd.lod.with(func(boo *share.Balancer) { out = boo.TimeSinceProgress(id, now) > silenceBound })
	return out
}

// elsewhere reports whether another server has room for the call.
func (swe *sweeper) elsewhere(cal *call, srv *site.Server, now time.Time) bool {
	srvs := swe.fwd.candidates(cal)
	var cho share.Choice
	swe.fwd.lod.with(func(boo *share.Balancer) { cho = boo.Choose(srvs, cal.capacity, []string{srv.ID}, now) })
	return cho.Server != nil
}
