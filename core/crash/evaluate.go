package crash

import (
	"maps"
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	// evaluationInterval is the time after which the evidence is evaluated again
	// although it has not changed, because it expires.
	evaluationInterval = 100 * time.Millisecond
	// reportInterval is the minimum time between two evaluations because of
	// reports of peers, of which hundreds arrive in a second.
	reportInterval = 10 * time.Millisecond
)

// crash is the end of one server, as all nodes saw it.
type crash struct {
	run    ServerRun
	at     time.Time
	stages [numStages]subjects
	// partial is set if a node does not know all parts.
	partial bool
	// companions are the crashes of the same moment, including this one.
	companions []*crash
}

// kindOf selects the shared parts or the whole requests of subjects.
type kindOf func(subjects) map[core.PromptPart]struct{}

func sharedParts(sub subjects) map[core.PromptPart]struct{}   { return sub.shared }
func wholeRequests(sub subjects) map[core.PromptPart]struct{} { return sub.own }

// begun reports whether a request is known whose answer had begun without an event.
func (crs *crash) begun() bool { return !crs.stages[StageBegun].empty() }

// candidates returns what may have caused the crash: what had begun, or what was waiting
// if no request is known to have begun, and what had just been answered.
func (crs *crash) candidates(kind kindOf) map[core.PromptPart]struct{} {
	out := kind(crs.stages[StageWaiting])
	if crs.begun() {
		out = kind(crs.stages[StageBegun])
	}
	answered := kind(crs.stages[StageAnswered])
	if len(answered) == 0 {
		return out
	}
	out = maps.Clone(out)
	maps.Copy(out, answered)
	return out
}

// counts reports whether the crash counts for a part that is a candidate. One
// with a recent success must have been present on more than half of the servers that
// ended at the same moment. For others, servers of one domain that end at the
// same moment count once.
func (crs *crash) counts(part core.PromptPart, kind kindOf, proven bool) bool {
	num := 0
	for _, other := range crs.companions {
		if _, ok := other.candidates(kind)[part]; !ok {
			continue
		}
		num++
		if !proven && other.run.Domain != "" && other.run.Domain == crs.run.Domain {
			return other == crs
		}
	}
	return !proven || 2*num > len(crs.companions)
}

// contains reports whether a request with the part was at the server.
func (crs *crash) contains(part core.PromptPart) bool {
	for _, sub := range crs.stages {
		_, own := sub.own[part]
		if _, shared := sub.shared[part]; own || shared {
			return true
		}
	}
	return false
}

// allCrashes returns the crashes that this node and its peers saw, in the order
// of time.
func (tr *PartTracker) allCrashes() []*crash {
	byRun := map[ServerRun]*crash{}
	collect := func(from map[ServerRun]*evidence) {
		for run, ev := range from {
			crs := byRun[run]
			if crs == nil {
				crs = &crash{run: run, at: ev.at}
				byRun[run] = crs
			}
			if ev.at.Before(crs.at) {
				crs.at = ev.at
			}
			crs.partial = crs.partial || ev.partial
			for stage := range crs.stages {
				crs.stages[stage].merge(ev.stages[stage])
			}
		}
	}
	collect(tr.crashes)
	for _, peer := range tr.peers {
		collect(peer.crashes)
	}
	out := slices.SortedFunc(maps.Values(byRun), func(one, two *crash) int { return one.at.Compare(two.at) })
	for begin := 0; begin < len(out); {
		end := begin + 1
		for end < len(out) && out[end].at.Sub(out[end-1].at) <= commonCauseWindow {
			end++
		}
		for _, crs := range out[begin:end] {
			crs.companions = out[begin:end]
		}
		begin = end
	}
	return out
}

func (sub *subjects) merge(from subjects) {
	if sub.shared == nil {
		sub.shared, sub.own = map[core.PromptPart]struct{}{}, map[core.PromptPart]struct{}{}
	}
	maps.Copy(sub.shared, from.shared)
	maps.Copy(sub.own, from.own)
}

// evaluate updates the suspects and the quarantines from the evidence.
func (tr *PartTracker) evaluate(now time.Time) {
	since := now.Sub(tr.evaluatedAt)
	if !tr.stale && since < evaluationInterval && (!tr.reported || since < reportInterval) {
		return
	}
	tr.reported, tr.evaluatedAt = false, now
	tr.expireCrashes(now)
	tr.addWithdrawn(now)
	tr.stale = false
	tr.endQuarantines(now)
	crashes := tr.allCrashes()
	tr.mentioned = map[core.PromptPart]struct{}{}
	for _, crs := range crashes {
		for _, sub := range crs.stages {
			maps.Copy(tr.mentioned, sub.shared)
		}
	}
	tr.quarantineCertain(crashes, wholeRequests, now)
	tr.quarantineCertain(crashes, sharedParts, now)
	tr.updateSuspects(tr.unexplained(crashes), now)
}

// endQuarantines drops the quarantines of parts that had a success since, and
// those whose probation is over.
func (tr *PartTracker) endQuarantines(now time.Time) {
	for part, qua := range tr.quarantines {
		switch {
		case tr.lastProved(part).After(qua.at):
			tr.changes = append(tr.changes, PartChange{Kind: PartCleared, Part: part, Servers: qua.servers})
			delete(tr.quarantines, part)
		case !now.Before(qua.probation()):
			delete(tr.quarantines, part)
		}
	}
}

// unexplained returns the crashes at whose servers no request with a part in
// quarantine, or on probation, had been.
func (tr *PartTracker) unexplained(crashes []*crash) []*crash {
	var out []*crash
	for _, crs := range crashes {
		if !tr.explained(crs) {
			out = append(out, crs)
		}
	}
	return out
}

func (tr *PartTracker) explained(crs *crash) bool {
	for part := range tr.quarantines {
		if crs.contains(part) {
			return true
		}
	}
	return false
}

// tally is what counts against a part: the crashes since its last success.
type tally struct {
	crashes []*crash
	// proven is set if it had a success not long before them.
	proven bool
}

// tallies returns the tallies of all candidates of the crashes.
func (tr *PartTracker) tallies(crashes []*crash, kind kindOf) map[core.PromptPart]*tally {
	out := map[core.PromptPart]*tally{}
	for _, crs := range crashes {
		for part := range crs.candidates(kind) {
			last := tr.lastProved(part)
			proven := !last.IsZero() && crs.at.Sub(last) < tr.cfg.ProofTime
			if last.After(crs.at) || !crs.counts(part, kind, proven) {
				continue
			}
			if out[part] == nil {
				out[part] = &tally{proven: proven}
			}
			out[part].crashes = append(out[part].crashes, crs)
		}
	}
	return out
}

// quarantineCertain puts the parts in quarantine that certainly crash servers.
// Shared parts come after whole requests, and the crashes that a whole request
// explains count only for shared parts that have never had a success.
func (tr *PartTracker) quarantineCertain(crashes []*crash, kind kindOf, now time.Time) {
	settled := slices.DeleteFunc(slices.Clone(crashes), func(crs *crash) bool {
		return !crs.begun() && now.Sub(crs.at) < tr.cfg.SettleTime
	})
	tallies := tr.tallies(settled, kind)
	unproven := map[*crash]int{}
	for _, crs := range settled {
		unproven[crs] = unprovenCandidates(crs, tallies, kind)
	}
	for _, part := range slices.Sorted(maps.Keys(tallies)) {
		tly := tallies[part]
		qua := tr.quarantines[part]
		last := tly.crashes[len(tly.crashes)-1]
		if qua.count > 0 && !last.at.After(qua.until) {
			continue
		}
		if qua.count > 0 || tr.certain(part, tly, unproven) {
			tr.startQuarantine(part, tly, now)
		}
	}
}

// unprovenCandidates returns the number of candidates of a crash without a recent success.
func unprovenCandidates(crs *crash, tallies map[core.PromptPart]*tally, kind kindOf) int {
	num := 0
	for part := range crs.candidates(kind) {
		if tly := tallies[part]; tly != nil && !tly.proven {
			num++
		}
	}
	return num
}

// certain reports whether a part crashes servers beyond reasonable doubt: it
// was present in certainCrashes, or, if it is shared, in two crashes, in one of
// which nothing else can be the cause. A proven part, which has a recent success,
// needs certainCrashes of which nothing else can be the cause. Where some parts are not
// known, one of these can be. unproven holds the numbers of unproven candidates.
func (tr *PartTracker) certain(part core.PromptPart, tly *tally, unproven map[*crash]int) bool {
	alone, num := 0, 0
	for _, crs := range tly.crashes {
		if tr.explained(crs) && (tly.proven || !tr.explainedByRequest(crs)) {
			continue
		}
		num++
		others := unproven[crs]
		if !tly.proven {
			others--
		}
		if others == 0 && !crs.partial {
			alone++
		}
	}
	if tly.proven {
		return alone >= certainCrashes
	}
	return num >= certainCrashes || !tr.isWhole(part, tly) && num >= quarantineThreshold && alone > 0
}

// isWhole reports whether the part stands for a whole request.
func (tr *PartTracker) isWhole(part core.PromptPart, tly *tally) bool {
	_, whole := tly.crashes[0].candidates(wholeRequests)[part]
	return whole
}

// explainedByRequest reports whether only whole requests in quarantine, and no
// shared parts, explain the crash.
func (tr *PartTracker) explainedByRequest(crs *crash) bool {
	for part := range tr.quarantines {
		for _, sub := range crs.stages {
			if _, ok := sub.shared[part]; ok {
				return false
			}
		}
	}
	return true
}

// startQuarantine begins the first or the next quarantine of a part.
func (tr *PartTracker) startQuarantine(part core.PromptPart, tly *tally, now time.Time) {
	qua := tr.quarantines[part]
	if qua.count == 0 && len(tr.quarantines) >= tr.cfg.MaxQuarantined {
		return
	}
	dur := min(tr.cfg.QuarantineTime<<min(qua.count, 10), tr.cfg.MaxQuarantineTime)
	qua = quarantine{at: now, until: now.Add(dur), count: qua.count + 1}
	for _, crs := range tly.crashes {
		qua.servers = append(qua.servers, crs.run.ID)
	}
	tr.quarantines[part] = qua
	tr.urgent = tr.urgent || tr.observed(part)
	tr.changes = append(tr.changes, PartChange{Kind: PartQuarantined, Part: part, Servers: qua.servers, Until: qua.until})
}

// updateSuspects replaces the suspects: the shared parts without a recent success
// that may have caused an unexplained crash, and those on probation.
func (tr *PartTracker) updateSuspects(crashes []*crash, now time.Time) {
	before := tr.suspects
	tr.suspects = map[core.PromptPart]suspicion{}
	for part, tly := range tr.tallies(crashes, sharedParts) {
		if tly.proven {
			continue
		}
		sus := suspicion{since: tly.crashes[len(tly.crashes)-1].at}
		for _, crs := range tly.crashes {
			sus.servers = append(sus.servers, crs.run.ID)
		}
		tr.suspects[part] = sus
		if _, known := before[part]; !known {
			tr.changes = append(tr.changes, PartChange{Kind: PartSuspected, Part: part, Servers: sus.servers})
		}
	}
	for part, qua := range tr.quarantines {
		if !now.Before(qua.until) {
			tr.suspects[part] = suspicion{since: qua.until, servers: qua.servers}
		}
	}
	for part, sus := range before {
		_, still := tr.suspects[part]
		if _, quarantined := tr.quarantines[part]; !still && !quarantined {
			tr.changes = append(tr.changes, PartChange{Kind: PartCleared, Part: part, Servers: sus.servers})
		}
	}
}
