package membr

import (
	"maps"
	"slices"

	"kumquathinge/core"
)

// maxHashes bounds the offsets of which states are remembered.
const maxHashes = 256

// Alarm tells which nodes hold another state of the log than most, as last
// seen at offset At. If no state is that of most, Tied is set and Odd has every
// node that holds one of those that are equally common.
type Alarm struct {
	At   core.Offset
	Odd  []core.NodeName
	Tied bool
}

// Err returns nil if no node differs, and else an error with
// core.CodeHashAlarm.
func (alm Alarm) Err() error {
	switch {
	case len(alm.Odd) == 0:
		return nil
	case alm.Tied:
		return core.Errorf(core.CodeHashAlarm, "nodes %q have different states at offset %d, none is that of most", alm.Odd, alm.At)
	}
	return core.Errorf(core.CodeHashAlarm, "nodes %q have another state than most at offset %d", alm.Odd, alm.At)
}

// same reports whether the alarms blame the same nodes.
func (alm Alarm) same(oth Alarm) bool {
	return alm.Tied == oth.Tied && slices.Equal(alm.Odd, oth.Odd)
}

// judgement is what the last comparison that a node took part in has shown.
type judgement struct {
	at   core.Offset
	odd  bool
	tied bool
}

// told keeps the states that nodes told of the last offsets.
type told struct {
	hashes map[core.Offset]map[core.NodeName]uint64
	offs   []core.Offset
	judged map[core.NodeName]judgement
	last   Alarm
}

func newTold() told {
	return told{
		hashes: make(map[core.Offset]map[core.NodeName]uint64),
		judged: make(map[core.NodeName]judgement),
	}
}

// Alarm notes the state that bea tells and returns the alarm as it stands then
// and whether it blames other nodes than before. The node's own beats must be
// passed as well. A node that is forgotten is blamed no more.
func (tab *Table) Alarm(bea core.Heartbeat) (Alarm, bool) {
	if bea.HashOffset != 0 {
		tab.told.note(bea)
		tab.told.judge(bea.HashOffset)
	}
	now := tab.told.alarm()
	changed := !now.same(tab.told.last)
	tab.told.last = now
	return now, changed
}

// note remembers the state of bea.
func (tol *told) note(bea core.Heartbeat) {
	set, ok := tol.hashes[bea.HashOffset]
	if !ok {
		set = make(map[core.NodeName]uint64)
		tol.hashes[bea.HashOffset] = set
		tol.offs = append(tol.offs, bea.HashOffset)
	}
	set[bea.Node] = bea.Hash
	if len(tol.offs) > maxHashes {
		delete(tol.hashes, tol.offs[0])
		tol.offs = tol.offs[1:]
	}
}

// judge compares the states at an offset, if several nodes told theirs.
func (tol *told) judge(off core.Offset) {
	set := tol.hashes[off]
	if len(set) < 2 {
		return
	}
	most := tol.common(set)
	for nod, hash := range set {
		if tol.judged[nod].at > off {
			continue
		}
		tol.judged[nod] = judgement{
			at:   off,
			odd:  most.Len() > 1 || !most.Has(hash),
			tied: most.Len() > 1 && most.Has(hash),
		}
	}
}

// common returns the state that most nodes hold, or several that are equally
// common. Among these, the one that most nodes hold which agreed with others
// before takes precedence.
func (tol *told) common(set map[core.NodeName]uint64) core.Set[uint64] {
	nodes, trusted := make(map[uint64]int), make(map[uint64]int)
	for nod, hash := range set {
		nodes[hash]++
		if jud, ok := tol.judged[nod]; ok && !jud.odd {
			trusted[hash]++
		}
	}
	return greatest(greatest(core.NewSet(slices.Collect(maps.Keys(nodes))...), nodes), trusted)
}

// greatest returns the hashes with the greatest count.
func greatest(hashes core.Set[uint64], count map[uint64]int) core.Set[uint64] {
	most := 0
	for _, hash := range hashes.Sorted() {
		most = max(most, count[hash])
	}
	out := core.NewSet[uint64]()
	for _, hash := range hashes.Sorted() {
		if count[hash] == most {
			out.Add(hash)
		}
	}
	return out
}

// alarm returns the alarm as it stands.
func (tol *told) alarm() Alarm {
	var out Alarm
	for nod, jud := range tol.judged {
		if !jud.odd {
			continue
		}
		out.Odd = append(out.Odd, nod)
		out.Tied = out.Tied || jud.tied
		out.At = max(out.At, jud.at)
	}
	slices.Sort(out.Odd)
	return out
}
