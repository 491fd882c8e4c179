package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquathinge/core"
)

// PartsReport is the state of crashes that a node sends to its peers. Times are ages, since
// the clocks of nodes differ.
type PartsReport struct {
	Crashes     []EndReport                       `cbor:"1,keyasint,omitempty"`
	Proved      map[core.PromptPart]time.Duration `cbor:"2,keyasint,omitempty"`
	Quarantines []QuarantineReport                `cbor:"3,keyasint,omitempty"`
	// Trial are the parts that the node tries.
	Trial []core.PromptPart `cbor:"4,keyasint,omitempty"`
}

// EndReport is the end of a server. Begun and Waiting are the shared parts of
// the requests that had begun without an event and that had not begun, BegunOwn
// and WaitingOwn these requests.
type EndReport struct {
	Run        ServerRun         `cbor:"1,keyasint"`
	Age        time.Duration     `cbor:"2,keyasint"`
	Begun      []core.PromptPart `cbor:"3,keyasint,omitempty"`
	Waiting    []core.PromptPart `cbor:"4,keyasint,omitempty"`
	BegunOwn   []core.PromptPart `cbor:"5,keyasint,omitempty"`
	WaitingOwn []core.PromptPart `cbor:"6,keyasint,omitempty"`
	// Answered are the shared parts of the requests that had just been answered,
	// AnsweredOwn these requests.
	Answered    []core.PromptPart `cbor:"8,keyasint,omitempty"`
	AnsweredOwn []core.PromptPart `cbor:"9,keyasint,omitempty"`
}

// lists returns the lists of the shared parts and of the whole requests of a stage.
func (rep *EndReport) lists(stage Stage) (shared, own *[]core.PromptPart) {
	switch stage {
	case StageBegun:
		return &rep.Begun, &rep.BegunOwn
	case StageAnswered:
		return &rep.Answered, &rep.AnsweredOwn
	default:
		return &rep.Waiting, &rep.WaitingOwn
	}
}

// QuarantineReport is a quarantine with the time since its begin and until its
// end, which is negative on probation.
type QuarantineReport struct {
	Part    core.PromptPart `cbor:"1,keyasint"`
	Age     time.Duration   `cbor:"2,keyasint"`
	Left    time.Duration   `cbor:"3,keyasint"`
	Count   int             `cbor:"4,keyasint"`
	Servers []string        `cbor:"5,keyasint,omitempty"`
}

// Limits of a report, so that it fits into a datagram with the rest of a
// heartbeat.
const (
	maxReportedCrashes = 12
	maxReportedParts   = 24
	maxReportedServers = 5
	maxReportedProved  = 96
)

// peerParts is the last report of a peer. Its evidence stays until it expires
// even if the peer ends.
type peerParts struct {
	crashes map[ServerRun]*evidence
	trial   []core.PromptPart
	// expiresAt is when the trial expires.
	expiresAt time.Time
}

// peerPartsTime is the time for which the trial of a peer counts after its
// report.
const peerPartsTime = 2 * time.Second

// Export returns the report of this node, nil if there is nothing to report.
func (tr *PartTracker) Export(now time.Time) *PartsReport {
	if tr.idle() {
		return nil
	}
	tr.evaluate(now)
	out := &PartsReport{Proved: map[core.PromptPart]time.Duration{}}
	runs := slices.SortedFunc(maps.Keys(tr.crashes), func(one, two ServerRun) int { return tr.crashes[two].at.Compare(tr.crashes[one].at) })
	for _, run := range runs[:min(len(runs), maxReportedCrashes)] {
		ev := tr.crashes[run]
		rep := EndReport{Run: run, Age: now.Sub(ev.at)}
		for stage := range numStages {
			shared, own := rep.lists(stage)
			*shared, *own = firstParts(ev.stages[stage].shared), firstParts(ev.stages[stage].own)
		}
		out.Crashes = append(out.Crashes, rep)
	}
	for _, part := range append(slices.Sorted(maps.Keys(tr.quarantines)), slices.Sorted(maps.Keys(tr.mentioned))...) {
		at := tr.proved.last(part)
		if !at.IsZero() && len(out.Proved) < maxReportedProved {
			out.Proved[part] = now.Sub(at)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(tr.quarantines)) {
		qua := tr.quarantines[part]
		if len(out.Quarantines) == maxReportedParts {
			break
		}
		out.Quarantines = append(out.Quarantines, QuarantineReport{
			Part: part, Age: now.Sub(qua.at), Left: qua.until.Sub(now), Count: qua.count, Servers: qua.servers[:min(len(qua.servers), maxReportedServers)],
		})
	}
	if tr.onTrial {
		out.Trial = tr.trial.Shared
	}
	if len(out.Crashes) == 0 && len(out.Proved) == 0 && len(out.Quarantines) == 0 && len(out.Trial) == 0 {
		return nil
	}
	return out
}

// firstParts returns at most maxReportedParts parts of a set, sorted.
func firstParts(set map[core.PromptPart]struct{}) []core.PromptPart {
	out := slices.Sorted(maps.Keys(set))
	return out[:min(len(out), maxReportedParts)]
}

// HasPeers reports whether a peer has reported something that still counts.
func (tr *PartTracker) HasPeers() bool { return len(tr.peers) > 0 }

// UpdatePeer replaces the report of a peer, nil if it has nothing to report.
// Its quarantines are taken over. An impossible value is limited or ignored.
func (tr *PartTracker) UpdatePeer(from string, report *PartsReport, now time.Time) {
	old, known := tr.peers[from]
	if report == nil {
		if known {
			delete(tr.peers, from)
			tr.reported = true
		}
		return
	}
	peer := peerParts{crashes: map[ServerRun]*evidence{}, trial: report.Trial, expiresAt: now.Add(peerPartsTime)}
	for _, rep := range report.Crashes[:min(len(report.Crashes), maxReportedCrashes)] {
		ev := &evidence{at: now.Add(-max(0, rep.Age))}
		if before := old.crashes[rep.Run]; before != nil && before.at.Before(ev.at) {
			ev.at = before.at
		}
		for stage := range numStages {
			shared, own := rep.lists(stage)
			ev.stages[stage].addAll(*shared, *own)
		}
		peer.crashes[rep.Run] = ev
	}
	tr.peers[from] = peer
	tr.reported = tr.reported || peer.differs(old)
	tr.adoptSuccesses(report.Proved, now)
	for _, rep := range report.Quarantines[:min(len(report.Quarantines), maxReportedParts)] {
		tr.adoptQuarantine(rep, now)
	}
}

// adoptSuccesses records the successes that a peer reported.
func (tr *PartTracker) adoptSuccesses(proved map[core.PromptPart]time.Duration, now time.Time) {
	if len(proved) > maxReportedProved {
		return
	}
	for part, age := range proved {
		at := now.Add(-max(0, age))
		if at.Sub(tr.peerProved.last(part)) > provedTolerance {
			tr.peerProved.record(part, at)
			tr.reported = true
		}
	}
}

// differs reports whether the evidence of a peer differs from its previous
// report.
func (peer peerParts) differs(old peerParts) bool {
	if len(peer.crashes) != len(old.crashes) {
		return true
	}
	for run, ev := range peer.crashes {
		before := old.crashes[run]
		if before == nil {
			return true
		}
		for stage := range ev.stages {
			if ev.stages[stage].size() != before.stages[stage].size() {
				return true
			}
		}
	}
	return false
}

func (sub *subjects) size() int { return len(sub.shared) + len(sub.own) }

// adoptQuarantine takes over a quarantine that a peer reported, if it is newer
// than what this node has.
func (tr *PartTracker) adoptQuarantine(rep QuarantineReport, now time.Time) {
	count := min(max(1, rep.Count), maxQuarantineCount)
	qua := quarantine{at: now.Add(-max(0, rep.Age)), until: now.Add(min(rep.Left, tr.cfg.MaxQuarantineTime)), count: count, servers: rep.Servers[:min(len(rep.Servers), maxReportedServers)]}
	own, known := tr.quarantines[rep.Part]
	if rep.Part == "" || known && cmp.Or(cmp.Compare(own.count, qua.count), own.until.Compare(qua.until.Add(-adoptTolerance))) >= 0 {
		return
	}
	if !now.Before(qua.probation()) || tr.lastProved(rep.Part).After(qua.at) || !known && len(tr.quarantines) >= tr.cfg.MaxQuarantined {
		return
	}
	tr.quarantines[rep.Part] = qua
	tr.reported = true
	tr.changes = append(tr.changes, PartChange{Kind: PartQuarantined, Part: rep.Part, Servers: qua.servers, Until: qua.until})
}

const (
	// adoptTolerance is the difference up to which the ends of two quarantines
	// are taken for the same: reports take some time.
	adoptTolerance = time.Second
	// provedTolerance is this difference for the times of a success.
	provedTolerance = 50 * time.Millisecond
	// maxQuarantineCount limits the count that a peer reports.
	maxQuarantineCount = 16
)

func (sub *subjects) addAll(shared, own []core.PromptPart) {
	sub.add(Subject{Shared: shared[:min(len(shared), maxReportedParts)]})
	for _, part := range own[:min(len(own), maxReportedParts)] {
		sub.own[part] = struct{}{}
	}
}
