package membr

import (
	"maps"
	"slices"

	"kumquathinge/core"
)

// maxHashOffsets bounds the offsets of which states are remembered.
const maxHashOffsets = 256

// Divergence tells which nodes hold another state of the log than most, as last
// seen at offset At. If no state is that of most, Tied is set and Odd has every
// node that holds one of those that are equally common.
type Divergence struct {
	Offset core.Offset
	Nodes  []core.NodeName
	Tied   bool
}

// Err returns nil if no node differs, and else an error with
// core.CodeHashAlarm.
func (div Divergence) Err() error {
	switch {
	case len(div.Nodes) == 0:
		return nil
	case div.Tied:
		return core.Errorf(core.CodeHashAlarm, "nodes %q have different states at offset %d, none is that of most", div.Nodes, div.Offset)
	}
	return core.Errorf(core.CodeHashAlarm, "nodes %q have another state than most at offset %d", div.Nodes, div.Offset)
}

// sameNodes reports whether the alarms blame the same nodes.
func (div Divergence) sameNodes(other Divergence) bool {
	return div.Tied == other.Tied && slices.Equal(div.Nodes, other.Nodes)
}

// comparison is what the last comparison that a node took part in has shown.
type comparison struct {
	offset    core.Offset
	divergent bool
	tied      bool
}

// hashHistory keeps the states that nodes told of the last offsets.
type hashHistory struct {
	hashesByOffset map[core.Offset]map[core.NodeName]uint64
	offsets        []core.Offset
	lastByNode     map[core.NodeName]comparison
	lastDivergence Divergence
}

func newHashHistory() hashHistory {
	return hashHistory{
		hashesByOffset: make(map[core.Offset]map[core.NodeName]uint64),
		lastByNode:     make(map[core.NodeName]comparison),
	}
}

// RecordHash notes the state that bea tells and returns the alarm as it stands then
// and whether it blames other nodes than before. The node's own beats must be
// passed as well. A node that is forgotten is blamed no more.
func (tbl *Table) RecordHash(hb core.Heartbeat) (Divergence, bool) {
	if hb.HashOffset != 0 {
		tbl.stateHashes.record(hb)
		tbl.stateHashes.compare(hb.HashOffset)
	}
	current := tbl.stateHashes.divergence()
	changed := !current.sameNodes(tbl.stateHashes.lastDivergence)
	tbl.stateHashes.lastDivergence = current
	return current, changed
}

// record remembers the state of bea.
func (hist *hashHistory) record(hb core.Heartbeat) {
	hashByNode, ok := hist.hashesByOffset[hb.HashOffset]
	if !ok {
		hashByNode = make(map[core.NodeName]uint64)
		hist.hashesByOffset[hb.HashOffset] = hashByNode
		hist.offsets = append(hist.offsets, hb.HashOffset)
	}
	hashByNode[hb.Node] = hb.Hash
	if len(hist.offsets) > maxHashOffsets {
		delete(hist.hashesByOffset, hist.offsets[0])
		hist.offsets = hist.offsets[1:]
	}
}

// compare compares the states at an offset, if several nodes told theirs.
func (hist *hashHistory) compare(offset core.Offset) {
	hashByNode := hist.hashesByOffset[offset]
	if len(hashByNode) < 2 {
		return
	}
	common := hist.mostCommon(hashByNode)
	for node, hash := range hashByNode {
		if hist.lastByNode[node].offset > offset {
			continue
		}
		hist.lastByNode[node] = comparison{
			offset:    offset,
			divergent: common.Len() > 1 || !common.Has(hash),
			tied:      common.Len() > 1 && common.Has(hash),
		}
	}
}

// mostCommon returns the state that most nodes hold, or several that are equally
// common. Among these, the one that most nodes hold which agreed with others
// before takes precedence.
func (hist *hashHistory) mostCommon(hashByNode map[core.NodeName]uint64) core.Set[uint64] {
	countByHash, trustedByHash := make(map[uint64]int), make(map[uint64]int)
	for node, hash := range hashByNode {
		countByHash[hash]++
		if last, ok := hist.lastByNode[node]; ok && !last.divergent {
			trustedByHash[hash]++
		}
	}
	return withMaxCount(withMaxCount(core.NewSet(slices.Collect(maps.Keys(countByHash))...), countByHash), trustedByHash)
}

// withMaxCount returns the hashes with the greatest count.
func withMaxCount(hashes core.Set[uint64], countByHash map[uint64]int) core.Set[uint64] {
	maxCount := 0
	for _, hash := range hashes.Sorted() {
		maxCount = max(maxCount, countByHash[hash])
	}
	out := core.NewSet[uint64]()
	for _, hash := range hashes.Sorted() {
		if countByHash[hash] == maxCount {
			out.Add(hash)
		}
	}
	return out
}

// divergence returns the alarm as it stands.
func (hist *hashHistory) divergence() Divergence {
	var out Divergence
	for node, last := range hist.lastByNode {
		if !last.divergent {
			continue
		}
		out.Nodes = append(out.Nodes, node)
		out.Tied = out.Tied || last.tied
		out.Offset = max(out.Offset, last.offset)
	}
	slices.Sort(out.Nodes)
	return out
}
