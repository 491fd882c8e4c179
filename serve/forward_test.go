package serve_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/serve"
)

// otherZone forwards jobs to an entry VM of another zone and changes what
// comes back.
type otherZone struct {
	srv  *serve.Server
	err  error
	edit func(prt core.Part) (core.Part, bool)
	runs int
	hops int
}

// Forward runs the job at the other zone's entry VM.
func (oth *otherZone) Forward(ctx context.Context, job core.Job, snk core.Sink) error {
	oth.runs++
	oth.hops = job.Hops
	if oth.err != nil {
		return oth.err
	}
	return oth.srv.Run(ctx, job, &editor{snk: snk, edit: oth.edit})
}

type editor struct {
	snk  core.Sink
	edit func(prt core.Part) (core.Part, bool)
}

// WritePart passes the edited part on, or drops it.
func (edi *editor) WritePart(prt core.Part) error {
	if edi.edit != nil {
		var keep bool
		prt, keep = edi.edit(prt)
		if !keep {
			return nil
		}
	}
	return edi.snk.WritePart(prt)
}

// TestHoldsWholeAnswerForwarded lets another zone answer: its parts are held to
// the same checks, and a job is forwarded once.
func TestHoldsWholeAnswerForwarded(t *testing.T) {
	drop := func(pos int) func(core.Part) (core.Part, bool) {
		return func(prt core.Part) (core.Part, bool) { return prt, prt.Pos != pos || prt.Reply != nil }
	}
	tests := []struct {
		name string
		job  func() core.Job
		err  error
		edit func(prt core.Part) (core.Part, bool)
		fail int
		want core.Code
		runs int
		ran  int
	}{
		{"completion", completionJob, nil, nil, 0, core.CodeOK, 1, 1},
		{"call", func() core.Job { return callJob("POST") }, nil, nil, 0, core.CodeOK, 1, 1},
		{"not repeated", onceJob, nil, nil, 0, core.CodeOK, 1, 1},
		{"not repeated, caller gone", onceJob, nil, nil, 1, core.CodeOK, 1, 1},
		{"completion not repeated, caller gone", func() core.Job {
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
			here, there := newRig(t), newRig(t)
			here.gone = true
			there.log = here.log
			oth := &otherZone{srv: there.node("n2", "r1"), err: tt.err, edit: tt.edit}
			srv := here.node("n1", "r1", func(cfg *serve.Config) { cfg.Forwarder = oth })
			job := tt.job()
			rec := &recorder{failAt: tt.fail}
			err := srv.Run(context.Background(), job, rec)
			assert.Equal(t, core.CodeOf(err), tt.want, "%v", err)
			if tt.fail == 0 {
				rec.checkAnswer(t, job, err)
			}
			assert.Equal(t, oth.runs, tt.runs)
			assert.Equal(t, oth.hops, tt.runs)
			assert.Equal(t, there.ran(job), tt.ran)
			assert.Equal(t, here.ran(job), 0)
		})
	}
}

// TestForwardedOnceIsNotRunHere lets a server come up in this zone between the
// check for one and the dispatch: the job, which was not claimed, does not run
// here.
func TestForwardedOnceIsNotRunHere(t *testing.T) {
	here := newRig(t)
	oth := &otherZone{err: core.Errorf(core.CodeUnknownOutcome, "answer lost")}
	srv := here.node("n1", "r1", func(cfg *serve.Config) {
		cfg.Backends = &lateBackends{rig: here}
		cfg.Forwarder = oth
	})
	job := onceJob()
	err := srv.Run(context.Background(), job, &recorder{})
	assert.Equal(t, core.CodeOf(err), core.CodeUnknownOnce)
	assert.Equal(t, oth.runs, 1)
	assert.Equal(t, here.ran(job), 0)
	assert.Equal(t, here.log.claims, 0)
}

// TestOnceIsForwardedFromIncompleteGroups runs a completion that must not be
// repeated in another zone if each group of this one lacks a member.
func TestOnceIsForwardedFromIncompleteGroups(t *testing.T) {
	here, there := newRig(t), newRig(t)
	there.log = here.log
	here.missing["g0"], here.missing["g1"] = true, true
	oth := &otherZone{srv: there.node("n2", "r1")}
	srv := here.node("n1", "r1", func(cfg *serve.Config) { cfg.Forwarder = oth })
	job := completionJob()
	job.IdempotencyKey, job.KeyIssuedAt = core.IdempotencyKey(job.ID), time.Now()
	run(t, here, srv, job, core.CodeOK)
	assert.Equal(t, there.ran(job), 1)
}

// lateBackends has no server when it is first asked.
type lateBackends struct {
	*rig
	asked bool
}

// Plains returns the servers from the second call on.
func (lat *lateBackends) Plains(svc string) []core.VMName {
	if !lat.asked {
		lat.asked = true
		return nil
	}
	return lat.rig.Plains(svc)
}
