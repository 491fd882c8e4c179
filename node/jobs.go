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

// maxHops is the number of times that a job may be forwarded to another zone.
const maxHops = 1

// maxPeerAttempts limits the number of peers to which one job is forwarded in
// turn.
const maxPeerAttempts = 3

// jobRunner runs the requests of callers and the jobs that peers forward.
type jobRunner struct {
	node         core.NodeName
	zone         core.Zone
	state        func() *clusterState
	vmPoller     *vmListPoller
	membership   *membership
	prober       *engineProber
	gate         *gate.Gate
	queue        *queue.Queue
	server       *serve.Server
	router       *sharedRouter
	now          func() time.Time
	plainClients plainClientPool
	tracker      *drainTracker
	stateReady   func() bool
}

var _ front.Backend = (*jobRunner)(nil)

// Org returns the organisation of a bearer key by the key's hash.
func (jobs *jobRunner) Org(keyHash string) (core.OrgName, bool) {
	org, ok := jobs.state().orgByKeyHash[keyHash]
	return org, ok
}

// Limits returns the limits on the deadline and priority of an organisation's
// jobs.
func (jobs *jobRunner) Limits(org core.OrgName) front.Limits {
	cfg := jobs.state().tree.Config(tree.OrgPath(org))
	return front.Limits{
		Deadline: cfg.Duration("request.deadline"),
		Priority: cfg.Int("org.priority"),
	}
}

// Models returns the models in the settings.
func (jobs *jobRunner) Models() []core.ModelName {
	return jobs.state().models
}

// Ready returns core.CodeOK if the load balancer should send requests here.
func (jobs *jobRunner) Ready() core.Code {
	draining := jobs.state().tree.Config(tree.NodePath(jobs.node)).Bool("node.draining")
	if draining || jobs.tracker.stopping() {
		return core.CodeDraining
	}
	return jobs.Accepts()
}

// Accepts returns core.CodeOK if requests are accepted. A draining node is not
// ready but still accepts requests.
func (jobs *jobRunner) Accepts() core.Code {
	if jobs.tracker.closed() {
		return core.CodeDraining
	}
	if !jobs.stateReady() {
		return core.CodeNotReady
	}
	return core.CodeOK
}

// Run runs a job here or, if the zone can't serve it, in another zone.
func (jobs *jobRunner) Run(ctx context.Context, job core.Job, sink core.Sink) error {
	done, err := jobs.tracker.begin()
	if err != nil {
		return err
	}
	defer done()
	if job.OrderingKey != "" && job.Hops == 0 && !jobs.ownsOrderingKey(job) {
		job.Hops++
		return jobs.Forward(ctx, job, sink)
	}
	if !jobs.canServe(job) {
		return jobs.runElsewhere(ctx, job, sink)
	}
	ticket, err := jobs.queue.Enter(ctx, job)
	if err != nil {
		return err
	}
	counter := &tokenCounter{sink: sink}
	err = jobs.server.Run(ctx, job, counter)
	ticket.Done(counter.tokens)
	return err
}

// allowsSuspects reports whether this node may run suspect requests on the
// group: each group of a zone gets the suspects of only one of the zone's
// nodes.
func (jobs *jobRunner) allowsSuspects(group core.GroupName) bool {
	ranking := membr.Rank(string(group), jobs.membership.liveNodes().inZone(jobs.zone))
	return len(ranking) == 0 || ranking[0] == jobs.node
}

// canServe reports whether the zone has a complete group or a server for the
// job.
func (jobs *jobRunner) canServe(job core.Job) bool {
	if job.Service != "" {
		return len(jobs.Plains(job.Service)) > 0
	}
	if jobs.state().evacuated {
		return false
	}
	now := jobs.now()
	for _, assignment := range jobs.state().assignmentsByModel[job.Model] {
		if !canRun(assignment, job) {
			continue
		}
		if _, err := jobs.gate.Permit(assignment.Group, now); err == nil {
			return true
		}
	}
	return false
}

// canRun reports whether the assignment serves the job's adapter with a role
// that generates.
func canRun(assignment core.Assignment, job core.Job) bool {
	if assignment.Phase != core.PhaseAssigned || assignment.Spec.Role == core.RolePrefill {
		return false
	}
	return job.Adapter == "" || slices.Contains(assignment.Spec.Adapters, job.Adapter)
}

// runElsewhere runs a job that the zone can't serve. A job that was forwarded
// from another zone is returned to it, and that zone tries further zones.
func (jobs *jobRunner) runElsewhere(ctx context.Context, job core.Job, sink core.Sink) error {
	if job.Hops >= maxHops {
		return unservableError(job)
	}
	return jobs.server.Run(ctx, job, sink)
}

// unservableRetryAfter is the time after which a caller may retry a job that
// no zone can serve.
const unservableRetryAfter = time.Second

// unservableError returns the error for a job that the zone can't serve.
func unservableError(job core.Job) error {
	if job.Service != "" {
		return core.WithRetryAfter(core.Errorf(core.CodeNoService, "no server of service %q", job.Service), unservableRetryAfter)
	}
	return core.WithRetryAfter(core.Errorf(core.CodeNoGroup, "no complete group of model %q", job.Model), unservableRetryAfter)
}

// Forward forwards a job to a node of another zone. It tries the next peer
// only if the last one returned a code that says that the job did not run.
func (jobs *jobRunner) Forward(ctx context.Context, job core.Job, sink core.Sink) error {
	if job.Hops > maxHops {
		return core.Errorf(core.CodeHopLimit, "job was already forwarded %d times", job.Hops-1)
	}
	if jobs.unconfigured(job) {
		return unconfiguredError(job)
	}
	if zones := jobs.zonesWith(job); zones.Len() > 0 && jobs.state().inService(zones).Len() == 0 {
		return evacuatedError(zones)
	}
	err := unservableError(job)
	for _, hb := range jobs.forwardTargets(job) {
		err = jobs.membership.client(hb.Addr).Forward(ctx, job, sink)
		if !retryablePeerCodes.Has(core.CodeOf(err)) {
			return err
		}
	}
	return err
}

// retryablePeerCodes are the codes after which the next peer is tried. All of
// them state that the job did not run.
var retryablePeerCodes = core.NewSet(
	core.CodePeerUnreachable,
	core.CodeNoGroup,
	core.CodeNoService,
	core.CodeZoneEvacuated,
	core.CodeNotReady,
	core.CodeDraining,
	core.CodeQueueFull,
)

// unconfigured reports whether the job's model or service is missing from the
// settings.
func (jobs *jobRunner) unconfigured(job core.Job) bool {
	settings := jobs.state().tree
	if job.Service != "" {
		return !settings.Config(tree.ServicePath(job.Service)).Bool("service.enabled")
	}
	return !slices.Contains(jobs.Models(), job.Model)
}

// unconfiguredError returns the error for a job whose model or service is
// missing from the settings.
func unconfiguredError(job core.Job) error {
	if job.Service != "" {
		return core.Errorf(core.CodeNoService, "service %q is not enabled", job.Service)
	}
	return core.Errorf(core.CodeNoModel, "model %q does not exist", job.Model)
}

// ownsOrderingKey reports whether this node runs the calls of the job's
// ordering key. It is the first in a ranking of the live nodes whose zone has
// servers for the job, so that all nodes forward such calls to the same one.
func (jobs *jobRunner) ownsOrderingKey(job core.Job) bool {
	ranking := jobs.orderingKeyNodes(job)
	return len(ranking) == 0 || ranking[0].Node == jobs.node
}

// orderingKeyNodes returns the live nodes that may run the calls of the job's
// ordering key, in order of preference.
func (jobs *jobRunner) orderingKeyNodes(job core.Job) []core.Heartbeat {
	zones := jobs.zonesFor(job)
	var preferred []core.Heartbeat
	for _, hb := range jobs.membership.liveNodes().heartbeats {
		if zones.Has(hb.Zone) {
			preferred = append(preferred, hb)
		}
	}
	return rankNodes(job.Service+"/"+job.OrderingKey, preferred)
}

// rankNodes sorts nodes by their rank for the key.
func rankNodes(key string, heartbeats []core.Heartbeat) []core.Heartbeat {
	byName := make(map[core.NodeName]core.Heartbeat, len(heartbeats))
	for _, hb := range heartbeats {
		byName[hb.Node] = hb
	}
	out := make([]core.Heartbeat, 0, len(heartbeats))
	for _, name := range membr.Rank(key, membr.NodeNames(heartbeats)) {
		out = append(out, byName[name])
	}
	return out
}

// forwardTargets returns the nodes to which a job may be forwarded, in order
// of preference. With an ordering key they are the nodes ranked by that key.
// Otherwise they are nodes of other zones, ranked by the job's ID, first those
// whose zone has a group or a server for the job.
func (jobs *jobRunner) forwardTargets(job core.Job) []core.Heartbeat {
	if job.OrderingKey != "" {
		return jobs.orderingKeyNodes(job)
	}
	var preferred, others []core.Heartbeat
	zones := jobs.zonesFor(job)
	for _, hb := range jobs.membership.liveNodes().heartbeats {
		switch {
		case hb.Zone == jobs.zone:
		case zones.Has(hb.Zone):
			preferred = append(preferred, hb)
		default:
			others = append(others, hb)
		}
	}
	out := append(rankNodes(job.ID, preferred), rankNodes(job.ID, others)...)
	return out[:min(len(out), maxPeerAttempts)]
}

// zonesFor returns the zones that have a group or a server for the job and are not
// evacuated.
func (jobs *jobRunner) zonesFor(job core.Job) core.Set[core.Zone] {
	return jobs.state().inService(jobs.zonesWith(job))
}

// zonesWith returns the zones that have a group or a server for the job.
func (jobs *jobRunner) zonesWith(job core.Job) core.Set[core.Zone] {
	set := core.NewSet[core.Zone]()
	if job.Service != "" {
		for _, vm := range jobs.vmPoller.list().vms {
			if vm.Kind == core.VMPlain && vm.Service == job.Service {
				set.Add(vm.Zone)
			}
		}
		return set
	}
	for _, assignment := range jobs.state().allAssignments {
		if assignment.Spec.Model == job.Model && canRun(assignment, job) {
			set.Add(assignment.Zone)
		}
	}
	return set
}

// tokenCounter counts the tokens that pass to a sink.
type tokenCounter struct {
	sink   core.Sink
	tokens int
}

var _ core.Sink = (*tokenCounter)(nil)

// WritePart counts the part and passes it on.
func (counter *tokenCounter) WritePart(part core.Part) error {
	if part.Text != "" {
		counter.tokens++
	}
	return counter.sink.WritePart(part)
}

// Candidates returns the zone's groups that could serve the job.
func (jobs *jobRunner) Candidates(job core.Job) []core.Candidate {
	state := jobs.state()
	if state.evacuated {
		return nil
	}
	statuses := jobs.gate.Statuses()
	inFlight := jobs.server.InFlight()
	var out []core.Candidate
	for _, assignment := range state.assignmentsByModel[job.Model] {
		if !canRun(assignment, job) {
			continue
		}
		status := statuses[assignment.VMs[0]]
		out = append(out, core.Candidate{
			Group:        assignment.Group,
			FencingToken: assignment.FencingToken,
			Load:         status.Probe.Load,
			LoadAt:       status.ProbeSentAt,
			InFlight:     inFlight[assignment.Group],
			Capacity:     state.groupCapacity(assignment),
		})
	}
	return out
}

// groupCapacity returns how many requests the assignment's group runs at once.
func (state *clusterState) groupCapacity(assignment core.Assignment) int {
	return state.tree.Config(tree.GroupPath(assignment.Spec.Model, assignment.Group)).Int("model.capacity")
}

// Engine returns a client of a VM's engine that reports its results to the
// router.
func (jobs *jobRunner) Engine(vm core.VMName) (core.Engine, error) {
	eng, err := jobs.prober.engine(vm)
	if err != nil {
		return nil, err
	}
	return timedEngine{Engine: eng, router: jobs.router}, nil
}

// Plains returns the zone's servers of a plain service that may get work.
func (jobs *jobRunner) Plains(service string) []core.VMName {
	state := jobs.state()
	if state.evacuated || !state.tree.Config(tree.ServicePath(service)).Bool("service.enabled") {
		return nil
	}
	list := jobs.vmPoller.list()
	leaving := state.leavingVMs(list)
	var out []core.VMName
	for _, vm := range list.inZone(jobs.zone, core.VMPlain) {
		if vm.Service == service && !leaving.Has(vm.Name) {
			out = append(out, vm.Name)
		}
	}
	return out
}

// Plain returns the client of a plain service's server.
func (jobs *jobRunner) Plain(name core.VMName) (core.PlainServer, error) {
	vm, ok := jobs.vmPoller.list().find(name)
	if !ok {
		return nil, core.Errorf(core.CodeVMUnknown, "VM %q is not in the VM list", name)
	}
	return jobs.plainClients.get(vm.Addr, func() *plain.Client {
		return plain.New(vm.Addr, plain.Config{Wire: wire.Config{DialTimeout: serverDialTimeout}})
	}), nil
}
