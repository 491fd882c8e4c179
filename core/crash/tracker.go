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

// Config holds the limits of a Tracker. Zero fields select defaults.
type Config struct {
	// QuarantineTime is the duration of a quarantine, in which the request is
	// refused.
	QuarantineTime time.Duration
	// SuspicionTime is the retention time of a suspicion or its clearance.
	SuspicionTime time.Duration
	// ConfirmTimeout is the time within which the loss of the group confirms a
	// broken connection as a crash.
	ConfirmTimeout time.Duration
	// MaxExported is the maximum number of suspects that Export returns.
	MaxExported int
}

// Disposition states where a request may run.
type Disposition int

// Dispositions, from the least to the most restrictive.
const (
	// Allowed requests run on any group.
	Allowed Disposition = iota
	// Isolated requests run on a group without other suspects.
	Isolated
	// Quarantined requests are refused.
	Quarantined
)

// Decision has the disposition of a request. QuarantinedUntil is zero unless
// the request is quarantined.
type Decision struct {
	Disposition      Disposition
	QuarantinedUntil time.Time
}

// placement is a request and the group on which it runs, or ran when its
// connection broke.
type placement struct {
	fingerprint uint64
	group       core.GroupName
}

// crashRecord holds the crashes of a request that this node observed.
type crashRecord struct {
	crashes   int
	expiresAt time.Time
	clearedAt time.Time
}

// Tracker tracks the running and the suspect requests. Use New. It is not safe
// for concurrent use.
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

// New returns an empty Tracker.
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

// Started records that the request started to run on the group.
func (tr *Tracker) Started(fp uint64, group core.GroupName) {
	tr.running[placement{fp, group}]++
}

// Stopped records that the request no longer runs on the group and neither
// completed nor lost its connection. It panics if the request did not run
// there.
func (tr *Tracker) Stopped(fp uint64, group core.GroupName) {
	key := placement{fp, group}
	if tr.running[key] == 0 {
		panic("crash: request does not run on the group")
	}
	tr.running[key]--
	if tr.running[key] == 0 {
		delete(tr.running, key)
		delete(tr.crashCounted, key)
		delete(tr.progressed, key)
	}
}

// Progressed records that the request has passed the point at which it was
// interrupted before, and no longer keeps other suspects off the group. A crash
// still counts. It panics if the request did not run there.
func (tr *Tracker) Progressed(fp uint64, group core.GroupName) {
	key := placement{fp, group}
	if tr.running[key] == 0 {
		panic("crash: request does not run on the group")
	}
	tr.progressed[key] = struct{}{}
}

// ConnBroken records that the request's connection to the group broke. A break
// after the loss of the group is not counted again. It panics if the request
// did not run there.
func (tr *Tracker) ConnBroken(fp uint64, group core.GroupName, now time.Time) {
	tr.interrupt(tr.brokenUntil, fp, group, now)
}

// ConnSilent records that the request's connection to the group timed out
// without data. It counts as a crash only if the group is lost within the
// confirmation timeout, because connections also stall for other reasons. It
// panics if the request did not run there.
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

// Completed records that the request completed on the group, and clears it. It
// panics if the request did not run there.
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

// GroupsLost records that the groups were lost together. It counts a crash on
// each of them for every request that ran on all of them, and returns the
// fingerprints of these requests.
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

// dropInterruptions removes the request's interrupted connections to the
// groups, which their loss explains.
func (tr *Tracker) dropInterruptions(fp uint64, groups []core.GroupName) {
	for _, group := range groups {
		delete(tr.brokenUntil, placement{fp, group})
		delete(tr.silentUntil, placement{fp, group})
	}
}

// takeAffected returns the requests that run on the group or were interrupted
// there, and marks the running ones as counted.
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

// Decide returns the current disposition of the request.
func (tr *Tracker) Decide(fp uint64, now time.Time) Decision {
	tr.expire(now)
	n := tr.crashCount(fp, now)
	switch {
	case n == 0:
		return Decision{}
	case n < quarantineThreshold:
		return Decision{Disposition: Isolated}
	}
	return Decision{Disposition: Quarantined, QuarantinedUntil: tr.quarantineEnd(fp)}
}

// crashCount returns the number of crashes and unconfirmed breaks of the
// request.
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

// quarantineEnd returns the time at which the request's quarantine ends.
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

// RunningSuspects returns the number of suspects that run on the group and have
// not progressed.
func (tr *Tracker) RunningSuspects(group core.GroupName, now time.Time) int {
	n := 0
	for key, count := range tr.running {
		_, progressed := tr.progressed[key]
		if key.group == group && !progressed && tr.crashCount(key.fingerprint, now) > 0 {
			n += count
		}
	}
	return n
}

// UpdatePeer replaces the suspects reported by the peer. A new clearance by the
// peer removes this node's suspicion if it is based on a single crash.
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

// RemovePeer removes the suspects reported by a peer that was removed
// permanently.
func (tr *Tracker) RemovePeer(from core.NodeName) { delete(tr.peerSuspects, from) }

// Export returns the suspects that this node observed itself, ordered by
// descending number of crashes, then by descending expiry time. It returns at
// most Config.MaxExported suspects.
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

// expire removes the expired breaks, crash records and peer reports.
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

// SetQuarantineTime sets the duration of later quarantines. A duration that is
// not positive is ignored.
func (tr *Tracker) SetQuarantineTime(dur time.Duration) {
	if dur > 0 {
		tr.cfg.QuarantineTime = dur
	}
}
