package admit

import "kumquathinge/core"

// Split returns the part of limit that node self gets if the limit is divided
// by the nodes' demands. The fraction floor of the limit, in [0, 1], is
// divided evenly, so that a node whose demand is new starts with something.
// Without any demand the whole limit is divided evenly. The parts of all nodes
// add up to limit. Split panics if self is out of range.
func Split(limit float64, demands []float64, self int, floor float64) float64 {
	floor = min(max(floor, 0), 1)
	even := 1 / float64(len(demands))
	mine := max(demands[self], 0)
	var sum float64
	for _, demand := range demands {
		sum += max(demand, 0)
	}
	if sum <= 0 {
		return limit * even
	}
	return limit * (floor*even + (1-floor)*mine/sum)
}

// Node is an entry VM as the division of limits sees it.
type Node struct {
	Zone      core.Zone
	Demand    float64
	Reachable bool // heard of lately; true for the node itself
}

// Share returns the fraction of an organisation's limit that node self may
// use. While all nodes are reached it is Split by demand. If one is not, each
// zone keeps the even part of its nodes, which a zone whose own nodes all
// reach each other divides by demand, and a node that misses one of its own
// zone keeps its even part: whatever the partition, the parts of nodes that
// have noticed it add up to at most 1.
func Share(nodes []Node, self int, floor float64) float64 {
	all, zone := true, true
	var demands, zoneDemands []float64
	zoneSelf := 0
	for idx, node := range nodes {
		reached := node.Reachable || idx == self
		all = all && reached
		demands = append(demands, node.Demand)
		if node.Zone != nodes[self].Zone {
			continue
		}
		if idx == self {
			zoneSelf = len(zoneDemands)
		}
		zone = zone && reached
		zoneDemands = append(zoneDemands, node.Demand)
	}
	if all {
		return Split(1, demands, self, floor)
	}
	if !zone {
		return 1 / float64(len(nodes))
	}
	part := float64(len(zoneDemands)) / float64(len(nodes))
	return Split(part, zoneDemands, zoneSelf, floor)
}
