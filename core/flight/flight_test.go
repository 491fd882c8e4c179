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

var begin = time.Unix(1000, 0)

func TestGuard(t *testing.T) {
	head := core.Chunk{Attempt: "a", Head: true}
	tok := func(pos int) core.Chunk { return core.Chunk{Attempt: "a", Pos: pos, Text: "x"} }
	end := core.Chunk{Attempt: "a", Pos: 5, End: true, Tokens: 5}
	tests := []struct {
		name string
		chks []core.Chunk
		want core.Code
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
			grd := flight.NewGuard("a", 3)
			for _, chk := range tt.chks[:len(tt.chks)-1] {
				assert.NilError(t, grd.Check(chk))
			}
			assert.Equal(t, core.CodeOf(grd.Check(tt.chks[len(tt.chks)-1])), tt.want)
			assert.Equal(t, grd.Ended(), tt.want == core.CodeOK || tt.name == "after the end")
		})
	}
}

func TestReplay(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 5)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			fil, err := os.Open(name)
			assert.NilError(t, err)
			defer func() { _ = fil.Close() }()
			got, want, err := flight.Replay(fil)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}

// world drives a machine with random events and keeps what truly happened.
type world struct {
	rt     *rapid.T
	mac    *flight.Machine
	lim    flight.Limits
	now    time.Time
	ids    []core.AttemptID
	mayRun map[core.AttemptID]bool
	pos    int
	next   int
	parts  []core.Part
	finish []core.Code
	want   flight.ActionKind
}

func token(pos int) string { return "t" + strconv.Itoa(pos) }

func (wld *world) step(ev flight.Event) {
	was := wld.mac.Done()
	acts := wld.mac.Step(ev, wld.now)
	assert.Assert(wld.rt, !was || len(acts) == 0, "action after the end")
	for _, act := range acts {
		switch act.Kind {
		case flight.ActionPass:
			wld.parts = append(wld.parts, act.Part)
		case flight.ActionFinish:
			wld.finish = append(wld.finish, act.Code)
		case flight.ActionDispatch, flight.ActionForward:
			if wld.lim.Repeat == flight.RepeatNotRun {
				assert.Assert(wld.rt, len(wld.ran()) == 0, "sent again though it may have run")
			}
			wld.ids = append(wld.ids, act.Attempt)
			wld.mayRun[act.Attempt] = true
			wld.pos, wld.next = act.Pos, act.Pos
			wld.want = ""
		case flight.ActionChoose, flight.ActionRetry, flight.ActionWait:
			wld.want = act.Kind
		}
	}
}

func (wld *world) ran() []core.AttemptID {
	var out []core.AttemptID
	for _, id := range wld.ids {
		if wld.mayRun[id] {
			out = append(out, id)
		}
	}
	return out
}

// answer makes an event of the current attempt, as a server may send it.
func (wld *world) answer() flight.Event {
	id := wld.ids[len(wld.ids)-1]
	switch rapid.SampledFrom([]string{"head", "chunk", "chunk", "chunk", "gap", "twice", "end", "short", "broken", "notrun", "reply"}).Draw(wld.rt, "answer") {
	case "head":
		return flight.Event{Kind: flight.EventHead, Attempt: id}
	case "chunk":
		wld.next++
		return flight.Event{Kind: flight.EventChunk, Attempt: id, Pos: wld.next - 1, Text: token(wld.next - 1)}
	case "gap":
		return flight.Event{Kind: flight.EventChunk, Attempt: id, Pos: wld.next + 1, Text: token(wld.next + 1)}
	case "twice":
		return flight.Event{Kind: flight.EventChunk, Attempt: id, Pos: wld.next - 1, Text: token(wld.next - 1)}
	case "end":
		return flight.Event{Kind: flight.EventEnd, Attempt: id, Tokens: wld.next}
	case "short":
		return flight.Event{Kind: flight.EventEnd, Attempt: id, Tokens: wld.next + 1}
	case "notrun":
		if wld.next > wld.pos {
			return flight.Event{Kind: flight.EventBroken, Attempt: id, Code: core.CodeCutAnswer}
		}
		wld.mayRun[id] = false
		return flight.Event{Kind: flight.EventNotRun, Attempt: id, Code: core.CodeRefused}
	case "reply":
		return flight.Event{Kind: flight.EventReply, Attempt: id, Reply: &core.Reply{Attempt: id}}
	}
	code := rapid.SampledFrom([]core.Code{core.CodeSilent, core.CodeCutAnswer, core.CodeDialFailed, core.CodeOK}).Draw(wld.rt, "code")
	return flight.Event{Kind: flight.EventBroken, Attempt: id, Code: code}
}

// late makes an event of an attempt that is over, or of none.
func (wld *world) late() flight.Event {
	id := core.AttemptID("stranger")
	if len(wld.ids) > 1 {
		id = wld.ids[0]
	}
	kind := rapid.SampledFrom([]flight.EventKind{flight.EventChunk, flight.EventEnd, flight.EventReply, flight.EventNotRun, flight.EventHead}).Draw(wld.rt, "late")
	return flight.Event{Kind: kind, Attempt: id, Pos: wld.next, Tokens: wld.next, Text: "late", Reply: &core.Reply{}, Code: core.CodeRefused}
}

// ask answers what the machine asked for.
func (wld *world) ask() flight.Event {
	yes := rapid.IntRange(0, 4).Draw(wld.rt, "yes") > 0
	switch {
	case wld.want == flight.ActionChoose && yes:
		ver := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(wld.rt, "version")
		grp := core.GroupName(rapid.SampledFrom([]string{"g1", "g2"}).Draw(wld.rt, "group"))
		return flight.Event{Kind: flight.EventChosen, Group: grp, Spec: core.Spec{Version: ver}}
	case wld.want == flight.ActionChoose:
		return flight.Event{Kind: flight.EventNoGroup, Code: core.CodeNoGroup}
	case wld.want == flight.ActionRetry && yes:
		return flight.Event{Kind: flight.EventGranted, Rand: rapid.Uint64().Draw(wld.rt, "rand")}
	case wld.want == flight.ActionRetry:
		return flight.Event{Kind: flight.EventDenied}
	}
	return flight.Event{Kind: flight.EventWaited}
}

func (wld *world) run() {
	wld.step(flight.Event{Kind: flight.EventStart})
	for num := 0; num < 60 && !wld.mac.Done(); num++ {
		wld.now = wld.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(wld.rt, "ms")) * time.Millisecond)
		dice := rapid.IntRange(0, 19).Draw(wld.rt, "dice")
		switch {
		case dice == 0:
			wld.step(flight.Event{Kind: flight.EventGone})
		case dice < 4:
			wld.step(wld.late())
		case wld.want != "":
			wld.step(wld.ask())
		default:
			wld.step(wld.answer())
		}
	}
	wld.step(flight.Event{Kind: flight.EventDeadline})
}

// check holds what was passed on and stated against what happened.
func (wld *world) check() {
	rt := wld.rt
	assert.Equal(rt, len(wld.finish), 1)
	code := wld.finish[0]
	assert.Assert(rt, len(wld.ids) <= wld.lim.Attempts)
	if wld.lim.Repeat == flight.RepeatNever {
		assert.Assert(rt, len(wld.ids) <= 1, "dispatched more than once")
	}
	if code.NotRun() {
		assert.Equal(rt, len(wld.ran()), 0, "code %d though %v may have run", code, wld.ran())
	}
	next := wld.lim.From
	for num, prt := range wld.parts {
		if prt.End {
			assert.Equal(rt, num, len(wld.parts)-1, "part after the end")
			assert.Equal(rt, code, core.CodeOK)
			continue
		}
		assert.Equal(rt, prt.Pos, next)
		assert.Equal(rt, prt.Text, token(next))
		next++
	}
}

func TestRandomInterleavings(t *testing.T) {
	ended, resumed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		lim := flight.Limits{
			Attempts: rapid.IntRange(1, 4).Draw(rt, "attempts"),
			Repeat:   rapid.SampledFrom([]flight.Repeat{flight.RepeatAlways, flight.RepeatNotRun, flight.RepeatNever}).Draw(rt, "repeat"),
			Deadline: begin.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "deadline")) * time.Millisecond),
			From:     rapid.IntRange(0, 3).Draw(rt, "from"),
			Forward:  rapid.Bool().Draw(rt, "forward"),
			Stream:   rapid.Bool().Draw(rt, "stream"),
		}
		wld := &world{rt: rt, lim: lim, now: begin, mayRun: map[core.AttemptID]bool{}, mac: flight.New("r", lim)}
		wld.run()
		wld.check()
		if wld.finish[0] == core.CodeOK {
			ended++
		}
		if len(wld.parts) > 0 && len(wld.ids) > 1 {
			resumed++
		}
	})
	assert.Assert(t, ended > 0 && resumed > 0, "the interleavings reach neither: ended %d, resumed %d", ended, resumed)
}

func TestBudget(t *testing.T) {
	bud := flight.NewBudget(begin)
	taken := 0
	for bud.Take(begin) {
		taken++
	}
	assert.Assert(t, taken > 0)
	for range 100 {
		bud.Note(0.125, begin)
	}
	got := 0
	for bud.Take(begin) {
		got++
	}
	assert.Equal(t, got, 12)
	assert.Assert(t, bud.Take(begin.Add(time.Second)), "a small rate is granted in any case")
	assert.Assert(t, !bud.Take(begin), "time does not run backwards")
}

func ExampleMachine() {
	mac := flight.New("req", flight.Limits{Attempts: 2, Repeat: flight.RepeatAlways, Deadline: begin.Add(time.Second)})
	for _, ev := range []flight.Event{
		{Kind: flight.EventStart},
		{Kind: flight.EventChosen, Group: "s1"},
		{Kind: flight.EventNotRun, Attempt: "req.1", Code: core.CodeRefused},
		{Kind: flight.EventDenied},
	} {
		for _, act := range mac.Step(ev, begin) {
			fmt.Println(ev.Kind, "->", act.Kind, act.Code)
		}
	}
	// Output:
	// start -> choose 0
	// chosen -> dispatch 0
	// not_run -> retry 0
	// denied -> finish 117
}
