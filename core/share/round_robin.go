package share

// RoundRobin cycles through the nodes in batches of limited size. Each node is
// picked at least once per cycle.
type RoundRobin struct {
	next int
}

// BatchCount returns the number of batches of at most maxBatch nodes in a cycle
// over num nodes.
func BatchCount(num, maxBatch int) int { return max(1, (num+maxBatch-1)/maxBatch) }

// NextBatch returns the next nodes of the cycle, at most maxBatch of them. The
// order of nodes must be stable between calls; adding or removing one shifts
// the cycle by at most one position.
func (rr *RoundRobin) NextBatch(nodes []string, maxBatch int) []string {
	if len(nodes) <= maxBatch {
		return nodes
	}
	size := len(nodes) / BatchCount(len(nodes), maxBatch)
	if len(nodes)%BatchCount(len(nodes), maxBatch) > 0 {
		size++
	}
	out := make([]string, 0, size)
	for range size {
		out = append(out, nodes[rr.next%len(nodes)])
		rr.next++
	}
	rr.next %= len(nodes)
	return out
}
