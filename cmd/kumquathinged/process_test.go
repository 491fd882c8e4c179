package main_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// program is the daemon, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "kumquathinged")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program, err = nodets.Build(dir, "kumquathinge/cmd/kumquathinged")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// settled reports whether the response is final: the charge completed, or its
// outcome is permanently unknown.
func settled(res nodets.Response) bool {
	return res.Complete || res.Code == core.CodeUnknownOnce
}

// TestProcessesUnderKillsAndFreezes kills and suspends entry VMs while charges
// and streams are in progress at the first one. The caller resends every charge
// through other entry VMs until its outcome is settled. The service must run
// each charge at most once, and exactly once if it was answered, and no
// incomplete stream may end as complete.
func TestProcessesUnderKillsAndFreezes(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(sys *nodets.System)
		restore func(sys *nodets.System)
	}{
		{
			name:  "holder killed",
			fault: func(sys *nodets.System) { sys.EntryVMs[0].Kill() },
		},
		{
			name:    "holder frozen",
			fault:   func(sys *nodets.System) { sys.EntryVMs[0].Suspend() },
			restore: func(sys *nodets.System) { sys.EntryVMs[0].Resume() },
		},
		{
			name: "holder frozen and another killed",
			fault: func(sys *nodets.System) {
				sys.EntryVMs[0].Suspend()
				sys.EntryVMs[3].Kill()
			},
			restore: func(sys *nodets.System) { sys.EntryVMs[0].Resume() },
		},
		{
			name: "holder killed while answers of the log are lost",
			fault: func(sys *nodets.System) {
				sys.Log.SetFault(stand.LogFault{Fault: stand.Fault{LoseAnswers: 2}})
				sys.EntryVMs[0].Kill()
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sys := nodets.Start(t, nodets.Config{
				Program: program,
				Engine:  stand.EngineConfig{TokenTime: 5 * time.Millisecond},
			})
			sys.Plain.SetFault(stand.PlainFault{RunTime: stand.Span(300 * time.Millisecond)})
			issuedAt := time.Now()
			finish := startRequests(sys, issuedAt)
			tt.fault(sys)
			answered := resendUntilSettled(sys, issuedAt)
			if tt.restore != nil {
				tt.restore(sys)
			}
			for _, res := range finish() {
				assert.Assert(t, !res.Complete || res.Text == stand.Answer("stream", streamTokens), "%+v", res)
			}
			checkRuns(t, sys, answered)
		})
	}
}

// Number of concurrent charges and of streams, and length of a stream.
const (
	chargeCount  = 6
	streamTokens = 200
)

// chargeBody returns the body of a charge.
func chargeBody(idx int) string { return fmt.Sprintf("charge %d", idx) }

// startRequests sends charges and streams through the first entry VM and returns
// once the service has started to run charges. The returned function cancels the
// requests and returns the responses of the streams.
func startRequests(sys *nodets.System, issuedAt time.Time) func() []nodets.Response {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for idx := range chargeCount {
		wg.Go(func() { sys.Charge(ctx, sys.EntryVMs[0], chargeBody(idx), chargeBody(idx), issuedAt) })
	}
	responses := make([]nodets.Response, chargeCount)
	for idx := range responses {
		wg.Go(func() { responses[idx] = sys.Complete(ctx, sys.EntryVMs[0], "stream", streamTokens, nil) })
	}
	sys.Await(func(poll.LogT) poll.Result {
		if count := sys.Plain.Count().Total; count == 0 {
			return poll.Continue("no charge has run")
		}
		return poll.Success()
	})
	return func() []nodets.Response {
		cancel()
		wg.Wait()
		return responses
	}
}

// resendUntilSettled sends each charge alternately through the second and third
// entry VM until it is settled, and returns which charges completed.
func resendUntilSettled(sys *nodets.System, issuedAt time.Time) []bool {
	answered := make([]bool, chargeCount)
	for idx := range chargeCount {
		attempt := 0
		sys.Await(func(poll.LogT) poll.Result {
			attempt++
			res := sys.Charge(context.Background(), sys.EntryVMs[1+attempt%2], chargeBody(idx), chargeBody(idx), issuedAt)
			if !settled(res) {
				return poll.Continue("%s: %+v", chargeBody(idx), res)
			}
			answered[idx] = res.Complete
			return poll.Success()
		})
	}
	return answered
}

// checkRuns compares the service's run counts with the responses to callers.
func checkRuns(t *testing.T, sys *nodets.System, answered []bool) {
	t.Helper()
	cnt := sys.Plain.Count()
	for idx := range chargeCount {
		runs := cnt.ByBody[chargeBody(idx)]
		assert.Assert(t, runs <= 1, "%s ran %d times", chargeBody(idx), runs)
		assert.Assert(t, !answered[idx] || runs == 1, "%s was answered and ran %d times", chargeBody(idx), runs)
	}
}
