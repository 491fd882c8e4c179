package serve_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
	"kumquathinge/core/route"
	"kumquathinge/serve"
)

// booking is one server of a plain service, and the backends of a zone that has
// nothing else.
type booking struct{}

func (booking) Candidates(core.Job) []core.Candidate { return nil }

func (booking) Engine(vm core.VMName) (core.Engine, error) {
	return nil, core.Errorf(core.CodeVMUnknown, "%s", vm)
}

func (booking) Plains(string) []core.VMName { return []core.VMName{"p1"} }

func (bkg booking) Plain(core.VMName) (core.PlainServer, error) { return bkg, nil }

func (booking) Call(_ context.Context, cal core.Call) (core.Reply, error) {
	return core.Reply{Attempt: cal.Attempt, Status: 200, Body: append([]byte("booked "), cal.Body...)}, nil
}

// guarded lets the tasks of several requests share a router.
type guarded struct {
	mtx sync.Mutex
	rtr *route.Router
}

func (grd *guarded) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	grd.mtx.Lock()
	defer grd.mtx.Unlock()
	return grd.rtr.Choose(cands, blocks, now, rnd)
}

// printer prints the parts of an answer.
type printer struct{}

func (printer) WritePart(prt core.Part) error {
	fmt.Println(prt.Reply.Status, string(prt.Reply.Body), prt.End)
	return nil
}

// A server without Claims runs what may be repeated and refuses, as not run,
// what may not.
func ExampleServer() {
	srv := serve.New(serve.Config{
		Node: "n1", Run: "run7", Gate: gate.New(3 * time.Second), Backends: booking{},
		Chooser: &guarded{rtr: route.New(route.Config{})},
		Policy:  func(core.Job) serve.Policy { return serve.Policy{MaxAttempts: 3, RetryBudget: 0.1} },
		Now:     time.Now, Rand: rand.Uint64,
	})
	ctx := context.Background()
	job := core.Job{ID: "r1", Org: "kallergis", Service: "booking", Method: "POST", Path: "/vans", Body: []byte("van 3")}
	job.KeyIssuedAt = time.Now()
	job.Deadline = job.KeyIssuedAt.Add(10 * time.Second)
	fmt.Println(srv.Run(ctx, job, printer{}))

	job.ID, job.IdempotencyKey = "r2", "booking-7"
	cod := core.CodeOf(srv.Run(ctx, job, printer{}))
	fmt.Println(uint16(cod), cod.NotRun())
	fmt.Println(srv.Drain(ctx))
	// Output:
	// 200 booked van 3 true
	// <nil>
	// 110 true
	// <nil>
}
