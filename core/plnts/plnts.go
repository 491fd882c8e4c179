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

// Fault is a fault of the service. It takes effect when it is set.
type Fault string

// Faults.
const (
	FaultNone           Fault = "none"
	FaultDown           Fault = "down"
	FaultRefuse         Fault = "refuse"
	FaultStall          Fault = "freeze"
	FaultStallOpenConns Fault = "stalled open connections"
	FaultWrongAttempt   Fault = "crossed"
	FaultShortBody      Fault = "short body"
	FaultLostResponse   Fault = "lost response"
)

// Fixture is a service and its faults.
type Fixture struct {
	Server   core.PlainServer
	SetFault func(fault Fault)
	// RunCount returns the number of times that the service ran the attempt.
	RunCount func(id core.AttemptID) int
}

// Test runs every case, each on a new fixture.
func Test(t *testing.T, fixture func(t *testing.T) Fixture) {
	t.Helper()
	tests := []struct {
		fault    Fault
		wantCode core.Code
		wantRuns int
	}{
		{FaultNone, core.CodeOK, 1},
		{FaultDown, core.CodeUnknownOutcome, 0},
		{FaultRefuse, core.CodeRefused, 0},
		{FaultStall, core.CodeSilent, 0},
		{FaultStallOpenConns, core.CodeSilent, 0},
		{FaultWrongAttempt, core.CodeCrossedAnswer, 1},
		{FaultShortBody, core.CodeCutAnswer, 1},
		{FaultLostResponse, core.CodeUnknownOutcome, 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			f := fixture(t)
			failOnError(t, checkComplete(ctx, f, "before"))
			f.SetFault(tt.fault)
			_, err := f.Server.Call(ctx, newCall("under"))
			if core.CodeOf(err) != tt.wantCode || f.RunCount("under") != tt.wantRuns {
				t.Fatalf("got code %d (%v) and %d runs, want %d and %d",
					core.CodeOf(err), err, f.RunCount("under"), tt.wantCode, tt.wantRuns)
			}
			if tt.fault != FaultStallOpenConns {
				f.SetFault(FaultNone)
			}
			failOnError(t, checkComplete(ctx, f, "after"))
		})
	}
	t.Run("cancelled context", func(t *testing.T) {
		f := fixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := f.Server.Call(ctx, newCall("ended"))
		if !core.CodeOf(err).NotRun() || f.RunCount("ended") != 0 {
			t.Fatalf("want not run, got %v", err)
		}
	})
}

func failOnError(t *testing.T, err error) {
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

func checkComplete(ctx context.Context, f Fixture, id core.AttemptID) error {
	reply, err := f.Server.Call(ctx, newCall(id))
	if err != nil {
		return fmt.Errorf("attempt %s: %w", id, err)
	}
	if reply.Attempt != id || reply.Status != http.StatusOK || len(reply.Body) == 0 || f.RunCount(id) != 1 {
		return fmt.Errorf("attempt %s: reply %+v, %d runs", id, reply, f.RunCount(id))
	}
	return nil
}
