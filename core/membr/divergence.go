package membr

import (
	"maps"
	"slices"

	"kumquathinge/core"
)

// maxHashOffsets is the number of offsets for which state hashes are kept.
const maxHashOffsets = 256

// Divergence lists the nodes whose state differs from the most common one, with
// the last offset at which a difference was seen. If several states are equally
// common, Tied is set and Nodes includes every node with one of these.
type Divergence struct {
	Offset core.Offset
	Nodes  []core.NodeName
	Tied   bool
}

// Err returns nil if no node diverges, and an error with core.CodeHashAlarm
// otherwise.
func (div Divergence) Err() error {
	switch {
	case len(div.Nodes) == 0:
		return nil
	case div.Tied:
		return core.Errorf(core.CodeHashAlarm, "states of nodes %q differ at offset %d and none is the most common one", div.Nodes, div.Offset)
	}
	return core.Errorf(core.CodeHashAlarm, "states of nodes %q differ from the most common one at offset %d", div.Nodes, div.Offset)
}

// sameNodes reports whether both divergences list the same nodes.
func (div Divergence) sameNodes(other Divergence) bool {
	return div.Tied == other.Tied && slices.Equal(div.Nodes, other.Nodes)
}

// comparison is the result for one node of the comparison at an offset.
type comparison struct {
	offset    core.Offset
	divergent bool
	tied      bool
}

// hashHistory holds the state hashes that nodes reported for the last offsets,
// and the last comparison of each node.
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

// RecordHash records the state hash in the heartbeat. It returns the current
// divergence and whether its nodes differ from those of the previous call. The
// caller must pass the node's own heartbeats, too. A node that has expired is no
// longer listed.
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

// record stores the state hash of the heartbeat.
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

// compare compares the hashes at an offset if several nodes reported one.
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

// mostCommon returns the hash that most nodes report, several if they are
// equally common. Ties are broken by the number of nodes that did not diverge in
// their last comparison.
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

// withMaxCount returns the hashes with the highest count.
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

// divergence returns the divergence according to the last comparisons.
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
