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

// TestHoldsNotRun compares the result "not run" with the engines' own counts of
// requests, for each pair of faults of the two engines.
func TestHoldsNotRun(t *testing.T) {
	for firstName, first := range engineFaults {
		for secondName, second := range engineFaults {
			t.Run(firstName+", "+secondName, func(t *testing.T) {
				tz := newTestZone(t)
				srv := tz.newServer("n1", "r1")
				tz.engines[0].SetFault(first.fault)
				tz.engines[1].SetFault(second.fault)
				job := completionJob()
				rec := &recorder{}
				err := srv.Run(context.Background(), job, rec)
				check(t, tz, job, rec, err)
				if first.code.NotRun() && second.code.NotRun() {
					assert.Assert(t, core.CodeOf(err).NotRun(), "%v", err)
				}
			})
		}
	}
}

// rejection is a request that the entry VM itself rejects.
type rejection struct {
	name    string
	job     func() core.Job
	prepare func(tz *testZone, srv *serve.Server, job core.Job)
	want    core.Code
}

func rejections() []rejection {
	late := func() core.Job {
		job := completionJob()
		job.Deadline = time.Now().Add(-time.Second)
		return job
	}
	return []rejection{
		{"no group", completionJob, func(tz *testZone, _ *serve.Server, _ core.Job) { tz.noBackends = true }, core.CodeNoGroup},
		{"no service", func() core.Job { return callJob("GET") }, func(tz *testZone, _ *serve.Server, _ core.Job) { tz.noBackends = true }, core.CodeNoService},
		{"members missing", completionJob, func(tz *testZone, _ *serve.Server, _ core.Job) {
			tz.incomplete["g0"], tz.incomplete["g1"] = true, true
		}, core.CodeNoGroup},
		{"deadline expired", late, func(*testZone, *serve.Server, core.Job) {}, core.CodeDeadline},
		{"quarantined", completionJob, func(_ *testZone, srv *serve.Server, job core.Job) {
			srv.UpdateSuspects("n2", []core.Suspect{{Fingerprint: serve.Fingerprint(job), Crashes: 2, ExpiresAt: time.Now().Add(time.Minute)}})
		}, core.CodeQuarantined},
	}
}

func TestHoldsNotRunRefusals(t *testing.T) {
	for _, rej := range rejections() {
		t.Run(rej.name, func(t *testing.T) {
			tz := newTestZone(t)
			srv := tz.newServer("n1", "r1")
			job := rej.job()
			rej.prepare(tz, srv, job)
			run(t, tz, srv, job, rej.want)
			assert.Equal(t, tz.runCount(job), 0)
		})
	}
}

// TestCallerGone ends the caller's context, or fails its sink, during the
// response: the request is cancelled, and its result is not "not run".
func TestCallerGone(t *testing.T) {
	for _, bySink := range []bool{false, true} {
		tz := newTestZone(t)
		srv := tz.newServer("n1", "r1")
		job := completionJob()
		job.MaxTokens = 2000
		rec := &recorder{firstPart: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		if bySink {
			rec.failAt = 3
		} else {
			go func() {
				<-rec.firstPart
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

// TestCrashingRequest repeatedly sends a request that crashes its engine, through
// two nodes that share their suspects: it crashes at most two groups, and none
// after they have recovered.
func TestCrashingRequest(t *testing.T) {
	tz := newTestZone(t)
	job := completionJob()
	var nodes []*serve.Server
	share := func(context.Context) {
		for num, srv := range nodes {
			nodes[1-num].UpdateSuspects(core.NodeName([]string{"n0", "n1"}[num]), srv.Suspects())
		}
	}
	for _, name := range []core.NodeName{"n0", "n1"} {
		nodes = append(nodes, tz.newServer(name, "r1", func(cfg *serve.Config) { cfg.ShareSuspects = share }))
	}
	crashes := func() int { return tz.engines[0].Count().Crashes + tz.engines[1].Count().Crashes }
	for num := range 8 {
		for pos, eng := range tz.engines {
			if eng.Stopped() {
				nodes[0].GroupsLost(groupName(pos))
				nodes[1].GroupsLost(groupName(pos))
			}
			eng.SetFault(stand.EngineFault{CrashOn: job.Prompt})
			if eng.Probe().State == core.EngineEmpty {
				tz.loadEngine(pos, core.Offset(10+num), spec)
			}
		}
		err := nodes[num%2].Run(context.Background(), job, &recorder{})
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, crashes() <= 2, "%d groups crashed", crashes())
	run(t, tz, nodes[0], completionJob(), core.CodeOK)
	before := tz.runCount(job)
	err := nodes[1].Run(context.Background(), job, &recorder{})
	assert.Equal(t, core.CodeOf(err), core.CodeQuarantined)
	assert.Assert(t, core.RetryAfterOf(err) > 0)
	assert.Equal(t, tz.runCount(job), before)
}

// TestOrderingKey checks that calls with one ordering key end in the order in
// which they were sent.
func TestOrderingKey(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	plainFault(stand.PlainFault{Fault: stand.Fault{Freeze: true}})(t, tz, core.Job{})
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
			if srv.RunningJobs() != num+1 {
				return poll.Continue("%d calls queued", srv.RunningJobs())
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	plainFault(stand.PlainFault{RunTime: stand.Span(5 * time.Millisecond)})(t, tz, core.Job{})
	for _, id := range want {
		assert.Equal(t, <-ends, id)
	}
}

// TestSuspectsRunOneAtATime runs two suspects with one group left. The second one
// starts there once the first has generated tokens, not only after its end.
func TestSuspectsRunOneAtATime(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	job := completionJob()
	job.MaxTokens = 1500
	other := completionJob()
	for _, suspectJob := range []core.Job{job, other} {
		suspect := core.Suspect{Fingerprint: serve.Fingerprint(suspectJob), Crashes: 1, ExpiresAt: time.Now().Add(time.Minute)}
		srv.UpdateSuspects(core.NodeName("peer of "+suspectJob.ID), []core.Suspect{suspect})
	}
	tz.incomplete["g1"] = true
	rec := &recorder{firstPart: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- srv.Run(context.Background(), job, rec) }()
	<-rec.firstPart
	run(t, tz, srv, other, core.CodeOK)
	assert.Equal(t, srv.InFlight()["g0"], 1, "the first request is still running")
	assert.NilError(t, <-done)
}
