package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// provedTime is the time from the begin of an answer after which an event
	// shows that the request does not crash its server.
	provedTime = 200 * time.Millisecond
	// trialPollInterval is the interval at which a request with a suspected part
	// checks whether it may be sent.
	trialPollInterval = 20 * time.Millisecond
	// maxTrialWait is how long a request with a suspected part waits for the
	// outcome of the trial of another one.
	maxTrialWait = time.Second
	// minSuspectRetryAfter is the minimum Retry-After of a request with a
	// suspected part: by then its trial has ended.
	minSuspectRetryAfter = 500 * time.Millisecond
)

// crashGuard keeps requests on which backend servers crash from further servers.
// It guards a tracker with a mutex, which is held briefly.
type crashGuard struct {
	log     *logrus.Logger
	metrics *nodeMetrics
	loads   *loadTracker

	// reportDue signals that peers should get a report at once, partsChanged that
	// the open calls should be checked.
	reportDue, partsChanged chan struct{}

	mtx     sync.Mutex
	tracker *crash.PartTracker
}

func newCrashGuard(self nodeRecord, loads *loadTracker, log *logrus.Logger, meter *nodeMetrics) *crashGuard {
	return &crashGuard{log: log, metrics: meter, loads: loads, reportDue: make(chan struct{}, 1), partsChanged: make(chan struct{}, 1), tracker: crash.NewPartTracker(observerName(self.Node, self.Incarnation), crash.PartsConfig{})}
}

// observerName names one run of a node, so that the evidence of its previous run
// remains.
func observerName(node string, incarnation int64) string {
	return fmt.Sprintf("%s/%d", node, incarnation)
}

// newSubject returns what a request may have in common with others: the parts
// of its prompt, and its content with its caller.
func newSubject(call *call, parts []core.PromptPart) crash.Subject {
	var digest xxhash.Digest
	digest.Reset()
	for _, item := range [][]byte{[]byte(call.org), call.request.Header.RequestURI(), []byte(call.model), call.request.Body()} {
		_, _ = digest.Write(item)
		_, _ = digest.Write([]byte{0})
	}
	for _, part := range parts {
		_, _ = digest.WriteString(string(part) + ",")
	}
	return crash.Subject{Shared: parts, Own: core.PromptPart(fmt.Sprintf("request-%016x", digest.Sum64()))}
}

// interrupted returns the function that records that the connection of a call to a server
// ended before its answer was beyond the point at which servers crash, nil if the error does
// not show that. A call that this node took back may still be the cause of a crash.
func (guard *crashGuard) interrupted(call *call, srv *site.Server, err error, begun bool) func() {
	code := core.CodeOf(err)
	if call.attemptProved.Load() || code == core.CodeDialFailed || call.attemptEvents.Load() > 0 && call.service.Engine == nil {
		return nil
	}
	stage := crash.StageWaiting
	switch {
	case call.attemptEvents.Load() > 0:
		stage = crash.StageAnswered
	case begun:
		stage = crash.StageBegun
	}
	if call.ctx.Err() != nil || call.abortedBy.Load() != nil {
		guard.withdrawn(call, srv, stage)
		return nil
	}
	if code != core.CodeCutAnswer && code != core.CodeUnknownOutcome {
		return nil
	}
	at, subject := time.Now(), call.subject
	return func() {
		guard.mtx.Lock()
		defer guard.mtx.Unlock()
		guard.tracker.Interrupted(serverRun(srv), subject, stage, at)
		guard.publishChanges(time.Now())
	}
}

// withdrawn records that this node took a call back from a server.
func (guard *crashGuard) withdrawn(call *call, srv *site.Server, stage crash.Stage) {
	now := time.Now()
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	guard.tracker.Withdrawn(serverRun(srv), call.subject, stage, now)
	guard.publishChanges(now)
}

func serverRun(srv *site.Server) crash.ServerRun {
	return crash.ServerRun{ID: srv.ID, StartMillis: srv.StartMillis, Domain: srv.Domain}
}

// proved records that a server answers a call beyond the point at which servers
// crash.
func (guard *crashGuard) proved(call *call) {
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	guard.tracker.Proved(call.subject, time.Now())
}

// decide returns the disposition of a call.
func (guard *crashGuard) decide(call *call, now time.Time) crash.PartDecision {
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	return guard.tracker.Decide(call.subject, now)
}

// allows reports whether the call may be sent to a server without a wait.
func (guard *crashGuard) allows(call *call, now time.Time) bool {
	return guard.decide(call, now).Disposition == crash.Allowed
}

// admit waits until the call may be sent to a server. It returns an error if a
// part of its prompt is in quarantine, or is still suspected after
// maxTrialWait.
func (guard *crashGuard) admit(call *call) error {
	begin := time.Now()
	for now := begin; ; now = time.Now() {
		decision := guard.decide(call, now)
		switch {
		case decision.Disposition == crash.Allowed || decision.Disposition == crash.Isolated && guard.startTrial(call, decision, now):
			return nil
		case decision.Disposition == crash.Quarantined:
			return guard.refuse(call, decision, "quarantined", decision.Until.Sub(now))
		case now.Sub(begin) >= maxTrialWait || call.timeLeft(now) <= maxTrialWait/2:
			return guard.refuse(call, decision, "suspected", minSuspectRetryAfter)
		}
		sleep(call.ctx, trialPollInterval)
		if call.ctx.Err() != nil {
			return guard.refuse(call, decision, "request ended", minSuspectRetryAfter)
		}
	}
}

// refuse returns the error of a call that is not sent because of a part.
func (guard *crashGuard) refuse(call *call, decision crash.PartDecision, reason string, after time.Duration) error {
	guard.metrics.recordCrashRefusal(reason)
	guard.log.WithFields(logrus.Fields{
		"event": "part_refused", "request": call.id, "part": decision.Part, "reason": reason, "servers": decision.Servers, "retry_after": after, "sent": call.possibleRuns.Load(),
	}).Info("request refused because servers ended under a part of its prompt")
	err := core.Errorf(core.CodeQuarantined, "servers %v ended under part %s", decision.Servers, decision.Part)
	if call.possibleRuns.Load() > 0 {
		return core.Errorf(core.CodeUnknownOutcome, "an attempt failed and %s", err.Detail())
	}
	return &notRunError{cause: err, reason: reason, retryAfter: after}
}

// startTrial reports whether a call with a suspected part may be sent now.
func (guard *crashGuard) startTrial(call *call, decision crash.PartDecision, now time.Time) bool {
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	started := guard.tracker.StartTrial(call.subject, now)
	call.onTrial.Store(started)
	if started {
		guard.log.WithFields(logrus.Fields{"event": "part_trial", "request": call.id, "part": decision.Part, "servers": decision.Servers}).Info("trying a request with a suspected part")
	}
	return started
}

// endTrial ends the trial of a call, if it is one.
func (guard *crashGuard) endTrial(call *call) {
	if !call.onTrial.Swap(false) {
		return
	}
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	guard.tracker.EndTrial()
}

// abortCause returns why an attempt that has no event yet should be aborted, or
// nil: its prompt has a part under which other servers ended.
func (guard *crashGuard) abortCause(call *call, now time.Time) error {
	switch guard.decide(call, now).Disposition {
	case crash.Quarantined:
		return errPartQuarantined
	case crash.Isolated:
		return errPartSuspected
	default:
		return nil
	}
}

// step drops evidence that data from its servers disproves, and logs changes.
func (guard *crashGuard) step(nodes int, now time.Time) {
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	guard.tracker.SetNodes(nodes)
	guard.loads.withLock(func(balancer *share.Balancer) { guard.tracker.Retract(balancer.LastActive, now) })
	guard.publishChanges(now)
}

// report returns the report to peers, nil if there is nothing to report.
func (guard *crashGuard) report(now time.Time) *crash.PartsReport {
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	return guard.tracker.Export(now)
}

// updatePeer replaces the report of a peer.
func (guard *crashGuard) updatePeer(node string, incarnation int64, report *crash.PartsReport, now time.Time) {
	guard.mtx.Lock()
	defer guard.mtx.Unlock()
	if report == nil && !guard.tracker.HasPeers() {
		return
	}
	guard.tracker.UpdatePeer(observerName(node, incarnation), report, now)
	guard.publishChanges(now)
}

// notify signals a channel of capacity 1 without blocking.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// publishChanges logs and counts the changes of the tracker, and signals the
// tasks that act on them. The caller holds the mutex.
func (guard *crashGuard) publishChanges(now time.Time) {
	changes := guard.tracker.TakeChanges(now)
	if guard.tracker.TakeUrgent() {
		notify(guard.reportDue)
	}
	if len(changes) > 0 {
		notify(guard.partsChanged)
	}
	for num, change := range changes {
		guard.metrics.recordCrashChange(change.Kind.String())
		if num >= maxLoggedChanges {
			continue
		}
		guard.log.WithFields(logrus.Fields{
			"event": "part_" + change.Kind.String(), "part": change.Part, "servers": change.Servers, "for": max(0, change.Until.Sub(now)),
		}).Warn(changeMessages[change.Kind])
	}
}

// maxLoggedChanges is the number of changes at one moment that are logged. A prompt may have
// thousands of parts.
const maxLoggedChanges = 16

var changeMessages = map[crash.PartChangeKind]string{
	crash.PartSuspected:   "a server ended under a part of a prompt; requests with it wait for a trial",
	crash.PartQuarantined: "servers ended under a part of prompts; requests with it are refused",
	crash.PartCleared:     "a part of prompts is no longer suspected",
}
