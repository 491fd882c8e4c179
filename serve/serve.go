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
	defaultMaxAttempts  = 3
	defaultRetryBudget  = 0.1
	defaultKeyWindow    = 24 * time.Hour
	defaultMaxClockSkew = 10 * time.Second
	defaultDeadline     = time.Minute
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
	RecordID core.RecordID
	Offset   core.Offset
	Code     core.Code
}

// Claim is what the log's fold knows of a key. Done is set once an outcome is
// recorded. HolderGone may be set if the holder's process has ended or is not
// heard of: a resend is then told that the request ran at most once.
type Claim struct {
	RecordID       core.RecordID
	Offset         core.Offset
	Holder         core.NodeName
	Digest         uint64
	HolderGone     bool
	Done           bool
	OutcomeUnknown bool
	Reply          core.Reply
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
	Forward(ctx context.Context, job core.Job, sink core.Sink) error
}

// Policy bounds a job. A zero field takes its default, except Silence, whose
// zero stands for no bound.
type Policy struct {
	// MaxAttempts is the largest number of dispatches.
	MaxAttempts int
	// RetryBudget is the share of retries that each request adds to the node's
	// budget.
	RetryBudget float64
	// SilenceTimeout is the longest wait for the next part of an answer.
	SilenceTimeout time.Duration
	// KeyWindow is the time for which keys are kept, and ClockError the largest
	// difference of clocks that it allows for.
	KeyWindow    time.Duration
	MaxClockSkew time.Duration
	// QuarantineTime is the time for which a request that crashes backend servers
	// is refused.
	QuarantineTime time.Duration
}

// Config holds what a Server needs. Forwarder, Claims, Blocks, Share and
// Isolate may be nil: then nothing is forwarded, requests that must not be repeated are
// refused as not run, prefixes are not used, and suspects are shared by
// Server.Suspects only.
type Config struct {
	Node        core.NodeName
	Incarnation core.Incarnation
	Gate        core.Gate
	Chooser     core.Chooser
	Backends    Backends
	Claims      Claims
	Forwarder   Forwarder
	Policy      func(job core.Job) Policy
	Now         func() time.Time
	Rand        func() uint64
	// PrefixBlocks returns the hashes of the prompt's prefix blocks.
	PrefixBlocks func(prompt string) []uint64
	// ShareSuspects tells the peers of new suspects. It is called before the caller of
	// a request that broke is answered, so that a resend elsewhere finds its
	// print known. It bounds its own time.
	ShareSuspects func(ctx context.Context)
	// MayIsolate reports whether this node's suspects may run on the group. At any
	// time it should be true at one node of the zone, so that two suspects never
	// meet there; nil stands for all groups. A node to which none of a request's
	// groups falls uses any.
	MayIsolate func(grp core.GroupName) bool
	// Crash holds the limits of suspicion.
	Crash crash.Config
}

// Server runs jobs. It is safe for concurrent use.
type Server struct {
	cfg    Config
	state  chan *nodeState
	lastID atomic.Uint64
	idSalt uint64
}

// New returns a server. It panics if a field of cfg without which it can't
// work is nil.
func New(cfg Config) *Server {
	missing := cfg.Gate == nil || cfg.Chooser == nil || cfg.Backends == nil ||
		cfg.Policy == nil || cfg.Now == nil || cfg.Rand == nil
	if missing {
		panic("serve: incomplete configuration")
	}
	srv := &Server{cfg: cfg, state: make(chan *nodeState, 1), idSalt: cfg.Rand()}
	srv.state <- newNodeState(cfg.Crash, cfg.Now())
	return srv
}

// Run runs the job to its end and writes the parts of its answer to snk. It
// returns nil once the last part, which has End set, was written. Otherwise
// the error carries the result code and the time after which a retry may
// succeed (core.AfterOf), and no part with End was written.
func (srv *Server) Run(ctx context.Context, job core.Job, sink core.Sink) error {
	policy := withDefaults(srv.cfg.Policy(job))
	now := srv.cfg.Now()
	if job.Deadline.IsZero() {
		job.Deadline = now.Add(defaultDeadline)
	}
	turn := srv.enterOrderingQueue(job)
	defer turn.leave()
	srv.withState(func(st *nodeState) {
		st.runningJobs++
		st.retryBudget.AddRequest(policy.RetryBudget, now)
		st.suspects.SetQuarantineTime(policy.QuarantineTime)
	})
	defer srv.withState(func(st *nodeState) { st.jobDone() })
	err := turn.wait(ctx, job.Deadline)
	if err != nil {
		return err
	}
	if job.AtMostOnce() {
		return srv.runAtMostOnce(ctx, job, sink, policy)
	}
	return srv.newExecutor(job, sink, policy).run(ctx)
}

// InFlight returns the number of this node's requests in progress at each
// group.
func (srv *Server) InFlight() map[core.GroupName]int {
	var out map[core.GroupName]int
	srv.withState(func(st *nodeState) { out = st.inFlightByGroup() })
	return out
}

// RunningJobs returns the number of jobs in progress, and of recordings that Drain
// waits for.
func (srv *Server) RunningJobs() int {
	var out int
	srv.withState(func(st *nodeState) { out = st.runningJobs })
	return out
}

// Suspects returns the requests that are suspect by what this node saw.
func (srv *Server) Suspects() []core.Suspect {
	var out []core.Suspect
	srv.withState(func(st *nodeState) { out = st.suspects.Export(srv.cfg.Now()) })
	return out
}

// UpdateSuspects takes the suspects of a peer, which replace those it told before.
func (srv *Server) UpdateSuspects(from core.NodeName, sus []core.Suspect) {
	srv.withState(func(st *nodeState) { st.suspects.UpdatePeer(from, sus, srv.cfg.Now()) })
}

// GroupsLost states that the groups were lost together: a member of each is missing.
// Their requests are cut.
func (srv *Server) GroupsLost(groups ...core.GroupName) {
	var cancels []context.CancelCauseFunc
	srv.withState(func(st *nodeState) {
		st.suspects.GroupsLost(srv.cfg.Now(), groups...)
		cancels = st.cancelFuncsOf(groups)
		st.notifyChange()
	})
	for _, cancel := range cancels {
		cancel(core.Errorf(core.CodeMemberMissing, "the group was lost"))
	}
}

// Drain waits until no job runs and every claim is resolved or given up. Its
// error carries core.CodeStopBound if ctx ends first.
func (srv *Server) Drain(ctx context.Context) error {
	for {
		var wait <-chan struct{}
		num := 0
		srv.withState(func(st *nodeState) {
			num = st.runningJobs
			wait = st.nextChange()
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

// withState lends the books to fun, which must not block.
func (srv *Server) withState(fn func(st *nodeState)) {
	st := <-srv.state
	defer func() { srv.state <- st }()
	fn(st)
}

// newID returns an ID that is unique over all nodes and their runs.
func (srv *Server) newID() string {
	return fmt.Sprintf("%s-%s-%08x-%d", srv.cfg.Node, srv.cfg.Incarnation, uint32(srv.idSalt), srv.lastID.Add(1))
}

func withDefaults(policy Policy) Policy {
	if policy.MaxAttempts <= 0 {
		policy.MaxAttempts = defaultMaxAttempts
	}
	if policy.RetryBudget <= 0 {
		policy.RetryBudget = defaultRetryBudget
	}
	if policy.KeyWindow <= 0 {
		policy.KeyWindow = defaultKeyWindow
	}
	if policy.MaxClockSkew <= 0 {
		policy.MaxClockSkew = defaultMaxClockSkew
	}
	return policy
}
