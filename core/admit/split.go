package admit

import "kumquathinge/core"

// Split divides limit among nodes in proportion to their demands and returns
// the part of node self. The fraction floor of the limit, in [0, 1], is
// divided evenly, so that a node with new demand does not start at zero. If
// there is no demand, the whole limit is divided evenly. The parts of all
// nodes add up to limit. Split panics if self is out of range.
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

// Node is an entry VM that takes part in the division of limits.
type Node struct {
	Zone      core.Zone
	Demand    float64
	Reachable bool // a recent heartbeat was received; true for the node itself
}

// Share returns the fraction of an organisation's limit that node self may
// use. While all nodes are reachable, the limit is split by demand over all of
// them. Otherwise each zone keeps the even parts of its nodes: if all nodes of
// the zone are reachable, they split these by demand, and if not, the node
// uses its own even part. The fractions of the nodes that have detected a
// partition thus add up to at most 1, whatever the partition.
func Share(nodes []Node, self int, floor float64) float64 {
	all, zone := true, true
	var demands, zoneDemands []float64
	zoneSelf := 0
	for idx, node := range nodes {
		reachable := node.Reachable || idx == self
		all = all && reachable
		demands = append(demands, node.Demand)
		if node.Zone != nodes[self].Zone {
			continue
		}
		if idx == self {
			zoneSelf = len(zoneDemands)
		}
		zone = zone && reachable
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
