package membr

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// Rank returns nodes in the order of preference for key, by rendezvous hashing.
// The result depends only on the key and the set of nodes, and the order of the
// other nodes does not change when a node is added or removed. Rank does not
// modify nodes.
func Rank(key string, nodes []core.NodeName) []core.NodeName {
	type scored struct {
		node  core.NodeName
		score uint64
	}
	all := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, scored{node: node, score: score(key, node)})
	}
	slices.SortFunc(all, func(lhs, rhs scored) int {
		return cmp.Or(cmp.Compare(rhs.score, lhs.score), cmp.Compare(lhs.node, rhs.node))
	})
	out := make([]core.NodeName, 0, len(all))
	for _, item := range all {
		out = append(out, item.node)
	}
	return out
}

// NodeNames returns the node names of the heartbeats.
func NodeNames(heartbeats []core.Heartbeat) []core.NodeName {
	out := make([]core.NodeName, 0, len(heartbeats))
	for _, hb := range heartbeats {
		out = append(out, hb.Node)
	}
	return out
}

func score(key string, node core.NodeName) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}
