package share

// Rota takes turns: it picks a bounded number of nodes at a time and comes to
// each of them once in a round.
type Rota struct {
	next int
}

// Rounds returns the number of turns within which each of num nodes is picked
// if at most most are picked at a time.
func Rounds(num, most int) int { return max(1, (num+most-1)/most) }

// Pick returns the nodes whose turn it is, at most most of them. The order of
// the nodes stays the same between turns; one that comes or goes shifts a round
// by one place at most.
func (rot *Rota) Pick(nodes []string, most int) []string {
	if len(nodes) <= most {
		return nodes
	}
	size := len(nodes) / Rounds(len(nodes), most)
	if len(nodes)%Rounds(len(nodes), most) > 0 {
		size++
	}
	out := make([]string, 0, size)
	for range size {
		out = append(out, nodes[rot.next%len(nodes)])
		rot.next++
	}
	rot.next %= len(nodes)
	return out
}
