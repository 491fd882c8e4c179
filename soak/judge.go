package soak

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the users' rule on lost requests.
const (
	// stableWindow is the time without a disruption after which a node counts as
	// undisturbed.
	stableWindow = 3 * time.Second
	// lossSlack is the time from the last byte of a request within which its
	// connection may end if the request reached no server.
	lossSlack = 200 * time.Millisecond
	// startSlack is the time from the start of a process within which it may refuse
	// connections, endSlack that before its end.
	startSlack, endSlack = 2 * time.Second, time.Second
	// stopAcceptTime is the time from SIGTERM within which requests may be cut at the
	// end of the grace if their server still works on them.
	stopAcceptTime = 3 * time.Second
	// configWindow is the time after a configuration was written, reloadWindow that
	// after SIGHUP, in which a node may not lose requests.
	configWindow = maxConfigDelay + time.Second
	reloadWindow = maxConfigDelay
	// maxKeptLosses is the number of requests on kept connections that a run may lose
	// outside planned maintenance.
	maxKeptLosses = 3
)

// Excuse is why a request without a complete response is not lost.
type Excuse string

// Excuses, in the order in which they are looked for.
const (
	NoExcuse         Excuse = ""
	ExcuseAnswered   Excuse = "answered"
	ExcuseCancelled  Excuse = "cancelled by the client"
	ExcuseUnread     Excuse = "not read by the node"
	ExcuseCrossed    Excuse = "ended within the slack after its last byte and reached no server"
	ExcuseServer     Excuse = "the server broke off or was disrupted"
	ExcuseDeadline   Excuse = "the deadline was reached"
	ExcuseWorking    Excuse = "the server worked on it at the end of the grace"
	ExcuseDisruption Excuse = "the node was disrupted"
	ExcuseUnplanned  Excuse = "no planned maintenance"
	ExcuseNew        Excuse = "a new connection"
)

// Period is a period of time. An end of zero means that it lasts.
type Period struct{ From, To time.Time }

// overlaps reports whether the two periods overlap.
func (sp Period) overlaps(from, to time.Time) bool {
	return !sp.From.After(to) && (sp.To.IsZero() || !sp.To.Before(from))
}

// Evidence is what is known of a request that a client sent.
type Evidence struct {
	// OpenedAt is when the connection was opened, zero if that is unknown.
	OpenedAt, SentAt, EndedAt time.Time
	Deadline                  time.Duration
	// Answered is set if the client got a complete response, Read if the node read the
	// request, PassedOn if it reached a server, Connected if the node accepted its
	// connection.
	Answered, Cancelled, Read, PassedOn, Connected, Kept bool
	// ServerFailed is set if a server that got it broke off, or was disrupted.
	ServerFailed bool
	// WorkedUntil is when the last server ended its work on it, zero if it still works.
	WorkedUntil time.Time
	// Terms, Reloads and Configs are the times of SIGTERM and SIGHUP at the node, and of
	// new configurations.
	Terms, Reloads, Configs []time.Time
	// Disruptions are those of the node that are not planned, Lives the periods in which a
	// process of the node ran.
	Disruptions, Lives []Period
	// Cuts are the periods in which the node was cut off from all backend servers, Begun is
	// set if the client got the begin of a response.
	Cuts  []Period
	Begun bool
	Grace time.Duration
	// Calm is set in a run without unplanned disruptions: a request may then be lost at
	// no time.
	Calm bool
}

// sound returns the excuse that does not depend on what went on at the node.
func (ev Evidence) sound() Excuse {
	switch {
	case ev.Answered:
		return ExcuseAnswered
	case ev.Cancelled:
		return ExcuseCancelled
	case !ev.Read && !ev.PassedOn:
		return ExcuseUnread
	case !ev.PassedOn && ev.EndedAt.Sub(ev.SentAt) <= lossSlack:
		return ExcuseCrossed
	case ev.ServerFailed:
		return ExcuseServer
	case ev.EndedAt.Sub(ev.SentAt) >= ev.Deadline:
		return ExcuseDeadline
	}
	for _, sp := range ev.Disruptions {
		if sp.overlaps(ev.SentAt.Add(-stableWindow), ev.EndedAt) {
			return ExcuseDisruption
		}
	}
	return NoExcuse
}

// working reports whether the request was sent early in a stop, and its server still
// worked on it in the last sixth of the grace.
func (ev Evidence) working() bool {
	for _, at := range ev.Terms {
		late := at.Add(ev.Grace * 5 / 6)
		if ev.SentAt.After(at.Add(stopAcceptTime)) || ev.EndedAt.Before(late) || ev.EndedAt.After(at.Add(ev.Grace+time.Second)) {
			continue
		}
		if ev.PassedOn && (ev.WorkedUntil.IsZero() || !ev.WorkedUntil.Before(late)) {
			return true
		}
	}
	return false
}

// stopping reports whether the request overlaps a stop of the node.
func (ev Evidence) stopping() bool {
	for _, at := range ev.Terms {
		if ev.EndedAt.After(at) && ev.SentAt.Before(at.Add(ev.Grace+time.Second)) {
			return true
		}
	}
	return false
}

// outlived reports whether the process that accepted the connection ended before the
// request did.
func (ev Evidence) outlived() bool {
	return !ev.OpenedAt.IsZero() && slices.ContainsFunc(ev.Lives, func(life Period) bool {
		return !life.To.IsZero() && life.To.After(ev.OpenedAt) && life.To.Before(ev.EndedAt)
	})
}

// refused reports whether the node did not accept the connection although its process had
// run for startSlack and went on for endSlack, also in a stop.
func (ev Evidence) refused() bool {
	return !ev.Connected && slices.ContainsFunc(ev.Lives, func(life Period) bool {
		return ev.SentAt.After(life.From.Add(startSlack)) && (life.To.IsZero() || ev.EndedAt.Before(life.To.Add(-endSlack)))
	})
}

// Planned returns the excuse of a request by the rule around planned maintenance.
func (ev Evidence) Planned() Excuse {
	exc := ev.sound()
	if exc == ExcuseUnread && ev.Calm && (ev.refused() || ev.Connected && !ev.stopping() && !ev.outlived()) {
		return NoExcuse
	}
	if exc != NoExcuse {
		return exc
	}
	if ev.working() {
		return ExcuseWorking
	}
	for _, sp := range ev.Cuts {
		if sp.overlaps(ev.SentAt.Add(-stableWindow), ev.EndedAt) {
			return ExcuseDisruption
		}
	}
	if !ev.aroundPlannedWork() {
		return ExcuseUnplanned
	}
	return NoExcuse
}

// aroundPlannedWork reports whether the request was open around a stop or a reload of the
// node, or a new configuration, or in a calm run.
func (ev Evidence) aroundPlannedWork() bool {
	around := ev.Calm || ev.stopping()
	for _, at := range ev.Reloads {
		around = around || ev.SentAt.Before(at.Add(reloadWindow)) && ev.EndedAt.After(at)
	}
	late := ev.EndedAt.Sub(ev.SentAt) >= ev.Deadline*7/10
	for _, at := range ev.Configs {
		around = around || !late && ev.SentAt.Before(at.Add(configWindow)) && ev.EndedAt.After(at)
	}
	return around
}

// Anytime returns the excuse of a request by the rule that holds for kept connections
// at any time.
func (ev Evidence) Anytime() Excuse {
	if exc := ev.sound(); exc != NoExcuse {
		return exc
	}
	if !ev.Kept {
		return ExcuseNew
	}
	if !ev.PassedOn {
		return ExcuseUnread
	}
	for _, sp := range ev.Cuts {
		// A node that is cut off can still answer, but not complete a response.
		if ev.Begun && sp.overlaps(ev.SentAt, ev.EndedAt) {
			return ExcuseServer
		}
	}
	for _, at := range ev.Terms {
		if (Period{From: at, To: at.Add(ev.Grace)}).overlaps(ev.SentAt.Add(-stableWindow), ev.EndedAt) {
			return ExcuseDisruption
		}
	}
	return NoExcuse
}

// judgeLosses judges all requests by the rules on lost requests, and returns the
// violations and how often each excuse was used.
func (dep *deployment) judgeLosses(planned bool, requests map[string][]serverRequest, serverByID map[string]*server) (violations []string, excuses map[Excuse]int) {
	excuses = map[Excuse]int{}
	var keptLosses []string
	read := map[*Node]map[string]string{}
	for _, node := range dep.nodes {
		read[node] = node.loggedRequests()
	}
	for _, call := range dep.calls.all() {
		ev := dep.evidenceOf(call, call.own(requests[call.id]), serverByID)
		// The node may have read an earlier request with the ID.
		ev.Read, ev.Calm = read[call.node][call.id] >= call.sentAt.Format(logTimeFormat), planned
		exc := ev.Planned()
		excuses[exc]++
		if exc == NoExcuse {
			violations = append(violations, fmt.Sprintf("request lost around planned maintenance: %v", call))
		} else if ev.Anytime() == NoExcuse {
			keptLosses = append(keptLosses, fmt.Sprintf("request on a kept connection lost: %v", call))
		}
	}
	if len(keptLosses) > maxKeptLosses {
		violations = append(violations, keptLosses...)
	}
	return violations, excuses
}

// evidenceOf collects what is known of a call.
func (dep *deployment) evidenceOf(call *callRecord, reqs []serverRequest, serverByID map[string]*server) Evidence {
	ev := Evidence{
		OpenedAt: call.openedAt, SentAt: call.sentAt, EndedAt: call.endedAt, Deadline: time.Duration(call.route.Deadline), Answered: call.complete && call.err == nil,
		Cancelled: call.cancelled, PassedOn: len(reqs) > 0, Connected: call.connected, Kept: call.kept, Grace: call.node.settings.StopGrace,
	}
	for _, req := range reqs {
		ev.ServerFailed = ev.ServerFailed || req.BrokeOff || req.srv.disrupted(call.sentAt.Add(-stableWindow), call.endedAt)
		for _, id := range req.Members {
			member := serverByID[id]
			ev.ServerFailed = ev.ServerFailed || member != nil && member.disrupted(call.sentAt.Add(-stableWindow), call.endedAt)
		}
		ev.WorkedUntil = req.EndedAt
	}
	ev.Terms, ev.Reloads, ev.Disruptions, ev.Lives = call.node.history()
	ev.Begun = call.status != 0
	if dep.links != nil {
		ev.Cuts = dep.links.cutsOf(call.node)
	}
	dep.mu.Lock()
	ev.Configs = append(ev.Configs, dep.configTimes...)
	dep.mu.Unlock()
	return ev
}
