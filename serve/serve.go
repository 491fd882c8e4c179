package serve

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/recd"
)

const (
	defaultAttempts    = 3
	defaultRetryBudget = 0.1
	defaultWindow      = 24 * time.Hour
	defaultClockError  = 10 * time.Second
	defaultDeadline    = time.Minute
)

// Backends are the backend servers of this node's zone. Plains returns the
// healthy servers of a service that are not leaving. Candidates returns the
// groups that run the job's model and are not leaving; the Server sets their
// InFlight to the number of its own requests in progress.
type Backends interface {
	Candidates(job core.Job) []core.Candidate
	Engine(vm core.VMName) (core.Engine, error)
	Plains(service string) []core.VMName
	Plain(vm core.VMName) (core.PlainServer, error)
}

// Verdict is what the log's fold made of a record. Code is core.CodeOK for an
// accepted one.
type Verdict struct {
	Record core.RecordID
	Offset core.Offset
	Code   core.Code
}

// Claim is what the log's fold knows of a key. Done is set once an outcome is
// recorded. HolderGone may be set if the holder's process has ended or is not
// heard of: a resend is then told that the request ran at most once.
type Claim struct {
	Record     core.RecordID
	Offset     core.Offset
	Holder     core.NodeName
	Digest     uint64
	HolderGone bool
	Done       bool
	Unknown    bool
	Reply      core.Reply
}

// Claims is the log as far as requests that must not be repeated need it.
//
// Propose appends the records and returns the fold's verdict on each, in their
// order. Its error carries core.CodeLogRefused if surely nothing was appended;
// any other code means that the records may still be accepted. Lookup returns
// the claim of a key and whether there is one.
type Claims interface {
	Propose(ctx context.Context, recs ...recd.Record) ([]Verdict, error)
	Lookup(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (Claim, bool, error)
}

// Forwarder runs a job at an entry VM of another zone. The Server has already
// counted the hop. Its errors are those of core.Peer.Forward, or carry the
// result code of the job.
type Forwarder interface {
	Forward(ctx context.Context, job core.Job, snk core.Sink) error
}

// Policy bounds a job. A zero field takes its default, except Silence, whose
// zero stands for no bound.
type Policy struct {
	// MaxAttempts is the largest number of dispatches.
	MaxAttempts int
	// RetryBudget is the share of retries that each request adds to the node's
	// budget.
	RetryBudget float64
	// Silence is the longest wait for the next part of an answer.
	Silence time.Duration
	// Window is the time for which keys are kept, and ClockError the largest
	// difference of clocks that it allows for.
	Window     time.Duration
	ClockError time.Duration
	// Quarantine is the time for which a request that crashes backend servers
	// is refused.
	Quarantine time.Duration
}

// Config holds what a Server needs. Forwarder, Claims, Blocks, Share and
// Isolate may be nil: then nothing is forwarded, requests that must not be repeated are
// refused as not run, prefixes are not used, and suspects are shared by
// Server.Suspects only.
type Config struct {
	Node      core.NodeName
	Run       core.Incarnation
	Gate      core.Gate
	Chooser   core.Chooser
	Backends  Backends
	Claims    Claims
	Forwarder Forwarder
	Policy    func(job core.Job) Policy
	Now       func() time.Time
	Rand      func() uint64
	// Blocks returns the hashes of the prompt's prefix blocks.
	Blocks func(prompt string) []uint64
	// Share tells the peers of new suspects. It is called before the caller of
	// a request that broke is answered, so that a resend elsewhere finds its
	// print known. It bounds its own time.
	Share func(ctx context.Context)
	// Isolate reports whether this node's suspects may run on the group. At any
	// time it should be true at one node of the zone, so that two suspects never
	// meet there; nil stands for all groups. A node to which none of a request's
	// groups falls uses any.
	Isolate func(grp core.GroupName) bool
	// Crash holds the limits of suspicion.
	Crash crash.Config
}

// Server runs jobs. It is safe for concurrent use.
type Server struct {
	cfg   Config
	books chan *books
	seq   atomic.Uint64
	salt  uint64
}

// New returns a server. It panics if a field of cfg without which it can't
// work is nil.
func New(cfg Config) *Server {
	missing := cfg.Gate == nil || cfg.Chooser == nil || cfg.Backends == nil ||
		cfg.Policy == nil || cfg.Now == nil || cfg.Rand == nil
	if missing {
		panic("serve: incomplete configuration")
	}
	srv := &Server{cfg: cfg, books: make(chan *books, 1), salt: cfg.Rand()}
	srv.books <- newBooks(cfg.Crash, cfg.Now())
	return srv
}

// Run runs the job to its end and writes the parts of its answer to snk. It
// returns nil once the last part, which has End set, was written. Otherwise
// the error carries the result code and the time after which a retry may
// succeed (core.AfterOf), and no part with End was written.
func (srv *Server) Run(ctx context.Context, job core.Job, snk core.Sink) error {
	pol := withDefaults(srv.cfg.Policy(job))
	now := srv.cfg.Now()
	if job.Deadline.IsZero() {
		job.Deadline = now.Add(defaultDeadline)
	}
	trn := srv.lineUp(job)
	defer trn.leave()
	srv.use(func(boo *books) {
		boo.jobs++
		boo.budget.AddRequest(pol.RetryBudget, now)
		boo.suspects.SetQuarantineTime(pol.Quarantine)
	})
	defer srv.use(func(boo *books) { boo.jobDone() })
	err := trn.wait(ctx, job.Deadline)
	if err != nil {
		return err
	}
	if job.AtMostOnce() {
		return srv.runOnce(ctx, job, snk, pol)
	}
	return srv.newFlight(job, snk, pol).run(ctx)
}

// InFlight returns the number of this node's requests in progress at each
// group.
func (srv *Server) InFlight() map[core.GroupName]int {
	var out map[core.GroupName]int
	srv.use(func(boo *books) { out = boo.inFlight() })
	return out
}

// Running returns the number of jobs in progress, and of recordings that Drain
// waits for.
func (srv *Server) Running() int {
	var out int
	srv.use(func(boo *books) { out = boo.jobs })
	return out
}

// Suspects returns the requests that are suspect by what this node saw.
func (srv *Server) Suspects() []core.Suspect {
	var out []core.Suspect
	srv.use(func(boo *books) { out = boo.suspects.Export(srv.cfg.Now()) })
	return out
}

// Merge takes the suspects of a peer, which replace those it told before.
func (srv *Server) Merge(from core.NodeName, sus []core.Suspect) {
	srv.use(func(boo *books) { boo.suspects.UpdatePeer(from, sus, srv.cfg.Now()) })
}

// Lost states that the groups were lost together: a member of each is missing.
// Their requests are cut.
func (srv *Server) Lost(grps ...core.GroupName) {
	var cuts []context.CancelCauseFunc
	srv.use(func(boo *books) {
		boo.suspects.GroupsLost(srv.cfg.Now(), grps...)
		cuts = boo.cutsOf(grps)
		boo.changed()
	})
	for _, cut := range cuts {
		cut(core.Errorf(core.CodeMemberMissing, "the group was lost"))
	}
}

// Drain waits until no job runs and every claim is resolved or given up. Its
// error carries core.CodeStopBound if ctx ends first.
func (srv *Server) Drain(ctx context.Context) error {
	for {
		var wait <-chan struct{}
		num := 0
		srv.use(func(boo *books) {
			num = boo.jobs
			wait = boo.wait()
		})
		if num == 0 {
			return nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return core.Errorf(core.CodeStopBound, "%d requests still run", num)
		}
	}
}

// use lends the books to fun, which must not block.
func (srv *Server) use(fun func(boo *books)) {
	boo := <-srv.books
	defer func() { srv.books <- boo }()
	fun(boo)
}

// newID returns an ID that is unique over all nodes and their runs.
func (srv *Server) newID() string {
	return fmt.Sprintf("%s-%s-%08x-%d", srv.cfg.Node, srv.cfg.Run, uint32(srv.salt), srv.seq.Add(1))
}

func withDefaults(pol Policy) Policy {
	if pol.MaxAttempts <= 0 {
		pol.MaxAttempts = defaultAttempts
	}
	if pol.RetryBudget <= 0 {
		pol.RetryBudget = defaultRetryBudget
	}
	if pol.Window <= 0 {
		pol.Window = defaultWindow
	}
	if pol.ClockError <= 0 {
		pol.ClockError = defaultClockError
	}
	return pol
}
