package emul

// boundNow returns the greatest worth per second that any planner can have
// with the servers that run now. Each group needs its number of running servers
// of one domain, so the best split of each domain into groups, without any time
// for loads and joins, is an upper bound.
//
// most[num] is the greatest number of groups of the second model beside num
// groups of the first one. It is extended domain by domain.
func (run *runner) boundNow() float64 {
	running := map[string]int{}
	for _, eng := range run.cluster.engines {
		if eng.running {
			running[eng.server.Domain]++
		}
	}
	one, two := run.pat.Models[0], run.pat.Models[1]
	most := []int{0}
	for _, num := range running {
		most = addDomain(most, num, one.Size, two.Size)
	}
	best := 0.0
	for num, other := range most {
		worth := one.Worth*min(float64(num), run.demand[one.Name]) + two.Worth*min(float64(other), run.demand[two.Name])
		best = max(best, worth)
	}
	return best
}

// addDomain extends most by a domain of the given number of servers.
func addDomain(most []int, servers, sizeOne, sizeTwo int) []int {
	out := make([]int, len(most)+servers/sizeOne)
	for prev, other := range most {
		for num := 0; num*sizeOne <= servers; num++ {
			out[prev+num] = max(out[prev+num], other+(servers-num*sizeOne)/sizeTwo)
		}
	}
	return out
}
