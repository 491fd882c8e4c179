package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
	"kumquathinge/store"
)

// outcomeTimeout limits the time for looking up the decision on a record.
const outcomeTimeout = 2 * time.Second

// admin implements the backend of the operators' interface.
type admin struct {
	self       core.NodeName
	zone       core.Zone
	store      *store.Store
	stateCache *clusterStateCache
	vmPoller   *vmListPoller
	membership *membership
	jobs       *jobRunner
	now        func() time.Time
}

var _ oper.Backend = (*admin)(nil)

// newAdmin returns the backend of the operators' interface.
func newAdmin(in dependencies, jobs *jobRunner) *admin {
	return &admin{
		self:       in.Config.Node,
		zone:       in.Config.Zone,
		store:      in.Store,
		stateCache: in.StateCache,
		vmPoller:   in.VMPoller,
		membership: in.Membership,
		jobs:       jobs,
		now:        in.Now,
	}
}

// View returns the replicated state, or nil until the node has one.
func (adm *admin) View() *fold.View {
	if !adm.store.Status().Ready {
		return nil
	}
	return adm.store.View()
}

// Propose appends one record to the log and returns the decision on it.
func (adm *admin) Propose(ctx context.Context, rec recd.Record) (fold.Decision, error) {
	decisions, err := adm.store.Propose(ctx, rec)
	if err != nil {
		return fold.Decision{}, err
	}
	if len(decisions) != 1 {
		return fold.Decision{}, core.Errorf(core.CodeLogUnknown, "%d decisions for one record; query the outcome by ID %s", len(decisions), rec.ID)
	}
	return decisions[0], nil
}

// Outcome returns the decision on a record, and false if there is none or the
// lookup failed.
func (adm *admin) Outcome(id core.RecordID) (fold.Decision, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	decision, ok, err := adm.store.Decision(ctx, id)
	return decision, ok && err == nil
}

// Status returns the status of groups, VMs and nodes. Groups and VMs of other
// zones have no probe results, because each node probes only its own zone.
func (adm *admin) Status(context.Context) oper.Status {
	status := adm.store.Status()
	view := adm.store.View()
	code := adm.jobs.Ready()
	out := oper.Status{
		Node:       adm.self,
		Ready:      code == core.CodeOK,
		Code:       cmp.Or(code, status.Code),
		Reason:     status.Detail,
		Log:        oper.LogStatus{OK: status.LogOK, Applied: status.Offset, Hash: formatHash(status.Hash), Detail: status.Detail},
		Groups:     adm.groups(view),
		VMs:        adm.vms(view),
		Nodes:      adm.nodes(),
		Quarantine: adm.quarantine(),
	}
	if code == core.CodeDraining {
		out.Reason = "this entry VM is draining or stopping"
	}
	return out
}

// quarantine returns the quarantined requests, combining the crash reports of
// this node and of the other live nodes.
func (adm *admin) quarantine() []oper.Quarantined {
	reports := [][]core.Suspect{adm.jobs.server.Suspects()}
	for _, hb := range adm.membership.liveNodes().heartbeats {
		if hb.Node != adm.self {
			reports = append(reports, hb.Suspects)
		}
	}
	out := []oper.Quarantined{}
	for _, suspect := range crash.QuarantinedRequests(adm.now(), reports...) {
		out = append(out, oper.Quarantined{Fingerprint: formatHash(suspect.Fingerprint), Crashes: suspect.Crashes, Until: suspect.ExpiresAt})
	}
	return out
}

// formatHash formats a state hash for operators, as 16 hexadecimal digits.
func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// vms returns the status of every VM that is in the VM list or held by a
// group.
func (adm *admin) vms(view *fold.View) []oper.VMStatus {
	list := adm.vmPoller.list()
	leaving := adm.stateCache.get().leavingVMs(list)
	statuses := adm.jobs.gate.Statuses()
	out := []oper.VMStatus{}
	listed := core.NewSet[core.VMName]()
	for _, vm := range list.vms {
		if vm.Kind == core.VMEntry {
			continue
		}
		listed.Add(vm.Name)
		out = append(out, oper.VMStatus{
			Name: vm.Name, Addr: vm.Addr, Zone: vm.Zone, Domain: vm.Domain,
			Kind: vm.Kind, Service: vm.Service, Listed: true,
			Leaving: vm.Leaving, Draining: leaving.Has(vm.Name) && !vm.Leaving,
		})
	}
	for _, hold := range view.Holds() {
		if !listed.Has(hold.VM) {
			out = append(out, oper.VMStatus{Name: hold.VM, Kind: core.VMEngine})
		}
	}
	for idx := range out {
		adm.addObserved(&out[idx], view, statuses)
	}
	return out
}

// addObserved adds the assignment and the last probe result of a VM to its
// status.
func (adm *admin) addObserved(vm *oper.VMStatus, view *fold.View, statuses map[core.VMName]gate.ServerStatus) {
	group, held := view.Holder(vm.Name)
	vm.Group = group
	status, ok := statuses[vm.Name]
	if !ok || !status.Reachable() {
		return
	}
	now := adm.now()
	vm.State = status.Probe.State
	vm.FencingToken = status.Probe.FencingToken
	vm.ProbeAge = now.Sub(status.ProbeSentAt).Round(time.Millisecond).String()
	if held {
		_, err := adm.jobs.gate.Permit(group, now)
		vm.Stranded = err != nil && status.Fresh(now, adm.stateCache.get().maxProbeAge)
	}
}

// nodes returns the status of every entry VM that is live or in the VM list.
func (adm *admin) nodes() []oper.NodeStatus {
	settings := adm.stateCache.get().tree
	out := []oper.NodeStatus{}
	live := core.NewSet[core.NodeName]()
	for _, hb := range adm.membership.liveNodes().heartbeats {
		live.Add(hb.Node)
		out = append(out, oper.NodeStatus{
			Name: hb.Node, Zone: hb.Zone, Addr: hb.Addr, Live: true,
			Applied: hb.Applied, Hash: formatHash(hb.Hash), HashOffset: hb.HashOffset, Era: hb.Era,
			LogOK: hb.LogOK, Stopping: hb.Stopping, InFlight: hb.InFlight,
			Draining: settings.Config(tree.NodePath(hb.Node)).Bool("node.draining"),
		})
	}
	for _, vm := range adm.vmPoller.list().vms {
		if name := core.NodeName(vm.Name); vm.Kind == core.VMEntry && !live.Has(name) {
			out = append(out, oper.NodeStatus{Name: name, Zone: vm.Zone, Addr: vm.Addr})
		}
	}
	slices.SortFunc(out, func(a, b oper.NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
