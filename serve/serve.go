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

// Backends are the backend servers of this node's zone. Candidates returns the
// groups that run the job's model and are not draining; the Server sets their
// InFlight to the number of its own in-flight requests. Plains returns the
// healthy servers of a plain service that are not draining. Engine and Plain
// return the client of a server.
type Backends interface {
	Candidates(job core.Job) []core.Candidate
	Engine(vm core.VMName) (core.Engine, error)
	Plains(service string) []core.VMName
	Plain(vm core.VMName) (core.PlainServer, error)
}

// Decision is the result of folding a record. Code is core.CodeOK if the record
// was accepted.
type Decision struct {
	RecordID core.RecordID
	Offset   core.Offset
	Code     core.Code
}

// Claim is the folded state of an idempotency key. Done is set once an outcome
// is recorded. HolderGone may be set if the holder's process has ended or sends
// no heartbeats: a resend then fails with an unknown outcome, as the request ran
// at most once.
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

// Claims gives access to the log for requests that must not be repeated.
//
// Propose appends the records and returns the decision on each, in their order.
// The error carries core.CodeLogRefused if certainly nothing was appended; after
// any other error the records may still be accepted. Lookup returns the claim of
// a key, and false if there is none.
type Claims interface {
	Propose(ctx context.Context, recs ...recd.Record) ([]Decision, error)
	Lookup(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (Claim, bool, error)
}

// Forwarder runs a job at an entry VM of another zone. The Server has already
// incremented the job's hop count. The errors are those of core.Peer.Forward, or
// carry the result code of the job.
type Forwarder interface {
	Forward(ctx context.Context, job core.Job, sink core.Sink) error
}

// Policy holds the limits of a job. Zero fields have defaults, except that a zero
// SilenceTimeout means no timeout.
type Policy struct {
	// MaxAttempts is the maximum number of dispatches.
	MaxAttempts int
	// RetryBudget is the number of retries, usually a fraction, that each request
	// adds to the node's retry budget.
	RetryBudget float64
	// SilenceTimeout is the longest time between two parts of a response.
	SilenceTimeout time.Duration
	// KeyWindow is the time for which idempotency keys are retained, and
	// MaxClockSkew the largest tolerated difference between clocks.
	KeyWindow    time.Duration
	MaxClockSkew time.Duration
	// QuarantineTime is the time for which a request that crashed backend servers
	// is rejected.
	QuarantineTime time.Duration
}

// Config configures a Server. Without a Forwarder, nothing is forwarded. Without
// Claims, requests that must not be repeated are rejected as not run. Without
// PrefixBlocks, the choice ignores prefixes. Without ShareSuspects, peers get
// new suspects only through Server.Suspects.
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
	// ShareSuspects sends new suspects to the peers. It is called before a failed
	// request returns to its caller, so that a resend to another node is already
	// suspect there. It must have its own timeout.
	ShareSuspects func(ctx context.Context)
	// MayIsolate returns whether this node may run suspects on the group. It
	// should be true at one node of the zone at a time, so that a group never
	// runs two suspects. If it is nil or true for none of a request's groups, the
	// request may run on any of them.
	MayIsolate func(grp core.GroupName) bool
	// Crash configures the tracking of requests that crash backend servers.
	Crash crash.Config
}

// Server runs jobs. It is safe for concurrent use.
type Server struct {
	cfg    Config
	state  chan *nodeState
	lastID atomic.Uint64
	idSalt uint64
}

// New returns a Server. It panics if a required field of cfg is nil.
func New(cfg Config) *Server {
	missing := cfg.Gate == nil || cfg.Chooser == nil || cfg.Backends == nil ||
		cfg.Policy == nil || cfg.Now == nil || cfg.Rand == nil
	if missing {
		panic("serve: Gate, Chooser, Backends, Policy, Now and Rand are required")
	}
	srv := &Server{cfg: cfg, state: make(chan *nodeState, 1), idSalt: cfg.Rand()}
	srv.state <- newNodeState(cfg.Crash, cfg.Now())
	return srv
}

// Run runs the job and writes the parts of the response to sink. It returns nil
// after the last part, which has End set, was written. Otherwise no part with
// End was written, and the error carries the result code and the retry delay
// (core.RetryAfterOf).
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

// InFlight returns the number of this node's in-flight requests at each group.
func (srv *Server) InFlight() map[core.GroupName]int {
	var out map[core.GroupName]int
	srv.withState(func(st *nodeState) { out = st.inFlightByGroup() })
	return out
}

// RunningJobs returns the number of running jobs plus the background operations
// that Drain waits for.
func (srv *Server) RunningJobs() int {
	var out int
	srv.withState(func(st *nodeState) { out = st.runningJobs })
	return out
}

// Suspects returns the requests that are suspect by this node's own observation.
func (srv *Server) Suspects() []core.Suspect {
	var out []core.Suspect
	srv.withState(func(st *nodeState) { out = st.suspects.Export(srv.cfg.Now()) })
	return out
}

// UpdateSuspects replaces the suspects that the peer reported before.
func (srv *Server) UpdateSuspects(from core.NodeName, sus []core.Suspect) {
	srv.withState(func(st *nodeState) { st.suspects.UpdatePeer(from, sus, srv.cfg.Now()) })
}

// GroupsLost records that the groups were lost together, as each misses a
// member, and cancels their requests.
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

// Drain waits until no job runs and every claim is resolved or abandoned. The
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
			return core.Errorf(core.CodeStopBound, "%d requests are still running", num)
		}
	}
}

// withState calls fn with exclusive access to the state. fn must not block.
func (srv *Server) withState(fn func(st *nodeState)) {
	st := <-srv.state
	defer func() { srv.state <- st }()
	fn(st)
}

// newID returns an ID that is unique across all nodes and their incarnations.
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
