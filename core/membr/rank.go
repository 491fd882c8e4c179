package membr

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// Rank returns nodes in the order of preference for key, by rendezvous
// hashing. Every caller with the same nodes gets the same order, and the order
// of the others does not change when a node comes or goes. Nodes is not
// changed.
func Rank(key string, nodes []core.NodeName) []core.NodeName {
	type scored struct {
		node  core.NodeName
		score uint64
	}
	all := make([]scored, 0, len(nodes))
	for _, nod := range nodes {
		all = append(all, scored{node: nod, score: score(key, nod)})
	}
	slices.SortFunc(all, func(asc, bsc scored) int {
		return cmp.Or(cmp.Compare(bsc.score, asc.score), cmp.Compare(asc.node, bsc.node))
	})
	out := make([]core.NodeName, 0, len(all))
	for _, sco := range all {
		out = append(out, sco.node)
	}
	return out
}

// Names returns the nodes of beats.
func Names(beats []core.Heartbeat) []core.NodeName {
	out := make([]core.NodeName, 0, len(beats))
	for _, bea := range beats {
		out = append(out, bea.Node)
	}
	return out
}

func score(key string, nod core.NodeName) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(key)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(string(nod))
	return dig.Sum64()
}
