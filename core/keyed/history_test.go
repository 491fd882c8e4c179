package keyed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/keyed"
	"kumquathinge/core/site"
)

// keyConfig is the key whose value is a version; higher versions replace lower ones.
const keyConfig = "config"

// keyOrderer is the key of claims, which hold the era that they were made for.
const keyOrderer = "orderer"

// replacesVersion is the rule for the configuration; other keys go by offset.
func replacesVersion(old, rec site.Record) bool {
	if rec.Key != keyConfig {
		return rec.Offset > old.Offset
	}
	version, err := strconv.Atoi(string(rec.Value))
	known, _ := strconv.Atoi(string(old.Value))
	return err == nil && version > known
}

// fakeLog is a keyed topic of a store that can come back from a copy.
type fakeLog struct {
	era    int64
	recs   []site.Record
	copies [][]site.Record
	calls  int
}

func (log *fakeLog) end() site.Position {
	return site.Position{Era: log.era, Offset: int64(len(log.recs))}
}

func (log *fakeLog) append(key, val string) site.Position {
	pos := log.end()
	log.recs = append(log.recs, site.Record{Key: key, Value: []byte(val), Offset: pos.Offset})
	return pos
}

func (log *fakeLog) newest() map[string]site.Record {
	out := map[string]site.Record{}
	for _, rec := range log.recs {
		out[rec.Key] = rec
		if len(rec.Value) == 0 {
			delete(out, rec.Key)
		}
	}
	return out
}

// restore goes back to a random copy.
func (log *fakeLog) restore(rng *rand.Rand) {
	log.recs = slices.Clone(log.copies[rng.IntN(len(log.copies))])
	log.era++
}

// fakeNode is a node with a replica. It reads the store, or other nodes if the store
// is cut off from it.
type fakeNode struct {
	rep      *keyed.Replica
	snapshot bool
	pending  []func(*fakeNode)
}

func newFakeNode() *fakeNode {
	return &fakeNode{rep: keyed.NewReplica(replacesVersion), snapshot: true}
}

// readStore makes a call to the store. Its answer is delivered later.
func (node *fakeNode) readStore(log *fakeLog) {
	log.calls++
	if node.snapshot {
		var recs []site.Record
		for _, rec := range log.newest() {
			recs = append(recs, rec)
		}
		end := log.end()
		node.pending = append(node.pending, func(node *fakeNode) {
			if _, ok := node.rep.ApplySnapshot(recs, end); ok {
				node.snapshot = false
			}
		})
		return
	}
	start := node.rep.Next()
	end := log.end()
	if start.Offset > end.Offset {
		node.pending = append(node.pending, func(node *fakeNode) { node.snapshot = true })
		return
	}
	recs := slices.Clone(log.recs[start.Offset:])
	node.pending = append(node.pending, func(node *fakeNode) {
		if end.Era != start.Era {
			node.snapshot = node.snapshot || end.Era > node.rep.Next().Era
			return
		}
		node.rep.ApplyRecords(recs, start, end)
	})
}

// readPeer fetches a page of another node if that one is ahead.
func (node *fakeNode) readPeer(peer *fakeNode, maxBytes int) {
	next := node.rep.Next()
	if peer.rep.Next().Before(next) || peer.rep.Next() == next && !node.rep.Incomplete() {
		return
	}
	req := node.rep.Request()
	page := peer.rep.Page(req, maxBytes)
	node.pending = append(node.pending, func(node *fakeNode) {
		if _, ok := node.rep.ApplyPage(page); ok {
			node.snapshot = false
		}
	})
}

// deliver handles the oldest answer.
func (node *fakeNode) deliver() {
	if len(node.pending) > 0 {
		node.pending[0](node)
		node.pending = node.pending[1:]
	}
}

// randomStep appends, copies, restores, reads, cuts or restarts at random.
func randomStep(rng *rand.Rand, log *fakeLog, nodes []*fakeNode, version *int) {
	node := nodes[rng.IntN(len(nodes))]
	switch draw := rng.IntN(100); {
	case draw < 20:
		val := strconv.Itoa(rng.IntN(1000))
		if rng.IntN(5) == 0 {
			val = ""
		}
		log.append(fmt.Sprint("server", rng.IntN(12)), val)
	case draw < 23:
		*version += 1 + rng.IntN(3)
		log.append(keyConfig, strconv.Itoa(*version))
	case draw < 26:
		log.copies = append(log.copies, slices.Clone(log.recs))
	case draw < 27 && len(log.copies) > 0:
		log.restore(rng)
	case draw < 28:
		*node = *newFakeNode()
	case draw < 50:
		node.readStore(log)
	case draw < 65:
		node.readPeer(nodes[rng.IntN(len(nodes))], 20)
	default:
		era, version := node.rep.Next().Era, configOf(node)
		node.deliver()
		if node.rep.Next().Era < era || configOf(node) < version {
			panic("a replica went back")
		}
	}
}

func configOf(node *fakeNode) int {
	rec, _ := node.rep.Latest(keyConfig)
	version, _ := strconv.Atoi(string(rec.Value))
	return version
}

// settle lets the first nodes read the store and the others read from nodes, and
// returns the number of calls to the store.
func settle(rng *rand.Rand, log *fakeLog, nodes []*fakeNode, readers int) int {
	for _, node := range nodes {
		node.pending = nil
	}
	before := log.calls
	for idx := range readers {
		node := nodes[idx]
		for node.rep.Next() != log.end() || node.rep.Incomplete() {
			node.snapshot = node.snapshot || node.rep.Next().Era < log.era || node.rep.Incomplete()
			node.readStore(log)
			node.deliver()
		}
	}
	for range 2000 {
		done := true
		for _, node := range nodes[readers:] {
			if node.rep.Next() != log.end() || node.rep.Incomplete() {
				done = false
				node.readPeer(nodes[rng.IntN(len(nodes))], 200)
				node.deliver()
			}
		}
		if done {
			break
		}
	}
	return log.calls - before
}

// TestRestoredHistories guards against replicas that miss records, keep removed ones
// or go back when the store comes back from older copies, in random histories with
// late answers, restarts of nodes and reads from other nodes.
func TestRestoredHistories(t *testing.T) {
	for _, count := range []int{4, 119} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprint(count, "/", seed), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, uint64(count)))
				log := &fakeLog{era: 1}
				version := 0
				nodes := make([]*fakeNode, count)
				for idx := range nodes {
					nodes[idx] = newFakeNode()
				}
				const rounds, readers = 6, 2
				for range rounds {
					for range 40 * count {
						randomStep(rng, log, nodes, &version)
					}
					version++
					log.append(keyConfig, strconv.Itoa(version))
					calls := settle(rng, log, nodes, readers)
					assert.Assert(t, calls <= 3*readers, "%d calls to the store", calls)
					requireContent(t, log, nodes)
				}
			})
		}
	}
}

// requireContent checks that all nodes have the content of the store.
func requireContent(t *testing.T, log *fakeLog, nodes []*fakeNode) {
	t.Helper()
	want := log.newest()
	for idx, node := range nodes {
		assert.Equal(t, node.rep.Next(), log.end(), "node %d", idx)
		page := node.rep.Page(keyed.Request{From: site.Position{Era: -1}}, 1<<20)
		assert.Assert(t, !page.More)
		live := 0
		for _, rec := range page.Records {
			if len(rec.Value) == 0 {
				continue
			}
			live++
			assert.Equal(t, string(rec.Value), string(want[rec.Key].Value), "node %d, key %s", idx, rec.Key)
		}
		assert.Equal(t, live, len(want), "node %d", idx)
	}
}

// TestRestoredTerms guards against a term of the orderer that is given out twice or
// is lower than an earlier one: claims are lost with the store's copies, restored
// with them, or carried out late in another era.
func TestRestoredTerms(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		log := &fakeLog{era: 1}
		last := int64(0)
		type claim struct{ asOf, era int64 }
		var late []claim
		apply := func(cl claim) {
			if cl.asOf != log.end().Offset {
				return
			}
			pos := log.append(keyOrderer, strconv.FormatInt(cl.era, 10))
			if cl.era != pos.Era {
				return
			}
			assert.Assert(t, pos.Ordinal() > last, "seed %d: term %d after %d", seed, pos.Ordinal(), last)
			last = pos.Ordinal()
		}
		for range 400 {
			log.copies = append(log.copies, slices.Clone(log.recs))
			cl := claim{asOf: log.end().Offset, era: log.era}
			switch draw := rng.IntN(10); {
			case draw < 4:
				apply(cl)
			case draw < 6:
				late = append(late, cl)
			case draw < 8 && len(late) > 0:
				apply(late[rng.IntN(len(late))])
			case draw < 9:
				log.append("node", "x")
			default:
				log.restore(rng)
			}
		}
	}
}

// FuzzPage applies pages of other nodes, well-formed or not, between steps of the
// store. None may end the process, move the position back or go back to a lower
// version.
func FuzzPage(fuzz *testing.F) {
	fuzz.Add(int64(1), int64(0), int64(3), int64(1), false, true, "config", "7", int64(2))
	fuzz.Add(int64(2), int64(0), int64(1), int64(2), true, false, "server1", "", int64(0))
	fuzz.Add(int64(-1), int64(9), int64(-5), int64(1<<62), false, false, "", "x", int64(-1))
	fuzz.Fuzz(func(t *testing.T, startEra, start, end, endEra int64, more, lossy bool, key, val string, offset int64) {
		node := newFakeNode()
		node.rep.ApplySnapshot([]site.Record{{Key: keyConfig, Value: []byte("5"), Offset: 0}, {Key: "server1", Value: []byte("a"), Offset: 1}}, site.Position{Era: 1, Offset: 2})
		before, version := node.rep.Next(), configOf(node)
		node.rep.ApplyPage(keyed.Page{
			Records: []site.Record{{Key: key, Value: []byte(val), Offset: offset}}, More: more, Lossy: lossy, Keys: []string{key},
			Start: site.Position{Era: startEra, Offset: start}, End: site.Position{Era: endEra, Offset: end},
		})
		assert.Assert(t, !node.rep.Next().Before(before))
		assert.Assert(t, configOf(node) >= version)
	})
}
