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

var begin = time.Unix(1000, 0)

func newBook() *crash.Book {
	return crash.New(crash.Config{Quarantine: time.Minute, Keep: 10 * time.Minute, Grace: 5 * time.Second})
}

func TestDecide(t *testing.T) {
	// Each step runs the print 7 on a group, or tells what became of it.
	run := func(grp core.GroupName) func(boo *crash.Book) {
		return func(boo *crash.Book) { boo.Running(7, grp) }
	}
	lost := func(grps ...core.GroupName) func(boo *crash.Book) {
		return func(boo *crash.Book) { boo.Lost(begin, grps...) }
	}
	broke := func(grp core.GroupName) func(boo *crash.Book) {
		return func(boo *crash.Book) { boo.Broken(7, grp, begin) }
	}
	silent := func(grp core.GroupName) func(boo *crash.Book) {
		return func(boo *crash.Book) { boo.Silent(7, grp, begin) }
	}
	stop := func(grp core.GroupName) func(boo *crash.Book) {
		return func(boo *crash.Book) { boo.Stopped(7, grp) }
	}
	done := func(grp core.GroupName) func(boo *crash.Book) {
		return func(boo *crash.Book) { boo.Completed(7, grp, begin) }
	}
	peer := func(from core.NodeName, num int, clear bool) func(boo *crash.Book) {
		sus := []core.Suspect{{Fingerprint: 7, Crashes: num, ExpiresAt: begin.Add(time.Minute), Cleared: clear}}
		return func(boo *crash.Book) { boo.Merge(from, sus, begin) }
	}
	tests := []struct {
		name  string
		steps []func(boo *crash.Book)
		after time.Duration
		want  crash.Verdict
	}{
		{"unknown", nil, 0, crash.Free},
		{"one crash", []func(*crash.Book){run("a"), lost("a")}, 0, crash.Alone},
		{"another group was lost", []func(*crash.Book){run("a"), lost("b")}, 0, crash.Free},
		{"gone before the loss", []func(*crash.Book){run("a"), stop("a"), lost("a")}, 0, crash.Free},
		{"one break", []func(*crash.Book){run("a"), broke("a")}, 0, crash.Alone},
		{"break not confirmed", []func(*crash.Book){run("a"), broke("a")}, 6 * time.Second, crash.Free},
		{"break confirmed", []func(*crash.Book){run("a"), broke("a"), lost("a")}, 6 * time.Second, crash.Alone},
		{"break behind the loss", []func(*crash.Book){run("a"), lost("a"), broke("a")}, 0, crash.Alone},
		{"loss told twice", []func(*crash.Book){run("a"), lost("a"), lost("a")}, 0, crash.Alone},
		{"silent twice", []func(*crash.Book){run("a"), silent("a"), run("b"), silent("b")}, 0, crash.Free},
		{"silent, then lost", []func(*crash.Book){run("a"), silent("a"), lost("a")}, 6 * time.Second, crash.Alone},
		{"two breaks", []func(*crash.Book){run("a"), broke("a"), run("b"), broke("b")}, 0, crash.Quarantined},
		{"two crashes", []func(*crash.Book){run("a"), lost("a"), stop("a"), run("b"), lost("b")}, 0, crash.Quarantined},
		{"quarantine over", []func(*crash.Book){run("a"), lost("a"), stop("a"), run("b"), lost("b")}, time.Minute, crash.Free},
		{"cleared", []func(*crash.Book){run("a"), broke("a"), lost("a"), run("b"), done("b")}, 0, crash.Free},
		{"crash after clearance", []func(*crash.Book){run("a"), broke("a"), lost("a"), run("b"), done("b"), run("c"), lost("c")}, 0, crash.Alone},
		{"domain lost", []func(*crash.Book){run("a"), lost("a", "b")}, 0, crash.Free},
		{"domain lost, break open", []func(*crash.Book){run("a"), broke("a"), lost("a", "b")}, 0, crash.Alone},
		{"on all groups that were lost", []func(*crash.Book){run("a"), run("b"), lost("a", "b")}, 0, crash.Quarantined},
		{"one crash at a peer", []func(*crash.Book){peer("n2", 1, false)}, 0, crash.Alone},
		{"one here, one at a peer", []func(*crash.Book){run("a"), lost("a"), peer("n2", 1, false)}, 0, crash.Quarantined},
		{"the same report twice", []func(*crash.Book){peer("n2", 1, false), peer("n2", 1, false)}, 0, crash.Alone},
		{"cleared at a peer", []func(*crash.Book){run("a"), lost("a"), peer("n2", 0, true)}, 0, crash.Free},
		{"clearance does not end a quarantine", []func(*crash.Book){run("a"), lost("a"), stop("a"), run("b"), lost("b"), peer("n2", 0, true)}, 0, crash.Quarantined},
		{"report too old", []func(*crash.Book){peer("n2", 2, false)}, time.Minute, crash.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			boo := newBook()
			for _, step := range tt.steps {
				step(boo)
			}
			assert.Equal(t, boo.Decide(7, begin.Add(tt.after)).Verdict, tt.want)
		})
	}
}

func TestProgress(t *testing.T) {
	boo := newBook()
	boo.Running(7, "a")
	boo.Lost(begin, "a")
	boo.Running(7, "b")
	assert.Equal(t, boo.Suspects("b", begin), 1)
	boo.Progressed(7, "b")
	assert.Equal(t, boo.Suspects("b", begin), 0)
	boo.Lost(begin, "b")
	assert.Equal(t, boo.Decide(7, begin).Verdict, crash.Quarantined, "a crash after progress counts")
}

func TestExport(t *testing.T) {
	boo := crash.New(crash.Config{Export: 2})
	for print := range uint64(4) {
		boo.Running(print, "a")
	}
	boo.Lost(begin, "a")
	boo.Running(3, "b")
	boo.Lost(begin, "b")
	got := boo.Export(begin)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Fingerprint, uint64(3))
	assert.Equal(t, got[0].Crashes, 2)
	boo.Merge("n2", []core.Suspect{{Fingerprint: 9, Crashes: 1, ExpiresAt: begin.Add(time.Hour)}}, begin)
	for _, sus := range boo.Export(begin) {
		assert.Assert(t, sus.Fingerprint != 9, "a peer's report is not this node's")
	}
}

const (
	simNodes  = 4
	simGroups = 8
	simTick   = 50 * time.Millisecond
	simTime   = 2 * time.Minute
	simReload = time.Minute
	simProbe  = 500 * time.Millisecond
	simRun    = 2 * time.Second
	simFirst  = 200 * time.Millisecond
	simEach   = 8 // requests in progress on each group
	culprit   = uint64(1)
)

// request is a request in progress. Cut is set once its group is gone.
type request struct {
	print uint64
	node  int
	group int
	until time.Time
	// first is when the first token comes. Suspect is set until then.
	first   time.Time
	suspect bool
	cutAt   time.Time
}

// sim is a zone in which one request crashes each group that runs it, and its
// caller sends it again without end, to any node.
type sim struct {
	rng     *rand.Rand
	now     time.Time
	guard   bool
	isolate bool
	calm    bool
	books   []*crash.Book
	down    []time.Time
	lost    []time.Time
	running []request
	waiting []request
	next    uint64
	crashes int
	cut     int
	wrong   int
	refused int
	wait    time.Duration
	waitMax time.Duration
}

func grpName(num int) core.GroupName { return core.GroupName(fmt.Sprint("g", num)) }

// place sends a request to a group that is up, if there is one for it.
func (sm *sim) place(req request) bool {
	boo := sm.books[req.node]
	dec := boo.Decide(req.print, sm.now)
	if sm.guard && dec.Verdict == crash.Quarantined {
		sm.refused++
		if req.print != culprit {
			sm.wrong++
		}
		return true
	}
	var ups []int
	for grp := range sm.down {
		if !sm.now.Before(sm.down[grp]) {
			ups = append(ups, grp)
		}
	}
	req.suspect = sm.guard && dec.Verdict == crash.Alone
	if req.suspect {
		ups = sm.owned(req.node, ups)
	}
	if calm := sm.without(boo, ups); sm.guard && (len(calm) > 0 || req.suspect) {
		ups = calm
	}
	if len(ups) == 0 {
		return false
	}
	req.group = ups[sm.rng.IntN(len(ups))]
	req.until = sm.now.Add(simRun)
	req.first = sm.now.Add(simFirst)
	if !req.cutAt.IsZero() {
		sm.wait += sm.now.Sub(req.cutAt)
		sm.waitMax = max(sm.waitMax, sm.now.Sub(req.cutAt))
		req.cutAt = time.Time{}
	}
	if req.print == culprit {
		req.until = sm.now.Add(simTick)
	}
	boo.Running(req.print, grpName(req.group))
	sm.running = append(sm.running, req)
	return true
}

// owned returns the groups on which only this node runs suspects, or all if
// there are none.
func (sm *sim) owned(node int, grps []int) []int {
	var out []int
	for _, grp := range grps {
		if grp%simNodes == node || !sm.isolate {
			out = append(out, grp)
		}
	}
	if len(out) == 0 {
		return grps
	}
	return out
}

// without returns the groups that run no suspect.
func (sm *sim) without(boo *crash.Book, grps []int) []int {
	var out []int
	for _, grp := range grps {
		if boo.Suspects(grpName(grp), sm.now) == 0 {
			out = append(out, grp)
		}
	}
	return out
}

// crash ends a group and all that runs on it. The caller of the culprit and
// the bystanders are sent again by their nodes.
func (sm *sim) crash(grp int) {
	sm.crashes++
	sm.down[grp] = sm.now.Add(simReload)
	sm.lost[grp] = sm.now.Add(simProbe)
	var keep []request
	for _, req := range sm.running {
		if req.group != grp {
			keep = append(keep, req)
			continue
		}
		sm.books[req.node].Broken(req.print, grpName(grp), sm.now)
		if req.print != culprit {
			sm.cut++
			req.cutAt = sm.now
		}
		sm.waiting = append(sm.waiting, req)
	}
	sm.running = keep
}

// share lets every node tell every other what it saw.
func (sm *sim) share() {
	for from, src := range sm.books {
		for to, dst := range sm.books {
			if to != from {
				dst.Merge(core.NodeName(fmt.Sprint("n", from)), src.Export(sm.now), sm.now)
			}
		}
	}
}

func (sm *sim) tick() {
	sm.now = sm.now.Add(simTick)
	for grp, at := range sm.lost {
		if !at.IsZero() && !sm.now.Before(at) {
			sm.lost[grp] = time.Time{}
			for _, boo := range sm.books {
				boo.Lost(sm.now, grpName(grp))
			}
		}
	}
	over := -1
	var keep []request
	for _, req := range sm.running {
		if sm.calm && req.suspect && req.print != culprit && !sm.now.Before(req.first) {
			sm.books[req.node].Progressed(req.print, grpName(req.group))
		}
		switch {
		case sm.now.Before(req.until):
			keep = append(keep, req)
		case req.print == culprit:
			over = req.group
			keep = append(keep, req)
		default:
			sm.books[req.node].Completed(req.print, grpName(req.group), sm.now)
		}
	}
	sm.running = keep
	if over >= 0 {
		sm.crash(over)
	}
	sm.share()
	todo := sm.waiting
	sm.waiting = nil
	for num := len(sm.running) + len(todo); num < simEach*simGroups; num++ {
		sm.next++
		todo = append(todo, request{print: sm.next, node: sm.rng.IntN(simNodes)})
	}
	for _, req := range todo {
		if req.print == culprit {
			req.node = sm.rng.IntN(simNodes)
		}
		if !sm.place(req) || req.print == culprit && !sm.runs(culprit) {
			sm.waiting = append(sm.waiting, req)
		}
	}
}

func (sm *sim) runs(print uint64) bool {
	for _, req := range sm.running {
		if req.print == print {
			return true
		}
	}
	return false
}

func simulate(seed uint64, guard, isolate, calm bool) *sim {
	sm := &sim{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		now:   begin,
		guard: guard, isolate: isolate, calm: calm,
		down: make([]time.Time, simGroups),
		lost: make([]time.Time, simGroups),
		next: culprit,
	}
	for range simNodes {
		sm.books = append(sm.books, crash.New(crash.Config{Quarantine: time.Hour}))
	}
	sm.waiting = []request{{print: culprit}}
	for end := begin.Add(simTime); sm.now.Before(end); {
		sm.tick()
	}
	return sm
}

// TestCulpritIsolated sends one request that crashes its group without end: it
// takes down at most two groups, and no other request is quarantined.
func TestCulpritIsolated(t *testing.T) {
	for seed := range uint64(5) {
		with := simulate(seed, true, true, true)
		assert.Assert(t, with.crashes <= 2, "seed %d: %d groups crashed", seed, with.crashes)
		assert.Assert(t, with.refused > 0, "the culprit came back")
		assert.Equal(t, with.wrong, 0, "bystanders in quarantine, seed %d", seed)
	}
}

// BenchmarkCulprit reports what two minutes of a culprit that comes back
// without end cost: without quarantine, with it, and with each group's
// suspects left to one node.
func BenchmarkCulprit(b *testing.B) {
	for _, arm := range []struct {
		name                 string
		guard, isolate, calm bool
	}{
		{"none", false, false, false},
		{"quarantine", true, false, false},
		{"quarantine and one node a group", true, true, false},
		{"the same and progress", true, true, true},
	} {
		b.Run(arm.name, func(b *testing.B) {
			var sum sim
			for num := range b.N {
				one := simulate(uint64(num), arm.guard, arm.isolate, arm.calm)
				sum.crashes += one.crashes
				sum.cut += one.cut
				sum.wrong += one.wrong
				sum.wait += one.wait
				sum.waitMax = max(sum.waitMax, one.waitMax)
			}
			b.ReportMetric(float64(sum.crashes)/float64(b.N), "groups")
			b.ReportMetric(float64(sum.cut)/float64(b.N), "cut")
			b.ReportMetric(float64(sum.wrong)/float64(b.N), "wrong")
			b.ReportMetric(sum.wait.Seconds()*1e3/float64(sum.cut), "wait-ms")
			b.ReportMetric(sum.waitMax.Seconds()*1e3, "longest-wait-ms")
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	boo := newBook()
	for print := range uint64(64) {
		boo.Running(print, "a")
	}
	b.ReportAllocs()
	for b.Loop() {
		boo.Decide(7, begin)
	}
}
