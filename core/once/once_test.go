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

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestReplay(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 4)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			file, err := os.Open(name)
			assert.NilError(t, err)
			defer func() { _ = file.Close() }()
			got, want, err := once.Replay(file)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}

func TestIssueWindow(t *testing.T) {
	tests := []struct {
		name   string
		issued time.Time
		want   bool
	}{
		{"now", startTime, true},
		{"no issue time", time.Time{}, false},
		{"inside the window", startTime.Add(-50 * time.Minute), true},
		{"inside the window by less than the clock skew", startTime.Add(-51 * time.Minute), false},
		{"issue time ahead by the clock skew", startTime.Add(10 * time.Minute), true},
		{"issue time ahead by more than the clock skew", startTime.Add(11 * time.Minute), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sm := once.New(once.Config{
				IDPrefix: "x", IssuedAt: tt.issued, Window: time.Hour, MaxClockSkew: 10 * time.Minute, Deadline: startTime.Add(time.Minute),
			})
			acts := sm.Step(once.Event{Kind: once.EventStart}, startTime)
			if tt.want {
				assert.Equal(t, acts[0].Kind, once.ActionLookup)
				return
			}
			assert.Equal(t, acts[0].Code, core.CodeKeyExpired)
		})
	}
}

func TestOversizedReply(t *testing.T) {
	sm := once.New(once.Config{
		IDPrefix: "x", IssuedAt: startTime, Window: time.Hour, Deadline: startTime.Add(time.Minute), MaxReplyBytes: 3,
	})
	for _, evt := range []once.Event{{Kind: once.EventStart}, {Kind: once.EventNoClaim}, {Kind: once.EventClaimAccepted, Offset: 7}} {
		sm.Step(evt, startTime)
	}
	acts := sm.Step(once.Event{Kind: once.EventReply, Reply: core.Reply{Status: 201, Body: []byte("long")}}, startTime)
	assert.Equal(t, string(acts[0].Reply.Body), "long")
	assert.DeepEqual(t, acts[1], once.Action{Kind: once.ActionRecordResult, ClaimOffset: 7, OutcomeUnknown: true, Reply: core.Reply{Status: 201}})
}

// process simulates a node. A restart starts a new incarnation, which has no
// active or abandoned claims.
type process struct {
	name        core.NodeName
	incarnation int
	state       *fold.State
	active      map[core.RecordID]bool
	abandoned   map[core.RecordID]bool
}

// request is a machine with its pending actions, run by one incarnation of a
// process. Its outcome is the random outcome of its dispatch.
type request struct {
	proc        *process
	incarnation int
	machine     *once.Machine
	pending     []once.Action
	claimID     core.RecordID
	dispatches  int
	outcome     once.EventKind
}

// simulation is a log that several nodes read at different rates, and a
// service. The counter mayRun is the number of dispatches that may have run.
type simulation struct {
	rt         *rapid.T
	now        time.Time
	entries    []core.Entry
	delayed    []recd.Record
	procs      []*process
	requests   []*request
	lastID     int
	dispatches int
	mayRun     int
	lastReply  string
}

func (sim *simulation) appendEntry(rec recd.Record) {
	offset := core.Offset(len(sim.entries) + 1)
	sim.entries = append(sim.entries, core.Entry{
		Offset: offset, ID: rec.ID, At: sim.now,
		Data: recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}),
	})
}

// applyEntries applies up to num log entries at the process and returns the
// outcome of the record id.
func (sim *simulation) applyEntries(proc *process, num int, id core.RecordID) (fold.Decision, bool) {
	for ; num > 0 && int(proc.state.Offset()) < len(sim.entries); num-- {
		proc.state.Apply(sim.entries[proc.state.Offset()])
	}
	return proc.state.Decision(id)
}

// propose appends a record with a random fault of the log, and returns the
// resulting event.
func (sim *simulation) propose(req *request, rec recd.Record) once.Event {
	rec.By = string(req.proc.name)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "ok", "ok", "ok", "refused", "lost", "response lost", "late"}).Draw(sim.rt, "append") {
	case "refused":
		return once.Event{Kind: once.EventNotAppended}
	case "lost":
		return once.Event{Kind: once.EventAppendUnknown}
	case "response lost":
		sim.appendEntry(rec)
		return once.Event{Kind: once.EventAppendUnknown}
	case "late":
		sim.delayed = append(sim.delayed, rec)
		return once.Event{Kind: once.EventAppendUnknown}
	}
	sim.appendEntry(rec)
	decision, _ := sim.applyEntries(req.proc, len(sim.entries), rec.ID)
	if decision.Accepted() {
		return once.Event{Kind: once.EventClaimAccepted, Offset: decision.Offset}
	}
	return once.Event{Kind: once.EventClaimRejected, Code: decision.Code}
}

func (sim *simulation) newID(prefix string) core.RecordID {
	sim.lastID++
	return core.RecordID(prefix + strconv.Itoa(sim.lastID))
}

func (sim *simulation) start(proc *process) {
	req := &request{proc: proc, incarnation: proc.incarnation}
	req.machine = once.New(once.Config{
		IDPrefix: sim.newID("c"), Digest: 1, IssuedAt: startTime, Window: 24 * time.Hour,
		Deadline: sim.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(sim.rt, "deadline")) * time.Second),
	})
	req.pending = append(req.pending, req.machine.Step(once.Event{Kind: once.EventStart}, sim.now)...)
	sim.requests = append(sim.requests, req)
}

func (sim *simulation) lookup(req *request) once.Event {
	proc := req.proc
	if rapid.IntRange(0, 9).Draw(sim.rt, "lookup fails") == 0 {
		return once.Event{Kind: once.EventLookupFailed, Code: core.CodeLogDown}
	}
	sim.applyEntries(proc, rapid.IntRange(0, 3).Draw(sim.rt, "read"), "")
	claim, ok := proc.state.Claim("org", "key")
	if !ok {
		return once.Event{Kind: once.EventNoClaim}
	}
	status := once.ClaimStatus{
		RecordID: claim.Record, Offset: claim.Offset, Digest: claim.Digest, HeldLocally: claim.Holder == proc.name,
		Active: proc.active[claim.Record], Abandoned: proc.abandoned[claim.Record],
	}
	if claim.Outcome != nil {
		status.Done, status.OutcomeUnknown, status.Reply = true, claim.Outcome.Unknown, claim.Outcome.Reply
	}
	return once.Event{Kind: once.EventClaimFound, Claim: status}
}

// dispatch returns a random outcome of the request at the service.
func (sim *simulation) dispatch(req *request) once.Event {
	sim.dispatches++
	req.dispatches++
	req.outcome = rapid.SampledFrom([]once.EventKind{once.EventReply, once.EventNotRun, once.EventOutcomeUnknown}).Draw(sim.rt, "fate")
	if req.outcome == once.EventNotRun {
		return once.Event{Kind: once.EventNotRun, Code: core.CodeRefused}
	}
	sim.mayRun++
	sim.lastReply = fmt.Sprintf("reply %d", sim.dispatches)
	return once.Event{Kind: req.outcome, Reply: core.Reply{Status: 200, Body: []byte(sim.lastReply)}}
}

// perform executes the next action of the request, unless its process has
// restarted.
func (sim *simulation) perform(req *request) {
	proc := req.proc
	if req.incarnation != proc.incarnation || len(req.pending) == 0 {
		return
	}
	act := req.pending[0]
	req.pending = req.pending[1:]
	var evt once.Event
	switch act.Kind {
	case once.ActionLookup:
		evt = sim.lookup(req)
	case once.ActionClaim:
		delete(proc.active, req.claimID)
		req.claimID = act.RecordID
		proc.active[act.RecordID] = true
		evt = sim.propose(req, recd.Record{ID: act.RecordID, Claim: &recd.Claim{
			Org: "org", Key: "key", Issued: startTime, Digest: 1, Holder: proc.name,
		}})
	case once.ActionDispatch:
		evt = sim.dispatch(req)
	case once.ActionRecordResult:
		sim.propose(req, recd.Record{ID: sim.newID("r"), Result: &recd.Result{
			Org: "org", Key: "key", Claim: act.ClaimOffset, Unknown: act.OutcomeUnknown, Reply: act.Reply,
		}})
		return
	case once.ActionRelease:
		proc.abandoned[req.claimID] = req.outcome == once.EventNotRun || proc.abandoned[req.claimID]
		evt = sim.propose(req, recd.Record{ID: sim.newID("f"), Release: &recd.Release{Org: "org", Key: "key", Claim: act.ClaimOffset}})
		if evt.Kind == once.EventClaimAccepted || evt.Kind == once.EventClaimRejected {
			evt = once.Event{Kind: once.EventReleased}
		}
	case once.ActionAbandon:
		proc.abandoned[act.RecordID] = true
		return
	case once.ActionDeliver:
		assert.Equal(sim.rt, string(act.Reply.Body), sim.lastReply, "reply of another run")
		return
	case once.ActionFinish:
		delete(proc.active, req.claimID)
		if act.Code.NotRun() && req.dispatches > 0 {
			assert.Equal(sim.rt, req.outcome, once.EventNotRun, "code %d for a request that may have run", act.Code)
		}
		return
	}
	req.pending = append(req.pending, req.machine.Step(evt, sim.now)...)
}

func (sim *simulation) restart(proc *process) {
	proc.incarnation++
	proc.active = map[core.RecordID]bool{}
	proc.abandoned = map[core.RecordID]bool{}
}

func (sim *simulation) step() {
	rt := sim.rt
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
	proc := sim.procs[rapid.IntRange(0, len(sim.procs)-1).Draw(rt, "node")]
	roll := rapid.IntRange(0, 29).Draw(rt, "dice")
	switch {
	case roll == 0:
		sim.restart(proc)
	case roll < 5 && len(sim.requests) < 12:
		sim.start(proc)
	case roll < 7 && len(sim.delayed) > 0:
		sim.appendEntry(sim.delayed[0])
		sim.delayed = sim.delayed[1:]
	case len(sim.requests) > 0:
		sim.perform(sim.requests[rapid.IntRange(0, len(sim.requests)-1).Draw(rt, "task")])
	}
}

// TestHoldsAtMostOnceRandom has two nodes compete for one key while the log
// refuses, loses and delays appends and loses their responses, and nodes
// restart. In every interleaving, at most one dispatch may have run.
func TestHoldsAtMostOnceRandom(t *testing.T) {
	dispatches, redispatched := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := &simulation{rt: rt, now: startTime}
		for _, name := range []core.NodeName{"n1", "n2"} {
			proc := &process{name: name, state: fold.New()}
			sim.restart(proc)
			sim.procs = append(sim.procs, proc)
		}
		for range 200 {
			sim.step()
			assert.Assert(rt, sim.mayRun <= 1, "the request may have run %d times", sim.mayRun)
		}
		dispatches += sim.dispatches
		if sim.dispatches > 1 {
			redispatched++
		}
	})
	assert.Assert(t, dispatches > 0 && redispatched > 0, "interleavings cover too little: %d dispatches, %d requests dispatched again after a release", dispatches, redispatched)
}
