package once_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/once"
	"kumquathinge/core/recd"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestReplay(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 4)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			fil, err := os.Open(name)
			assert.NilError(t, err)
			defer func() { _ = fil.Close() }()
			got, want, err := once.Replay(fil)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}

func TestWindow(t *testing.T) {
	tests := []struct {
		name   string
		issued time.Time
		want   bool
	}{
		{"now", begin, true},
		{"no issue time", time.Time{}, false},
		{"just inside", begin.Add(-50 * time.Minute), true},
		{"within the clock error of the end", begin.Add(-51 * time.Minute), false},
		{"clock ahead", begin.Add(10 * time.Minute), true},
		{"clock too far ahead", begin.Add(11 * time.Minute), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mac := once.New(once.Config{
				Stem: "x", Issued: tt.issued, Window: time.Hour, ClockError: 10 * time.Minute, Deadline: begin.Add(time.Minute),
			})
			acts := mac.Step(once.Event{Kind: once.EventStart}, begin)
			if tt.want {
				assert.Equal(t, acts[0].Kind, once.ActionLookup)
				return
			}
			assert.Equal(t, acts[0].Code, core.CodeKeyExpired)
		})
	}
}

func TestLargeReply(t *testing.T) {
	mac := once.New(once.Config{
		Stem: "x", Issued: begin, Window: time.Hour, Deadline: begin.Add(time.Minute), MaxReply: 3,
	})
	for _, ev := range []once.Event{{Kind: once.EventStart}, {Kind: once.EventAbsent}, {Kind: once.EventAccepted, Offset: 7}} {
		mac.Step(ev, begin)
	}
	acts := mac.Step(once.Event{Kind: once.EventRan, Reply: core.Reply{Status: 201, Body: []byte("long")}}, begin)
	assert.Equal(t, string(acts[0].Reply.Body), "long")
	assert.DeepEqual(t, acts[1], once.Action{Kind: once.ActionRecord, Claim: 7, Unknown: true, Reply: core.Reply{Status: 201}})
}

// node is one process: what it remembers is lost when it restarts.
type node struct {
	name      core.NodeName
	run       int
	state     *fold.State
	live      map[core.RecordID]bool
	abandoned map[core.RecordID]bool
}

// task is one machine with its pending actions.
type task struct {
	nod        *node
	run        int
	mac        *once.Machine
	todo       []once.Action
	record     core.RecordID
	dispatched int
	fate       once.EventKind
}

// world is a log that several nodes read at their own pace, and a service.
type world struct {
	rt     *rapid.T
	now    time.Time
	log    []core.Entry
	late   []recd.Record
	nodes  []*node
	tasks  []*task
	seq    int
	sent   int
	mayRun int
	reply  string
}

func (wld *world) append(rec recd.Record) {
	off := core.Offset(len(wld.log) + 1)
	wld.log = append(wld.log, core.Entry{
		Offset: off, ID: rec.ID, At: wld.now,
		Data: recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}),
	})
}

// read applies up to num entries and returns the verdict on the record.
func (wld *world) read(nod *node, num int, id core.RecordID) (fold.Verdict, bool) {
	for ; num > 0 && int(nod.state.Offset()) < len(wld.log); num-- {
		nod.state.Apply(wld.log[nod.state.Offset()])
	}
	return nod.state.Outcome(id)
}

// propose appends under a random fault of the log.
func (wld *world) propose(tsk *task, rec recd.Record) once.Event {
	rec.By = string(tsk.nod.name)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "ok", "ok", "ok", "refused", "lost", "answer lost", "late"}).Draw(wld.rt, "append") {
	case "refused":
		return once.Event{Kind: once.EventNotAppended}
	case "lost":
		return once.Event{Kind: once.EventAppendUnknown}
	case "answer lost":
		wld.append(rec)
		return once.Event{Kind: once.EventAppendUnknown}
	case "late":
		wld.late = append(wld.late, rec)
		return once.Event{Kind: once.EventAppendUnknown}
	}
	wld.append(rec)
	ver, _ := wld.read(tsk.nod, len(wld.log), rec.ID)
	if ver.Accepted() {
		return once.Event{Kind: once.EventAccepted, Offset: ver.Offset}
	}
	return once.Event{Kind: once.EventRejected, Code: ver.Code}
}

func (wld *world) newID(stem string) core.RecordID {
	wld.seq++
	return core.RecordID(stem + strconv.Itoa(wld.seq))
}

func (wld *world) start(nod *node) {
	tsk := &task{nod: nod, run: nod.run}
	tsk.mac = once.New(once.Config{
		Stem: wld.newID("c"), Digest: 1, Issued: begin, Window: 24 * time.Hour,
		Deadline: wld.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(wld.rt, "deadline")) * time.Second),
	})
	tsk.todo = append(tsk.todo, tsk.mac.Step(once.Event{Kind: once.EventStart}, wld.now)...)
	wld.tasks = append(wld.tasks, tsk)
}

func (wld *world) lookup(tsk *task) once.Event {
	nod := tsk.nod
	if rapid.IntRange(0, 9).Draw(wld.rt, "lookup fails") == 0 {
		return once.Event{Kind: once.EventNoLookup, Code: core.CodeLogDown}
	}
	wld.read(nod, rapid.IntRange(0, 3).Draw(wld.rt, "read"), "")
	clm, ok := nod.state.Claim("org", "key")
	if !ok {
		return once.Event{Kind: once.EventAbsent}
	}
	vie := once.View{
		Record: clm.Record, Offset: clm.Offset, Digest: clm.Digest, Mine: clm.Holder == nod.name,
		Live: nod.live[clm.Record], Abandoned: nod.abandoned[clm.Record],
	}
	if clm.Outcome != nil {
		vie.Done, vie.Unknown, vie.Reply = true, clm.Outcome.Unknown, clm.Outcome.Reply
	}
	return once.Event{Kind: once.EventFound, View: vie}
}

// dispatch runs the request at the service, or not.
func (wld *world) dispatch(tsk *task) once.Event {
	wld.sent++
	tsk.dispatched++
	tsk.fate = rapid.SampledFrom([]once.EventKind{once.EventRan, once.EventNotRun, once.EventUnknown}).Draw(wld.rt, "fate")
	if tsk.fate == once.EventNotRun {
		return once.Event{Kind: once.EventNotRun, Code: core.CodeRefused}
	}
	wld.mayRun++
	wld.reply = fmt.Sprintf("reply %d", wld.sent)
	return once.Event{Kind: tsk.fate, Reply: core.Reply{Status: 200, Body: []byte(wld.reply)}}
}

// perform does the task's next action, if its process still runs.
func (wld *world) perform(tsk *task) {
	nod := tsk.nod
	if tsk.run != nod.run || len(tsk.todo) == 0 {
		return
	}
	act := tsk.todo[0]
	tsk.todo = tsk.todo[1:]
	var ev once.Event
	switch act.Kind {
	case once.ActionLookup:
		ev = wld.lookup(tsk)
	case once.ActionClaim:
		delete(nod.live, tsk.record)
		tsk.record = act.Record
		nod.live[act.Record] = true
		ev = wld.propose(tsk, recd.Record{ID: act.Record, Claim: &recd.Claim{
			Org: "org", Key: "key", Issued: begin, Digest: 1, Holder: nod.name,
		}})
	case once.ActionDispatch:
		ev = wld.dispatch(tsk)
	case once.ActionRecord:
		wld.propose(tsk, recd.Record{ID: wld.newID("r"), Result: &recd.Result{
			Org: "org", Key: "key", Claim: act.Claim, Unknown: act.Unknown, Reply: act.Reply,
		}})
		return
	case once.ActionRelease:
		nod.abandoned[tsk.record] = tsk.fate == once.EventNotRun || nod.abandoned[tsk.record]
		ev = wld.propose(tsk, recd.Record{ID: wld.newID("f"), Release: &recd.Release{Org: "org", Key: "key", Claim: act.Claim}})
		if ev.Kind == once.EventAccepted || ev.Kind == once.EventRejected {
			ev = once.Event{Kind: once.EventReleased}
		}
	case once.ActionAbandon:
		nod.abandoned[act.Record] = true
		return
	case once.ActionAnswer:
		assert.Equal(wld.rt, string(act.Reply.Body), wld.reply, "the answer of another run")
		return
	case once.ActionFinish:
		delete(nod.live, tsk.record)
		if act.Code.NotRun() && tsk.dispatched > 0 {
			assert.Equal(wld.rt, tsk.fate, once.EventNotRun, "code %d of a request that may have run", act.Code)
		}
		return
	}
	tsk.todo = append(tsk.todo, tsk.mac.Step(ev, wld.now)...)
}

func (wld *world) restart(nod *node) {
	nod.run++
	nod.live = map[core.RecordID]bool{}
	nod.abandoned = map[core.RecordID]bool{}
}

func (wld *world) move() {
	rt := wld.rt
	wld.now = wld.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
	nod := wld.nodes[rapid.IntRange(0, len(wld.nodes)-1).Draw(rt, "node")]
	dice := rapid.IntRange(0, 29).Draw(rt, "dice")
	switch {
	case dice == 0:
		wld.restart(nod)
	case dice < 5 && len(wld.tasks) < 12:
		wld.start(nod)
	case dice < 7 && len(wld.late) > 0:
		wld.append(wld.late[0])
		wld.late = wld.late[1:]
	case len(wld.tasks) > 0:
		wld.perform(wld.tasks[rapid.IntRange(0, len(wld.tasks)-1).Draw(rt, "task")])
	}
}

// TestHoldsAtMostOnceRandom lets several nodes race for one key while the log
// refuses, loses, delays and repeats, and nodes restart. Whatever happens, at
// most one dispatch may have run.
func TestHoldsAtMostOnceRandom(t *testing.T) {
	sent, again := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		wld := &world{rt: rt, now: begin}
		for _, name := range []core.NodeName{"n1", "n2"} {
			nod := &node{name: name, state: fold.New()}
			wld.restart(nod)
			wld.nodes = append(wld.nodes, nod)
		}
		for range 200 {
			wld.move()
			assert.Assert(rt, wld.mayRun <= 1, "the request may have run %d times", wld.mayRun)
		}
		sent += wld.sent
		if wld.sent > 1 {
			again++
		}
	})
	assert.Assert(t, sent > 0 && again > 0, "the interleavings reach neither: sent %d, sent again after a release %d", sent, again)
}
