package serve_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/serve"
	"kumquathinge/stand"
)

var engineFaults = map[string]struct {
	fault stand.EngineFault
	// code is the result of a request if every attempt encounters the fault.
	code core.Code
}{
	"none":            {stand.EngineFault{}, core.CodeOK},
	"crossed":         {stand.EngineFault{WrongAttempt: true}, core.CodeCrossedAnswer},
	"cut":             {stand.EngineFault{CutAfter: 2}, core.CodeCutAnswer},
	"cut at the head": {stand.EngineFault{Fault: stand.Fault{Down: true}}, core.CodeUnknownOutcome},
	"no end":          {stand.EngineFault{NoEnd: true}, core.CodeCutAnswer},
	"gap":             {stand.EngineFault{GapAt: 3}, core.CodeCutAnswer},
	"frozen":          {stand.EngineFault{Fault: stand.Fault{Freeze: true}}, core.CodeSilent},
	"silent old":      {stand.EngineFault{Fault: stand.Fault{SilentOld: true}}, core.CodeOK},
	"dead":            {stand.EngineFault{Die: true}, core.CodeDialFailed},
	"refuses":         {stand.EngineFault{Fault: stand.Fault{Refuse: true}}, core.CodeRefused},
}

// TestHoldsWholeAnswer runs completions against engines whose responses are late,
// truncated, incomplete, missing, or belong to another request: the caller
// receives the complete response to its own request, or a prefix and an error.
func TestHoldsWholeAnswer(t *testing.T) {
	for name, tt := range engineFaults {
		t.Run("one engine "+name, func(t *testing.T) {
			tz := newTestZone(t)
			srv := tz.newServer("n1", "r1")
			openConnections(t, tz, srv)
			tz.engines[0].SetFault(tt.fault)
			for range 3 {
				run(t, tz, srv, completionJob(), core.CodeOK)
			}
		})
		t.Run("both engines "+name, func(t *testing.T) {
			tz := newTestZone(t)
			srv := tz.newServer("n1", "r1")
			openConnections(t, tz, srv)
			for _, eng := range tz.engines {
				eng.SetFault(tt.fault)
			}
			run(t, tz, srv, completionJob(), tt.code)
		})
	}
	t.Run("another process answers", otherProcessAnswers)
	t.Run("group lost during the response", lostGroup)
	t.Run("from a start position", func(t *testing.T) {
		tz := newTestZone(t)
		job := completionJob()
		job.StartPos = 4
		run(t, tz, tz.newServer("n1", "r1"), job, core.CodeOK)
	})
	t.Run("no continuation by another version", otherVersion)
	t.Run("random faults", randomFaults)
	t.Run("calls", plainCallFaults)
}

// openConnections opens an idle connection to each engine.
func openConnections(t *testing.T, tz *testZone, srv *serve.Server) {
	t.Helper()
	for num := range tz.engines {
		tz.incomplete[groupName(1-num)] = true
		run(t, tz, srv, completionJob(), core.CodeOK)
		tz.incomplete[groupName(1-num)] = false
	}
}

// run runs a job and checks its parts and its code, and that a job with the
// result "not run" did not run.
func run(t testing.TB, tz *testZone, srv *serve.Server, job core.Job, want core.Code) *recorder {
	t.Helper()
	rec := &recorder{}
	err := srv.Run(context.Background(), job, rec)
	assert.Equal(t, core.CodeOf(err), want, "%v", err)
	check(t, tz, job, rec, err)
	return rec
}

func check(t testing.TB, tz *testZone, job core.Job, rec *recorder, err error) {
	t.Helper()
	rec.checkAnswer(t, job, err)
	if core.CodeOf(err).NotRun() && job.IdempotencyKey == "" {
		assert.Equal(t, tz.runCount(job), 0, "%v", err)
	}
}

// otherProcessAnswers checks that no part is delivered if the response comes from
// another process than the one in the permit.
func otherProcessAnswers(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	for num := range tz.engines {
		permit, err := tz.Permit(groupName(num), time.Now())
		assert.NilError(t, err)
		permit.Incarnation = "former"
		tz.frozenPermits[groupName(num)] = permit
	}
	rec := run(t, tz, srv, completionJob(), core.CodeCrossedAnswer)
	assert.Equal(t, len(rec.parts), 0)
}

func lostGroup(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	job := completionJob()
	job.MaxTokens = 200
	rec := &recorder{firstPart: make(chan struct{})}
	go func() {
		<-rec.firstPart
		tz.mu.Lock()
		tz.incomplete["g0"] = true
		tz.mu.Unlock()
		srv.GroupsLost("g0")
	}()
	err := srv.Run(context.Background(), job, rec)
	assert.NilError(t, err)
	check(t, tz, job, rec, err)
	assert.Equal(t, tz.runCount(job), 2, "the rest must come from the other group")
}

func otherVersion(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	tz.loadEngine(1, 9, core.Spec{Model: "m", Version: "2", Role: core.RoleBoth})
	tz.engines[0].SetFault(stand.EngineFault{CutAfter: 2})
	job := completionJob()
	run(t, tz, srv, job, core.CodeOK)
	assert.Equal(t, tz.engines[1].Count().ByRequest[job.ID], 0)
}

// randomFaults runs concurrent requests under changing engine faults.
func randomFaults(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	rng := rand.New(rand.NewPCG(1, 2))
	names := []string{"none", "crossed", "cut", "no end", "gap", "refuses", "silent old"}
	for range 20 {
		for _, eng := range tz.engines {
			eng.SetFault(engineFaults[names[rng.IntN(len(names))]].fault)
		}
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				job := completionJob()
				rec := &recorder{}
				err := srv.Run(context.Background(), job, rec)
				check(t, tz, job, rec, err)
			})
		}
		wg.Wait()
	}
}

func plainCallFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  stand.PlainFault
		method string
		one    core.Code
		both   core.Code
	}{
		{"none", stand.PlainFault{}, http.MethodPost, core.CodeOK, core.CodeOK},
		{"crossed", stand.PlainFault{WrongAttempt: true}, http.MethodGet, core.CodeOK, core.CodeCrossedAnswer},
		{"crossed, not idempotent", stand.PlainFault{WrongAttempt: true}, http.MethodPost, core.CodeCrossedAnswer, core.CodeCrossedAnswer},
		{"short", stand.PlainFault{ShortBody: true}, http.MethodGet, core.CodeOK, core.CodeCutAnswer},
		{"short, not idempotent", stand.PlainFault{ShortBody: true}, http.MethodPost, core.CodeCutAnswer, core.CodeCutAnswer},
		{"frozen", stand.PlainFault{Fault: stand.Fault{Freeze: true}}, http.MethodGet, core.CodeOK, core.CodeSilent},
		{"refuses", stand.PlainFault{Fault: stand.Fault{Refuse: true}}, http.MethodPost, core.CodeOK, core.CodeRefused},
	}
	for _, tt := range tests {
		for _, both := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.name, both), func(t *testing.T) {
				tz := newTestZone(t)
				// A constant random number selects p0 first.
				srv := tz.newServer("n1", "r1", func(cfg *serve.Config) { cfg.Rand = func() uint64 { return 0 } })
				tz.plains[0].SetFault(tt.fault)
				want := tt.one
				if both {
					tz.plains[1].SetFault(tt.fault)
					want = tt.both
				}
				job := callJob(tt.method)
				run(t, tz, srv, job, want)
				if tt.method == http.MethodPost {
					assert.Assert(t, tz.runCount(job) <= 1)
				}
			})
		}
	}
}
