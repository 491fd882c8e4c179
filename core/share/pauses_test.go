package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// TestPauseHistories guards against requests in the pause that a process of a server
// asked for, and against a pause that outlives it: in random histories of answers,
// restarts and servers that take over an ID, on 4 nodes.
func TestPauseHistories(t *testing.T) {
	const nodeCount = 4
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_000_000, 0)
		type run struct {
			node int
			id   string
			born int64
		}
		until := map[run]time.Time{}
		srvs := map[string]*site.Server{}
		for _, id := range []string{"a", "b", "c"} {
			srvs[id] = &site.Server{ID: id, Zone: "z1", StartMillis: 1}
		}
		var nodes []*share.Balancer
		for range nodeCount {
			nodes = append(nodes, share.NewBalancer("z1"))
		}
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			node, id := rng.IntN(nodeCount), string(rune('a'+rng.IntN(3)))
			key := run{node: node, id: id, born: srvs[id].StartMillis}
			switch draw := rng.IntN(10); {
			case draw < 3:
				dur := time.Duration(rng.IntN(3000)-500) * time.Millisecond
				nodes[node].RecordPause(id, key.born, dur, now)
				if end := now.Add(dur); dur > 0 && end.After(until[key]) {
					until[key] = end
				}
			case draw == 3:
				srv := *srvs[id]
				srv.StartMillis++
				srvs[id] = &srv
			case draw == 4:
				nodes[node] = share.NewBalancer("z1")
				for other := range until {
					if other.node == node {
						delete(until, other)
					}
				}
			default:
				srv := srvs[id]
				choice := nodes[node].Choose([]*site.Server{srv}, func(*site.Server) int { return 10 }, nil, now)
				num, left := nodes[node].Pauses([]*site.Server{srv}, now)
				paused := now.Before(until[key])
				assert.Equal(t, choice.Server == nil, paused, "seed %d", seed)
				assert.Equal(t, num == 1, paused, "seed %d", seed)
				if paused {
					assert.Equal(t, left, until[key].Sub(now), "seed %d", seed)
				}
			}
		}
	}
}
