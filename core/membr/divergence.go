package membr

import (
	"maps"
	"slices"

	"kumquathinge/core"
)

// maxHashPositions is the number of positions for which state hashes are kept.
const maxHashPositions = 256

// Divergence lists the nodes whose state differs from the most common one, with
// the last position at which a difference was seen. If several states are equally
// common, Tied is set and Nodes includes every node with one of these.
type Divergence struct {
	Position core.Position
	Nodes    []core.NodeName
	Tied     bool
}

// Err returns nil if no node diverges, and an error with core.CodeHashAlarm
// otherwise.
func (div Divergence) Err() error {
	switch {
	case len(div.Nodes) == 0:
		return nil
	case div.Tied:
		return core.Errorf(core.CodeHashAlarm, "states of nodes %q differ at offset %d and none is the most common one", div.Nodes, div.Position.Offset)
	}
	return core.Errorf(core.CodeHashAlarm, "states of nodes %q differ from the most common one at offset %d", div.Nodes, div.Position.Offset)
}

// sameNodes reports whether both divergences list the same nodes.
func (div Divergence) sameNodes(other Divergence) bool {
	return div.Tied == other.Tied && slices.Equal(div.Nodes, other.Nodes)
}

// comparison is the result for one node of the comparison at a position.
type comparison struct {
	position  core.Position
	divergent bool
	tied      bool
}

// hashHistory holds the state hashes that nodes reported for the last positions,
// and the last comparison of each node.
type hashHistory struct {
	hashesByPosition map[core.Position]map[core.NodeName]uint64
	positions        []core.Position
	lastByNode       map[core.NodeName]comparison
	lastDivergence   Divergence
}

func newHashHistory() hashHistory {
	return hashHistory{
		hashesByPosition: make(map[core.Position]map[core.NodeName]uint64),
		lastByNode:       make(map[core.NodeName]comparison),
	}
}

// RecordHash records the state hash in the heartbeat. It returns the current
// divergence and whether its nodes differ from those of the previous call. The
// caller must pass the node's own heartbeats, too. A node that has expired is no
// longer listed.
func (tbl *Table) RecordHash(hb core.Heartbeat) (Divergence, bool) {
	if hb.HashOffset != 0 {
		tbl.stateHashes.record(hb)
		tbl.stateHashes.compare(hb.HashPosition())
	}
	current := tbl.stateHashes.divergence()
	changed := !current.sameNodes(tbl.stateHashes.lastDivergence)
	tbl.stateHashes.lastDivergence = current
	return current, changed
}

// record stores the state hash of the heartbeat.
func (hist *hashHistory) record(hb core.Heartbeat) {
	pos := hb.HashPosition()
	hashByNode, ok := hist.hashesByPosition[pos]
	if !ok {
		hashByNode = make(map[core.NodeName]uint64)
		hist.hashesByPosition[pos] = hashByNode
		hist.positions = append(hist.positions, pos)
	}
	hashByNode[hb.Node] = hb.Hash
	if len(hist.positions) > maxHashPositions {
		delete(hist.hashesByPosition, hist.positions[0])
		hist.positions = hist.positions[1:]
	}
}

// compare compares the hashes at a position if several nodes reported one. Those
// of another era are of another history, and say nothing about it.
func (hist *hashHistory) compare(pos core.Position) {
	hashByNode := hist.hashesByPosition[pos]
	if len(hashByNode) < 2 {
		return
	}
	common := hist.mostCommon(hashByNode)
	for node, hash := range hashByNode {
		if pos.Before(hist.lastByNode[node].position) {
			continue
		}
		hist.lastByNode[node] = comparison{
			position:  pos,
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
		if out.Position.Before(last.position) {
			out.Position = last.position
		}
	}
	slices.Sort(out.Nodes)
	return out
}
