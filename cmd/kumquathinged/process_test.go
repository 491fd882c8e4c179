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

// settled reports whether an answer tells for good what became of a charge.
func settled(ans nodets.Response) bool {
	return ans.Complete || ans.Code == core.CodeUnknownOnce
}

// TestProcessesUnderKillsAndFreezes kills and freezes entry VMs while each of
// them has a charge and streams in progress. The caller sends every charge
// again through the other entry VMs until its outcome is settled. The service
// counts at most one run of each, exactly one of each that was answered, and
// no stream ends as whole that is not.
func TestProcessesUnderKillsAndFreezes(t *testing.T) {
	tests := []struct {
		name  string
		fault func(sys *nodets.System)
		heal  func(sys *nodets.System)
	}{
		{
			name:  "holder killed",
			fault: func(sys *nodets.System) { sys.EntryVMs[0].Kill() },
		},
		{
			name:  "holder frozen",
			fault: func(sys *nodets.System) { sys.EntryVMs[0].Suspend() },
			heal:  func(sys *nodets.System) { sys.EntryVMs[0].Resume() },
		},
		{
			name: "holder frozen and another killed",
			fault: func(sys *nodets.System) {
				sys.EntryVMs[0].Suspend()
				sys.EntryVMs[3].Kill()
			},
			heal: func(sys *nodets.System) { sys.EntryVMs[0].Resume() },
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
			issued := time.Now()
			end := busy(sys, issued)
			tt.fault(sys)
			answered := resend(sys, issued)
			if tt.heal != nil {
				tt.heal(sys)
			}
			for _, ans := range end() {
				assert.Assert(t, !ans.Complete || ans.Text == stand.Answer("stream", tokens), "%+v", ans)
			}
			checkRuns(t, sys, answered)
		})
	}
}

// Load of the test.
const (
	charges = 6
	tokens  = 200
)

// charge returns the body of a charge.
func charge(idx int) string { return fmt.Sprintf("charge %d", idx) }

// busy sends charges and streams through the first entry VM and returns once
// the service has begun to run charges. The function that it returns waits
// for the streams and returns their answers.
func busy(sys *nodets.System, issued time.Time) func() []nodets.Response {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for idx := range charges {
		wg.Go(func() { sys.Charge(ctx, sys.EntryVMs[0], charge(idx), charge(idx), issued) })
	}
	answers := make([]nodets.Response, charges)
	for idx := range answers {
		wg.Go(func() { answers[idx] = sys.Complete(ctx, sys.EntryVMs[0], "stream", tokens, nil) })
	}
	sys.Await(func(poll.LogT) poll.Result {
		if num := sys.Plain.Count().Total; num == 0 {
			return poll.Continue("nothing ran yet")
		}
		return poll.Success()
	})
	return func() []nodets.Response {
		cancel()
		wg.Wait()
		return answers
	}
}

// resend sends each charge through the second and third entry VM until it is
// settled, and returns which were answered.
func resend(sys *nodets.System, issued time.Time) []bool {
	answered := make([]bool, charges)
	for idx := range charges {
		turn := 0
		sys.Await(func(poll.LogT) poll.Result {
			turn++
			ans := sys.Charge(context.Background(), sys.EntryVMs[1+turn%2], charge(idx), charge(idx), issued)
			if !settled(ans) {
				return poll.Continue("%s: %+v", charge(idx), ans)
			}
			answered[idx] = ans.Complete
			return poll.Success()
		})
	}
	return answered
}

// checkRuns holds the service's own count against what callers were told.
func checkRuns(t *testing.T, sys *nodets.System, answered []bool) {
	t.Helper()
	cnt := sys.Plain.Count()
	for idx := range charges {
		num := cnt.ByBody[charge(idx)]
		assert.Assert(t, num <= 1, "%s ran %d times", charge(idx), num)
		assert.Assert(t, !answered[idx] || num == 1, "%s was answered and ran %d times", charge(idx), num)
	}
}
