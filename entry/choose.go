package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// loads guards the counts of requests at servers and the retry budgets. Its
// sections are short, so a lock costs less than a task.
type loads struct {
	mtx     sync.Mutex
	book    *share.Balancer
	budgets map[string]*share.RetryBudget
	set     func() site.Settings
	// nodes is the number of live nodes, this one included.
	nodes int
}

func newLoads(zone string, set func() site.Settings) *loads {
	return &loads{book: share.NewBalancer(zone), budgets: map[string]*share.RetryBudget{}, set: set, nodes: 1}
}

// with runs fun while no other task uses the book.
func (lod *loads) with(fun func(*share.Balancer)) {
	lod.mtx.Lock()
	defer lod.mtx.Unlock()
	fun(lod.book)
}

func (lod *loads) budget(service string) *share.RetryBudget {
	bud := lod.budgets[service]
	if bud == nil {
		set := lod.set()
		bud = share.NewRetryBudget(set.RetryRatio, set.RetrySlack, set.RetryWindow)
		lod.budgets[service] = bud
	}
	return bud
}

// request counts a request for a service.
func (lod *loads) request(service string, now time.Time) {
	lod.mtx.Lock()
	defer lod.mtx.Unlock()
	lod.budget(service).RecordRequest(now)
}

// repeat grants one more attempt for a service.
func (lod *loads) repeat(service string, now time.Time) bool {
	lod.mtx.Lock()
	defer lod.mtx.Unlock()
	return lod.budget(service).AllowRetry(now, lod.nodes)
}

// setNodes tells how many nodes share the retry budgets.
func (lod *loads) setNodes(num int) {
	lod.mtx.Lock()
	defer lod.mtx.Unlock()
	lod.nodes = num
}

const (
	// queueShare is the part of a server's capacity that may wait at it beyond
	// what runs. A request that waits behind few others still starts in time.
	queueShare = 0.15
	// resumeShare is that part for a request that has run already: to end a
	// stream late is better than to break it off. Servers queue twice their
	// capacity.
	resumeShare = 1.0
)

// capacity returns the number of requests that a server is given at a time
// before this one.
func (cal *call) capacity(srv *site.Server) int {
	slots := srv.Slots
	if cal.svc.Engine != nil && cal.svc.Engine.Slots > 0 {
		slots = cal.svc.Engine.Slots
	}
	part := queueShare
	if cal.sent.Load() > 0 {
		part = resumeShare
	}
	return slots + int(part*float64(slots))
}

// candidates returns the servers that the request may go to.
func (fwd *forwarder) candidates(cal *call) []*site.Server {
	vie := fwd.sta.view.Load()
	if cal.svc.Engine != nil {
		return vie.ServingHeads(cal.svc.Name, cal.model)
	}
	return vie.PlainServers(cal.svc.Name)
}

// choose returns the server for the next attempt.
func (fwd *forwarder) choose(cal *call) (*site.Server, error) {
	now := time.Now()
	if cal.left(now) <= 0 {
		return nil, fwd.refuse(cal, core.Errorf(core.CodeDeadline, "the deadline passed"))
	}
	srvs := fwd.candidates(cal)
	var cho share.Choice
	fwd.lod.with(func(boo *share.Balancer) { cho = boo.Choose(srvs, cal.capacity, cal.tried, now) })
	if cho.Server == nil {
		code := core.CodeQueueFull
		if len(srvs) == 0 {
			code = core.CodeNoGroup
		}
		return nil, fwd.refuse(cal, core.Errorf(code, "none of %d servers of %s has room", len(srvs), cal.svc.Name))
	}
	if fwd.log.IsLevelEnabled(logrus.InfoLevel) {
		fwd.log.WithFields(logrus.Fields{
			"event": "attempt", "request": cal.id, "server": cho.Server.ID, "group": cho.Server.Group.Name, "epoch": cho.Server.Group.Epoch,
			"load": cho.Load.Running, "waiting_tokens": cho.Load.WaitingTokens, "of": len(srvs), "left": cal.left(now), "after_event": cal.lastEvent,
		}).Info("request sent to a server")
	}
	return cho.Server, nil
}

// refuse returns the error of a request that finds no server.
func (fwd *forwarder) refuse(cal *call, err *core.Error) error {
	if cal.sent.Load() > 0 {
		return core.Errorf(core.CodeUnknownOutcome, "an attempt failed and %s", err.Detail())
	}
	return &refusal{cause: err, why: "no server"}
}
