package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

const minMetShare = 0.95 // fraction of its deadlines that an organisation within its share must meet

func ExampleController() {
	ctrl := admit.New(admit.Config{})
	ctrl.SetCapacity("alerts", 1)
	now := time.Unix(0, 0)
	fmt.Println(ctrl.Offer(admit.Item{ID: 1, Org: "a", Model: "alerts", Cost: 10}, now))
	fmt.Println(ctrl.Offer(admit.Item{ID: 2, Org: "a", Model: "alerts", Cost: 10}, now))
	fmt.Println(ctrl.Offer(admit.Item{ID: 3, Org: "b", Model: "alerts", Cost: 10}, now))
	fmt.Println(ctrl.Done(1, 10, now.Add(time.Second)))
	// Output:
	// [{1}]
	// []
	// []
	// [{3}]
}

// TestOverload checks that organisations a, b and c, which stay within their
// share, meet their deadlines while another overloads the model. The model has
// four slots that serve one item per second each.
func TestOverload(t *testing.T) {
	withinShare := func(pri int) []arrivals {
		return []arrivals{
			{"a", 1300 * time.Millisecond, pri, 6 * time.Second},
			{"b", 1400 * time.Millisecond, pri, 6 * time.Second},
			{"c", 1500 * time.Millisecond, pri, 6 * time.Second},
		}
	}
	tests := []struct {
		name  string
		flood []arrivals
		cfg   admit.Config
	}{
		{"none", nil, admit.Config{}},
		{"one floods", []arrivals{{"z", 50 * time.Millisecond, 0, 6 * time.Second}}, admit.Config{}},
		{"one floods without deadlines", []arrivals{{"z", 50 * time.Millisecond, 0, 0}}, admit.Config{}},
		{"one floods the queue", []arrivals{{"z", 20 * time.Millisecond, 0, 0}}, admit.Config{MaxQueued: 16}},
		{"one floods with urgent items", []arrivals{{"z", 50 * time.Millisecond, 3, 6 * time.Second}},
			admit.Config{PriorityLead: 200}},
		{"one floods with mixed items", []arrivals{
			{"z", 90 * time.Millisecond, 3, 3 * time.Second},
			{"z", 70 * time.Millisecond, 0, 9 * time.Second},
		}, admit.Config{PriorityLead: 200}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulator(t, tt.cfg, 4)
			sim.offerAll(2*time.Minute, append(tt.flood, withinShare(1)...)...)
			for _, org := range []core.OrgName{"a", "b", "c"} {
				assert.Assert(t, sim.metShare(org) >= minMetShare, "%s met %.3f of its deadlines", org, sim.metShare(org))
			}
			if tt.flood != nil {
				assert.Assert(t, len(sim.admitted) >= 4*118, "only %d items were admitted: slots were idle", len(sim.admitted))
			}
		})
	}
}

// TestIdleCredit checks that a burst of an organisation that was idle is
// served before organisations that used their share meanwhile.
func TestIdleCredit(t *testing.T) {
	flood := []arrivals{{org: "y", interval: 100 * time.Millisecond}, {org: "z", interval: 100 * time.Millisecond}}
	sim := newSimulator(t, admit.Config{}, 4)
	sim.offerAll(30*time.Second, flood...)
	for range 8 {
		sim.offer(admit.Item{Org: "a", Deadline: sim.now.Add(3500 * time.Millisecond)})
	}
	sim.offerAll(5*time.Second, flood...)
	assert.Equal(t, sim.metDeadline["a"], 8)
}

// TestWeights checks that organisations that overload the model are served in
// proportion to their weights.
func TestWeights(t *testing.T) {
	sim := newSimulator(t, admit.Config{}, 4)
	sim.ctrl.SetOrg("a", admit.OrgLimits{Weight: 3})
	sim.ctrl.SetOrg("b", admit.OrgLimits{Weight: 1})
	sim.offerAll(time.Minute, arrivals{org: "a", interval: 100 * time.Millisecond}, arrivals{org: "b", interval: 100 * time.Millisecond})
	ratio := float64(sim.metDeadline["a"]) / float64(sim.metDeadline["b"])
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "ratio is %.2f", ratio)
}

// TestPriorities fills the only slot, queues items and checks the order in
// which they run.
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
			sim := newSimulator(t, admit.Config{PriorityLead: tt.lead}, 1)
			first := sim.offer(admit.Item{Org: "other"})
			var ids []uint64
			for _, item := range tt.give {
				ids = append(ids, sim.offer(admit.Item{Org: item.org, Priority: item.pri}))
			}
			sim.run(time.Minute)
			want := []uint64{first}
			for _, idx := range tt.want {
				want = append(want, ids[idx])
			}
			assert.DeepEqual(t, sim.admitted, want)
		})
	}
}

// TestDeadlineOrder checks that items of one organisation and priority run in
// the order of their deadlines, and that items with a late or no deadline are
// not delayed forever.
func TestDeadlineOrder(t *testing.T) {
	sim := newSimulator(t, admit.Config{AgingTime: 20 * time.Second}, 1)
	sim.offer(admit.Item{Org: "a"})
	var ids []uint64
	for _, sec := range []time.Duration{15, 5, 0, 10, 300} {
		item := admit.Item{Org: "a"}
		if sec > 0 {
			item.Deadline = startTime.Add(sec * time.Second)
		}
		ids = append(ids, sim.offer(item))
	}
	sim.offerAll(40*time.Second, arrivals{org: "a", interval: 500 * time.Millisecond, deadline: 25 * time.Second})
	assert.DeepEqual(t, sim.admitted[1:4], []uint64{ids[1], ids[3], ids[0]})
	assert.Equal(t, sim.decision(ids[2])+sim.decision(ids[4]), "admitadmit")
}

// TestNoStarvation checks that an item of the lowest priority is admitted
// while many organisations overload the model with urgent items.
func TestNoStarvation(t *testing.T) {
	sim := newSimulator(t, admit.Config{}, 2)
	var urgent []arrivals
	for idx := range 8 {
		urgent = append(urgent, arrivals{org: core.OrgName(fmt.Sprint("u", idx)), interval: 200 * time.Millisecond, priority: 3})
	}
	low := sim.offer(admit.Item{Org: "low"})
	sim.run(2 * time.Second)
	assert.Equal(t, sim.decision(low), "admit")
	sim.offerAll(time.Second, urgent...)
	low = sim.offer(admit.Item{Org: "low"})
	sim.offerAll(20*time.Minute, urgent...)
	assert.Equal(t, sim.decision(low), "admit")
}

// TestDecisions checks the decision on a single item in many states of the
// queue and the limits.
func TestDecisions(t *testing.T) {
	after := func(dur time.Duration) time.Time { return startTime.Add(dur) }
	tests := []struct {
		name     string
		cfg      admit.Config
		slots    int
		warmUp   int // items run before the test, one at a time
		limits   admit.OrgLimits
		share    float64
		queue    int // items of a that run or wait before the test
		give     admit.Item
		timeLeft time.Duration // until the deadline of give; no deadline if zero
		want     string
	}{
		{name: "free slot", slots: 1, want: "admit"},
		{name: "no slot", slots: 1, queue: 1, want: "wait"},
		{name: "no capacity", slots: 0, want: "wait"},
		{name: "queue full", cfg: admit.Config{MaxQueued: 2}, slots: 1, queue: 3, want: "104"},
		{name: "queue full for the organisation", cfg: admit.Config{MaxQueuedPerOrg: 2}, slots: 1, queue: 3, want: "104"},
		{name: "deadline has passed", slots: 1, timeLeft: -time.Second, want: "105"},
		{name: "no estimate yet", slots: 1, queue: 9, timeLeft: time.Second, want: "wait"},
		{name: "deadline long enough", slots: 1, warmUp: 1, queue: 3, timeLeft: 5 * time.Second, want: "wait"},
		{name: "deadline too short for the queue", slots: 1, warmUp: 1, queue: 3, timeLeft: 2500 * time.Millisecond, want: "105"},
		{name: "more slots", slots: 2, warmUp: 1, queue: 4, timeLeft: 2500 * time.Millisecond, want: "wait"},
		{name: "other organisation's queue counts by share", slots: 1, warmUp: 1, queue: 30, give: admit.Item{Org: "b"}, timeLeft: 4 * time.Second, want: "wait"},
		{name: "deadline too short for the item", slots: 2, warmUp: 1, queue: 1, timeLeft: 900 * time.Millisecond, want: "105"},
		{name: "urgent item precedes its organisation's others", slots: 1, warmUp: 1, queue: 9, give: admit.Item{Priority: 2}, timeLeft: 4 * time.Second, want: "wait"},
		{name: "idle model accepts any future deadline", slots: 1, warmUp: 1, timeLeft: 500 * time.Millisecond, want: "admit"},
		{name: "requests", slots: 9, limits: admit.OrgLimits{RequestsPerSecond: 3}, queue: 3, want: "106"},
		{name: "requests, other organisation", slots: 9, limits: admit.OrgLimits{RequestsPerSecond: 3}, queue: 3, give: admit.Item{Org: "b"}, want: "admit"},
		{name: "requests, half the share", slots: 9, limits: admit.OrgLimits{RequestsPerSecond: 6}, share: 0.5, queue: 3, want: "106"},
		{name: "tokens", slots: 9, limits: admit.OrgLimits{TokensPerSecond: 300}, queue: 3, want: "106"},
		{name: "tokens left", slots: 9, limits: admit.OrgLimits{TokensPerSecond: 300}, queue: 2, want: "admit"},
		{name: "tokens, a large item once", slots: 9, limits: admit.OrgLimits{TokensPerSecond: 10}, want: "admit"},
		{name: "concurrency", slots: 9, limits: admit.OrgLimits{Concurrency: 2}, queue: 2, want: "wait"},
		{name: "concurrency of a third of 3", slots: 9, limits: admit.OrgLimits{Concurrency: 3}, share: 1.0 / 3, want: "admit"},
		{name: "concurrency, a share below one", slots: 9, limits: admit.OrgLimits{Concurrency: 1}, share: 0.1, want: "admit"},
		{name: "concurrency, other organisation", slots: 9, limits: admit.OrgLimits{Concurrency: 2}, queue: 3, give: admit.Item{Org: "b"}, want: "admit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulator(t, tt.cfg, max(tt.slots, min(tt.warmUp, 1)))
			for range tt.warmUp {
				sim.offer(admit.Item{Org: "learn"})
				sim.run(time.Second)
			}
			sim.ctrl.SetCapacity("m", tt.slots)
			sim.ctrl.SetOrg("a", tt.limits)
			if tt.limits.MaxPriority == 0 {
				tt.limits.MaxPriority = 3
				sim.ctrl.SetOrg("a", tt.limits)
			}
			if tt.share > 0 {
				sim.ctrl.SetShare("a", tt.share)
			}
			for range tt.queue {
				sim.offer(admit.Item{Org: "a"})
			}
			if tt.give.Org == "" {
				tt.give.Org = "a"
			}
			if tt.timeLeft != 0 {
				tt.give.Deadline = after(sim.now.Sub(startTime) + tt.timeLeft)
			}
			assert.Equal(t, sim.decision(sim.offer(tt.give)), tt.want)
		})
	}
}

// TestRetryAfter checks that a retry after the stated delay is accepted.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name     string
		cfg      admit.Config
		limits   admit.OrgLimits
		timeLeft time.Duration
	}{
		{"requests", admit.Config{}, admit.OrgLimits{RequestsPerSecond: 0.5}, 0},
		{"tokens", admit.Config{}, admit.OrgLimits{TokensPerSecond: 20}, 0},
		{"deadline", admit.Config{}, admit.OrgLimits{}, 3 * time.Second},
		{"queue", admit.Config{MaxQueued: 4}, admit.OrgLimits{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulator(t, tt.cfg, 1)
			sim.offer(admit.Item{Org: "learn"})
			sim.run(time.Second)
			sim.ctrl.SetOrg("a", tt.limits)
			try := func() (admit.Reject, bool) {
				item := admit.Item{Org: "a"}
				if tt.timeLeft > 0 {
					item.Deadline = sim.now.Add(tt.timeLeft)
				}
				rejection, ok := sim.decisions[sim.offer(item)].(admit.Reject)
				return rejection, ok
			}
			for range 9 {
				if rejection, rejected := try(); rejected {
					assert.Assert(t, rejection.RetryAfter > 0)
					sim.run(rejection.RetryAfter)
					_, rejected = try()
					assert.Assert(t, !rejected, "rejected again after %v", rejection.RetryAfter)
					return
				}
			}
			t.Fatal("no item was rejected")
		})
	}
}

// TestDeadlineWhileWaiting checks that a waiting item is rejected as soon as
// it cannot finish in time, before its deadline passes.
func TestDeadlineWhileWaiting(t *testing.T) {
	sim := newSimulator(t, admit.Config{}, 1)
	first := sim.offer(admit.Item{Org: "a", Cost: 500})
	late := sim.offer(admit.Item{Org: "a", Deadline: startTime.Add(3 * time.Second)})
	sim.run(2900 * time.Millisecond)
	assert.Equal(t, sim.decision(late), "wait", "no service time was observed yet")
	sim.run(200 * time.Millisecond)
	assert.Equal(t, sim.decision(late), "105")
	sim.run(time.Minute)
	assert.Equal(t, sim.decision(first), "admit")
	sim.offer(admit.Item{Org: "a", Cost: 500})
	late = sim.offer(admit.Item{Org: "b", Cost: 100, Deadline: sim.now.Add(4 * time.Second)})
	sim.run(3050 * time.Millisecond)
	assert.Equal(t, sim.decision(late), "105", "the item needs one second")
}

// TestEstimateRecovers checks that the service time estimate adapts after slow
// items made every deadline appear impossible.
func TestEstimateRecovers(t *testing.T) {
	const slots, secs = 8, 20
	sim := newSimulator(t, admit.Config{}, slots)
	sim.speed = 1
	for range 3 * slots {
		sim.offer(admit.Item{Org: "a"})
	}
	sim.run(5 * time.Minute)
	sim.speed = 100
	sim.offerAll(secs*time.Second, arrivals{org: "b", interval: time.Second / slots, deadline: 10 * time.Second})
	assert.Assert(t, sim.metDeadline["b"] >= slots*secs/2, "%d of %d deadlines were met", sim.metDeadline["b"], sim.offered["b"])
}

// TestOvertakenItem checks that an item is rejected soon after more urgent
// items were placed before it, not only at its latest start time.
func TestOvertakenItem(t *testing.T) {
	sim := newSimulator(t, admit.Config{}, 1)
	sim.offer(admit.Item{Org: "a"})
	sim.run(1100 * time.Millisecond)
	sim.offer(admit.Item{Org: "a"})
	low := sim.offer(admit.Item{Org: "a", Deadline: sim.now.Add(6 * time.Second)})
	sim.run(100 * time.Millisecond)
	assert.Equal(t, sim.decision(low), "wait")
	for range 8 {
		sim.offer(admit.Item{Org: "a", Priority: 2})
	}
	sim.run(100 * time.Millisecond)
	assert.Equal(t, sim.decision(low), "105")
}

// TestRecentServiceRate checks that the recent service rate of an organisation
// enters its estimate. Its concurrency limits the rate to one item per second
// here.
func TestRecentServiceRate(t *testing.T) {
	sim := newSimulator(t, admit.Config{}, 4)
	sim.ctrl.SetOrg("a", admit.OrgLimits{Concurrency: 1})
	sim.offerAll(6*time.Second, arrivals{org: "a", interval: 300 * time.Millisecond})
	short := sim.offer(admit.Item{Org: "a", Deadline: sim.now.Add(8 * time.Second)})
	long := sim.offer(admit.Item{Org: "a", Deadline: sim.now.Add(40 * time.Second)})
	assert.Equal(t, sim.decision(short)+sim.decision(long), "105wait")
}

// TestCapacity reduces the slots to zero and restores them.
func TestCapacity(t *testing.T) {
	sim := newSimulator(t, admit.Config{}, 2)
	var ids []uint64
	for range 6 {
		ids = append(ids, sim.offer(admit.Item{Org: "a"}))
	}
	sim.ctrl.SetCapacity("m", 0)
	sim.run(10 * time.Second)
	assert.Equal(t, len(sim.admitted), 2)
	late := sim.offer(admit.Item{Org: "b", Deadline: sim.now.Add(time.Second)})
	kept := sim.offer(admit.Item{Org: "b", Deadline: sim.now.Add(time.Minute)})
	sim.run(5 * time.Second)
	assert.Equal(t, sim.decision(late), "105")
	assert.Equal(t, sim.decision(kept), "wait")
	sim.ctrl.SetCapacity("m", 2)
	sim.run(10 * time.Second)
	assert.Equal(t, len(sim.admitted), len(ids)+1)
}

// TestCancel cancels items in each state and checks that their places become
// free.
func TestCancel(t *testing.T) {
	sim := newSimulator(t, admit.Config{MaxQueued: 1}, 1)
	sim.ctrl.SetOrg("a", admit.OrgLimits{Concurrency: 1, MaxPriority: 3})
	run, wait := sim.offer(admit.Item{Org: "a"}), sim.offer(admit.Item{Org: "a"})
	assert.Equal(t, len(sim.ctrl.Cancel(99, sim.now)), 0)
	assert.Equal(t, len(sim.ctrl.Cancel(wait, sim.now)), 0)
	next := sim.offer(admit.Item{Org: "a"})
	assert.Equal(t, sim.decision(next), "wait")
	sim.apply(sim.ctrl.Cancel(run, sim.now))
	assert.Equal(t, sim.decision(next), "admit")
	assert.Equal(t, len(sim.ctrl.Cancel(run, sim.now)), 0)
}

// TestQueueFullEviction checks that a full queue evicts from the organisation
// with the longest backlog, and there the least urgent item with the latest
// deadline first.
func TestQueueFullEviction(t *testing.T) {
	sim := newSimulator(t, admit.Config{MaxQueued: 3}, 1)
	sim.offer(admit.Item{Org: "z"})
	one := sim.offer(admit.Item{Org: "z", Priority: 1})
	two := sim.offer(admit.Item{Org: "z"})
	three := sim.offer(admit.Item{Org: "z"})
	other := sim.offer(admit.Item{Org: "a"})
	assert.Equal(t, sim.decision(other), "wait")
	assert.Equal(t, sim.decision(three), "104")
	urgent := sim.offer(admit.Item{Org: "z", Priority: 3})
	assert.Equal(t, sim.decision(urgent), "wait")
	assert.Equal(t, sim.decision(two), "104")
	assert.Equal(t, sim.decision(one), "wait")
}

func TestUsage(t *testing.T) {
	sim := newSimulator(t, admit.Config{MaxQueued: 5, UsageTimeConstant: 2 * time.Second}, 1)
	sim.offerAll(30*time.Second, arrivals{org: "a", interval: 100 * time.Millisecond})
	usage := sim.ctrl.Usage(sim.now)["a"]
	assert.Assert(t, usage.Requests > 9 && usage.Requests < 11, "offered rate is %v requests/s, rejected ones included", usage.Requests)
	assert.Assert(t, usage.Tokens > 900 && usage.Tokens < 1100)
	assert.Equal(t, usage.Running, 1)
	usage = sim.ctrl.Usage(sim.now.Add(time.Minute))["a"]
	assert.Assert(t, usage.Requests < 0.01)
}

func TestPanics(t *testing.T) {
	ctrl := admit.New(admit.Config{})
	ctrl.Offer(admit.Item{ID: 1, Cost: 1}, startTime)
	tests := map[string]func(){
		"cost":     func() { ctrl.Offer(admit.Item{ID: 2}, startTime) },
		"work":     func() { ctrl.Offer(admit.Item{ID: 2, Cost: 1, Work: -1}, startTime) },
		"depth":    func() { ctrl.SetMaxQueued("m", -1) },
		"twice":    func() { ctrl.Offer(admit.Item{ID: 1, Cost: 1}, startTime) },
		"done":     func() { ctrl.Done(1, 1, startTime) },
		"capacity": func() { ctrl.SetCapacity("m", -1) },
		"share":    func() { ctrl.SetShare("a", 1.5) },
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			defer func() { assert.Assert(t, recover() != nil) }()
			call()
		})
	}
}
