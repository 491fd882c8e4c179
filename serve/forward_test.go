package serve_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/serve"
)

// otherZone forwards jobs to an entry VM of another zone and edits the responses.
type otherZone struct {
	srv   *serve.Server
	err   error
	edit  func(part core.Part) (core.Part, bool)
	calls int
	hops  int
}

// Forward runs the job at the other zone's entry VM.
func (oz *otherZone) Forward(ctx context.Context, job core.Job, sink core.Sink) error {
	oz.calls++
	oz.hops = job.Hops
	if oz.err != nil {
		return oz.err
	}
	return oz.srv.Run(ctx, job, &editingSink{sink: sink, edit: oz.edit})
}

type editingSink struct {
	sink core.Sink
	edit func(part core.Part) (core.Part, bool)
}

// WritePart writes the edited part to the sink, or drops it.
func (es *editingSink) WritePart(part core.Part) error {
	if es.edit != nil {
		var keep bool
		part, keep = es.edit(part)
		if !keep {
			return nil
		}
	}
	return es.sink.WritePart(part)
}

// TestHoldsWholeAnswerForwarded checks that the parts of a response from another
// zone undergo the same checks, and that a job is forwarded only once.
func TestHoldsWholeAnswerForwarded(t *testing.T) {
	drop := func(pos int) func(core.Part) (core.Part, bool) {
		return func(part core.Part) (core.Part, bool) { return part, part.Pos != pos || part.Reply != nil }
	}
	tests := []struct {
		name string
		job  func() core.Job
		err  error
		edit func(part core.Part) (core.Part, bool)
		fail int
		want core.Code
		runs int
		ran  int
	}{
		{"completion", completionJob, nil, nil, 0, core.CodeOK, 1, 1},
		{"call", func() core.Job { return callJob("POST") }, nil, nil, 0, core.CodeOK, 1, 1},
		{"at most once", onceJob, nil, nil, 0, core.CodeOK, 1, 1},
		{"at most once, caller gone", onceJob, nil, nil, 1, core.CodeOK, 1, 1},
		{"completion at most once, caller gone", func() core.Job {
			job := completionJob()
			job.IdempotencyKey, job.KeyIssuedAt = core.IdempotencyKey(job.ID), time.Now()
			return job
		}, nil, nil, 1, core.CodeUnknownOnce, 1, 1},
		{"gap", completionJob, nil, drop(2), 0, core.CodeCutAnswer, 1, 1},
		{"no end", completionJob, nil, drop(tokens), 0, core.CodeCutAnswer, 1, 1},
		{"unreachable", completionJob, core.Errorf(core.CodePeerUnreachable, "x"), nil, 0, core.CodePeerUnreachable, 1, 0},
		{"unknown", onceJob, core.Errorf(core.CodeUnknownOutcome, "x"), nil, 0, core.CodeUnknownOnce, 1, 0},
		{"caller gone", completionJob, nil, nil, 2, core.CodeUnknownOutcome, 1, 1},
		{"already forwarded", func() core.Job {
			job := completionJob()
			job.Hops = 1
			return job
		}, nil, nil, 0, core.CodeNoGroup, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local, remote := newTestZone(t), newTestZone(t)
			local.noBackends = true
			remote.log = local.log
			other := &otherZone{srv: remote.newServer("n2", "r1"), err: tt.err, edit: tt.edit}
			srv := local.newServer("n1", "r1", func(cfg *serve.Config) { cfg.Forwarder = other })
			job := tt.job()
			rec := &recorder{failAt: tt.fail}
			err := srv.Run(context.Background(), job, rec)
			assert.Equal(t, core.CodeOf(err), tt.want, "%v", err)
			if tt.fail == 0 {
				rec.checkAnswer(t, job, err)
			}
			assert.Equal(t, other.calls, tt.runs)
			assert.Equal(t, other.hops, tt.runs)
			assert.Equal(t, remote.runCount(job), tt.ran)
			assert.Equal(t, local.runCount(job), 0)
		})
	}
}

// TestForwardedOnceIsNotRunLocally checks that a job which was not claimed does
// not run in this zone, even if a server starts between the check for local
// servers and the dispatch.
func TestForwardedOnceIsNotRunLocally(t *testing.T) {
	here := newTestZone(t)
	other := &otherZone{err: core.Errorf(core.CodeUnknownOutcome, "answer lost")}
	srv := here.newServer("n1", "r1", func(cfg *serve.Config) {
		cfg.Backends = &lateBackends{testZone: here}
		cfg.Forwarder = other
	})
	job := onceJob()
	err := srv.Run(context.Background(), job, &recorder{})
	assert.Equal(t, core.CodeOf(err), core.CodeUnknownOnce)
	assert.Equal(t, other.calls, 1)
	assert.Equal(t, here.runCount(job), 0)
	assert.Equal(t, here.log.acceptedClaims, 0)
}

// TestOnceIsForwardedFromIncompleteGroups checks that a completion that must not
// be repeated is forwarded if each local group misses a member.
func TestOnceIsForwardedFromIncompleteGroups(t *testing.T) {
	local, remote := newTestZone(t), newTestZone(t)
	remote.log = local.log
	local.incomplete["g0"], local.incomplete["g1"] = true, true
	other := &otherZone{srv: remote.newServer("n2", "r1")}
	srv := local.newServer("n1", "r1", func(cfg *serve.Config) { cfg.Forwarder = other })
	job := completionJob()
	job.IdempotencyKey, job.KeyIssuedAt = core.IdempotencyKey(job.ID), time.Now()
	run(t, local, srv, job, core.CodeOK)
	assert.Equal(t, remote.runCount(job), 1)
}

// lateBackends returns no servers on the first call.
type lateBackends struct {
	*testZone
	called bool
}

// Plains returns the servers from the second call on.
func (lb *lateBackends) Plains(svc string) []core.VMName {
	if !lb.called {
		lb.called = true
		return nil
	}
	return lb.testZone.Plains(svc)
}
