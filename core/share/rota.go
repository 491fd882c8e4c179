package share

// RoundRobin takes turns: it picks a bounded number of nodes at a time and comes to
// each of them once in a round.
type RoundRobin struct {
	next int
}

// BatchCount returns the number of turns within which each of num nodes is picked
// if at most most are picked at a time.
func BatchCount(num, maxBatch int) int { return max(1, (num+maxBatch-1)/maxBatch) }

// NextBatch returns the nodes whose turn it is, at most most of them. The order of
// the nodes stays the same between turns; one that comes or goes shifts a round
// by one place at most.
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
