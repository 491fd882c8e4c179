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

// Fault is a fault of the engine. It takes effect when it is set.
type Fault string

// Faults.
const (
	FaultNone Fault = "none"
	// FaultDown refuses connections.
	FaultDown Fault = "down"
	// FaultRefuse refuses requests with the response that they did not run.
	FaultRefuse Fault = "refuse"
	// FaultStall accepts requests and sends no response.
	FaultStall Fault = "freeze"
	// FaultStallOpenConns stalls requests on the currently open connections.
	FaultStallOpenConns Fault = "stalled open connections"
	// FaultWrongAttempt responds with the ID of another attempt.
	FaultWrongAttempt Fault = "crossed"
	// FaultDisconnect closes the connection after two tokens.
	FaultDisconnect Fault = "cut"
	// FaultMissingEnd ends the stream without its end chunk.
	FaultMissingEnd Fault = "missing end"
	// FaultMissingToken omits the token at position 3.
	FaultMissingToken Fault = "gap"
	// FaultCrash crashes the process when it has accepted a request.
	FaultCrash Fault = "crash"
)

// Fixture is a ready engine with rank 0 in its group, and its faults.
type Fixture struct {
	Engine   core.Engine
	SetFault func(fault Fault)
	// RunCount returns the number of times that the engine started the attempt.
	RunCount func(id core.AttemptID) int
	// ExpectedTokens returns the first n tokens that the engine generates for a
	// prompt.
	ExpectedTokens func(prompt string, n int) []string
	// Fencing is set if the engine refuses orders with a stale fencing token.
	Fencing bool
}

// result is the result of an attempt.
type result struct {
	tokens []string
	end    core.Chunk
	err    error
}

// Test runs every case, each on a new fixture.
func Test(t *testing.T, fixture func(t *testing.T) Fixture) {
	t.Helper()
	for _, tc := range faultCases() {
		t.Run(string(tc.fault), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			failOnError(t, tc.run(ctx, fixture(t)))
		})
	}
	for name, run := range otherCases() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			failOnError(t, run(ctx, fixture(t)))
		})
	}
}

func failOnError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// faultCase is the expected result of a request during a fault: its code, the
// number of times that it ran and the number of tokens received.
type faultCase struct {
	fault      Fault
	wantCode   core.Code
	wantRuns   int
	wantTokens int
}

func faultCases() []faultCase {
	return []faultCase{
		{FaultNone, core.CodeOK, 1, maxTokens},
		{FaultDown, core.CodeDialFailed, 0, 0},
		{FaultRefuse, core.CodeRefused, 0, 0},
		{FaultStall, core.CodeSilent, 0, 0},
		{FaultStallOpenConns, core.CodeSilent, 0, 0},
		{FaultWrongAttempt, core.CodeCrossedAnswer, 1, 0},
		{FaultDisconnect, core.CodeCutAnswer, 1, 2},
		{FaultMissingEnd, core.CodeCutAnswer, 1, maxTokens},
		{FaultMissingToken, core.CodeCutAnswer, 1, 3},
		{FaultCrash, core.CodeUnknownOutcome, 1, 0},
	}
}

// run sends a request before, during and after the fault.
func (tc faultCase) run(ctx context.Context, f Fixture) error {
	err := checkComplete(ctx, f, "before")
	if err != nil {
		return err
	}
	probe, err := f.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	err = runOverlapping(ctx, f, probe)
	if err != nil {
		return err
	}
	f.SetFault(tc.fault)
	res := runAttempt(ctx, f, probe, "under", 0)
	switch {
	case core.CodeOf(res.err) != tc.wantCode:
		return fmt.Errorf("got code %d (%w), want %d", core.CodeOf(res.err), nonNil(res.err), tc.wantCode)
	case f.RunCount("under") != tc.wantRuns:
		return fmt.Errorf("the engine ran the attempt %d times, want %d", f.RunCount("under"), tc.wantRuns)
	case !isPrefix(res.tokens, f) || len(res.tokens) != tc.wantTokens:
		return fmt.Errorf("got tokens %q, want the first %d", res.tokens, tc.wantTokens)
	}
	if tc.fault == FaultCrash {
		return nil
	}
	if tc.fault == FaultStallOpenConns {
		return runAttempt(ctx, f, probe, "fresh", 0).err
	}
	f.SetFault(FaultNone)
	return checkComplete(ctx, f, "after")
}

func nonNil(err error) error {
	if err == nil {
		return fmt.Errorf("no error")
	}
	return err
}

// runOverlapping runs two concurrent attempts, so that several connections are
// open afterwards.
func runOverlapping(ctx context.Context, f Fixture, probe core.ProbeResult) error {
	req := core.GenerateRequest{Attempt: "one", Group: probe.Group, FencingToken: probe.FencingToken, Prompt: prompt, MaxTokens: maxTokens}
	stream, err := f.Engine.Generate(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	err = checkComplete(ctx, f, "two")
	for end := false; err == nil && !end; {
		var chunk core.Chunk
		chunk, err = stream.Next(ctx)
		end = chunk.End
	}
	return err
}

// runAttempt runs an attempt until its end or its first error.
func runAttempt(ctx context.Context, f Fixture, probe core.ProbeResult, id core.AttemptID, startPos int) result {
	res := result{}
	req := core.GenerateRequest{Attempt: id, Request: string(id), Prompt: prompt, MaxTokens: maxTokens, StartPos: startPos}
	req.Group, req.FencingToken = probe.Group, probe.FencingToken
	stream, err := f.Engine.Generate(ctx, req)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = stream.Close() }()
	for !res.end.End {
		chunk, err := stream.Next(ctx)
		if err != nil {
			res.err = err
			return res
		}
		if chunk.End {
			res.end = chunk
		} else if !chunk.Head {
			res.tokens = append(res.tokens, chunk.Text)
		}
	}
	return res
}

func isPrefix(tokens []string, f Fixture) bool {
	expected := f.ExpectedTokens(prompt, maxTokens)
	return len(tokens) <= len(expected) && strings.Join(tokens, "") == strings.Join(expected[:len(tokens)], "")
}

func checkComplete(ctx context.Context, f Fixture, id core.AttemptID) error {
	probe, err := f.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	res := runAttempt(ctx, f, probe, id, 0)
	if res.err != nil {
		return fmt.Errorf("attempt %s: %w", id, res.err)
	}
	if len(res.tokens) != maxTokens || !isPrefix(res.tokens, f) || res.end.Tokens != maxTokens {
		return fmt.Errorf("attempt %s: got %q, end %+v", id, res.tokens, res.end)
	}
	return nil
}

func otherCases() map[string]func(ctx context.Context, f Fixture) error {
	return map[string]func(ctx context.Context, f Fixture) error{
		"resumes at a position": func(ctx context.Context, f Fixture) error {
			probe, err := f.Engine.Probe(ctx)
			if err != nil {
				return err
			}
			res := runAttempt(ctx, f, probe, "resumed", 5)
			if res.err != nil || strings.Join(res.tokens, "") != strings.Join(f.ExpectedTokens(prompt, maxTokens)[5:], "") {
				return fmt.Errorf("got %q, %w", res.tokens, nonNil(res.err))
			}
			return nil
		},
		"refuses another group": func(ctx context.Context, f Fixture) error {
			_, err := f.Engine.Generate(ctx, core.GenerateRequest{Attempt: "other", Group: "no such group", Prompt: prompt})
			if core.CodeOf(err) != core.CodeRefused || f.RunCount("other") != 0 {
				return fmt.Errorf("want a refused request, got %w", nonNil(err))
			}
			return nil
		},
		"probe with a stalled open connection": func(ctx context.Context, f Fixture) error {
			_, err := f.Engine.Probe(ctx)
			if err != nil {
				return err
			}
			f.SetFault(FaultStallOpenConns)
			_, err = f.Engine.Probe(ctx)
			return err
		},
		"cancel ends a stream": cancelCase,
		"stale order":          orderCase,
		"cancelled context": func(ctx context.Context, f Fixture) error {
			ended, cancel := context.WithCancel(ctx)
			cancel()
			_, err := f.Engine.Generate(ended, core.GenerateRequest{Attempt: "ended", Prompt: prompt})
			if !core.CodeOf(err).NotRun() || f.RunCount("ended") != 0 {
				return fmt.Errorf("want not run, got %w", nonNil(err))
			}
			return nil
		},
	}
}

// cancelCase cancels an attempt and checks that its stream never ends as
// complete.
func cancelCase(ctx context.Context, f Fixture) error {
	probe, err := f.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	req := core.GenerateRequest{Attempt: "gone", Group: probe.Group, FencingToken: probe.FencingToken, Prompt: prompt, MaxTokens: 1 << 12}
	stream, err := f.Engine.Generate(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	err = f.Engine.Cancel(ctx, "gone")
	if err != nil {
		return err
	}
	for err == nil {
		chunk, nextErr := stream.Next(ctx)
		if nextErr == nil && chunk.End {
			return fmt.Errorf("the stream of a cancelled attempt ended as complete: %+v", chunk)
		}
		err = nextErr
	}
	if core.CodeOf(err).NotRun() || core.CodeOf(err) == core.CodeSilent {
		return fmt.Errorf("want an incomplete response, got %w", err)
	}
	return nil
}

func orderCase(ctx context.Context, f Fixture) error {
	probe, err := f.Engine.Probe(ctx)
	if err != nil {
		return err
	}
	order := core.Order{FencingToken: probe.FencingToken, Action: core.ActionUnload, Group: probe.Group}
	if f.Fencing {
		order.FencingToken--
		_, err = f.Engine.Order(ctx, order)
		if core.CodeOf(err) != core.CodeStaleOrder {
			return fmt.Errorf("want a stale order, got %w", nonNil(err))
		}
	}
	order.FencingToken = probe.FencingToken + 1
	_, err = f.Engine.Order(ctx, order)
	return err
}
