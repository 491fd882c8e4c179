package plnts

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"kumquathinge/core"
)

const (
	caseTimeout = 20 * time.Second
	callTimeout = 200 * time.Millisecond
)

// Fault is what the service does wrong from the moment on at which it is set.
type Fault string

// Faults.
const (
	FaultNone      Fault = "none"
	FaultDown      Fault = "down"
	FaultRefuse    Fault = "refuse"
	FaultFreeze    Fault = "freeze"
	FaultSilentOld Fault = "silent old"
	FaultCrossed   Fault = "crossed"
	FaultShort     Fault = "short body"
	FaultLost      Fault = "lost answer"
)

// Fixture is a service and its faults.
type Fixture struct {
	Plain core.PlainServer
	Set   func(flt Fault)
	// Ran returns how often the service ran the attempt.
	Ran func(id core.AttemptID) int
}

// Test runs every case on a fixture of its own.
func Test(t *testing.T, fixture func(t *testing.T) Fixture) {
	t.Helper()
	tests := []struct {
		flt  Fault
		want core.Code
		ran  int
	}{
		{FaultNone, core.CodeOK, 1},
		{FaultDown, core.CodeUnknownOutcome, 0},
		{FaultRefuse, core.CodeRefused, 0},
		{FaultFreeze, core.CodeSilent, 0},
		{FaultSilentOld, core.CodeSilent, 0},
		{FaultCrossed, core.CodeCrossedAnswer, 1},
		{FaultShort, core.CodeCutAnswer, 1},
		{FaultLost, core.CodeUnknownOutcome, 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.flt), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			fix := fixture(t)
			check(t, whole(ctx, fix, "before"))
			fix.Set(tt.flt)
			_, err := fix.Plain.Call(ctx, newCall("under"))
			if core.CodeOf(err) != tt.want || fix.Ran("under") != tt.ran {
				t.Fatalf("got code %d (%v) and %d runs, want %d and %d",
					core.CodeOf(err), err, fix.Ran("under"), tt.want, tt.ran)
			}
			if tt.flt != FaultSilentOld {
				fix.Set(FaultNone)
			}
			check(t, whole(ctx, fix, "after"))
		})
	}
	t.Run("end of context", func(t *testing.T) {
		fix := fixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := fix.Plain.Call(ctx, newCall("ended"))
		if !core.CodeOf(err).NotRun() || fix.Ran("ended") != 0 {
			t.Fatalf("want not run, got %v", err)
		}
	})
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newCall(id core.AttemptID) core.Call {
	return core.Call{
		Attempt: id,
		Method:  http.MethodPost,
		Path:    "/charges",
		Type:    "application/json",
		Body:    []byte(`{"fee":5}`),
		Timeout: callTimeout,
	}
}

func whole(ctx context.Context, fix Fixture, id core.AttemptID) error {
	rep, err := fix.Plain.Call(ctx, newCall(id))
	if err != nil {
		return fmt.Errorf("attempt %s: %w", id, err)
	}
	if rep.Attempt != id || rep.Status != http.StatusOK || len(rep.Body) == 0 || fix.Ran(id) != 1 {
		return fmt.Errorf("attempt %s: reply %+v, %d runs", id, rep, fix.Ran(id))
	}
	return nil
}
