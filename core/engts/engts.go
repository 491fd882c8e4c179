package engts

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquathinge/core"
)

const (
	caseTimeout = 20 * time.Second
	maxTokens   = 8
	prompt      = "a lost dog in Miraflores"
)

// Fault is what the engine does wrong from the moment on at which it is set.
type Fault string

// Faults.
const (
	FaultNone Fault = "none"
	// FaultDown refuses connections.
	FaultDown Fault = "down"
	// FaultRefuse answers that the request did not run.
	FaultRefuse Fault = "refuse"
	// FaultFreeze accepts requests and says nothing.
	FaultFreeze Fault = "freeze"
	// FaultSilentOld does so on connections that are open now.
	FaultSilentOld Fault = "silent old"
	// FaultCrossed echoes another attempt.
	FaultCrossed Fault = "crossed"
	// FaultCut breaks the connection behind position 2.
	FaultCut Fault = "cut"
	// FaultNoEnd ends the answer without its last chunk.
	FaultNoEnd Fault = "no end"
	// FaultGap leaves out the token at position 3.
	FaultGap Fault = "gap"
	// FaultCrash ends the process when it has taken a request.
	FaultCrash Fault = "crash"
)

// Fixture is an engine that is ready, as rank 0 of its group, and its faults.
type Fixture struct {
	Engine core.Engine
	Set    func(flt Fault)
	// Ran returns how often the engine began to run the attempt.
	Ran func(id core.AttemptID) int
	// Tokens returns the tokens that the engine answers to a prompt.
	Tokens func(prompt string, num int) []string
	// Fencing is set if the engine refuses old order numbers.
	Fencing bool
}

// outcome is what a whole attempt came to.
type outcome struct {
	text []string
	end  core.Chunk
	err  error
}

// Test runs every case on a fixture of its own.
func Test(t *testing.T, fixture func(t *testing.T) Fixture) {
	t.Helper()
	for _, cas := range faultCases() {
		t.Run(string(cas.flt), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			check(t, cas.run(ctx, fixture(t)))
		})
	}
	for name, run := range plainCases() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			check(t, run(ctx, fixture(t)))
		})
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// faultCase states the code of a request under a fault, how often it ran, and
// how many tokens came before.
type faultCase struct {
	flt  Fault
	want core.Code
	ran  int
	toks int
}

func faultCases() []faultCase {
	return []faultCase{
		{FaultNone, core.CodeOK, 1, maxTokens},
		{FaultDown, core.CodeDialFailed, 0, 0},
		{FaultRefuse, core.CodeRefused, 0, 0},
		{FaultFreeze, core.CodeSilent, 0, 0},
		{FaultSilentOld, core.CodeSilent, 0, 0},
		{FaultCrossed, core.CodeCrossedAnswer, 1, 0},
		{FaultCut, core.CodeCutAnswer, 1, 2},
		{FaultNoEnd, core.CodeCutAnswer, 1, maxTokens},
		{FaultGap, core.CodeCutAnswer, 1, 3},
		{FaultCrash, core.CodeUnknownOutcome, 1, 0},
	}
}

// run sends a request before the fault, one under it and one after it.
func (cas faultCase) run(ctx context.Context, fix Fixture) error {
	err := whole(ctx, fix, "before")
	if err != nil {
		return err
	}
	prb, err := fix.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	err = overlap(ctx, fix, prb)
	if err != nil {
		return err
	}
	fix.Set(cas.flt)
	out := generate(ctx, fix, prb, "under", 0)
	switch {
	case core.CodeOf(out.err) != cas.want:
		return fmt.Errorf("got code %d (%w), want %d", core.CodeOf(out.err), orNil(out.err), cas.want)
	case fix.Ran("under") != cas.ran:
		return fmt.Errorf("the engine ran the attempt %d times, want %d", fix.Ran("under"), cas.ran)
	case !prefixOf(out.text, fix) || len(out.text) != cas.toks:
		return fmt.Errorf("got tokens %q, want the first %d", out.text, cas.toks)
	}
	if cas.flt == FaultCrash {
		return nil
	}
	if cas.flt == FaultSilentOld {
		return generate(ctx, fix, prb, "fresh", 0).err
	}
	fix.Set(FaultNone)
	return whole(ctx, fix, "after")
}

func orNil(err error) error {
	if err == nil {
		return fmt.Errorf("no error")
	}
	return err
}

// overlap runs two attempts at a time, so that more than one connection is
// open behind it.
func overlap(ctx context.Context, fix Fixture, prb core.ProbeResult) error {
	gen := core.GenerateRequest{Attempt: "one", Group: prb.Group, FencingToken: prb.FencingToken, Prompt: prompt, MaxTokens: maxTokens}
	stm, err := fix.Engine.Generate(ctx, gen)
	if err != nil {
		return err
	}
	defer func() { _ = stm.Close() }()
	err = whole(ctx, fix, "two")
	for end := false; err == nil && !end; {
		var chk core.Chunk
		chk, err = stm.Next(ctx)
		end = chk.End
	}
	return err
}

// generate runs one attempt to its end or its first error.
func generate(ctx context.Context, fix Fixture, prb core.ProbeResult, id core.AttemptID, from int) outcome {
	out := outcome{}
	gen := core.GenerateRequest{Attempt: id, Request: string(id), Prompt: prompt, MaxTokens: maxTokens, StartPos: from}
	gen.Group, gen.FencingToken = prb.Group, prb.FencingToken
	stm, err := fix.Engine.Generate(ctx, gen)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = stm.Close() }()
	for !out.end.End {
		chk, err := stm.Next(ctx)
		if err != nil {
			out.err = err
			return out
		}
		if chk.End {
			out.end = chk
		} else if !chk.Head {
			out.text = append(out.text, chk.Text)
		}
	}
	return out
}

func prefixOf(text []string, fix Fixture) bool {
	all := fix.Tokens(prompt, maxTokens)
	return len(text) <= len(all) && strings.Join(text, "") == strings.Join(all[:len(text)], "")
}

func whole(ctx context.Context, fix Fixture, id core.AttemptID) error {
	prb, err := fix.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	out := generate(ctx, fix, prb, id, 0)
	if out.err != nil {
		return fmt.Errorf("attempt %s: %w", id, out.err)
	}
	if len(out.text) != maxTokens || !prefixOf(out.text, fix) || out.end.Tokens != maxTokens {
		return fmt.Errorf("attempt %s: got %q, end %+v", id, out.text, out.end)
	}
	return nil
}

func plainCases() map[string]func(ctx context.Context, fix Fixture) error {
	return map[string]func(ctx context.Context, fix Fixture) error{
		"resumes at a position": func(ctx context.Context, fix Fixture) error {
			prb, err := fix.Engine.Probe(ctx)
			if err != nil {
				return err
			}
			out := generate(ctx, fix, prb, "resumed", 5)
			if out.err != nil || strings.Join(out.text, "") != strings.Join(fix.Tokens(prompt, maxTokens)[5:], "") {
				return fmt.Errorf("got %q, %w", out.text, orNil(out.err))
			}
			return nil
		},
		"refuses another group": func(ctx context.Context, fix Fixture) error {
			_, err := fix.Engine.Generate(ctx, core.GenerateRequest{Attempt: "other", Group: "no such group", Prompt: prompt})
			if core.CodeOf(err) != core.CodeRefused || fix.Ran("other") != 0 {
				return fmt.Errorf("want a refusal, got %w", orNil(err))
			}
			return nil
		},
		"probe over a silent old connection": func(ctx context.Context, fix Fixture) error {
			_, err := fix.Engine.Probe(ctx)
			if err != nil {
				return err
			}
			fix.Set(FaultSilentOld)
			_, err = fix.Engine.Probe(ctx)
			return err
		},
		"cancel ends a stream": cancelCase,
		"old order":            orderCase,
		"end of context": func(ctx context.Context, fix Fixture) error {
			ended, cancel := context.WithCancel(ctx)
			cancel()
			_, err := fix.Engine.Generate(ended, core.GenerateRequest{Attempt: "ended", Prompt: prompt})
			if !core.CodeOf(err).NotRun() || fix.Ran("ended") != 0 {
				return fmt.Errorf("want not run, got %w", orNil(err))
			}
			return nil
		},
	}
}

// cancelCase cancels an attempt: it must never end as a whole answer.
func cancelCase(ctx context.Context, fix Fixture) error {
	prb, err := fix.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	gen := core.GenerateRequest{Attempt: "gone", Group: prb.Group, FencingToken: prb.FencingToken, Prompt: prompt, MaxTokens: 1 << 12}
	stm, err := fix.Engine.Generate(ctx, gen)
	if err != nil {
		return err
	}
	defer func() { _ = stm.Close() }()
	err = fix.Engine.Cancel(ctx, "gone")
	if err != nil {
		return err
	}
	for err == nil {
		chk, nerr := stm.Next(ctx)
		if nerr == nil && chk.End {
			return fmt.Errorf("a cancelled answer ended as whole: %+v", chk)
		}
		err = nerr
	}
	if core.CodeOf(err).NotRun() || core.CodeOf(err) == core.CodeSilent {
		return fmt.Errorf("want a cut answer, got %w", err)
	}
	return nil
}

func orderCase(ctx context.Context, fix Fixture) error {
	prb, err := fix.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	ord := core.Order{FencingToken: prb.FencingToken, Action: core.ActionUnload, Group: prb.Group}
	if fix.Fencing {
		ord.FencingToken--
		_, err = fix.Engine.Order(ctx, ord)
		if core.CodeOf(err) != core.CodeStaleOrder {
			return fmt.Errorf("want a stale order, got %w", orNil(err))
		}
	}
	ord.FencingToken = prb.FencingToken + 1
	_, err = fix.Engine.Order(ctx, ord)
	return err
}
