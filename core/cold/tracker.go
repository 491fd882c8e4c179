package cold

import (
	"math"
	"time"

	"kumquathinge/core/site"
)

const (
	// EntryLag is the time within which the nodes have read what a server last stated.
	// Servers write their entries every 1.2 s, and a changed entry takes up to half a
	// second to all nodes.
	EntryLag = 2 * time.Second
	// rampSteps is the number of seconds after the cold time in which a server is still
	// limited. The limit doubles with each. After the last step it exceeds what a server
	// takes: eight times a rate that a batch of requests sustains.
	rampSteps = 3
	// maxStatedRatio bounds what a server states of itself, relative to the cold time
	// of its service. A larger statement is wrong, and would only harm the server.
	maxStatedRatio = 4
	// absentRetention is the time for which a removed server is remembered, so that its
	// return is recognised. It exceeds the time that a restart takes.
	absentRetention = 10 * time.Minute
	// MaxReports is the number of servers in a report to peers, at about 40 bytes each.
	// A node to which more servers fail at once is probably cut off itself.
	MaxReports = 16
	// safeRatio is the part of the allowed number of requests that is given out. Nodes
	// with different lists of nodes, and requests that take different times to a server,
	// exceed what is given out by up to two thirds.
	safeRatio = 0.6
	// uncertainRatio is this part for servers of which a node only does not know enough.
	// Nearly all of them are warm, so that after a start of all nodes most would wait.
	uncertainRatio = 0.85
)

// Limit is what a service states of its cold servers.
type Limit struct {
	// PerSecond is the rate that a cold server tolerates, Time how long a server is cold.
	PerSecond float64
	Time      time.Duration
	// Bound is the highest number of requests in a second that is allowed, zero if none
	// is set.
	Bound float64
}

// rate returns the requests a second that all nodes together may send.
func (lim Limit) rate() float64 {
	if lim.Bound > 0 {
		return min(lim.PerSecond, safeRatio*lim.Bound)
	}
	return lim.PerSecond
}

// uncertainRate returns the requests a second that all nodes together may send to a
// server that may have become cold unnoticed.
func (lim Limit) uncertainRate() float64 { return max(lim.rate(), uncertainRatio*lim.Bound) }

// Reason is why a server counts as cold.
type Reason uint8

// Reasons in the order of their precedence if several hold equally long.
const (
	// ReasonStated means that the server's entry says so.
	ReasonStated Reason = iota
	// ReasonReturned means that the evacuation of its zone ended.
	ReasonReturned
	// ReasonLost means that the orderer had reported it as lost.
	ReasonLost
	// ReasonZone means that its zone could not be reached.
	ReasonZone
	// ReasonDial means that connections to it failed.
	ReasonDial
	// ReasonPeer means that another node saw it recover.
	ReasonPeer
	// ReasonUnknown means that this node has just started, resumed after a freeze or
	// read the first entry of the process, and may not know yet what happened before.
	ReasonUnknown
)

// String returns the name of the reason in logs.
func (reason Reason) String() string {
	return [...]string{"stated", "zone_returned", "lost", "zone_unreachable", "dial_failed", "peer", "unknown"}[reason]
}

// Sources are the events that other parts of a node know. Functions that are nil, and
// zero times, stand for no event.
type Sources struct {
	// ZoneReturnedAt returns when this node learned that the evacuation of a zone ended.
	ZoneReturnedAt func(zone string) time.Time
	// ZoneReachableAt returns when a zone that could not be reached could be again.
	ZoneReachableAt func(zone string) time.Time
	// LostUntil returns the time until which a server is reported as lost.
	LostUntil func(id string) time.Time
	// LastActive returns when a server last sent data to any node.
	LastActive func(id string) time.Time
}

// Report is a server that a node saw recover, with the remaining time for which it
// counts as cold.
type Report struct {
	Run  site.ServerRun `cbor:"1,keyasint"`
	Left time.Duration  `cbor:"2,keyasint"`
}

// process is what is known of one server and its latest process.
type process struct {
	limit       Limit
	startMillis int64
	updates     int64
	stated      time.Duration
	// seenAt is when the first entry of the process was received, statedUntil the end of
	// the cold time by its newest entry.
	seenAt, statedUntil time.Time
	// dialFailedAt is the latest event at this node, peerUntil the latest end that a peer
	// reported.
	dialFailedAt, peerUntil time.Time
	// absentSince is when the server's entry was removed, zero while it has one.
	absentSince time.Time
}

// Tracker derives until when each server counts as cold. Only servers of services with a
// limit are tracked. It is not safe for concurrent use.
type Tracker struct {
	sources Sources
	limits  map[string]Limit
	procs   map[string]*process
	// unknownUntil is the time until which this node may not know what happened while
	// it did not run.
	unknownUntil time.Time
}

// NewTracker returns a tracker of a node that starts now.
func NewTracker(sources Sources, now time.Time) *Tracker {
	return &Tracker{sources: sources, limits: map[string]Limit{}, procs: map[string]*process{}, unknownUntil: now.Add(EntryLag)}
}

// SetLimits sets the limits by service. Services whose rate is not a positive number have
// none.
func (trk *Tracker) SetLimits(limits map[string]Limit) {
	trk.limits = make(map[string]Limit, len(limits))
	for service, lim := range limits {
		if lim.PerSecond > 0 && !math.IsInf(lim.PerSecond, 0) {
			trk.limits[service] = lim
		}
	}
}

// limited reports whether cold servers of the server's service are limited.
func (trk *Tracker) limited(srv *site.Server) bool {
	_, ok := trk.limits[srv.Service]
	return ok
}

// Resume records that this node was frozen until now. It may have missed any event.
func (trk *Tracker) Resume(now time.Time) { trk.unknownUntil = now.Add(EntryLag) }

// Update takes the current entries of all servers.
func (trk *Tracker) Update(servers map[string]*site.Server, now time.Time) {
	for id, srv := range servers {
		if lim, ok := trk.limits[srv.Service]; ok {
			trk.updateServer(id, srv, lim, now)
		} else {
			delete(trk.procs, id)
		}
	}
	for id, proc := range trk.procs {
		switch {
		case servers[id] != nil:
		case proc.absentSince.IsZero():
			proc.absentSince = now
		case now.Sub(proc.absentSince) > absentRetention:
			delete(trk.procs, id)
		}
	}
}

// updateServer takes one entry. An entry counts once, from its first receipt: the server
// wrote it earlier, so the cold time ends before that of the entry counted from there.
func (trk *Tracker) updateServer(id string, srv *site.Server, lim Limit, now time.Time) {
	proc := trk.procs[id]
	stated := min(max(0, srv.ColdLeft), maxStatedRatio*lim.Time+EntryLag)
	switch {
	case proc == nil:
		proc = &process{seenAt: now}
		trk.procs[id] = proc
	case proc.startMillis != srv.StartMillis:
		proc.seenAt = now
	case !proc.absentSince.IsZero():
		// The entry was written anew just now, so what it states is as current as that of
		// a new process. A server that only lost contact with the store is not cold.
		proc.seenAt = now
	case srv.Updates < proc.updates || srv.Updates == proc.updates && stated == proc.stated:
		proc.limit = lim
		return
	}
	proc.limit, proc.startMillis, proc.updates, proc.stated, proc.absentSince = lim, srv.StartMillis, srv.Updates, stated, time.Time{}
	if stated > 0 || proc.statedUntil.After(now) {
		proc.statedUntil = now.Add(stated)
	}
}

// activeTime is the time since a server last sent data within which a failed connection
// does not show that it ended: nodes report data every 120 ms, and a server that ends is
// away for longer.
const activeTime = 400 * time.Millisecond

// active reports whether a server sent data to some node a moment ago. A connection that
// fails then says more about the node or the link than about the server.
func (trk *Tracker) active(id string, now time.Time) bool {
	return trk.sources.LastActive != nil && now.Sub(trk.sources.LastActive(id)) < activeTime
}

// RecordDialFailed records that a connection to a server could not be opened.
func (trk *Tracker) RecordDialFailed(id string, now time.Time) {
	if proc := trk.procs[id]; proc != nil && !trk.active(id, now) {
		proc.dialFailedAt = now
	}
}

// RecordStated records that a server stated in a response for how long it remains cold.
func (trk *Tracker) RecordStated(run site.ServerRun, left time.Duration, now time.Time) {
	proc := trk.procs[run.ID]
	if proc == nil || proc.startMillis != run.StartMillis {
		return
	}
	until := now.Add(min(max(0, left), maxStatedRatio*proc.limit.Time+EntryLag))
	if until.After(proc.statedUntil) {
		proc.statedUntil = until
	}
}

// UpdatePeer takes the servers that a peer saw recover. Reports of other processes, and
// longer lists than a peer sends, are ignored; times are bounded.
func (trk *Tracker) UpdatePeer(reports []Report, now time.Time) {
	if len(reports) > MaxReports {
		return
	}
	for _, rep := range reports {
		proc := trk.procs[rep.Run.ID]
		if proc == nil || proc.startMillis != rep.Run.StartMillis || rep.Left <= 0 || trk.active(rep.Run.ID, now) {
			continue
		}
		until := now.Add(min(rep.Left, proc.limit.recovery()))
		if until.After(proc.peerUntil) {
			proc.peerUntil = until
		}
	}
}

// recovery is the time after an event for which a server counts as cold: it may start
// again right after the event, and states that late.
func (lim Limit) recovery() time.Duration { return lim.Time + EntryLag }

// Reports returns the servers to which connections of this node failed a moment ago, and
// none if there are more than MaxReports. The other events are known to all nodes.
func (trk *Tracker) Reports(now time.Time) []Report {
	var out []Report
	for id, proc := range trk.procs {
		if proc.dialFailedAt.IsZero() {
			continue
		}
		left := proc.dialFailedAt.Add(proc.limit.recovery()).Sub(now)
		if left > 0 && proc.absentSince.IsZero() {
			out = append(out, Report{Run: site.ServerRun{ID: id, StartMillis: proc.startMillis}, Left: left})
		}
	}
	if len(out) > MaxReports {
		return nil
	}
	return out
}

func latest(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}

// State is what a node assumes of a server.
type State struct {
	// Cold is set while the server counts as cold, until Until for Reason.
	Cold   bool
	Until  time.Time
	Reason Reason
	// Certain is set if a statement or an event makes the server cold, and not only that
	// this node may have missed one.
	Certain bool
	// Limited is set while the server is cold and for some time after that. Then all
	// nodes together may send PerSecond requests a second.
	Limited   bool
	PerSecond float64
}

// State returns what this node assumes of a server now.
func (trk *Tracker) State(srv *site.Server, now time.Time) State {
	lim, ok := trk.limits[srv.Service]
	if !ok {
		return State{}
	}
	proc := trk.procs[srv.ID]
	until, reason := trk.knownUntil(srv, proc, lim)
	out := State{Cold: now.Before(until), Certain: now.Before(until), Until: until, Reason: reason}
	if since := now.Sub(until); !out.Cold && since < rampSteps*time.Second {
		out.Limited, out.PerSecond = true, lim.rate()*float64(int(2)<<int(since/time.Second))
	}
	if unknown := trk.unknown(srv, proc, now); unknown.After(until) && now.Before(unknown) {
		out.Cold, out.Until, out.Reason = true, unknown, ReasonUnknown
	}
	switch {
	case out.Certain:
		out.Limited, out.PerSecond = true, lim.rate()
	case out.Cold:
		out.Limited, out.PerSecond = true, lim.uncertainRate()
	}
	return out
}

// unknown returns the time until which this node may not know yet what the server stated
// before it first read an entry of the process.
func (trk *Tracker) unknown(srv *site.Server, proc *process, now time.Time) time.Time {
	if proc == nil || proc.startMillis != srv.StartMillis {
		return now.Add(EntryLag)
	}
	return latest(trk.unknownUntil, proc.seenAt.Add(EntryLag))
}

// knownUntil returns the latest end of the cold time by all that is known of the server,
// and why. proc is what is known of it, nil for nothing.
func (trk *Tracker) knownUntil(srv *site.Server, proc *process, lim Limit) (time.Time, Reason) {
	var until time.Time
	reason := ReasonStated
	consider := func(at time.Time, why Reason) {
		if at.After(until) {
			until, reason = at, why
		}
	}
	after := func(event time.Time, why Reason) {
		if !event.IsZero() {
			consider(event.Add(lim.recovery()), why)
		}
	}
	if proc != nil {
		consider(proc.statedUntil, ReasonStated)
		after(proc.dialFailedAt, ReasonDial)
		consider(proc.peerUntil, ReasonPeer)
	}
	if trk.sources.ZoneReturnedAt != nil {
		after(trk.sources.ZoneReturnedAt(srv.Zone), ReasonReturned)
	}
	if trk.sources.ZoneReachableAt != nil {
		after(trk.sources.ZoneReachableAt(srv.Zone), ReasonZone)
	}
	if trk.sources.LostUntil != nil {
		after(trk.sources.LostUntil(srv.ID), ReasonLost)
	}
	return until, reason
}
