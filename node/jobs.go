package node

import (
	"context"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
	"kumquathinge/core/membr"
	"kumquathinge/core/tree"
	"kumquathinge/io/front"
	"kumquathinge/io/plain"
	"kumquathinge/io/wire"
	"kumquathinge/queue"
	"kumquathinge/serve"
)

// maxHops is the number of times that a job is handed to another zone.
const maxHops = 1

// maxPeerTries bounds the peers that a job is offered to.
const maxPeerTries = 3

// jobs takes requests of callers and forwarded jobs of peers.
type jobs struct {
	node  core.NodeName
	zone  core.Zone
	world func() *world
	lst   *lister
	bet   *beater
	prb   *prober
	gat   *gate.Gate
	que   *queue.Queue
	srv   *serve.Server
	cho   *chooser
	now   func() time.Time
	pools plains
	stop  *stopper
	ready func() bool
}

var _ front.Backend = (*jobs)(nil)

// Org returns the organisation of a bearer key's hash.
func (jbs *jobs) Org(sum string) (core.OrgName, bool) {
	org, ok := jbs.world().keys[sum]
	return org, ok
}

// Limits returns what applies to an organisation's jobs.
func (jbs *jobs) Limits(org core.OrgName) front.Limits {
	cfg := jbs.world().tree.Config(tree.OrgPath(org))
	return front.Limits{
		Deadline: cfg.Duration("request.deadline"),
		Priority: cfg.Int("org.priority"),
	}
}

// Models returns the models that the settings have.
func (jbs *jobs) Models() []core.ModelName {
	return jbs.world().models
}

// Ready returns core.CodeOK if the balancer shall send requests here.
func (jbs *jobs) Ready() core.Code {
	drain := jbs.world().tree.Config(tree.NodePath(jbs.node)).Bool("node.draining")
	if drain || jbs.stop.stopping() {
		return core.CodeDraining
	}
	return jbs.Accepts()
}

// Accepts returns core.CodeOK if a request that comes is served.
func (jbs *jobs) Accepts() core.Code {
	if jbs.stop.closed() {
		return core.CodeDraining
	}
	if !jbs.ready() {
		return core.CodeNotReady
	}
	return core.CodeOK
}

// Run runs a job here or, if the zone can't serve it, in another zone.
func (jbs *jobs) Run(ctx context.Context, job core.Job, snk core.Sink) error {
	done, err := jbs.stop.enter()
	if err != nil {
		return err
	}
	defer done()
	if job.OrderingKey != "" && job.Hops == 0 && !jbs.ownsOrder(job) {
		job.Hops++
		return jbs.Forward(ctx, job, snk)
	}
	if !jbs.serves(job) {
		return jbs.runElsewhere(ctx, job, snk)
	}
	tkt, err := jbs.que.Enter(ctx, job)
	if err != nil {
		return err
	}
	cnt := &counter{snk: snk}
	err = jbs.srv.Run(ctx, job, cnt)
	tkt.Done(cnt.tokens)
	return err
}

// isolates reports whether suspects of this node may run on the group: each
// group of a zone is used by the suspects of one of its nodes.
func (jbs *jobs) isolates(grp core.GroupName) bool {
	rnk := membr.Rank(string(grp), jbs.bet.circle().inZone(jbs.zone))
	return len(rnk) == 0 || rnk[0] == jbs.node
}

// serves reports whether the zone has a complete group or a server for the
// job.
func (jbs *jobs) serves(job core.Job) bool {
	if job.Service != "" {
		return len(jbs.Plains(job.Service)) > 0
	}
	now := jbs.now()
	for _, asg := range jbs.world().byModel[job.Model] {
		if !suits(asg, job) {
			continue
		}
		if _, err := jbs.gat.Permit(asg.Group, now); err == nil {
			return true
		}
	}
	return false
}

// suits reports whether the assignment runs what the job asks for.
func suits(asg core.Assignment, job core.Job) bool {
	if asg.Phase != core.PhaseAssigned || asg.Spec.Role == core.RolePrefill {
		return false
	}
	return job.Adapter == "" || slices.Contains(asg.Spec.Adapters, job.Adapter)
}

// runElsewhere runs a job that the zone can't serve. A job that came from
// another zone goes back to it, which knows further zones.
func (jbs *jobs) runElsewhere(ctx context.Context, job core.Job, snk core.Sink) error {
	if job.Hops >= maxHops {
		return notHere(job)
	}
	return jbs.srv.Run(ctx, job, snk)
}

// groupRetryAfter is the time after which a caller may ask again for a job
// that no zone can serve.
const groupRetryAfter = time.Second

// notHere returns the error for a job that the zone can't serve.
func notHere(job core.Job) error {
	if job.Service != "" {
		return core.WithRetryAfter(core.Errorf(core.CodeNoService, "no server of service %q", job.Service), groupRetryAfter)
	}
	return core.WithRetryAfter(core.Errorf(core.CodeNoGroup, "no complete group of model %q", job.Model), groupRetryAfter)
}

// Forward hands a job to a node of another zone. Only a peer at which the job
// surely did not run, and that can't serve it, is followed by another.
func (jbs *jobs) Forward(ctx context.Context, job core.Job, snk core.Sink) error {
	if job.Hops > maxHops {
		return core.Errorf(core.CodeHopLimit, "job was handed on %d times", job.Hops-1)
	}
	if jbs.unknown(job) {
		return notConfigured(job)
	}
	err := notHere(job)
	for _, bea := range jbs.others(job) {
		err = jbs.bet.client(bea.Addr).Forward(ctx, job, snk)
		if !passOver.Has(core.CodeOf(err)) {
			return err
		}
	}
	return err
}

// passOver are the results after which another peer is tried. All of them
// state that the job did not run.
var passOver = core.NewSet(
	core.CodePeerUnreachable,
	core.CodeNoGroup,
	core.CodeNoService,
	core.CodeNotReady,
	core.CodeDraining,
	core.CodeQueueFull,
)

// unknown reports whether the settings don't have the job's model or service.
func (jbs *jobs) unknown(job core.Job) bool {
	tre := jbs.world().tree
	if job.Service != "" {
		return !tre.Config(tree.ServicePath(job.Service)).Bool("service.enabled")
	}
	return !slices.Contains(jbs.Models(), job.Model)
}

// notConfigured returns the error for a job whose model or service the
// settings don't have.
func notConfigured(job core.Job) error {
	if job.Service != "" {
		return core.Errorf(core.CodeNoService, "service %q is not enabled", job.Service)
	}
	return core.Errorf(core.CodeNoModel, "model %q does not exist", job.Model)
}

// ownsOrder reports whether this node runs the calls of the job's ordering
// key. It is the first in a ranking of the live nodes whose zone has servers
// for the job, so that all nodes hand such calls to the same one.
func (jbs *jobs) ownsOrder(job core.Job) bool {
	rnk := jbs.orderRank(job)
	return len(rnk) == 0 || rnk[0].Node == jbs.node
}

// orderRank returns the live nodes that may run the calls of the job's ordering
// key, in the order of preference.
func (jbs *jobs) orderRank(job core.Job) []core.Heartbeat {
	zons := jbs.zones(job)
	var near []core.Heartbeat
	for _, bea := range jbs.bet.circle().live {
		if zons.Has(bea.Zone) {
			near = append(near, bea)
		}
	}
	return rankBeats(job.Service+"/"+job.OrderingKey, near)
}

// rankBeats returns nodes in the order of a ranking by key.
func rankBeats(key string, beats []core.Heartbeat) []core.Heartbeat {
	byName := make(map[core.NodeName]core.Heartbeat, len(beats))
	for _, bea := range beats {
		byName[bea.Node] = bea
	}
	out := make([]core.Heartbeat, 0, len(beats))
	for _, nam := range membr.Rank(key, membr.NodeNames(beats)) {
		out = append(out, byName[nam])
	}
	return out
}

// others returns the nodes to hand a job to. Those of a job with an ordering
// key are ranked by the key. Those of another job are in other zones, those
// first whose zone has what the job needs, ranked by the job's ID.
func (jbs *jobs) others(job core.Job) []core.Heartbeat {
	if job.OrderingKey != "" {
		return jbs.orderRank(job)
	}
	var near, far []core.Heartbeat
	zons := jbs.zones(job)
	for _, bea := range jbs.bet.circle().live {
		switch {
		case bea.Zone == jbs.zone:
		case zons.Has(bea.Zone):
			near = append(near, bea)
		default:
			far = append(far, bea)
		}
	}
	out := append(rankBeats(job.ID, near), rankBeats(job.ID, far)...)
	return out[:min(len(out), maxPeerTries)]
}

// zones returns the zones that have a group or a server for the job.
func (jbs *jobs) zones(job core.Job) core.Set[core.Zone] {
	set := core.NewSet[core.Zone]()
	if job.Service != "" {
		for _, vmx := range jbs.lst.roster().vms {
			if vmx.Kind == core.VMPlain && vmx.Service == job.Service {
				set.Add(vmx.Zone)
			}
		}
		return set
	}
	for _, asg := range jbs.world().everywhere {
		if asg.Spec.Model == job.Model && suits(asg, job) {
			set.Add(asg.Zone)
		}
	}
	return set
}

// counter counts the tokens that pass to a sink.
type counter struct {
	snk    core.Sink
	tokens int
}

var _ core.Sink = (*counter)(nil)

// WritePart passes prt on.
func (cnt *counter) WritePart(prt core.Part) error {
	if prt.Text != "" {
		cnt.tokens++
	}
	return cnt.snk.WritePart(prt)
}

// Candidates returns the zone's groups that could serve the job.
func (jbs *jobs) Candidates(job core.Job) []core.Candidate {
	wor := jbs.world()
	sgs := jbs.gat.Statuses()
	fly := jbs.srv.InFlight()
	var out []core.Candidate
	for _, asg := range wor.byModel[job.Model] {
		if !suits(asg, job) {
			continue
		}
		sgt := sgs[asg.VMs[0]]
		out = append(out, core.Candidate{
			Group:        asg.Group,
			FencingToken: asg.FencingToken,
			Load:         sgt.Probe.Load,
			LoadAt:       sgt.ProbeSentAt,
			InFlight:     fly[asg.Group],
			Capacity:     wor.capacity(asg),
		})
	}
	return out
}

// capacity returns how many requests the assignment's group runs at once.
func (wor *world) capacity(asg core.Assignment) int {
	return wor.tree.Config(tree.GroupPath(asg.Spec.Model, asg.Group)).Int("model.capacity")
}

// Engine returns the client of an engine of the zone, timed for the chooser.
func (jbs *jobs) Engine(vmx core.VMName) (core.Engine, error) {
	eng, err := jbs.prb.engine(vmx)
	if err != nil {
		return nil, err
	}
	return timedEngine{Engine: eng, cho: jbs.cho}, nil
}

// Plains returns the zone's servers of a service that may get work.
func (jbs *jobs) Plains(service string) []core.VMName {
	wor := jbs.world()
	if !wor.tree.Config(tree.ServicePath(service)).Bool("service.enabled") {
		return nil
	}
	ros := jbs.lst.roster()
	lea := wor.leaving(ros)
	var out []core.VMName
	for _, vmx := range ros.inZone(jbs.zone, core.VMPlain) {
		if vmx.Service == service && !lea.Has(vmx.Name) {
			out = append(out, vmx.Name)
		}
	}
	return out
}

// Plain returns the client of a plain service's server.
func (jbs *jobs) Plain(nam core.VMName) (core.PlainServer, error) {
	vmx, ok := jbs.lst.roster().find(nam)
	if !ok {
		return nil, core.Errorf(core.CodeVMUnknown, "VM %q is not on the list", nam)
	}
	return jbs.pools.get(vmx.Addr, func() *plain.Service {
		return plain.New(vmx.Addr, plain.Config{Wire: wire.Config{DialTimeout: serverDialTimeout}})
	}), nil
}
