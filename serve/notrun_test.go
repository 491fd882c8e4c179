package serve_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/serve"
	"kumquathinge/stand"
)

// TestHoldsNotRun holds "not run" against the servers' own counts: each pair of
// faults of the two engines, and the refusals of the entry VM itself.
func TestHoldsNotRun(t *testing.T) {
	for one, first := range engineFaults {
		for two, second := range engineFaults {
			t.Run(one+", "+two, func(t *testing.T) {
				rg := newRig(t)
				srv := rg.node("n1", "r1")
				rg.engines[0].SetFault(first.fault)
				rg.engines[1].SetFault(second.fault)
				job := completionJob()
				rec := &recorder{}
				err := srv.Run(context.Background(), job, rec)
				check(t, rg, job, rec, err)
				if first.code.NotRun() && second.code.NotRun() {
					assert.Assert(t, core.CodeOf(err).NotRun(), "%v", err)
				}
			})
		}
	}
}

// refusal is a request that the entry VM itself turns away.
type refusal struct {
	name string
	job  func() core.Job
	set  func(rg *rig, srv *serve.Server, job core.Job)
	want core.Code
}

func refusals() []refusal {
	late := func() core.Job {
		job := completionJob()
		job.Deadline = time.Now().Add(-time.Second)
		return job
	}
	return []refusal{
		{"no group", completionJob, func(rg *rig, _ *serve.Server, _ core.Job) { rg.gone = true }, core.CodeNoGroup},
		{"no service", func() core.Job { return callJob("GET") }, func(rg *rig, _ *serve.Server, _ core.Job) { rg.gone = true }, core.CodeNoService},
		{"members missing", completionJob, func(rg *rig, _ *serve.Server, _ core.Job) {
			rg.missing["g0"], rg.missing["g1"] = true, true
		}, core.CodeNoGroup},
		{"too late", late, func(*rig, *serve.Server, core.Job) {}, core.CodeDeadline},
		{"quarantined", completionJob, func(_ *rig, srv *serve.Server, job core.Job) {
			srv.Merge("n2", []core.Suspect{{Fingerprint: serve.Print(job), Crashes: 2, ExpiresAt: time.Now().Add(time.Minute)}})
		}, core.CodeQuarantined},
	}
}

func TestHoldsNotRunRefusals(t *testing.T) {
	for _, ref := range refusals() {
		t.Run(ref.name, func(t *testing.T) {
			rg := newRig(t)
			srv := rg.node("n1", "r1")
			job := ref.job()
			ref.set(rg, srv, job)
			run(t, rg, srv, job, ref.want)
			assert.Equal(t, rg.ran(job), 0)
		})
	}
}

// TestCallerGone ends the caller's context or its sink in the middle: the
// engine is told, and the outcome is not stated as "not run".
func TestCallerGone(t *testing.T) {
	for _, bySink := range []bool{false, true} {
		rg := newRig(t)
		srv := rg.node("n1", "r1")
		job := completionJob()
		job.MaxTokens = 2000
		rec := &recorder{first: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		if bySink {
			rec.failAt = 3
		} else {
			go func() {
				<-rec.first
				cancel()
			}()
		}
		err := srv.Run(ctx, job, rec)
		cancel()
		assert.Assert(t, err != nil && !core.CodeOf(err).NotRun(), "%v", err)
		assert.Assert(t, len(rec.parts) < 2000)
		drain(t, srv)
		assert.Equal(t, len(srv.InFlight()), 0)
	}
}

// TestCrashingRequest sends a request that crashes its engine without end,
// through two nodes that share their suspects: it takes down two groups at
// most, and no more once they are back.
func TestCrashingRequest(t *testing.T) {
	rg := newRig(t)
	job := completionJob()
	var nodes []*serve.Server
	share := func(context.Context) {
		for num, srv := range nodes {
			nodes[1-num].Merge(core.NodeName([]string{"n0", "n1"}[num]), srv.Suspects())
		}
	}
	for _, name := range []core.NodeName{"n0", "n1"} {
		nodes = append(nodes, rg.node(name, "r1", func(cfg *serve.Config) { cfg.Share = share }))
	}
	crashes := func() int { return rg.engines[0].Count().Crashes + rg.engines[1].Count().Crashes }
	for num := range 8 {
		for pos, eng := range rg.engines {
			if eng.Stopped() {
				nodes[0].Lost(group(pos))
				nodes[1].Lost(group(pos))
			}
			eng.SetFault(stand.EngineFault{CrashOn: job.Prompt})
			if eng.Probe().State == core.EngineEmpty {
				rg.load(pos, core.Offset(10+num), spec)
			}
		}
		err := nodes[num%2].Run(context.Background(), job, &recorder{})
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, crashes() <= 2, "%d groups crashed", crashes())
	run(t, rg, nodes[0], completionJob(), core.CodeOK)
	before := rg.ran(job)
	err := nodes[1].Run(context.Background(), job, &recorder{})
	assert.Equal(t, core.CodeOf(err), core.CodeQuarantined)
	assert.Assert(t, core.RetryAfterOf(err) > 0)
	assert.Equal(t, rg.ran(job), before)
}

// TestOrderingKey sends calls with one ordering key one after another: each
// arrives at the service behind the end of the one before.
func TestOrderingKey(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	plainFault(stand.PlainFault{Fault: stand.Fault{Freeze: true}})(t, rg, core.Job{})
	ends := make(chan string, 5)
	var want []string
	for num := range 5 {
		job := callJob("POST")
		job.OrderingKey = "sightings"
		want = append(want, job.ID)
		go func() {
			err := srv.Run(context.Background(), job, &recorder{})
			assert.Check(t, err == nil, "%v", err)
			ends <- job.ID
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if srv.Running() != num+1 {
				return poll.Continue("%d calls wait", srv.Running())
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	plainFault(stand.PlainFault{RunTime: stand.Span(5 * time.Millisecond)})(t, rg, core.Job{})
	for _, id := range want {
		assert.Equal(t, <-ends, id)
	}
}

// TestSuspectsTakeTurns cuts two long requests by a crash that neither caused.
// One group is left: the second goes there once the first brings tokens, not
// at its end.
func TestSuspectsTakeTurns(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	job := completionJob()
	job.MaxTokens = 1500
	oth := completionJob()
	for _, one := range []core.Job{job, oth} {
		sus := core.Suspect{Fingerprint: serve.Print(one), Crashes: 1, ExpiresAt: time.Now().Add(time.Minute)}
		srv.Merge(core.NodeName("peer of "+one.ID), []core.Suspect{sus})
	}
	rg.missing["g1"] = true
	rec := &recorder{first: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- srv.Run(context.Background(), job, rec) }()
	<-rec.first
	run(t, rg, srv, oth, core.CodeOK)
	assert.Equal(t, srv.InFlight()["g0"], 1, "the first still runs")
	assert.NilError(t, <-done)
}
