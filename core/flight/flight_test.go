package flight_test

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
	"kumquathinge/core/flight"
)

var startTime = time.Unix(1000, 0)

func TestChunkValidator(t *testing.T) {
	head := core.Chunk{Attempt: "a", Head: true}
	tok := func(pos int) core.Chunk { return core.Chunk{Attempt: "a", Pos: pos, Text: "x"} }
	end := core.Chunk{Attempt: "a", Pos: 5, End: true, Tokens: 5}
	tests := []struct {
		name   string
		chunks []core.Chunk
		want   core.Code
	}{
		{"whole", []core.Chunk{head, tok(3), tok(4), end}, core.CodeOK},
		{"another attempt", []core.Chunk{head, tok(3), {Attempt: "b", Pos: 4}}, core.CodeCrossedAnswer},
		{"no attempt", []core.Chunk{{Head: true}}, core.CodeCrossedAnswer},
		{"no head", []core.Chunk{tok(3)}, core.CodeCutAnswer},
		{"second head", []core.Chunk{head, tok(3), head}, core.CodeCrossedAnswer},
		{"head and end", []core.Chunk{{Attempt: "a", Head: true, End: true}}, core.CodeCutAnswer},
		{"first token missing", []core.Chunk{head, tok(4)}, core.CodeCutAnswer},
		{"gap", []core.Chunk{head, tok(3), tok(5)}, core.CodeCutAnswer},
		{"repeated token", []core.Chunk{head, tok(3), tok(3)}, core.CodeCutAnswer},
		{"end too early", []core.Chunk{head, tok(3), end}, core.CodeCutAnswer},
		{"end without count", []core.Chunk{head, tok(3), {Attempt: "a", End: true}}, core.CodeCutAnswer},
		{"cancelled", []core.Chunk{head, {Attempt: "a", End: true, Tokens: 3, FinishReason: "cancelled"}}, core.CodeCutAnswer},
		{"after the end", []core.Chunk{head, tok(3), tok(4), end, tok(5)}, core.CodeCrossedAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cv := flight.NewChunkValidator("a", 3)
			for _, chunk := range tt.chunks[:len(tt.chunks)-1] {
				assert.NilError(t, cv.Check(chunk))
			}
			assert.Equal(t, core.CodeOf(cv.Check(tt.chunks[len(tt.chunks)-1])), tt.want)
			assert.Equal(t, cv.Ended(), tt.want == core.CodeOK || tt.name == "after the end")
		})
	}
}

func TestReplay(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 5)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			file, err := os.Open(name)
			assert.NilError(t, err)
			defer func() { _ = file.Close() }()
			got, want, err := flight.Replay(file)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}

// simulation feeds random events to a machine and records which attempts may
// have run.
type simulation struct {
	rt          *rapid.T
	machine     *flight.Machine
	limits      flight.Limits
	now         time.Time
	attempts    []core.AttemptID
	mayRun      map[core.AttemptID]bool
	startPos    int
	nextPos     int
	parts       []core.Part
	finishCodes []core.Code
	pending     flight.ActionKind
}

func tokenText(pos int) string { return "t" + strconv.Itoa(pos) }

func (sim *simulation) step(evt flight.Event) {
	wasDone := sim.machine.Done()
	acts := sim.machine.Step(evt, sim.now)
	assert.Assert(sim.rt, !wasDone || len(acts) == 0, "action after ActionFinish")
	for _, act := range acts {
		switch act.Kind {
		case flight.ActionDeliver:
			sim.parts = append(sim.parts, act.Part)
		case flight.ActionFinish:
			sim.finishCodes = append(sim.finishCodes, act.Code)
		case flight.ActionDispatch, flight.ActionForward:
			if sim.limits.Retry == flight.RetryIfNotRun {
				assert.Assert(sim.rt, len(sim.mayHaveRun()) == 0, "retried although a previous attempt may have run")
			}
			sim.attempts = append(sim.attempts, act.Attempt)
			sim.mayRun[act.Attempt] = true
			sim.startPos, sim.nextPos = act.Pos, act.Pos
			sim.pending = ""
		case flight.ActionChoose, flight.ActionRequestRetry, flight.ActionBackoff:
			sim.pending = act.Kind
		}
	}
}

func (sim *simulation) mayHaveRun() []core.AttemptID {
	var out []core.AttemptID
	for _, id := range sim.attempts {
		if sim.mayRun[id] {
			out = append(out, id)
		}
	}
	return out
}

// attemptEvent returns a random event of the current attempt, valid or not.
func (sim *simulation) attemptEvent() flight.Event {
	id := sim.attempts[len(sim.attempts)-1]
	switch rapid.SampledFrom([]string{"head", "chunk", "chunk", "chunk", "gap", "twice", "end", "short", "broken", "notrun", "reply"}).Draw(sim.rt, "answer") {
	case "head":
		return flight.Event{Kind: flight.EventHead, Attempt: id}
	case "chunk":
		sim.nextPos++
		return flight.Event{Kind: flight.EventChunk, Attempt: id, Pos: sim.nextPos - 1, Text: tokenText(sim.nextPos - 1)}
	case "gap":
		return flight.Event{Kind: flight.EventChunk, Attempt: id, Pos: sim.nextPos + 1, Text: tokenText(sim.nextPos + 1)}
	case "twice":
		return flight.Event{Kind: flight.EventChunk, Attempt: id, Pos: sim.nextPos - 1, Text: tokenText(sim.nextPos - 1)}
	case "end":
		return flight.Event{Kind: flight.EventEnd, Attempt: id, Tokens: sim.nextPos}
	case "short":
		return flight.Event{Kind: flight.EventEnd, Attempt: id, Tokens: sim.nextPos + 1}
	case "notrun":
		if sim.nextPos > sim.startPos {
			return flight.Event{Kind: flight.EventFailed, Attempt: id, Code: core.CodeCutAnswer}
		}
		sim.mayRun[id] = false
		return flight.Event{Kind: flight.EventNotRun, Attempt: id, Code: core.CodeRefused}
	case "reply":
		return flight.Event{Kind: flight.EventReply, Attempt: id, Reply: &core.Reply{Attempt: id}}
	}
	code := rapid.SampledFrom([]core.Code{core.CodeSilent, core.CodeCutAnswer, core.CodeDialFailed, core.CodeOK}).Draw(sim.rt, "code")
	return flight.Event{Kind: flight.EventFailed, Attempt: id, Code: code}
}

// lateEvent returns an event of an attempt that has ended or never existed.
func (sim *simulation) lateEvent() flight.Event {
	id := core.AttemptID("stranger")
	if len(sim.attempts) > 1 {
		id = sim.attempts[0]
	}
	kind := rapid.SampledFrom([]flight.EventKind{flight.EventChunk, flight.EventEnd, flight.EventReply, flight.EventNotRun, flight.EventHead}).Draw(sim.rt, "late")
	return flight.Event{Kind: kind, Attempt: id, Pos: sim.nextPos, Tokens: sim.nextPos, Text: "late", Reply: &core.Reply{}, Code: core.CodeRefused}
}

// pendingEvent returns a random response to the action that the machine is
// waiting for.
func (sim *simulation) pendingEvent() flight.Event {
	grant := rapid.IntRange(0, 4).Draw(sim.rt, "yes") > 0
	switch {
	case sim.pending == flight.ActionChoose && grant:
		version := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(sim.rt, "version")
		group := core.GroupName(rapid.SampledFrom([]string{"g1", "g2"}).Draw(sim.rt, "group"))
		return flight.Event{Kind: flight.EventChosen, Group: group, Spec: core.Spec{Version: version}}
	case sim.pending == flight.ActionChoose:
		return flight.Event{Kind: flight.EventNoGroup, Code: core.CodeNoGroup}
	case sim.pending == flight.ActionRequestRetry && grant:
		return flight.Event{Kind: flight.EventRetryGranted, Rand: rapid.Uint64().Draw(sim.rt, "rand")}
	case sim.pending == flight.ActionRequestRetry:
		return flight.Event{Kind: flight.EventRetryDenied}
	}
	return flight.Event{Kind: flight.EventBackoffOver}
}

func (sim *simulation) run() {
	sim.step(flight.Event{Kind: flight.EventStart})
	for num := 0; num < 60 && !sim.machine.Done(); num++ {
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(sim.rt, "ms")) * time.Millisecond)
		roll := rapid.IntRange(0, 19).Draw(sim.rt, "dice")
		switch {
		case roll == 0:
			sim.step(flight.Event{Kind: flight.EventCallerGone})
		case roll < 4:
			sim.step(sim.lateEvent())
		case sim.pending != "":
			sim.step(sim.pendingEvent())
		default:
			sim.step(sim.attemptEvent())
		}
	}
	sim.step(flight.Event{Kind: flight.EventDeadline})
}

// check compares what the machine delivered and returned with what happened.
func (sim *simulation) check() {
	rt := sim.rt
	assert.Equal(rt, len(sim.finishCodes), 1)
	code := sim.finishCodes[0]
	assert.Assert(rt, len(sim.attempts) <= sim.limits.MaxAttempts)
	if sim.limits.Retry == flight.RetryNever {
		assert.Assert(rt, len(sim.attempts) <= 1, "dispatched more than once")
	}
	if code.NotRun() {
		assert.Equal(rt, len(sim.mayHaveRun()), 0, "code %d although %v may have run", code, sim.mayHaveRun())
	}
	next := sim.limits.StartPos
	for num, part := range sim.parts {
		if part.End {
			assert.Equal(rt, num, len(sim.parts)-1, "part after the last part")
			assert.Equal(rt, code, core.CodeOK)
			continue
		}
		assert.Equal(rt, part.Pos, next)
		assert.Equal(rt, part.Text, tokenText(next))
		next++
	}
}

func TestRandomInterleavings(t *testing.T) {
	ended, resumed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		limits := flight.Limits{
			MaxAttempts:  rapid.IntRange(1, 4).Draw(rt, "attempts"),
			Retry:        rapid.SampledFrom([]flight.RetryPolicy{flight.RetryAlways, flight.RetryIfNotRun, flight.RetryNever}).Draw(rt, "repeat"),
			Deadline:     startTime.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "deadline")) * time.Millisecond),
			StartPos:     rapid.IntRange(0, 3).Draw(rt, "from"),
			AllowForward: rapid.Bool().Draw(rt, "forward"),
			Streaming:    rapid.Bool().Draw(rt, "stream"),
		}
		sim := &simulation{rt: rt, limits: limits, now: startTime, mayRun: map[core.AttemptID]bool{}, machine: flight.New("r", limits)}
		sim.run()
		sim.check()
		if sim.finishCodes[0] == core.CodeOK {
			ended++
		}
		if len(sim.parts) > 0 && len(sim.attempts) > 1 {
			resumed++
		}
	})
	assert.Assert(t, ended > 0 && resumed > 0, "the interleavings do not cover both cases: %d completed, %d resumed", ended, resumed)
}

func TestRetryBudget(t *testing.T) {
	budget := flight.NewRetryBudget(startTime)
	taken := 0
	for budget.Take(startTime) {
		taken++
	}
	assert.Assert(t, taken > 0)
	for range 100 {
		budget.AddRequest(0.125, startTime)
	}
	got := 0
	for budget.Take(startTime) {
		got++
	}
	assert.Equal(t, got, 12)
	assert.Assert(t, budget.Take(startTime.Add(time.Second)), "the constant rate must be granted without requests")
	assert.Assert(t, !budget.Take(startTime), "an earlier time must not refill the budget")
}

func ExampleMachine() {
	sm := flight.New("req", flight.Limits{MaxAttempts: 2, Retry: flight.RetryAlways, Deadline: startTime.Add(time.Second)})
	for _, evt := range []flight.Event{
		{Kind: flight.EventStart},
		{Kind: flight.EventChosen, Group: "s1"},
		{Kind: flight.EventNotRun, Attempt: "req.1", Code: core.CodeRefused},
		{Kind: flight.EventRetryDenied},
	} {
		for _, act := range sm.Step(evt, startTime) {
			fmt.Println(evt.Kind, "->", act.Kind, act.Code)
		}
	}
	// Output:
	// start -> choose 0
	// chosen -> dispatch 0
	// not_run -> retry 0
	// denied -> finish 117
}
