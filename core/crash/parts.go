package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquathinge/core"
)

// Subject is what a request may have in common with others.
type Subject struct {
	// Shared are the parts of its prompt that other requests may contain.
	Shared []core.PromptPart
	// Own identifies the request as a whole, so that a resend has the same one.
	Own core.PromptPart
}

// ServerRun identifies one run of a backend server: a restart has another start
// time, in Unix milliseconds.
type ServerRun struct {
	ID          string `cbor:"1,keyasint"`
	StartMillis int64  `cbor:"2,keyasint"`
	// Domain is the server's fabric domain.
	Domain string `cbor:"3,keyasint,omitempty"`
}

// PartsConfig holds the limits of a PartTracker. Zero fields select defaults.
type PartsConfig struct {
	// QuarantineTime is the duration of the first quarantine of a part. Each
	// further one lasts twice as long, up to MaxQuarantineTime.
	QuarantineTime, MaxQuarantineTime time.Duration
	// SuspicionTime is the retention time of the evidence of a crash.
	SuspicionTime time.Duration
	// SettleTime is the time after a crash within which the reports of other
	// nodes arrive. No suspect is tried before.
	SettleTime time.Duration
	// ProofTime is the age up to which an earlier success keeps a part from being
	// suspected after a single crash.
	ProofTime time.Duration
	// MaxCrashes and MaxQuarantined are the largest numbers of own crashes and of
	// quarantines that are kept and exported, MaxProved the number of parts whose
	// last success is kept.
	MaxCrashes, MaxQuarantined, MaxProved int
}

const (
	defaultPartQuarantineTime    = 30 * time.Second
	defaultPartMaxQuarantineTime = 10 * time.Minute
	defaultPartSuspicionTime     = 30 * time.Second
	defaultSettleTime            = 200 * time.Millisecond
	defaultProofTime             = time.Minute
	defaultMaxCrashes            = 32
	defaultMaxQuarantined        = 64
	defaultMaxProved             = 16384

	// withdrawnTime is the time after which a server no longer ends because of a
	// request that this node has taken back.
	withdrawnTime = time.Second
	// maxWithdrawn is the number of such requests that are kept.
	maxWithdrawn = 256
	// commonCauseWindow is the time within which the ends of several servers may
	// have one cause, such as the loss of their fabric domain.
	commonCauseWindow = 100 * time.Millisecond
	// retractTime is the time after the break of a connection from which data from
	// the server shows that it had not ended. Reports of older data have arrived by
	// then. A server does not start again within maxRetractTime.
	retractTime    = 250 * time.Millisecond
	maxRetractTime = time.Second
	// otherTrialDelay is the additional delay of the trial of a suspect on a node
	// that did not see the crash itself, or not as the first by name. On top of it,
	// the nodes take turns of trialTurn.
	otherTrialDelay = 300 * time.Millisecond
	trialTurn       = 300 * time.Millisecond
	// probationFactor is the time after a quarantine, as a multiple of it, for
	// which a part is tried alone before it is forgotten.
	probationFactor = 10
	// certainCrashes is the number of crashes from which a part is quarantined
	// although other parts were present each time.
	certainCrashes = 3
)

func (cfg PartsConfig) withDefaults() PartsConfig {
	cfg.QuarantineTime = cmp.Or(cfg.QuarantineTime, defaultPartQuarantineTime)
	cfg.MaxQuarantineTime = cmp.Or(cfg.MaxQuarantineTime, defaultPartMaxQuarantineTime)
	cfg.SuspicionTime = cmp.Or(cfg.SuspicionTime, defaultPartSuspicionTime)
	cfg.SettleTime = cmp.Or(cfg.SettleTime, defaultSettleTime)
	cfg.ProofTime = cmp.Or(cfg.ProofTime, defaultProofTime)
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, defaultMaxCrashes)
	cfg.MaxQuarantined = cmp.Or(cfg.MaxQuarantined, defaultMaxQuarantined)
	cfg.MaxProved = cmp.Or(cfg.MaxProved, defaultMaxProved)
	return cfg
}

// Stage is how far the answer to a request had come when its connection ended.
type Stage uint8

// Stages of an answer.
const (
	// StageWaiting is that of a request without an answer.
	StageWaiting Stage = iota
	// StageBegun is that of an answer without an event.
	StageBegun
	// StageAnswered is that of an answer with events, which is not beyond the point at which
	// servers crash.
	StageAnswered
	numStages
)

// evidence is one node's view of the end of a server: the parts of its requests by the
// stage of their answers.
type evidence struct {
	at     time.Time
	stages [numStages]subjects
	// partial is set if some of the parts are not known.
	partial bool
}

// withdrawal is a request that this node took back from a server before its answer was
// beyond the point at which servers crash.
type withdrawal struct {
	run   ServerRun
	req   Subject
	stage Stage
	at    time.Time
}

// subjects is a set of shared parts and one of whole requests.
type subjects struct {
	shared, own map[core.PromptPart]struct{}
}

func (sub *subjects) add(req Subject) {
	if sub.shared == nil {
		sub.shared, sub.own = map[core.PromptPart]struct{}{}, map[core.PromptPart]struct{}{}
	}
	for _, part := range req.Shared {
		sub.shared[part] = struct{}{}
	}
	if req.Own != "" {
		sub.own[req.Own] = struct{}{}
	}
}

func (sub *subjects) empty() bool { return sub.size() == 0 }

// quarantine is a period in which requests with a part are refused.
type quarantine struct {
	at, until time.Time
	// count is the number of quarantines of the part in a row.
	count   int
	servers []string
}

// probation returns the time until which the part is tried alone.
func (qua quarantine) probation() time.Time {
	return qua.until.Add(probationFactor * qua.until.Sub(qua.at))
}

// PartTracker finds the parts of prompts on which backend servers crash. Use
// NewPartTracker. It is not safe for concurrent use.
type PartTracker struct {
	cfg  PartsConfig
	node string
	// nodes is the number of live nodes.
	nodes int
	// crashes are the ends of servers that this node observed.
	crashes map[ServerRun]*evidence
	peers   map[string]peerParts
	// withdrawn are the requests taken back within withdrawnTime.
	withdrawn []withdrawal
	// proved are the successes at this node, peerProved those that peers reported.
	// They are separate so that reports are not passed on, which would make them
	// appear later with each hop.
	proved, peerProved successes
	quarantines        map[core.PromptPart]quarantine
	// trial is the subject that this node tries, if onTrial is set.
	trial   Subject
	onTrial bool

	// suspects maps the suspected parts to the time of their first crash, as of
	// evaluatedAt, unless stale is set.
	suspects map[core.PromptPart]suspicion
	// mentioned are the shared parts in the evidence of all nodes.
	mentioned   map[core.PromptPart]struct{}
	evaluatedAt time.Time
	// stale is set if this node's evidence has changed since, reported if that of
	// a peer has.
	stale, reported bool
	// urgent is set if peers should get a report at once.
	urgent  bool
	changes []PartChange
}

// suspicion is the state of a part that may have crashed servers.
type suspicion struct {
	since   time.Time
	servers []string
}

// NewPartTracker returns a PartTracker of a node without any evidence.
func NewPartTracker(node string, cfg PartsConfig) *PartTracker {
	cfg = cfg.withDefaults()
	return &PartTracker{
		cfg: cfg, node: node, nodes: 1, crashes: map[ServerRun]*evidence{}, peers: map[string]peerParts{}, proved: newSuccesses(cfg.MaxProved), peerProved: newSuccesses(cfg.MaxProved),
		quarantines: map[core.PromptPart]quarantine{}, suspects: map[core.PromptPart]suspicion{},
	}
}

// SetNodes sets the number of live nodes, including this one.
func (tr *PartTracker) SetNodes(num int) { tr.nodes = num }

// Interrupted records that the connection of a request to a server ended before its
// answer was beyond the point at which servers crash. Requests beyond the limits are not
// recorded.
func (tr *PartTracker) Interrupted(run ServerRun, req Subject, stage Stage, now time.Time) {
	ev := tr.crashes[run]
	if ev == nil {
		tr.expireCrashes(now)
		if len(tr.crashes) >= tr.cfg.MaxCrashes {
			return
		}
		ev = &evidence{at: now}
		tr.crashes[run] = ev
	}
	ev.stages[stage].add(req)
	tr.urgent = tr.urgent || stage != StageWaiting
	tr.stale = true
}

// Withdrawn records that this node took a request back from a server before its answer
// was beyond the point at which servers crash. If the server ends soon, the request may
// be the cause.
func (tr *PartTracker) Withdrawn(run ServerRun, req Subject, stage Stage, now time.Time) {
	if len(tr.withdrawn) < maxWithdrawn {
		tr.withdrawn = append(tr.withdrawn, withdrawal{run: run, req: req, stage: stage, at: now})
		tr.stale = true
	}
}

// addWithdrawn adds the requests to the evidence that were taken back from
// servers that ended since.
func (tr *PartTracker) addWithdrawn(now time.Time) {
	if len(tr.withdrawn) == 0 {
		return
	}
	ended := map[ServerRun]bool{}
	for run := range tr.crashes {
		ended[run] = true
	}
	for _, peer := range tr.peers {
		for run := range peer.crashes {
			ended[run] = true
		}
	}
	tr.withdrawn = slices.DeleteFunc(tr.withdrawn, func(wdr withdrawal) bool {
		if ended[wdr.run] {
			tr.Interrupted(wdr.run, wdr.req, wdr.stage, now)
		}
		return ended[wdr.run] || now.Sub(wdr.at) >= withdrawnTime
	})
}

// TakeUrgent reports whether evidence or a quarantine has been added since the
// last call that peers should get at once.
func (tr *PartTracker) TakeUrgent() bool {
	out := tr.urgent
	tr.urgent = false
	return out
}

// Proved records that a server answers the request beyond the point at which
// servers crash. It clears the request's parts.
func (tr *PartTracker) Proved(req Subject, now time.Time) {
	for _, part := range req.Shared {
		tr.proved.record(part, now)
	}
	if req.Own != "" && (tr.involved(req.Own) || tr.quarantines[req.Own].count > 0) {
		tr.proved.record(req.Own, now)
	}
	if !tr.idle() {
		tr.stale = true
	}
}

// involved reports whether the request is in the evidence of a crash.
func (tr *PartTracker) involved(own core.PromptPart) bool {
	for _, ev := range tr.crashes {
		for _, sub := range ev.stages {
			if _, ok := sub.own[own]; ok {
				return true
			}
		}
	}
	return false
}

// Retract drops the evidence of servers that turn out not to have ended. active
// returns the time of the last data from a server at any node, zero if unknown.
func (tr *PartTracker) Retract(active func(id string) time.Time, now time.Time) {
	for run, ev := range tr.crashes {
		if now.Sub(ev.at) < maxRetractTime && active(run.ID).After(ev.at.Add(retractTime)) {
			delete(tr.crashes, run)
			tr.stale = true
		}
	}
}

// lastProved returns the time of the last success of a part at any node, zero
// if there is none.
func (tr *PartTracker) lastProved(part core.PromptPart) time.Time {
	own, other := tr.proved.last(part), tr.peerProved.last(part)
	if other.After(own) {
		return other
	}
	return own
}

// PartDecision is the decision on a request. Until is the end of a quarantine,
// Part the part that decided, and Servers the servers that ended under it.
type PartDecision struct {
	Disposition Disposition
	Part        core.PromptPart
	Servers     []string
	Until       time.Time
}

// idle reports whether nothing is suspected or quarantined by any node.
func (tr *PartTracker) idle() bool {
	return len(tr.crashes) == 0 && len(tr.peers) == 0 && len(tr.quarantines) == 0
}

// Decide returns the disposition of a request. An isolated one may be sent only
// if StartTrial allows it.
func (tr *PartTracker) Decide(req Subject, now time.Time) PartDecision {
	if tr.idle() {
		return PartDecision{}
	}
	tr.evaluate(now)
	out := PartDecision{}
	for _, part := range append(slices.Clone(req.Shared), req.Own) {
		if qua, ok := tr.quarantines[part]; ok && now.Before(qua.until) {
			return PartDecision{Disposition: Quarantined, Part: part, Servers: qua.servers, Until: qua.until}
		}
		if sus, ok := tr.suspects[part]; ok && part != req.Own {
			out = PartDecision{Disposition: Isolated, Part: part, Servers: sus.servers}
		}
	}
	return out
}

// expireCrashes drops the evidence that is older than the suspicion time.
func (tr *PartTracker) expireCrashes(now time.Time) {
	expired := func(_ ServerRun, ev *evidence) bool { return now.Sub(ev.at) >= tr.cfg.SuspicionTime }
	maps.DeleteFunc(tr.crashes, expired)
	for name, peer := range tr.peers {
		if len(peer.crashes) > 0 {
			maps.DeleteFunc(peer.crashes, expired)
		}
		if len(peer.crashes) == 0 && !now.Before(peer.expiresAt) {
			delete(tr.peers, name)
		}
	}
}

// PartChange is a change of what a node holds of a part.
type PartChange struct {
	Kind    PartChangeKind
	Part    core.PromptPart
	Servers []string
	Until   time.Time
}

// PartChangeKind is the kind of a PartChange.
type PartChangeKind uint8

// Kinds of changes.
const (
	PartSuspected PartChangeKind = iota
	PartQuarantined
	PartCleared
)

// String returns the name of the kind.
func (kind PartChangeKind) String() string {
	return [...]string{"suspected", "quarantined", "cleared"}[kind]
}

// TakeChanges evaluates the evidence and returns the changes since the last
// call.
func (tr *PartTracker) TakeChanges(now time.Time) []PartChange {
	if !tr.idle() || len(tr.suspects) > 0 {
		tr.evaluate(now)
	}
	out := tr.changes
	tr.changes = nil
	return out
}
