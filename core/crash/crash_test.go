package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/crash"
)

var startTime = time.Unix(1000, 0)

func newTracker() *crash.Tracker {
	return crash.New(crash.Config{QuarantineTime: time.Minute, SuspicionTime: 10 * time.Minute, ConfirmTimeout: 5 * time.Second})
}

func TestDecide(t *testing.T) {
	// Each step starts the request 7 on a group or records an event of it.
	run := func(group core.GroupName) func(tr *crash.Tracker) {
		return func(tr *crash.Tracker) { tr.Started(7, group) }
	}
	lost := func(groups ...core.GroupName) func(tr *crash.Tracker) {
		return func(tr *crash.Tracker) { tr.GroupsLost(startTime, groups...) }
	}
	broken := func(group core.GroupName) func(tr *crash.Tracker) {
		return func(tr *crash.Tracker) { tr.ConnBroken(7, group, startTime) }
	}
	silent := func(group core.GroupName) func(tr *crash.Tracker) {
		return func(tr *crash.Tracker) { tr.ConnSilent(7, group, startTime) }
	}
	stopped := func(group core.GroupName) func(tr *crash.Tracker) {
		return func(tr *crash.Tracker) { tr.Stopped(7, group) }
	}
	completed := func(group core.GroupName) func(tr *crash.Tracker) {
		return func(tr *crash.Tracker) { tr.Completed(7, group, startTime) }
	}
	peerReport := func(from core.NodeName, n int, cleared bool) func(tr *crash.Tracker) {
		suspects := []core.Suspect{{Fingerprint: 7, Crashes: n, ExpiresAt: startTime.Add(time.Minute), Cleared: cleared}}
		return func(tr *crash.Tracker) { tr.UpdatePeer(from, suspects, startTime) }
	}
	tests := []struct {
		name  string
		steps []func(tr *crash.Tracker)
		after time.Duration
		want  crash.Disposition
	}{
		{"unknown", nil, 0, crash.Allowed},
		{"one crash", []func(*crash.Tracker){run("a"), lost("a")}, 0, crash.Isolated},
		{"another group was lost", []func(*crash.Tracker){run("a"), lost("b")}, 0, crash.Allowed},
		{"stopped before the loss", []func(*crash.Tracker){run("a"), stopped("a"), lost("a")}, 0, crash.Allowed},
		{"one break", []func(*crash.Tracker){run("a"), broken("a")}, 0, crash.Isolated},
		{"break not confirmed", []func(*crash.Tracker){run("a"), broken("a")}, 6 * time.Second, crash.Allowed},
		{"break confirmed", []func(*crash.Tracker){run("a"), broken("a"), lost("a")}, 6 * time.Second, crash.Isolated},
		{"break after the loss", []func(*crash.Tracker){run("a"), lost("a"), broken("a")}, 0, crash.Isolated},
		{"loss reported twice", []func(*crash.Tracker){run("a"), lost("a"), lost("a")}, 0, crash.Isolated},
		{"silent twice", []func(*crash.Tracker){run("a"), silent("a"), run("b"), silent("b")}, 0, crash.Allowed},
		{"silent, then lost", []func(*crash.Tracker){run("a"), silent("a"), lost("a")}, 6 * time.Second, crash.Isolated},
		{"two breaks", []func(*crash.Tracker){run("a"), broken("a"), run("b"), broken("b")}, 0, crash.Quarantined},
		{"two crashes", []func(*crash.Tracker){run("a"), lost("a"), stopped("a"), run("b"), lost("b")}, 0, crash.Quarantined},
		{"quarantine expired", []func(*crash.Tracker){run("a"), lost("a"), stopped("a"), run("b"), lost("b")}, time.Minute, crash.Allowed},
		{"cleared", []func(*crash.Tracker){run("a"), broken("a"), lost("a"), run("b"), completed("b")}, 0, crash.Allowed},
		{"crash after clearance", []func(*crash.Tracker){run("a"), broken("a"), lost("a"), run("b"), completed("b"), run("c"), lost("c")}, 0, crash.Isolated},
		{"domain lost", []func(*crash.Tracker){run("a"), lost("a", "b")}, 0, crash.Allowed},
		{"domain lost, break unconfirmed", []func(*crash.Tracker){run("a"), broken("a"), lost("a", "b")}, 0, crash.Isolated},
		{"on all lost groups", []func(*crash.Tracker){run("a"), run("b"), lost("a", "b")}, 0, crash.Quarantined},
		{"one crash at a peer", []func(*crash.Tracker){peerReport("n2", 1, false)}, 0, crash.Isolated},
		{"one here, one at a peer", []func(*crash.Tracker){run("a"), lost("a"), peerReport("n2", 1, false)}, 0, crash.Quarantined},
		{"the same report twice", []func(*crash.Tracker){peerReport("n2", 1, false), peerReport("n2", 1, false)}, 0, crash.Isolated},
		{"cleared at a peer", []func(*crash.Tracker){run("a"), lost("a"), peerReport("n2", 0, true)}, 0, crash.Allowed},
		{"clearance does not end a quarantine", []func(*crash.Tracker){run("a"), lost("a"), stopped("a"), run("b"), lost("b"), peerReport("n2", 0, true)}, 0, crash.Quarantined},
		{"report expired", []func(*crash.Tracker){peerReport("n2", 2, false)}, time.Minute, crash.Allowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTracker()
			for _, step := range tt.steps {
				step(tr)
			}
			assert.Equal(t, tr.Decide(7, startTime.Add(tt.after)).Disposition, tt.want)
		})
	}
}

func TestProgress(t *testing.T) {
	tr := newTracker()
	tr.Started(7, "a")
	tr.GroupsLost(startTime, "a")
	tr.Started(7, "b")
	assert.Equal(t, tr.RunningSuspects("b", startTime), 1)
	tr.Progressed(7, "b")
	assert.Equal(t, tr.RunningSuspects("b", startTime), 0)
	tr.GroupsLost(startTime, "b")
	assert.Equal(t, tr.Decide(7, startTime).Disposition, crash.Quarantined, "a crash after progress was not counted")
}

func TestExport(t *testing.T) {
	tr := crash.New(crash.Config{MaxExported: 2})
	for fp := range uint64(4) {
		tr.Started(fp, "a")
	}
	tr.GroupsLost(startTime, "a")
	tr.Started(3, "b")
	tr.GroupsLost(startTime, "b")
	got := tr.Export(startTime)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Fingerprint, uint64(3))
	assert.Equal(t, got[0].Crashes, 2)
	tr.UpdatePeer("n2", []core.Suspect{{Fingerprint: 9, Crashes: 1, ExpiresAt: startTime.Add(time.Hour)}}, startTime)
	for _, sus := range tr.Export(startTime) {
		assert.Assert(t, sus.Fingerprint != 9, "exported a suspect that a peer reported")
	}
}

const (
	simNodes            = 4
	simGroups           = 8
	simTick             = 50 * time.Millisecond
	simDuration         = 2 * time.Minute
	simReloadTime       = time.Minute
	simLossDetection    = 500 * time.Millisecond
	simRequestTime      = 2 * time.Second
	simFirstToken       = 200 * time.Millisecond
	simRequestsPerGroup = 8 // requests in progress on each group
	crashingRequest     = uint64(1)
)

// request is a request in progress. The field interruptedAt is set when its
// group crashes and cleared at the next dispatch.
type request struct {
	fingerprint uint64
	node        int
	group       int
	endsAt      time.Time
	// firstTokenAt is the arrival time of the first token. From then on, a
	// suspect counts as progressed.
	firstTokenAt  time.Time
	suspect       bool
	interruptedAt time.Time
}

// simulation is a zone in which one request crashes each group that runs it and
// is resent indefinitely, to a random node each time.
type simulation struct {
	rng             *rand.Rand
	now             time.Time
	quarantine      bool
	isolate         bool
	progress        bool
	trackers        []*crash.Tracker
	downUntil       []time.Time
	detectLossAt    []time.Time
	running         []request
	waiting         []request
	lastFingerprint uint64
	crashes         int
	interrupted     int
	wronglyRefused  int
	refused         int
	totalWait       time.Duration
	maxWait         time.Duration
}

func groupName(n int) core.GroupName { return core.GroupName(fmt.Sprint("g", n)) }

// dispatch sends a request to a running group and reports whether there was one
// for it. A quarantined request is refused.
func (sim *simulation) dispatch(req request) bool {
	tr := sim.trackers[req.node]
	decision := tr.Decide(req.fingerprint, sim.now)
	if sim.quarantine && decision.Disposition == crash.Quarantined {
		sim.refused++
		if req.fingerprint != crashingRequest {
			sim.wronglyRefused++
		}
		return true
	}
	var available []int
	for group := range sim.downUntil {
		if !sim.now.Before(sim.downUntil[group]) {
			available = append(available, group)
		}
	}
	req.suspect = sim.quarantine && decision.Disposition == crash.Isolated
	if req.suspect {
		available = sim.ownedGroups(req.node, available)
	}
	if unsuspected := sim.withoutSuspects(tr, available); sim.quarantine && (len(unsuspected) > 0 || req.suspect) {
		available = unsuspected
	}
	if len(available) == 0 {
		return false
	}
	req.group = available[sim.rng.IntN(len(available))]
	req.endsAt = sim.now.Add(simRequestTime)
	req.firstTokenAt = sim.now.Add(simFirstToken)
	if !req.interruptedAt.IsZero() {
		sim.totalWait += sim.now.Sub(req.interruptedAt)
		sim.maxWait = max(sim.maxWait, sim.now.Sub(req.interruptedAt))
		req.interruptedAt = time.Time{}
	}
	if req.fingerprint == crashingRequest {
		req.endsAt = sim.now.Add(simTick)
	}
	tr.Started(req.fingerprint, groupName(req.group))
	sim.running = append(sim.running, req)
	return true
}

// ownedGroups returns the groups that are assigned to this node for its
// suspects, or all groups if there are none.
func (sim *simulation) ownedGroups(node int, groups []int) []int {
	var out []int
	for _, group := range groups {
		if group%simNodes == node || !sim.isolate {
			out = append(out, group)
		}
	}
	if len(out) == 0 {
		return groups
	}
	return out
}

// withoutSuspects returns the groups without suspects that block others.
func (sim *simulation) withoutSuspects(tr *crash.Tracker, groups []int) []int {
	var out []int
	for _, group := range groups {
		if tr.RunningSuspects(groupName(group), sim.now) == 0 {
			out = append(out, group)
		}
	}
	return out
}

// crashGroup crashes a group with all requests that run on it. All of them are
// sent again.
func (sim *simulation) crashGroup(group int) {
	sim.crashes++
	sim.downUntil[group] = sim.now.Add(simReloadTime)
	sim.detectLossAt[group] = sim.now.Add(simLossDetection)
	var remaining []request
	for _, req := range sim.running {
		if req.group != group {
			remaining = append(remaining, req)
			continue
		}
		sim.trackers[req.node].ConnBroken(req.fingerprint, groupName(group), sim.now)
		if req.fingerprint != crashingRequest {
			sim.interrupted++
			req.interruptedAt = sim.now
		}
		sim.waiting = append(sim.waiting, req)
	}
	sim.running = remaining
}

// exchangeReports sends the export of each node to all other nodes.
func (sim *simulation) exchangeReports() {
	for from, src := range sim.trackers {
		for to, dst := range sim.trackers {
			if to != from {
				dst.UpdatePeer(core.NodeName(fmt.Sprint("n", from)), src.Export(sim.now), sim.now)
			}
		}
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simTick)
	for group, at := range sim.detectLossAt {
		if !at.IsZero() && !sim.now.Before(at) {
			sim.detectLossAt[group] = time.Time{}
			for _, tr := range sim.trackers {
				tr.GroupsLost(sim.now, groupName(group))
			}
		}
	}
	crashed := -1
	var remaining []request
	for _, req := range sim.running {
		if sim.progress && req.suspect && req.fingerprint != crashingRequest && !sim.now.Before(req.firstTokenAt) {
			sim.trackers[req.node].Progressed(req.fingerprint, groupName(req.group))
		}
		switch {
		case sim.now.Before(req.endsAt):
			remaining = append(remaining, req)
		case req.fingerprint == crashingRequest:
			crashed = req.group
			remaining = append(remaining, req)
		default:
			sim.trackers[req.node].Completed(req.fingerprint, groupName(req.group), sim.now)
		}
	}
	sim.running = remaining
	if crashed >= 0 {
		sim.crashGroup(crashed)
	}
	sim.exchangeReports()
	pending := sim.waiting
	sim.waiting = nil
	for n := len(sim.running) + len(pending); n < simRequestsPerGroup*simGroups; n++ {
		sim.lastFingerprint++
		pending = append(pending, request{fingerprint: sim.lastFingerprint, node: sim.rng.IntN(simNodes)})
	}
	for _, req := range pending {
		if req.fingerprint == crashingRequest {
			req.node = sim.rng.IntN(simNodes)
		}
		if !sim.dispatch(req) || req.fingerprint == crashingRequest && !sim.isRunning(crashingRequest) {
			sim.waiting = append(sim.waiting, req)
		}
	}
}

func (sim *simulation) isRunning(fp uint64) bool {
	for _, req := range sim.running {
		if req.fingerprint == fp {
			return true
		}
	}
	return false
}

func simulate(seed uint64, quarantine, isolate, progress bool) *simulation {
	sim := &simulation{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		now:        startTime,
		quarantine: quarantine, isolate: isolate, progress: progress,
		downUntil:       make([]time.Time, simGroups),
		detectLossAt:    make([]time.Time, simGroups),
		lastFingerprint: crashingRequest,
	}
	for range simNodes {
		sim.trackers = append(sim.trackers, crash.New(crash.Config{QuarantineTime: time.Hour}))
	}
	sim.waiting = []request{{fingerprint: crashingRequest}}
	for end := startTime.Add(simDuration); sim.now.Before(end); {
		sim.step()
	}
	return sim
}

// TestCrashingRequestQuarantined checks that a request that crashes its group
// and is resent indefinitely takes down at most two groups, and that no other
// request is quarantined.
func TestCrashingRequestQuarantined(t *testing.T) {
	for seed := range uint64(5) {
		result := simulate(seed, true, true, true)
		assert.Assert(t, result.crashes <= 2, "seed %d: %d groups crashed", seed, result.crashes)
		assert.Assert(t, result.refused > 0, "the crashing request was never refused")
		assert.Equal(t, result.wronglyRefused, 0, "other requests were quarantined, seed %d", seed)
	}
}

// BenchmarkCulprit measures the damage that one crashing request does in two
// minutes if it is resent indefinitely: without quarantine, with quarantine,
// with the suspects of each group restricted to one node, and with progress of
// suspects recorded as well.
func BenchmarkCulprit(b *testing.B) {
	for _, variant := range []struct {
		name                          string
		quarantine, isolate, progress bool
	}{
		{"none", false, false, false},
		{"quarantine", true, false, false},
		{"quarantine and one node per group", true, true, false},
		{"quarantine, one node per group and progress", true, true, true},
	} {
		b.Run(variant.name, func(b *testing.B) {
			var sum simulation
			for n := range b.N {
				result := simulate(uint64(n), variant.quarantine, variant.isolate, variant.progress)
				sum.crashes += result.crashes
				sum.interrupted += result.interrupted
				sum.wronglyRefused += result.wronglyRefused
				sum.totalWait += result.totalWait
				sum.maxWait = max(sum.maxWait, result.maxWait)
			}
			b.ReportMetric(float64(sum.crashes)/float64(b.N), "groups")
			b.ReportMetric(float64(sum.interrupted)/float64(b.N), "cut")
			b.ReportMetric(float64(sum.wronglyRefused)/float64(b.N), "wrong")
			b.ReportMetric(sum.totalWait.Seconds()*1e3/float64(sum.interrupted), "wait-ms")
			b.ReportMetric(sum.maxWait.Seconds()*1e3, "longest-wait-ms")
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	tr := newTracker()
	for fp := range uint64(64) {
		tr.Started(fp, "a")
	}
	b.ReportAllocs()
	for b.Loop() {
		tr.Decide(7, startTime)
	}
}
