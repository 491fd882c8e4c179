package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

const withinTarget = 0.95 // of the deadlines of an organisation within its share

func ExampleMachine() {
	mac := admit.New(admit.Config{})
	mac.SetCapacity("alerts", 1)
	now := time.Unix(0, 0)
	fmt.Println(mac.Offer(admit.Item{ID: 1, Org: "a", Model: "alerts", Cost: 10}, now))
	fmt.Println(mac.Offer(admit.Item{ID: 2, Org: "a", Model: "alerts", Cost: 10}, now))
	fmt.Println(mac.Offer(admit.Item{ID: 3, Org: "b", Model: "alerts", Cost: 10}, now))
	fmt.Println(mac.Done(1, 10, now.Add(time.Second)))
	// Output:
	// [{1}]
	// []
	// []
	// [{3}]
}

// TestOverload runs four slots of one item a second each. Organisations a, b
// and c stay within their share; others don't.
func TestOverload(t *testing.T) {
	quiet := func(pri int) []stream {
		return []stream{
			{"a", 1300 * time.Millisecond, pri, 6 * time.Second},
			{"b", 1400 * time.Millisecond, pri, 6 * time.Second},
			{"c", 1500 * time.Millisecond, pri, 6 * time.Second},
		}
	}
	tests := []struct {
		name  string
		flood []stream
		cfg   admit.Config
	}{
		{"none", nil, admit.Config{}},
		{"one floods", []stream{{"z", 50 * time.Millisecond, 0, 6 * time.Second}}, admit.Config{}},
		{"one floods without deadlines", []stream{{"z", 50 * time.Millisecond, 0, 0}}, admit.Config{}},
		{"one floods the queue", []stream{{"z", 20 * time.Millisecond, 0, 0}}, admit.Config{MaxQueued: 16}},
		{"one floods with urgent items", []stream{{"z", 50 * time.Millisecond, 3, 6 * time.Second}},
			admit.Config{Lead: 200}},
		{"one floods with mixed items", []stream{
			{"z", 90 * time.Millisecond, 3, 3 * time.Second},
			{"z", 70 * time.Millisecond, 0, 9 * time.Second},
		}, admit.Config{Lead: 200}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := newServer(t, tt.cfg, 4)
			srv.feed(2*time.Minute, append(tt.flood, quiet(1)...)...)
			for _, org := range []core.OrgName{"a", "b", "c"} {
				assert.Assert(t, srv.share(org) >= withinTarget, "%s met %.3f", org, srv.share(org))
			}
			if tt.flood != nil {
				assert.Assert(t, len(srv.order) >= 4*118, "%d admitted: slots were left idle", len(srv.order))
			}
		})
	}
}

// TestCredit lets an organisation that was idle send a burst, and wants it
// served before those that used its part meanwhile.
func TestCredit(t *testing.T) {
	flood := []stream{{org: "y", every: 100 * time.Millisecond}, {org: "z", every: 100 * time.Millisecond}}
	srv := newServer(t, admit.Config{}, 4)
	srv.feed(30*time.Second, flood...)
	for range 8 {
		srv.offer(admit.Item{Org: "a", Deadline: srv.now.Add(3500 * time.Millisecond)})
	}
	srv.feed(5*time.Second, flood...)
	assert.Equal(t, srv.met["a"], 8)
}

// TestWeights floods from all and wants the work in the ratio of the weights.
func TestWeights(t *testing.T) {
	srv := newServer(t, admit.Config{}, 4)
	srv.mac.SetOrg("a", admit.OrgLimits{Weight: 3})
	srv.mac.SetOrg("b", admit.OrgLimits{Weight: 1})
	srv.feed(time.Minute, stream{org: "a", every: 100 * time.Millisecond}, stream{org: "b", every: 100 * time.Millisecond})
	ratio := float64(srv.met["a"]) / float64(srv.met["b"])
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "ratio %.2f", ratio)
}

// TestPriorities fills one slot, lets items wait and checks the order in which
// they run.
func TestPriorities(t *testing.T) {
	type give struct {
		org core.OrgName
		pri int
	}
	tests := []struct {
		name string
		lead float64
		give []give
		want []int // indices into give
	}{
		{"first in, first out", 100, []give{{"a", 0}, {"a", 0}, {"a", 0}}, []int{0, 1, 2}},
		{"urgent first within an organisation", 100, []give{{"a", 0}, {"a", 2}, {"a", 1}, {"a", 2}}, []int{1, 3, 2, 0}},
		{"turns between organisations", 100, []give{{"a", 0}, {"a", 0}, {"b", 0}, {"b", 0}}, []int{0, 2, 1, 3}},
		{"urgent first between organisations", 100, []give{{"a", 0}, {"b", 1}}, []int{1, 0}},
		{"urgent up to the lead", 250, []give{{"b", 0}, {"a", 3}, {"a", 3}, {"a", 3}, {"a", 3}}, []int{1, 2, 3, 0, 4}},
		{"out of range", 100, []give{{"a", -5}, {"a", 99}, {"a", 3}}, []int{1, 2, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := newServer(t, admit.Config{Lead: tt.lead}, 1)
			first := srv.offer(admit.Item{Org: "other"})
			var ids []uint64
			for _, giv := range tt.give {
				ids = append(ids, srv.offer(admit.Item{Org: giv.org, Priority: giv.pri}))
			}
			srv.run(time.Minute)
			want := []uint64{first}
			for _, idx := range tt.want {
				want = append(want, ids[idx])
			}
			assert.DeepEqual(t, srv.order, want)
		})
	}
}

// TestDueOrder wants the items of one organisation and priority to run by
// their deadlines, but none to wait for later ones without end.
func TestDueOrder(t *testing.T) {
	srv := newServer(t, admit.Config{Patience: 20 * time.Second}, 1)
	srv.offer(admit.Item{Org: "a"})
	var ids []uint64
	for _, sec := range []time.Duration{15, 5, 0, 10, 300} {
		itm := admit.Item{Org: "a"}
		if sec > 0 {
			itm.Deadline = t0.Add(sec * time.Second)
		}
		ids = append(ids, srv.offer(itm))
	}
	srv.feed(40*time.Second, stream{org: "a", every: 500 * time.Millisecond, deadline: 25 * time.Second})
	assert.DeepEqual(t, srv.order[1:4], []uint64{ids[1], ids[3], ids[0]})
	assert.Equal(t, srv.answer(ids[2])+srv.answer(ids[4]), "admitadmit")
}

// TestNoStarvation floods with urgent items of many organisations and wants
// one of the least priority to get through.
func TestNoStarvation(t *testing.T) {
	srv := newServer(t, admit.Config{}, 2)
	var strs []stream
	for idx := range 8 {
		strs = append(strs, stream{org: core.OrgName(fmt.Sprint("u", idx)), every: 200 * time.Millisecond, priority: 3})
	}
	low := srv.offer(admit.Item{Org: "low"})
	srv.run(2 * time.Second)
	assert.Equal(t, srv.answer(low), "admit")
	srv.feed(time.Second, strs...)
	low = srv.offer(admit.Item{Org: "low"})
	srv.feed(20*time.Minute, strs...)
	assert.Equal(t, srv.answer(low), "admit")
}

// TestRefusals drives single items to each answer.
func TestRefusals(t *testing.T) {
	after := func(dur time.Duration) time.Time { return t0.Add(dur) }
	tests := []struct {
		name   string
		cfg    admit.Config
		slots  int
		learn  int // items run before, one at a time
		limits admit.OrgLimits
		share  float64
		queue  int // items of a running or waiting before
		give   admit.Item
		left   time.Duration // until give's deadline, none if zero
		want   string
	}{
		{name: "free slot", slots: 1, want: "admit"},
		{name: "no slot", slots: 1, queue: 1, want: "wait"},
		{name: "no capacity", slots: 0, want: "wait"},
		{name: "queue full", cfg: admit.Config{MaxQueued: 2}, slots: 1, queue: 3, want: "104"},
		{name: "queue full for the organisation", cfg: admit.Config{MaxPerOrg: 2}, slots: 1, queue: 3, want: "104"},
		{name: "deadline past", slots: 1, left: -time.Second, want: "105"},
		{name: "deadline unknown yet", slots: 1, queue: 9, left: time.Second, want: "wait"},
		{name: "deadline long enough", slots: 1, learn: 1, queue: 3, left: 5 * time.Second, want: "wait"},
		{name: "deadline too short for the queue", slots: 1, learn: 1, queue: 3, left: 2500 * time.Millisecond, want: "105"},
		{name: "more slots", slots: 2, learn: 1, queue: 4, left: 2500 * time.Millisecond, want: "wait"},
		{name: "another's queue counts by share", slots: 1, learn: 1, queue: 30, give: admit.Item{Org: "b"}, left: 4 * time.Second, want: "wait"},
		{name: "deadline too short for the item", slots: 2, learn: 1, queue: 1, left: 900 * time.Millisecond, want: "105"},
		{name: "urgent passes its own", slots: 1, learn: 1, queue: 9, give: admit.Item{Priority: 2}, left: 4 * time.Second, want: "wait"},
		{name: "idle model tries", slots: 1, learn: 1, left: 500 * time.Millisecond, want: "admit"},
		{name: "requests", slots: 9, limits: admit.OrgLimits{Requests: 3}, queue: 3, want: "106"},
		{name: "requests, other organisation", slots: 9, limits: admit.OrgLimits{Requests: 3}, queue: 3, give: admit.Item{Org: "b"}, want: "admit"},
		{name: "requests, half the share", slots: 9, limits: admit.OrgLimits{Requests: 6}, share: 0.5, queue: 3, want: "106"},
		{name: "tokens", slots: 9, limits: admit.OrgLimits{Tokens: 300}, queue: 3, want: "106"},
		{name: "tokens left", slots: 9, limits: admit.OrgLimits{Tokens: 300}, queue: 2, want: "admit"},
		{name: "tokens, a large item once", slots: 9, limits: admit.OrgLimits{Tokens: 10}, want: "admit"},
		{name: "concurrency", slots: 9, limits: admit.OrgLimits{Concurrency: 2}, queue: 2, want: "wait"},
		{name: "concurrency of a third of 3", slots: 9, limits: admit.OrgLimits{Concurrency: 3}, share: 1.0 / 3, want: "admit"},
		{name: "concurrency, a share below one", slots: 9, limits: admit.OrgLimits{Concurrency: 1}, share: 0.1, want: "admit"},
		{name: "concurrency, other organisation", slots: 9, limits: admit.OrgLimits{Concurrency: 2}, queue: 3, give: admit.Item{Org: "b"}, want: "admit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := newServer(t, tt.cfg, max(tt.slots, min(tt.learn, 1)))
			for range tt.learn {
				srv.offer(admit.Item{Org: "learn"})
				srv.run(time.Second)
			}
			srv.mac.SetCapacity("m", tt.slots)
			srv.mac.SetOrg("a", tt.limits)
			if tt.limits.Priority == 0 {
				tt.limits.Priority = 3
				srv.mac.SetOrg("a", tt.limits)
			}
			if tt.share > 0 {
				srv.mac.SetShare("a", tt.share)
			}
			for range tt.queue {
				srv.offer(admit.Item{Org: "a"})
			}
			if tt.give.Org == "" {
				tt.give.Org = "a"
			}
			if tt.left != 0 {
				tt.give.Deadline = after(srv.now.Sub(t0) + tt.left)
			}
			assert.Equal(t, srv.answer(srv.offer(tt.give)), tt.want)
		})
	}
}

// TestAfter wants a new try after the stated time to be taken.
func TestAfter(t *testing.T) {
	tests := []struct {
		name   string
		cfg    admit.Config
		limits admit.OrgLimits
		left   time.Duration
	}{
		{"requests", admit.Config{}, admit.OrgLimits{Requests: 0.5}, 0},
		{"tokens", admit.Config{}, admit.OrgLimits{Tokens: 20}, 0},
		{"deadline", admit.Config{}, admit.OrgLimits{}, 3 * time.Second},
		{"queue", admit.Config{MaxQueued: 4}, admit.OrgLimits{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := newServer(t, tt.cfg, 1)
			srv.offer(admit.Item{Org: "learn"})
			srv.run(time.Second)
			srv.mac.SetOrg("a", tt.limits)
			try := func() (admit.Refuse, bool) {
				itm := admit.Item{Org: "a"}
				if tt.left > 0 {
					itm.Deadline = srv.now.Add(tt.left)
				}
				ref, ok := srv.answers[srv.offer(itm)].(admit.Refuse)
				return ref, ok
			}
			for range 9 {
				if ref, refused := try(); refused {
					assert.Assert(t, ref.After > 0)
					srv.run(ref.After)
					_, refused = try()
					assert.Assert(t, !refused, "refused again after %v", ref.After)
					return
				}
			}
			t.Fatal("nothing was refused")
		})
	}
}

// TestWaitingDeadline wants a waiting item refused as soon as it can't end in
// time, before its deadline has passed.
func TestWaitingDeadline(t *testing.T) {
	srv := newServer(t, admit.Config{}, 1)
	first := srv.offer(admit.Item{Org: "a", Cost: 500})
	late := srv.offer(admit.Item{Org: "a", Deadline: t0.Add(3 * time.Second)})
	srv.run(2900 * time.Millisecond)
	assert.Equal(t, srv.answer(late), "wait", "nothing was observed yet")
	srv.run(200 * time.Millisecond)
	assert.Equal(t, srv.answer(late), "105")
	srv.run(time.Minute)
	assert.Equal(t, srv.answer(first), "admit")
	srv.offer(admit.Item{Org: "a", Cost: 500})
	late = srv.offer(admit.Item{Org: "b", Cost: 100, Deadline: srv.now.Add(4 * time.Second)})
	srv.run(3050 * time.Millisecond)
	assert.Equal(t, srv.answer(late), "105", "it needs a second")
}

// TestEstimateRecovers runs slow items, so that no deadline seems to be
// possible, and wants the estimate to follow once service is fast again.
func TestEstimateRecovers(t *testing.T) {
	const slots, secs = 8, 20
	srv := newServer(t, admit.Config{}, slots)
	srv.speed = 1
	for range 3 * slots {
		srv.offer(admit.Item{Org: "a"})
	}
	srv.run(5 * time.Minute)
	srv.speed = 100
	srv.feed(secs*time.Second, stream{org: "b", every: time.Second / slots, deadline: 10 * time.Second})
	assert.Assert(t, srv.met["b"] >= slots*secs/2, "%d of %d met", srv.met["b"], srv.offered["b"])
}

// TestPassed wants an item refused soon after others have come before it, not
// when its service would have to begin.
func TestPassed(t *testing.T) {
	srv := newServer(t, admit.Config{}, 1)
	srv.offer(admit.Item{Org: "a"})
	srv.run(1100 * time.Millisecond)
	srv.offer(admit.Item{Org: "a"})
	low := srv.offer(admit.Item{Org: "a", Deadline: srv.now.Add(6 * time.Second)})
	srv.run(100 * time.Millisecond)
	assert.Equal(t, srv.answer(low), "wait")
	for range 8 {
		srv.offer(admit.Item{Org: "a", Priority: 2})
	}
	srv.run(100 * time.Millisecond)
	assert.Equal(t, srv.answer(low), "105")
}

// TestPace wants the rate that an organisation got lately to count, here that
// of one item a second by its concurrency.
func TestPace(t *testing.T) {
	srv := newServer(t, admit.Config{}, 4)
	srv.mac.SetOrg("a", admit.OrgLimits{Concurrency: 1})
	srv.feed(6*time.Second, stream{org: "a", every: 300 * time.Millisecond})
	short := srv.offer(admit.Item{Org: "a", Deadline: srv.now.Add(8 * time.Second)})
	long := srv.offer(admit.Item{Org: "a", Deadline: srv.now.Add(40 * time.Second)})
	assert.Equal(t, srv.answer(short)+srv.answer(long), "105wait")
}

// TestCapacity drops the slots to zero and brings them back.
func TestCapacity(t *testing.T) {
	srv := newServer(t, admit.Config{}, 2)
	var ids []uint64
	for range 6 {
		ids = append(ids, srv.offer(admit.Item{Org: "a"}))
	}
	srv.mac.SetCapacity("m", 0)
	srv.run(10 * time.Second)
	assert.Equal(t, len(srv.order), 2)
	late := srv.offer(admit.Item{Org: "b", Deadline: srv.now.Add(time.Second)})
	kept := srv.offer(admit.Item{Org: "b", Deadline: srv.now.Add(time.Minute)})
	srv.run(5 * time.Second)
	assert.Equal(t, srv.answer(late), "105")
	assert.Equal(t, srv.answer(kept), "wait")
	srv.mac.SetCapacity("m", 2)
	srv.run(10 * time.Second)
	assert.Equal(t, len(srv.order), len(ids)+1)
}

// TestCancel cancels in each state and checks that places are free after.
func TestCancel(t *testing.T) {
	srv := newServer(t, admit.Config{MaxQueued: 1}, 1)
	srv.mac.SetOrg("a", admit.OrgLimits{Concurrency: 1, Priority: 3})
	run, wait := srv.offer(admit.Item{Org: "a"}), srv.offer(admit.Item{Org: "a"})
	assert.Equal(t, len(srv.mac.Cancel(99, srv.now)), 0)
	assert.Equal(t, len(srv.mac.Cancel(wait, srv.now)), 0)
	next := srv.offer(admit.Item{Org: "a"})
	assert.Equal(t, srv.answer(next), "wait")
	srv.take(srv.mac.Cancel(run, srv.now))
	assert.Equal(t, srv.answer(next), "admit")
	assert.Equal(t, len(srv.mac.Cancel(run, srv.now)), 0)
}

// TestPushOut wants a full queue to drop from the longest backlog, the least
// urgent and last due first.
func TestPushOut(t *testing.T) {
	srv := newServer(t, admit.Config{MaxQueued: 3}, 1)
	srv.offer(admit.Item{Org: "z"})
	one := srv.offer(admit.Item{Org: "z", Priority: 1})
	two := srv.offer(admit.Item{Org: "z"})
	three := srv.offer(admit.Item{Org: "z"})
	other := srv.offer(admit.Item{Org: "a"})
	assert.Equal(t, srv.answer(other), "wait")
	assert.Equal(t, srv.answer(three), "104")
	urgent := srv.offer(admit.Item{Org: "z", Priority: 3})
	assert.Equal(t, srv.answer(urgent), "wait")
	assert.Equal(t, srv.answer(two), "104")
	assert.Equal(t, srv.answer(one), "wait")
}

func TestUsage(t *testing.T) {
	srv := newServer(t, admit.Config{MaxQueued: 5, UsageTime: 2 * time.Second}, 1)
	srv.feed(30*time.Second, stream{org: "a", every: 100 * time.Millisecond})
	use := srv.mac.Usage(srv.now)["a"]
	assert.Assert(t, use.Requests > 9 && use.Requests < 11, "%v requests/s offered, refused or not", use.Requests)
	assert.Assert(t, use.Tokens > 900 && use.Tokens < 1100)
	assert.Equal(t, use.Running, 1)
	use = srv.mac.Usage(srv.now.Add(time.Minute))["a"]
	assert.Assert(t, use.Requests < 0.01)
}

func TestPanics(t *testing.T) {
	mac := admit.New(admit.Config{})
	mac.Offer(admit.Item{ID: 1, Cost: 1}, t0)
	tests := map[string]func(){
		"cost":     func() { mac.Offer(admit.Item{ID: 2}, t0) },
		"work":     func() { mac.Offer(admit.Item{ID: 2, Cost: 1, Work: -1}, t0) },
		"depth":    func() { mac.SetDepth("m", -1) },
		"twice":    func() { mac.Offer(admit.Item{ID: 1, Cost: 1}, t0) },
		"done":     func() { mac.Done(1, 1, t0) },
		"capacity": func() { mac.SetCapacity("m", -1) },
		"share":    func() { mac.SetShare("a", 1.5) },
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			defer func() { assert.Assert(t, recover() != nil) }()
			call()
		})
	}
}
