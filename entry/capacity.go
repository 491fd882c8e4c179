package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/learn"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// maxCapacityLines limits the log lines about estimates in one round of heartbeats.
const maxCapacityLines = 4

// contended reports whether the configuration says that callers compete.
func (state *sharedState) contended() bool {
	table := state.table.Load()
	return table != nil && table.Contended()
}

// contendedEstimates are the learnt estimates, used while callers compete. Otherwise they
// are only shown in metrics and logs and tell which groups are slow.
type contendedEstimates struct {
	learned *learn.Estimator
	applies func() bool
}

// Fraction implements site.CapacityEstimator.
func (est contendedEstimates) Fraction(srv *site.Server, now time.Time) float64 {
	if !est.applies() {
		return 1
	}
	return est.learned.Fraction(srv, now)
}

// Speed implements site.SpeedEstimator.
func (est contendedEstimates) Speed(srv *site.Server) float64 {
	if !est.applies() {
		return 1
	}
	return est.learned.Speed(srv)
}

// useEstimates lets the choice of a server and admission use what is learnt of the servers
// while that applies.
func (loads *loadTracker) useEstimates(applies func() bool) {
	est := contendedEstimates{learned: loads.learned, applies: applies}
	loads.balancer.AddEstimator(est)
	loads.balancer.SetSpeeds(est)
	loads.balancer.SetDrawn(applies)
}

// learnEvent records the time to an event of a stream for the estimate of the server's
// capacity. The caller holds the mutex of the load tracker.
func (attempt *attempt) learnEvent(balancer *share.Balancer, gap time.Duration) {
	srv, route, now := attempt.server, attempt.call.route, time.Now()
	load := balancer.Load(srv.ID, now).Running
	learned := attempt.forwarder.loads.learned
	switch {
	case !attempt.started:
		learned.RecordFirst(srv.Run(), load, now.Sub(attempt.sentAt), route.TargetLatency)
	case gap > 0:
		learned.RecordGap(srv.Run(), load, gap, route.TargetEventGap)
	}
}

// learnEnd records what the end of an attempt that is no begun stream says of the server:
// its answer, or that it took longer than the target. Answers that blame the request come
// quickly from any server and are not counted.
func (attempt *attempt) learnEnd() {
	if attempt.started {
		return
	}
	status, refused := attempt.body.Status(), len(attempt.body.Header(platform.HeaderNotExecuted)) > 0
	took := attempt.answeredAt.Sub(attempt.sentAt)
	stream := attempt.call.route.Kind == site.KindStream
	if stream {
		took = time.Since(attempt.sentAt)
	}
	switch {
	case refused || status >= fasthttp.StatusInternalServerError:
		attempt.forwarder.learnFailure(attempt.call, attempt.server)
	case !stream && status < fasthttp.StatusMultipleChoices || took > attempt.call.route.TargetLatency:
		attempt.forwarder.learnFirst(attempt.call, attempt.server, took)
	}
}

// blamesServer reports whether the error of an attempt is a failure of the server: neither
// the caller nor this node ended the attempt for another reason.
func (call *call) blamesServer(err error) bool {
	return core.CodeOf(err) != core.CodeCallerGone && !call.abortedForPart() && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// learnNoAnswer records an attempt that ended without an answer and without a failure of
// the server. That says only that the server took longer.
func (fwd *forwarder) learnNoAnswer(call *call, srv *site.Server, took time.Duration, err error) {
	if !call.blamesServer(err) && !call.abortedForPart() && took > call.route.TargetLatency {
		fwd.learnFirst(call, srv, took)
	}
}

func (fwd *forwarder) learnFirst(call *call, srv *site.Server, took time.Duration) {
	fwd.learn(srv, func(load int) {
		fwd.loads.learned.RecordFirst(srv.Run(), load, took, call.route.TargetLatency)
	})
}

func (fwd *forwarder) learnFailure(call *call, srv *site.Server) {
	fwd.learn(srv, func(load int) { fwd.loads.learned.RecordFailure(srv.Run(), load, call.route.TargetLatency) })
}

// learn calls record with the load of a server that can be reached. Others say nothing of
// what they sustain.
func (fwd *forwarder) learn(srv *site.Server, record func(load int)) {
	now := time.Now()
	fwd.loads.withLock(func(balancer *share.Balancer) {
		if !balancer.ZoneUnreachable(srv.Zone, now) {
			record(balancer.Load(srv.ID, now).Running)
		}
	})
}

// slowServers returns the servers that run requests and are far slower than others. The
// caller holds the mutex.
func (loads *loadTracker) slowServers(now time.Time) []string {
	return slices.DeleteFunc(loads.learned.SlowServers(), func(id string) bool { return loads.balancer.Load(id, now).Running == 0 })
}

// capacityClasses returns the servers by model and by plain service.
func capacityClasses(table *site.Table, view *site.View) []learn.Class {
	var out []learn.Class
	for _, svc := range table.Config().Services {
		if svc.Engine == nil {
			out = append(out, learn.Class{Name: svc.Name, Servers: view.PlainServers(svc.Name)})
			continue
		}
		for _, model := range svc.Engine.Models {
			out = append(out, learn.Class{Name: model.Name, Slots: svc.Engine.Slots, Streams: true, Servers: view.ServingHeads(svc.Name, model.Name)})
		}
	}
	return out
}

// stepCapacity updates the estimates of what servers can take.
func (peers *peers) stepCapacity(table *site.Table, view *site.View, now time.Time) {
	if table == nil {
		return
	}
	classes := capacityClasses(table, view)
	var changes []learn.Change
	var summaries []learn.ClassSummary
	peers.loads.withLock(func(*share.Balancer) {
		changes = peers.loads.learned.Step(classes, now)
		summaries = append(summaries, peers.loads.learned.Summaries()...)
	})
	for idx := range summaries {
		peers.metrics.recordCapacity(&summaries[idx])
	}
	for _, change := range changes[:min(maxCapacityLines, len(changes))] {
		peers.logCapacity(&change)
	}
	if len(changes) > maxCapacityLines {
		peers.log.WithFields(logrus.Fields{"event": "server_capacity", "omitted": len(changes) - maxCapacityLines}).Info("more estimates of servers changed")
	}
}

func (peers *peers) logCapacity(change *learn.Change) {
	peers.log.WithFields(logrus.Fields{
		"event": "server_capacity", "server": change.Server, "class": change.Class, "published": change.Slots, "from": change.From, "to": change.To,
		"late_first": change.LateFirsts, "late_gaps": change.LateGaps, "load": change.Load, "speed": change.Speed,
	}).Info("the estimate of the requests that a server sustains changed")
}
