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

// bookingServer is a server of a plain service, and the Backends of a zone that
// has only this server.
type bookingServer struct{}

func (bookingServer) Candidates(core.Job) []core.Candidate { return nil }

func (bookingServer) Engine(vm core.VMName) (core.Engine, error) {
	return nil, core.Errorf(core.CodeVMUnknown, "%s", vm)
}

func (bookingServer) Plains(string) []core.VMName { return []core.VMName{"p1"} }

func (bs bookingServer) Plain(core.VMName) (core.PlainServer, error) { return bs, nil }

func (bookingServer) Call(_ context.Context, call core.Call) (core.Reply, error) {
	return core.Reply{Attempt: call.Attempt, Status: 200, Body: append([]byte("booked "), call.Body...)}, nil
}

// lockedRouter makes a router safe for concurrent use by several requests.
type lockedRouter struct {
	mu     sync.Mutex
	router *route.Router
}

func (lr *lockedRouter) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.router.Choose(cands, blocks, now, rnd)
}

// printer prints the parts of a response.
type printer struct{}

func (printer) WritePart(part core.Part) error {
	fmt.Println(part.Reply.Status, string(part.Reply.Body), part.End)
	return nil
}

// A Server without Claims runs requests that may be repeated and rejects the
// others as not run.
func ExampleServer() {
	srv := serve.New(serve.Config{
		Node: "n1", Incarnation: "run7", Gate: gate.New(3 * time.Second), Backends: bookingServer{},
		Chooser: &lockedRouter{router: route.New(route.Config{})},
		Policy:  func(core.Job) serve.Policy { return serve.Policy{MaxAttempts: 3, RetryBudget: 0.1} },
		Now:     time.Now, Rand: rand.Uint64,
	})
	ctx := context.Background()
	job := core.Job{ID: "r1", Org: "kallergis", Service: "booking", Method: "POST", Path: "/vans", Body: []byte("van 3")}
	job.KeyIssuedAt = time.Now()
	job.Deadline = job.KeyIssuedAt.Add(10 * time.Second)
	fmt.Println(srv.Run(ctx, job, printer{}))

	job.ID, job.IdempotencyKey = "r2", "booking-7"
	code := core.CodeOf(srv.Run(ctx, job, printer{}))
	fmt.Println(uint16(code), code.NotRun())
	fmt.Println(srv.Drain(ctx))
	// Output:
	// 200 booked van 3 true
	// <nil>
	// 110 true
	// <nil>
}
