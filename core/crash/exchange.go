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
	// AllParts is set by nodes that take all parts of a prompt into account.
	AllParts bool `cbor:"5,keyasint,omitempty"`
	// MoreProved are further successes. Nodes that don't set AllParts ignore them.
	MoreProved map[core.PromptPart]time.Duration `cbor:"6,keyasint,omitempty"`
}

// EndReport is the end of a server. Begun and Waiting are the shared parts of
// the requests that had begun without an event and that had not begun, BegunOwn
// and WaitingOwn these requests. Parts without a recent success come first.
type EndReport struct {
	Run        ServerRun         `cbor:"1,keyasint"`
	Age        time.Duration     `cbor:"2,keyasint"`
	Begun      []core.PromptPart `cbor:"3,keyasint,omitempty"`
	Waiting    []core.PromptPart `cbor:"4,keyasint,omitempty"`
	BegunOwn   []core.PromptPart `cbor:"5,keyasint,omitempty"`
	WaitingOwn []core.PromptPart `cbor:"6,keyasint,omitempty"`
	// Partial is set if some of the parts are left out.
	Partial bool `cbor:"7,keyasint,omitempty"`
	// Answered are the shared parts of the requests that had just been answered,
	// AnsweredOwn these requests. Nodes that don't set AllParts ignore them.
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
	maxReportedCrashes     = 12
	maxReportedQuarantines = 24
	maxReportedServers     = 5
	maxReportedProved      = 96
	// maxPartBytes is the limit of all parts in the crashes of a report, in bytes, and
	// maxProvedBytes that of the parts in MoreProved.
	maxPartBytes   = 6 << 10
	maxProvedBytes = 3 << 10
	// maxReportedTrial is the number of parts of a trial, and of the parts that nodes read
	// in a crash which don't set AllParts.
	maxReportedTrial = 24
	// maxParts is the number of parts of a crash that are taken over from a report.
	maxParts = 8192
)

// reportedStages are the stages in the order in which their parts fit into a report.
var reportedStages = [...]Stage{StageBegun, StageAnswered, StageWaiting}

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
	out := &PartsReport{Proved: map[core.PromptPart]time.Duration{}, MoreProved: map[core.PromptPart]time.Duration{}, AllParts: true}
	out.Crashes = tr.reportCrashes(now)
	left := maxProvedBytes
	for _, part := range append(slices.Sorted(maps.Keys(tr.quarantines)), slices.Sorted(maps.Keys(tr.mentioned))...) {
		at := tr.proved.last(part)
		switch {
		case at.IsZero():
		case len(out.Proved) < maxReportedProved:
			out.Proved[part] = now.Sub(at)
		case len(part) <= left:
			left -= len(part)
			out.MoreProved[part] = now.Sub(at)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(tr.quarantines)) {
		qua := tr.quarantines[part]
		if len(out.Quarantines) == maxReportedQuarantines {
			break
		}
		out.Quarantines = append(out.Quarantines, QuarantineReport{
			Part: part, Age: now.Sub(qua.at), Left: qua.until.Sub(now), Count: qua.count, Servers: qua.servers[:min(len(qua.servers), maxReportedServers)],
		})
	}
	if tr.onTrial {
		out.Trial = tr.trialParts()
	}
	if len(out.Crashes) == 0 && len(out.Proved) == 0 && len(out.Quarantines) == 0 && len(out.Trial) == 0 {
		return nil
	}
	return out
}

// reportCrashes returns the newest crashes with the parts that fit into a report: those
// without a recent success of all crashes, then the others.
func (tr *PartTracker) reportCrashes(now time.Time) []EndReport {
	runs := slices.SortedFunc(maps.Keys(tr.crashes), func(one, two ServerRun) int { return tr.crashes[two].at.Compare(tr.crashes[one].at) })
	runs = runs[:min(len(runs), maxReportedCrashes)]
	out := make([]EndReport, len(runs))
	left := maxPartBytes
	for _, proven := range []bool{false, true} {
		for idx, run := range runs {
			ev := tr.crashes[run]
			rep := &out[idx]
			rep.Run, rep.Age, rep.Partial = run, now.Sub(ev.at), rep.Partial || ev.partial
			for _, stage := range reportedStages {
				shared, own := rep.lists(stage)
				all := tr.appendParts(shared, ev.stages[stage].shared, proven, &left, now)
				all = tr.appendParts(own, ev.stages[stage].own, proven, &left, now) && all
				rep.Partial = rep.Partial || !all
			}
		}
	}
	return out
}

// appendParts appends the parts of a set with or without a recent success to a list, as far
// as they fit into the bytes that are left, and reports whether these are all.
func (tr *PartTracker) appendParts(list *[]core.PromptPart, set map[core.PromptPart]struct{}, proven bool, left *int, now time.Time) bool {
	for _, part := range slices.Sorted(maps.Keys(set)) {
		if tr.proven(part, now) != proven {
			continue
		}
		if len(part) > *left {
			return false
		}
		*left -= len(part)
		*list = append(*list, part)
	}
	return true
}

// proven reports whether a part has a recent success at any node.
func (tr *PartTracker) proven(part core.PromptPart, now time.Time) bool {
	last := tr.lastProved(part)
	return !last.IsZero() && now.Sub(last) < tr.cfg.ProofTime
}

// compareBools orders false before true.
func compareBools(one, two bool) int {
	switch {
	case one == two:
		return 0
	case two:
		return -1
	}
	return 1
}

// trialParts returns the parts of the trial of this node, the suspected ones first.
func (tr *PartTracker) trialParts() []core.PromptPart {
	suspected := func(part core.PromptPart) bool {
		_, ok := tr.suspects[part]
		return ok
	}
	parts := slices.Clone(tr.trial.Shared)
	slices.SortStableFunc(parts, func(one, two core.PromptPart) int { return compareBools(suspected(two), suspected(one)) })
	return parts[:min(len(parts), maxReportedTrial)]
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
		ev := &evidence{at: now.Add(-max(0, rep.Age)), partial: rep.Partial || !report.AllParts && rep.full()}
		if before := old.crashes[rep.Run]; before != nil && before.at.Before(ev.at) {
			ev.at = before.at
		}
		for _, stage := range reportedStages {
			shared, own := rep.lists(stage)
			ev.stages[stage].addAll(*shared, *own)
		}
		peer.crashes[rep.Run] = ev
	}
	if len(report.Crashes) >= maxReportedCrashes {
		peer.keepOlder(old)
	}
	tr.peers[from] = peer
	tr.reported = tr.reported || peer.differs(old)
	if len(report.Proved) <= maxReportedProved && len(report.MoreProved) <= maxProvedBytes {
		tr.adoptSuccesses(report.Proved, now)
		tr.adoptSuccesses(report.MoreProved, now)
	}
	for _, rep := range report.Quarantines[:min(len(report.Quarantines), maxReportedQuarantines)] {
		// A node that doesn't take all parts into account may hold a sound one for the cause.
		if report.AllParts || !tr.proven(rep.Part, now) {
			tr.adoptQuarantine(rep, now)
		}
	}
}

// full reports whether a list of the report holds as many parts as nodes report that don't
// set AllParts, so that some may have been left out.
func (rep EndReport) full() bool {
	return max(len(rep.Begun), len(rep.Waiting), len(rep.BegunOwn), len(rep.WaitingOwn)) >= maxReportedTrial
}

// keepOlder keeps the crashes of a previous report that are older than those of a report
// that holds no more.
func (peer peerParts) keepOlder(old peerParts) {
	if len(peer.crashes) == 0 {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(peer.crashes)), func(one, two *evidence) int { return one.at.Compare(two.at) })
	for run, ev := range old.crashes {
		if peer.crashes[run] == nil && ev.at.Before(oldest.at) {
			peer.crashes[run] = ev
		}
	}
}

// adoptSuccesses records the successes that a peer reported.
func (tr *PartTracker) adoptSuccesses(proved map[core.PromptPart]time.Duration, now time.Time) {
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
	sub.add(Subject{Shared: shared[:min(len(shared), maxParts)]})
	for _, part := range own[:min(len(own), maxParts)] {
		sub.own[part] = struct{}{}
	}
}
