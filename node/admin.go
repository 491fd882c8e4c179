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

// outcomeTimeout bounds the wait for the store to look a record up.
const outcomeTimeout = 2 * time.Second

// admin answers operators.
type admin struct {
	self core.NodeName
	zone core.Zone
	sto  *store.Store
	wls  *worlds
	lst  *lister
	bet  *beater
	jbs  *jobs
	now  func() time.Time
}

var _ oper.Backend = (*admin)(nil)

// newAdmin returns the operators' view of the node.
func newAdmin(inp jobsIn, jbs *jobs) *admin {
	return &admin{
		self: inp.Config.Node,
		zone: inp.Config.Zone,
		sto:  inp.Store,
		wls:  inp.Worlds,
		lst:  inp.Lister,
		bet:  inp.Beater,
		jbs:  jbs,
		now:  inp.Now,
	}
}

// View returns the folded state, nil while the node has none.
func (adm *admin) View() *fold.View {
	if !adm.sto.Status().Ready {
		return nil
	}
	return adm.sto.View()
}

// Propose appends one record and returns the verdict.
func (adm *admin) Propose(ctx context.Context, rec recd.Record) (fold.Verdict, error) {
	ves, err := adm.sto.Propose(ctx, rec)
	if err != nil {
		return fold.Verdict{}, err
	}
	if len(ves) != 1 {
		return fold.Verdict{}, core.Errorf(core.CodeLogUnknown, "%d verdicts on one record, ask by ID %s", len(ves), rec.ID)
	}
	return ves[0], nil
}

// Outcome returns the verdict on a record.
func (adm *admin) Outcome(id core.RecordID) (fold.Verdict, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	ver, ok, err := adm.sto.Verdict(ctx, id)
	return ver, ok && err == nil
}

// Status returns what the node knows of groups, VMs and nodes. Groups and VMs
// of other zones are shown without probes.
func (adm *admin) Status(context.Context) oper.Status {
	sta := adm.sto.Status()
	vie := adm.sto.View()
	cod := adm.jbs.Ready()
	out := oper.Status{
		Node:       adm.self,
		Ready:      cod == core.CodeOK,
		Code:       cmp.Or(cod, sta.Code),
		Why:        sta.Detail,
		Log:        oper.LogStatus{OK: sta.LogOK, Applied: sta.Offset, Hash: hexHash(sta.Hash), Detail: sta.Detail},
		Groups:     adm.groups(vie),
		VMs:        adm.vms(vie),
		Nodes:      adm.nodes(),
		Quarantine: adm.quarantine(),
	}
	if cod == core.CodeDraining {
		out.Why = "this entry VM drains or stops"
	}
	return out
}

// quarantine returns the requests that are refused by what this node and the
// live ones saw.
func (adm *admin) quarantine() []oper.Quarantined {
	told := [][]core.Suspect{adm.jbs.srv.Suspects()}
	for _, bea := range adm.bet.circle().live {
		if bea.Node != adm.self {
			told = append(told, bea.Suspects)
		}
	}
	out := []oper.Quarantined{}
	for _, sus := range crash.QuarantinedRequests(adm.now(), told...) {
		out = append(out, oper.Quarantined{Print: hexHash(sus.Fingerprint), Crashes: sus.Crashes, Until: sus.ExpiresAt})
	}
	return out
}

// hexHash writes a hash as operators read it.
func hexHash(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// vms returns the status of every VM that is listed or held by a group.
func (adm *admin) vms(vie *fold.View) []oper.VMStatus {
	ros := adm.lst.roster()
	lea := adm.wls.get().leaving(ros)
	sgs := adm.jbs.gat.Statuses()
	out := []oper.VMStatus{}
	listed := core.NewSet[core.VMName]()
	for _, vmx := range ros.vms {
		if vmx.Kind == core.VMEntry {
			continue
		}
		listed.Add(vmx.Name)
		out = append(out, oper.VMStatus{
			Name: vmx.Name, Addr: vmx.Addr, Zone: vmx.Zone, Domain: vmx.Domain,
			Kind: vmx.Kind, Service: vmx.Service, Listed: true,
			Leaving: vmx.Leaving, Draining: lea.Has(vmx.Name) && !vmx.Leaving,
		})
	}
	for _, hld := range vie.Holds() {
		if !listed.Has(hld.VM) {
			out = append(out, oper.VMStatus{Name: hld.VM, Kind: core.VMEngine})
		}
	}
	for idx := range out {
		adm.observe(&out[idx], vie, sgs)
	}
	return out
}

// observe fills in what assignments and probes say of a VM.
func (adm *admin) observe(vmx *oper.VMStatus, vie *fold.View, sgs map[core.VMName]gate.ServerStatus) {
	grp, held := vie.Holder(vmx.Name)
	vmx.Group = grp
	sgt, ok := sgs[vmx.Name]
	if !ok || !sgt.Reachable() {
		return
	}
	now := adm.now()
	vmx.State = sgt.Probe.State
	vmx.Order = sgt.Probe.FencingToken
	vmx.ProbeAge = now.Sub(sgt.ProbeSentAt).Round(time.Millisecond).String()
	if held {
		_, err := adm.jbs.gat.Permit(grp, now)
		vmx.Stranded = err != nil && sgt.Fresh(now, adm.wls.get().bound)
	}
}

// nodes returns the status of every entry VM that is listed or was heard of.
func (adm *admin) nodes() []oper.NodeStatus {
	tre := adm.wls.get().tree
	out := []oper.NodeStatus{}
	live := core.NewSet[core.NodeName]()
	for _, bea := range adm.bet.circle().live {
		live.Add(bea.Node)
		out = append(out, oper.NodeStatus{
			Name: bea.Node, Zone: bea.Zone, Addr: bea.Addr, Live: true,
			Applied: bea.Applied, Hash: hexHash(bea.Hash), HashAt: bea.HashOffset,
			LogOK: bea.LogOK, Stopping: bea.Stopping, InFlight: bea.InFlight,
			Draining: tre.Config(tree.NodePath(bea.Node)).Bool("node.draining"),
		})
	}
	for _, vmx := range adm.lst.roster().vms {
		if nam := core.NodeName(vmx.Name); vmx.Kind == core.VMEntry && !live.Has(nam) {
			out = append(out, oper.NodeStatus{Name: nam, Zone: vmx.Zone, Addr: vmx.Addr})
		}
	}
	slices.SortFunc(out, func(one, two oper.NodeStatus) int { return cmp.Compare(one.Name, two.Name) })
	return out
}
