package crash

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	quarantineThreshold = 2 // crashes

	defaultQuarantineTime = 10 * time.Minute
	defaultSuspicionTime  = 10 * time.Minute
	defaultConfirmTimeout = 5 * time.Second
	defaultMaxExported    = 64
)

// Config holds the limits of a Book. A zero field takes its default.
type Config struct {
	// QuarantineTime is the time for which a request is refused.
	QuarantineTime time.Duration
	// SuspicionTime is the time for which a suspicion or its clearance is kept.
	SuspicionTime time.Duration
	// ConfirmTimeout is the time within which a break is confirmed as a crash.
	ConfirmTimeout time.Duration
	// MaxExported is the largest number of suspects that Export returns.
	MaxExported int
}

// Verdict tells how a request may run.
type Verdict int

// Verdicts, the mildest first.
const (
	// Allowed requests run anywhere.
	Allowed Verdict = iota
	// Isolated requests run on a group with no other suspect.
	Isolated
	// Quarantined requests are refused.
	Quarantined
)

// Decision is the verdict on a request. Until is the end of a quarantine.
type Decision struct {
	Verdict          Verdict
	QuarantinedUntil time.Time
}

// placement is where a print runs, or ran when its connection broke.
type placement struct {
	fingerprint uint64
	group       core.GroupName
}

// crashRecord is what this node knows of a print.
type crashRecord struct {
	crashes   int
	expiresAt time.Time
	clearedAt time.Time
}

// Tracker keeps the requests that run and those that are suspect. It is made by
// New and has one owner.
type Tracker struct {
	cfg          Config
	running      map[placement]int
	crashCounted map[placement]struct{}
	progressed   map[placement]struct{}
	brokenUntil  map[placement]time.Time
	silentUntil  map[placement]time.Time
	local        map[uint64]crashRecord
	peerSuspects map[core.NodeName]map[uint64]core.Suspect
}

// New returns an empty book.
func New(cfg Config) *Tracker {
	cfg.QuarantineTime = cmp.Or(cfg.QuarantineTime, defaultQuarantineTime)
	cfg.SuspicionTime = cmp.Or(cfg.SuspicionTime, defaultSuspicionTime)
	cfg.ConfirmTimeout = cmp.Or(cfg.ConfirmTimeout, defaultConfirmTimeout)
	cfg.MaxExported = cmp.Or(cfg.MaxExported, defaultMaxExported)
	return &Tracker{
		cfg:          cfg,
		running:      make(map[placement]int),
		crashCounted: make(map[placement]struct{}),
		progressed:   make(map[placement]struct{}),
		brokenUntil:  make(map[placement]time.Time),
		silentUntil:  make(map[placement]time.Time),
		local:        make(map[uint64]crashRecord),
		peerSuspects: make(map[core.NodeName]map[uint64]core.Suspect),
	}
}

// Started notes that the request runs on the group.
func (tr *Tracker) Started(fp uint64, group core.GroupName) {
	tr.running[placement{fp, group}]++
}

// Stopped notes that the request no longer runs on the group and neither
// completed nor broke. It panics if the request did not run there.
func (tr *Tracker) Stopped(fp uint64, group core.GroupName) {
	key := placement{fp, group}
	if tr.running[key] == 0 {
		panic("crash: request did not run on the group")
	}
	tr.running[key]--
	if tr.running[key] == 0 {
		delete(tr.running, key)
		delete(tr.crashCounted, key)
		delete(tr.progressed, key)
	}
}

// Progressed notes that the request got behind the point at which it broke
// before: it no longer keeps other suspects from the group. A crash still
// counts. It panics if the request did not run there.
func (tr *Tracker) Progressed(fp uint64, group core.GroupName) {
	key := placement{fp, group}
	if tr.running[key] == 0 {
		panic("crash: request did not run on the group")
	}
	tr.progressed[key] = struct{}{}
}

// ConnBroken notes that the request's connection to the group broke. A break that
// follows the group's loss counts no further. It panics if the request did not
// run there.
func (tr *Tracker) ConnBroken(fp uint64, group core.GroupName, now time.Time) {
	tr.interrupt(tr.brokenUntil, fp, group, now)
}

// ConnSilent notes that the request's connection to the group went silent. That
// counts only if the group's loss follows: connections also go silent for
// reasons of their own. It panics if the request did not run there.
func (tr *Tracker) ConnSilent(fp uint64, group core.GroupName, now time.Time) {
	tr.interrupt(tr.silentUntil, fp, group, now)
}

func (tr *Tracker) interrupt(expiries map[placement]time.Time, fp uint64, group core.GroupName, now time.Time) {
	key := placement{fp, group}
	_, counted := tr.crashCounted[key]
	tr.Stopped(fp, group)
	if !counted {
		expiries[key] = now.Add(tr.cfg.ConfirmTimeout)
	}
}

// Completed notes that the request ran to its end on the group and clears it.
// It panics if the request did not run there.
func (tr *Tracker) Completed(fp uint64, group core.GroupName, now time.Time) {
	tr.Stopped(fp, group)
	if tr.crashCount(fp, now) == 0 {
		return
	}
	tr.dropSuspicions(fp)
	tr.local[fp] = crashRecord{expiresAt: now.Add(tr.cfg.SuspicionTime), clearedAt: now}
}

func (tr *Tracker) dropSuspicions(fp uint64) {
	for key := range tr.brokenUntil {
		if key.fingerprint == fp {
			delete(tr.brokenUntil, key)
		}
	}
	for _, suspects := range tr.peerSuspects {
		delete(suspects, fp)
	}
}

// GroupsLost notes that the groups were lost together. What ran on the only group,
// or on all of several, has crashed once more. It returns the prints.
func (tr *Tracker) GroupsLost(now time.Time, groups ...core.GroupName) []uint64 {
	tr.expire(now)
	hits := make(map[uint64]int)
	for _, group := range groups {
		for _, fp := range tr.takeAffected(group) {
			hits[fp]++
		}
	}
	var out []uint64
	for fp, n := range hits {
		if n == len(groups) {
			tr.dropInterruptions(fp, groups)
			tr.addCrashes(fp, n, now)
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}

// dropInterruptions takes the print's breaks on the groups as explained by their loss.
func (tr *Tracker) dropInterruptions(fp uint64, groups []core.GroupName) {
	for _, group := range groups {
		delete(tr.brokenUntil, placement{fp, group})
		delete(tr.silentUntil, placement{fp, group})
	}
}

// takeAffected returns the prints that run on the group or broke there.
func (tr *Tracker) takeAffected(group core.GroupName) []uint64 {
	set := make(map[uint64]struct{})
	for key := range tr.running {
		_, counted := tr.crashCounted[key]
		if key.group == group && !counted {
			set[key.fingerprint] = struct{}{}
			tr.crashCounted[key] = struct{}{}
		}
	}
	for _, expiries := range []map[placement]time.Time{tr.brokenUntil, tr.silentUntil} {
		for key := range expiries {
			if key.group == group {
				set[key.fingerprint] = struct{}{}
			}
		}
	}
	out := make([]uint64, 0, len(set))
	for fp := range set {
		out = append(out, fp)
	}
	return out
}

func (tr *Tracker) addCrashes(fp uint64, n int, now time.Time) {
	rec := tr.local[fp]
	rec.crashes += n
	rec.clearedAt = time.Time{}
	rec.expiresAt = now.Add(tr.cfg.SuspicionTime)
	if rec.crashes >= quarantineThreshold {
		rec.expiresAt = now.Add(tr.cfg.QuarantineTime)
	}
	tr.local[fp] = rec
}

// Decide tells how the request may run now.
func (tr *Tracker) Decide(fp uint64, now time.Time) Decision {
	tr.expire(now)
	n := tr.crashCount(fp, now)
	switch {
	case n == 0:
		return Decision{}
	case n < quarantineThreshold:
		return Decision{Verdict: Isolated}
	}
	return Decision{Verdict: Quarantined, QuarantinedUntil: tr.quarantineEnd(fp)}
}

// crashCount returns the crashes and open breaks of the print.
func (tr *Tracker) crashCount(fp uint64, now time.Time) int {
	n := tr.local[fp].crashes
	for key, until := range tr.brokenUntil {
		if key.fingerprint == fp && now.Before(until) {
			n++
		}
	}
	for _, suspects := range tr.peerSuspects {
		if got, ok := suspects[fp]; ok && now.Before(got.ExpiresAt) {
			n += got.Crashes
		}
	}
	return n
}

// quarantineEnd returns the instant at which the print's quarantine ends.
func (tr *Tracker) quarantineEnd(fp uint64) time.Time {
	out := tr.local[fp].expiresAt
	for key, until := range tr.brokenUntil {
		if key.fingerprint == fp && until.After(out) {
			out = until
		}
	}
	for _, suspects := range tr.peerSuspects {
		if got, ok := suspects[fp]; ok && got.ExpiresAt.After(out) {
			out = got.ExpiresAt
		}
	}
	return out
}

// RunningSuspects returns the number of suspect requests that run on the group and
// have not progressed.
func (tr *Tracker) RunningSuspects(group core.GroupName, now time.Time) int {
	n := 0
	for key, cnt := range tr.running {
		_, progressed := tr.progressed[key]
		if key.group == group && !progressed && tr.crashCount(key.fingerprint, now) > 0 {
			n += cnt
		}
	}
	return n
}

// UpdatePeer replaces what the peer told before. A clearance by the peer that is
// new ends the suspicion that this node has from a single crash.
func (tr *Tracker) UpdatePeer(from core.NodeName, suspects []core.Suspect, now time.Time) {
	tr.expire(now)
	set := make(map[uint64]core.Suspect, len(suspects))
	for _, sus := range suspects {
		if !now.Before(sus.ExpiresAt) {
			continue
		}
		knownCleared := tr.peerSuspects[from][sus.Fingerprint].Cleared
		if sus.Cleared && !knownCleared && tr.local[sus.Fingerprint].crashes < quarantineThreshold {
			delete(tr.local, sus.Fingerprint)
		}
		set[sus.Fingerprint] = sus
	}
	tr.peerSuspects[from] = set
}

// RemovePeer drops what a peer told that is gone for good.
func (tr *Tracker) RemovePeer(from core.NodeName) { delete(tr.peerSuspects, from) }

// Export returns what this node saw itself: the most crashes first, then the
// latest, at most Config.Export of them.
func (tr *Tracker) Export(now time.Time) []core.Suspect {
	tr.expire(now)
	out := make([]core.Suspect, 0, len(tr.local)+len(tr.brokenUntil))
	for fp, rec := range tr.local {
		out = append(out, core.Suspect{
			Fingerprint: fp,
			Crashes:     rec.crashes,
			ExpiresAt:   rec.expiresAt,
			Cleared:     !rec.clearedAt.IsZero(),
		})
	}
	for key, until := range tr.brokenUntil {
		out = addBreak(out, key.fingerprint, until)
	}
	slices.SortFunc(out, func(first, second core.Suspect) int {
		return cmp.Or(
			cmp.Compare(second.Crashes, first.Crashes),
			second.ExpiresAt.Compare(first.ExpiresAt),
			cmp.Compare(first.Fingerprint, second.Fingerprint),
		)
	})
	return out[:min(len(out), tr.cfg.MaxExported)]
}

func addBreak(suspects []core.Suspect, fp uint64, until time.Time) []core.Suspect {
	for pos := range suspects {
		if suspects[pos].Fingerprint == fp {
			suspects[pos].Crashes++
			suspects[pos].Cleared = false
			return suspects
		}
	}
	return append(suspects, core.Suspect{Fingerprint: fp, Crashes: 1, ExpiresAt: until})
}

// expire drops what is over.
func (tr *Tracker) expire(now time.Time) {
	for _, expiries := range []map[placement]time.Time{tr.brokenUntil, tr.silentUntil} {
		for key, until := range expiries {
			if !now.Before(until) {
				delete(expiries, key)
			}
		}
	}
	for fp, rec := range tr.local {
		if !now.Before(rec.expiresAt) {
			delete(tr.local, fp)
		}
	}
	for _, suspects := range tr.peerSuspects {
		for fp, sus := range suspects {
			if !now.Before(sus.ExpiresAt) {
				delete(suspects, fp)
			}
		}
	}
}

// SetQuarantineTime changes the time for which requests are refused from now on.
// A duration that is not positive changes nothing.
func (tr *Tracker) SetQuarantineTime(dur time.Duration) {
	if dur > 0 {
		tr.cfg.QuarantineTime = dur
	}
}
