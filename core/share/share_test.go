package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

var start = time.Unix(1000, 0)

// every is the pause between the reports of a peer.
const every = 120 * time.Millisecond

func servers(num int) []*site.Server {
	var out []*site.Server
	for idx := range num {
		out = append(out, &site.Server{ID: fmt.Sprint("s", idx), Zone: "z1", Slots: 4})
	}
	return out
}

func slots(srv *site.Server) int { return srv.Slots }

// TestEven spreads requests over servers: none gets more than another by two.
func TestEven(t *testing.T) {
	boo := share.NewBook("z1")
	srvs := servers(3)
	for range 12 {
		cho := boo.Choose(srvs, slots, nil, start)
		assert.Assert(t, cho.Server != nil)
		boo.Begin(cho.Server.ID, 100, start)
	}
	for _, srv := range srvs {
		assert.Equal(t, boo.Load(srv.ID, start), share.Count{Running: 4, Waiting: 400})
	}
	assert.Assert(t, boo.Choose(srvs, slots, nil, start).Server == nil, "all are full")
}

// TestPeers counts the requests of other nodes, while they are heard.
func TestPeers(t *testing.T) {
	boo := share.NewBook("z1")
	boo.Peer("n2", map[string]share.Count{"s0": {Running: 4}, "s1": {Running: 1, Waiting: 50}}, every, start)
	srvs := servers(2)
	assert.Equal(t, boo.Choose(srvs, slots, nil, start).Server.ID, "s1")
	assert.Equal(t, boo.Load("s1", start), share.Count{Running: 1, Waiting: 50})
	late := start.Add(5 * time.Second)
	assert.Equal(t, boo.Load("s1", late), share.Count{})
}

// TestPeerReplaced counts the newest report of each node once, and reports that
// come seldom for longer.
func TestPeerReplaced(t *testing.T) {
	boo := share.NewBook("z1")
	for turn := range 5 {
		now := start.Add(time.Duration(turn) * every)
		boo.Peer("n2", map[string]share.Count{"s0": {Running: turn, Waiting: 10}}, every, now)
		boo.Peer("n3", map[string]share.Count{"s0": {Running: 2}}, 2*time.Second, now)
		assert.Equal(t, boo.Load("s0", now), share.Count{Running: turn + 2, Waiting: 10})
	}
	late := start.Add(3 * time.Second)
	assert.Equal(t, boo.Load("s0", late), share.Count{Running: 2}, "n2 has fallen silent, n3 reports seldom")
	assert.Equal(t, boo.Load("s0", late.Add(10*time.Second)), share.Count{})
}

// TestAvoided puts servers that failed or are silent behind the others,
// and uses them when nothing else is there.
func TestAvoided(t *testing.T) {
	tests := []struct {
		name  string
		upset func(boo *share.Book)
	}{
		{"failed", func(boo *share.Book) { boo.Fail("s0", start) }},
		{"silent", func(boo *share.Book) { boo.Begin("s0", 0, start.Add(-time.Second)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			boo := share.NewBook("z1")
			tt.upset(boo)
			srvs := servers(2)
			boo.Begin("s1", 0, start)
			boo.Begin("s1", 0, start)
			for range 4 {
				assert.Equal(t, boo.Choose(srvs, slots, nil, start).Server.ID, "s1")
			}
			assert.Equal(t, boo.Choose(srvs, slots, []string{"s1"}, start).Server.ID, "s0")
		})
	}
}

// TestLost keeps requests from a server that the orderer takes as lost, until
// it no longer says so.
func TestLost(t *testing.T) {
	boo := share.NewBook("z1")
	srvs := servers(1)
	boo.Lose("s0", every, start)
	assert.Assert(t, boo.Choose(srvs, slots, nil, start).Server == nil)
	assert.Equal(t, boo.Choose(srvs, slots, nil, start.Add(time.Second)).Server.ID, "s0")
}

func TestProgressClears(t *testing.T) {
	boo := share.NewBook("z1")
	boo.Begin("s0", 0, start)
	boo.Fail("s0", start)
	assert.DeepEqual(t, boo.Silent(time.Second, start.Add(2*time.Second)), []string{"s0"})
	boo.Progress("s0", start.Add(2*time.Second))
	assert.Equal(t, len(boo.Silent(time.Second, start.Add(2*time.Second))), 0)
	assert.Equal(t, boo.SilentFor("s0", start.Add(3*time.Second)), time.Second)
	boo.End("s0", 0)
	assert.Equal(t, boo.SilentFor("s0", start.Add(3*time.Second)), time.Duration(0))
}

// TestSlow finds the server whose events come far slower than those of the
// others of its model, and not one of a model that is slower altogether.
func TestSlow(t *testing.T) {
	boo := share.NewBook("z1")
	for idx, gap := range []time.Duration{50, 55, 60, 200, 400, 410} {
		id, mod := fmt.Sprint("s", idx), "m"
		if idx >= 4 {
			mod = "slower"
		}
		boo.Begin(id, 0, start)
		for range 20 {
			boo.Gap(id, mod, gap*time.Millisecond)
		}
	}
	assert.DeepEqual(t, boo.Slow(), []string{"s3"})
}

// TestManyNodes spreads the choices of nodes that know the same old counts.
func TestManyNodes(t *testing.T) {
	got := map[string]int{}
	for range 300 {
		boo := share.NewBook("z1")
		for num := range 30 {
			boo.Peer(fmt.Sprint("n", num), map[string]share.Count{"s0": {Running: 0}, "s1": {Running: 1}}, every, start)
		}
		srvs := servers(6)
		for _, srv := range srvs {
			srv.Slots = 48
		}
		got[boo.Choose(srvs, slots, nil, start).Server.ID]++
	}
	for id, num := range got {
		assert.Assert(t, num < 150, "%s was chosen %d times of 300", id, num)
	}
}

// TestBudget holds the repeats of several nodes in any window against the
// ratio and the slack.
func TestBudget(t *testing.T) {
	const (
		nodes  = 4
		ratio  = 0.2
		slack  = 132.0
		window = 10 * time.Second
	)
	var buds []*share.Budget
	for range nodes {
		buds = append(buds, share.NewBudget(ratio, slack, window))
	}
	var requests, repeats []time.Time
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(20 * time.Millisecond) {
		bud := buds[int(now.UnixMilli()/20)%nodes]
		bud.Request(now)
		requests = append(requests, now)
		for range 3 {
			if bud.Repeat(now, nodes) {
				repeats = append(repeats, now)
			}
		}
	}
	in := func(all []time.Time, from time.Time) int {
		num := 0
		for _, at := range all {
			if !at.Before(from) && at.Before(from.Add(window)) {
				num++
			}
		}
		return num
	}
	for from := start; from.Before(start.Add(30 * time.Second)); from = from.Add(500 * time.Millisecond) {
		allowed := ratio*float64(in(requests, from)) + slack
		assert.Assert(t, float64(in(repeats, from)) <= allowed, "%d repeats", in(repeats, from))
	}
	assert.Assert(t, len(repeats) > 100, "repeats are granted")
}
