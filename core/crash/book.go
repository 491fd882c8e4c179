package crash

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	quarantineAt = 2 // crashes

	defaultQuarantine = 10 * time.Minute
	defaultKeep       = 10 * time.Minute
	defaultGrace      = 5 * time.Second
	defaultExport     = 64
)

// Config holds the limits of a Book. A zero field takes its default.
type Config struct {
	// Quarantine is the time for which a request is refused.
	Quarantine time.Duration
	// Keep is the time for which a suspicion or its clearance is kept.
	Keep time.Duration
	// Grace is the time within which a break is confirmed as a crash.
	Grace time.Duration
	// Export is the largest number of suspects that Export returns.
	Export int
}

// Verdict tells how a request may run.
type Verdict int

// Verdicts, the mildest first.
const (
	// Free requests run anywhere.
	Free Verdict = iota
	// Alone requests run on a group with no other suspect.
	Alone
	// Quarantined requests are refused.
	Quarantined
)

// Decision is the verdict on a request. Until is the end of a quarantine.
type Decision struct {
	Verdict Verdict
	Until   time.Time
}

// run is where a print runs, or ran when its connection broke.
type run struct {
	print uint64
	group core.GroupName
}

// entry is what this node knows of a print.
type entry struct {
	crashes int
	until   time.Time
	cleared time.Time
}

// Book keeps the requests that run and those that are suspect. It is made by
// New and has one owner.
type Book struct {
	cfg     Config
	running map[run]int
	counted map[run]struct{}
	calmed  map[run]struct{}
	broken  map[run]time.Time
	silent  map[run]time.Time
	own     map[uint64]entry
	peers   map[core.NodeName]map[uint64]core.Suspect
}

// New returns an empty book.
func New(cfg Config) *Book {
	cfg.Quarantine = cmp.Or(cfg.Quarantine, defaultQuarantine)
	cfg.Keep = cmp.Or(cfg.Keep, defaultKeep)
	cfg.Grace = cmp.Or(cfg.Grace, defaultGrace)
	cfg.Export = cmp.Or(cfg.Export, defaultExport)
	return &Book{
		cfg:     cfg,
		running: make(map[run]int),
		counted: make(map[run]struct{}),
		calmed:  make(map[run]struct{}),
		broken:  make(map[run]time.Time),
		silent:  make(map[run]time.Time),
		own:     make(map[uint64]entry),
		peers:   make(map[core.NodeName]map[uint64]core.Suspect),
	}
}

// Running notes that the request runs on the group.
func (boo *Book) Running(print uint64, grp core.GroupName) {
	boo.running[run{print, grp}]++
}

// Stopped notes that the request no longer runs on the group and neither
// completed nor broke. It panics if the request did not run there.
func (boo *Book) Stopped(print uint64, grp core.GroupName) {
	key := run{print, grp}
	if boo.running[key] == 0 {
		panic("crash: request did not run on the group")
	}
	boo.running[key]--
	if boo.running[key] == 0 {
		delete(boo.running, key)
		delete(boo.counted, key)
		delete(boo.calmed, key)
	}
}

// Progressed notes that the request got behind the point at which it broke
// before: it no longer keeps other suspects from the group. A crash still
// counts. It panics if the request did not run there.
func (boo *Book) Progressed(print uint64, grp core.GroupName) {
	key := run{print, grp}
	if boo.running[key] == 0 {
		panic("crash: request did not run on the group")
	}
	boo.calmed[key] = struct{}{}
}

// Broken notes that the request's connection to the group broke. A break that
// follows the group's loss counts no further. It panics if the request did not
// run there.
func (boo *Book) Broken(print uint64, grp core.GroupName, now time.Time) {
	boo.ended(boo.broken, print, grp, now)
}

// Silent notes that the request's connection to the group went silent. That
// counts only if the group's loss follows: connections also go silent for
// reasons of their own. It panics if the request did not run there.
func (boo *Book) Silent(print uint64, grp core.GroupName, now time.Time) {
	boo.ended(boo.silent, print, grp, now)
}

func (boo *Book) ended(set map[run]time.Time, print uint64, grp core.GroupName, now time.Time) {
	key := run{print, grp}
	_, counted := boo.counted[key]
	boo.Stopped(print, grp)
	if !counted {
		set[key] = now.Add(boo.cfg.Grace)
	}
}

// Completed notes that the request ran to its end on the group and clears it.
// It panics if the request did not run there.
func (boo *Book) Completed(print uint64, grp core.GroupName, now time.Time) {
	boo.Stopped(print, grp)
	if boo.count(print, now) == 0 {
		return
	}
	boo.clear(print)
	boo.own[print] = entry{until: now.Add(boo.cfg.Keep), cleared: now}
}

func (boo *Book) clear(print uint64) {
	for key := range boo.broken {
		if key.print == print {
			delete(boo.broken, key)
		}
	}
	for _, sus := range boo.peers {
		delete(sus, print)
	}
}

// Lost notes that the groups were lost together. What ran on the only group,
// or on all of several, has crashed once more. It returns the prints.
func (boo *Book) Lost(now time.Time, grps ...core.GroupName) []uint64 {
	boo.expire(now)
	hits := make(map[uint64]int)
	for _, grp := range grps {
		for _, print := range boo.ranOn(grp) {
			hits[print]++
		}
	}
	var out []uint64
	for print, num := range hits {
		if num == len(grps) {
			boo.confirm(print, grps)
			boo.crash(print, num, now)
			out = append(out, print)
		}
	}
	slices.Sort(out)
	return out
}

// confirm takes the print's breaks on the groups as explained by their loss.
func (boo *Book) confirm(print uint64, grps []core.GroupName) {
	for _, grp := range grps {
		delete(boo.broken, run{print, grp})
		delete(boo.silent, run{print, grp})
	}
}

// ranOn returns the prints that run on the group or broke there.
func (boo *Book) ranOn(grp core.GroupName) []uint64 {
	set := make(map[uint64]struct{})
	for key := range boo.running {
		_, counted := boo.counted[key]
		if key.group == grp && !counted {
			set[key.print] = struct{}{}
			boo.counted[key] = struct{}{}
		}
	}
	for _, ends := range []map[run]time.Time{boo.broken, boo.silent} {
		for key := range ends {
			if key.group == grp {
				set[key.print] = struct{}{}
			}
		}
	}
	out := make([]uint64, 0, len(set))
	for print := range set {
		out = append(out, print)
	}
	return out
}

func (boo *Book) crash(print uint64, num int, now time.Time) {
	ent := boo.own[print]
	ent.crashes += num
	ent.cleared = time.Time{}
	ent.until = now.Add(boo.cfg.Keep)
	if ent.crashes >= quarantineAt {
		ent.until = now.Add(boo.cfg.Quarantine)
	}
	boo.own[print] = ent
}

// Decide tells how the request may run now.
func (boo *Book) Decide(print uint64, now time.Time) Decision {
	boo.expire(now)
	num := boo.count(print, now)
	switch {
	case num == 0:
		return Decision{}
	case num < quarantineAt:
		return Decision{Verdict: Alone}
	}
	return Decision{Verdict: Quarantined, Until: boo.until(print)}
}

// count returns the crashes and open breaks of the print.
func (boo *Book) count(print uint64, now time.Time) int {
	num := boo.own[print].crashes
	for key, until := range boo.broken {
		if key.print == print && now.Before(until) {
			num++
		}
	}
	for _, sus := range boo.peers {
		if got, ok := sus[print]; ok && now.Before(got.ExpiresAt) {
			num += got.Crashes
		}
	}
	return num
}

// until returns the instant at which the print's quarantine ends.
func (boo *Book) until(print uint64) time.Time {
	out := boo.own[print].until
	for key, until := range boo.broken {
		if key.print == print && until.After(out) {
			out = until
		}
	}
	for _, sus := range boo.peers {
		if got, ok := sus[print]; ok && got.ExpiresAt.After(out) {
			out = got.ExpiresAt
		}
	}
	return out
}

// Suspects returns the number of suspect requests that run on the group and
// have not progressed.
func (boo *Book) Suspects(grp core.GroupName, now time.Time) int {
	num := 0
	for key, cnt := range boo.running {
		_, calm := boo.calmed[key]
		if key.group == grp && !calm && boo.count(key.print, now) > 0 {
			num += cnt
		}
	}
	return num
}

// Merge replaces what the peer told before. A clearance by the peer that is
// new ends the suspicion that this node has from a single crash.
func (boo *Book) Merge(from core.NodeName, sus []core.Suspect, now time.Time) {
	boo.expire(now)
	set := make(map[uint64]core.Suspect, len(sus))
	for _, one := range sus {
		if !now.Before(one.ExpiresAt) {
			continue
		}
		known := boo.peers[from][one.Fingerprint].Cleared
		if one.Cleared && !known && boo.own[one.Fingerprint].crashes < quarantineAt {
			delete(boo.own, one.Fingerprint)
		}
		set[one.Fingerprint] = one
	}
	boo.peers[from] = set
}

// Forget drops what a peer told that is gone for good.
func (boo *Book) Forget(from core.NodeName) { delete(boo.peers, from) }

// Export returns what this node saw itself: the most crashes first, then the
// latest, at most Config.Export of them.
func (boo *Book) Export(now time.Time) []core.Suspect {
	boo.expire(now)
	out := make([]core.Suspect, 0, len(boo.own)+len(boo.broken))
	for print, ent := range boo.own {
		out = append(out, core.Suspect{
			Fingerprint: print,
			Crashes:     ent.crashes,
			ExpiresAt:   ent.until,
			Cleared:     !ent.cleared.IsZero(),
		})
	}
	for key, until := range boo.broken {
		out = addBreak(out, key.print, until)
	}
	slices.SortFunc(out, func(one, two core.Suspect) int {
		return cmp.Or(
			cmp.Compare(two.Crashes, one.Crashes),
			two.ExpiresAt.Compare(one.ExpiresAt),
			cmp.Compare(one.Fingerprint, two.Fingerprint),
		)
	})
	return out[:min(len(out), boo.cfg.Export)]
}

func addBreak(sus []core.Suspect, print uint64, until time.Time) []core.Suspect {
	for pos := range sus {
		if sus[pos].Fingerprint == print {
			sus[pos].Crashes++
			sus[pos].Cleared = false
			return sus
		}
	}
	return append(sus, core.Suspect{Fingerprint: print, Crashes: 1, ExpiresAt: until})
}

// expire drops what is over.
func (boo *Book) expire(now time.Time) {
	for _, ends := range []map[run]time.Time{boo.broken, boo.silent} {
		for key, until := range ends {
			if !now.Before(until) {
				delete(ends, key)
			}
		}
	}
	for print, ent := range boo.own {
		if !now.Before(ent.until) {
			delete(boo.own, print)
		}
	}
	for _, sus := range boo.peers {
		for print, one := range sus {
			if !now.Before(one.ExpiresAt) {
				delete(sus, print)
			}
		}
	}
}

// SetQuarantine changes the time for which requests are refused from now on.
// A duration that is not positive changes nothing.
func (boo *Book) SetQuarantine(dur time.Duration) {
	if dur > 0 {
		boo.cfg.Quarantine = dur
	}
}
