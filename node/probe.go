package node

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
	"kumquathinge/io/engine"
	"kumquathinge/io/wire"
)

// Timing of the connections to backend servers.
const (
	serverDialTimeout     = 500 * time.Millisecond
	targetRefreshInterval = 200 * time.Millisecond
)

// probeTarget is a model engine that is probed.
type probeTarget struct {
	addr   string
	engine *engine.Engine
	cancel context.CancelFunc
}

// probeAttempt is the result of one probe.
type probeAttempt struct {
	vm     core.VMName
	result core.ProbeResult
	sentAt time.Time
	err    error
}

// engineProber is the task that probes the model engines of the zone. No other
// task writes to the gate.
type engineProber struct {
	zone     core.Zone
	vmPoller *vmListPoller
	state    func() *clusterState
	gate     *gate.Gate
	now      func() time.Time
	onCrash  func([]core.GroupName)
	results  chan probeAttempt
	targets  map[core.VMName]*probeTarget
	wg       sync.WaitGroup
	engines  atomic.Pointer[map[core.VMName]*engine.Engine]
}

// newEngineProber returns a prober without targets. It calls onCrash with the
// groups of which a member crashed.
func newEngineProber(zone core.Zone, vmPoller *vmListPoller, state func() *clusterState, groupGate *gate.Gate, now func() time.Time, onCrash func([]core.GroupName)) *engineProber {
	prober := &engineProber{
		zone:     zone,
		vmPoller: vmPoller,
		state:    state,
		gate:     groupGate,
		now:      now,
		onCrash:  onCrash,
		results:  make(chan probeAttempt),
		targets:  make(map[core.VMName]*probeTarget),
	}
	prober.engines.Store(&map[core.VMName]*engine.Engine{})
	return prober
}

// engine returns the client of a VM's engine.
func (prober *engineProber) engine(vm core.VMName) (core.Engine, error) {
	eng, ok := (*prober.engines.Load())[vm]
	if !ok {
		return nil, core.Errorf(core.CodeVMUnknown, "VM %q is not in the VM list of this zone", vm)
	}
	return eng, nil
}

// run probes until ctx ends.
func (prober *engineProber) run(ctx context.Context) error {
	defer prober.removeAllTargets()
	ticker := time.NewTicker(targetRefreshInterval)
	defer ticker.Stop()
	prober.refreshTargets(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			prober.refreshTargets(ctx)
		case attempt := <-prober.results:
			prober.record(attempt)
		}
	}
}

// record passes the result of a probe to the gate.
func (prober *engineProber) record(attempt probeAttempt) {
	if attempt.err != nil {
		prober.gate.RecordFailure(attempt.vm, attempt.sentAt)
	} else {
		prober.gate.RecordProbe(attempt.result, attempt.sentAt)
	}
	prober.reportCrashes()
}

// reportCrashes calls onCrash with the groups of which a member crashed.
func (prober *engineProber) reportCrashes() {
	groups := core.NewSet[core.GroupName]()
	for _, crash := range prober.gate.TakeCrashes() {
		groups.Add(crash.Group)
	}
	if groups.Len() > 0 {
		prober.onCrash(groups.Sorted())
	}
}

// refreshTargets updates the targets and the gate from the VM list, the
// settings and the assignments.
func (prober *engineProber) refreshTargets(ctx context.Context) {
	state := prober.state()
	prober.gate.SetMaxProbeAge(state.maxProbeAge)
	prober.gate.SetAssignments(state.zoneAssignments)
	prober.gate.SetLeaving(state.leavingVMs(prober.vmPoller.list()))
	prober.gate.SetDraining(state.drainingGroups)
	vms := prober.vmPoller.list().inZone(prober.zone, core.VMEngine)
	changed := false
	keep := core.NewSet[core.VMName]()
	for _, vm := range vms {
		keep.Add(vm.Name)
		changed = prober.ensureTarget(ctx, vm) || changed
	}
	changed = prober.removeUnlisted(keep, state) || changed
	for _, name := range state.heldVMs.Sorted() {
		keep.Add(name)
	}
	prober.gate.Prune(keep)
	if changed {
		prober.publishEngines()
	}
}

// ensureTarget starts to probe a VM, and restarts if its address has changed.
// It reports whether anything changed.
func (prober *engineProber) ensureTarget(ctx context.Context, vm core.VM) bool {
	old, ok := prober.targets[vm.Name]
	if ok && old.addr == vm.Addr {
		return false
	}
	if ok {
		prober.removeTarget(vm.Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	target := &probeTarget{
		addr:   vm.Addr,
		engine: engine.New(vm.Addr, engine.Config{Wire: wire.Config{DialTimeout: serverDialTimeout}}),
		cancel: cancel,
	}
	prober.targets[vm.Name] = target
	prober.wg.Go(func() { prober.probeLoop(ctx, vm.Name, target.engine) })
	return true
}

// removeUnlisted stops probing VMs that are neither in the VM list nor held by
// a group. The list lags behind, so a held VM that is missing from it may
// still be serving.
func (prober *engineProber) removeUnlisted(keep core.Set[core.VMName], state *clusterState) bool {
	changed := false
	for name := range maps.Keys(prober.targets) {
		if keep.Has(name) || state.heldVMs.Has(name) {
			continue
		}
		prober.removeTarget(name)
		changed = true
	}
	return changed
}

// removeTarget stops probing one VM.
func (prober *engineProber) removeTarget(name core.VMName) {
	prober.targets[name].cancel()
	prober.targets[name].engine.Close()
	delete(prober.targets, name)
}

// publishEngines replaces the published table of engines.
func (prober *engineProber) publishEngines() {
	engines := make(map[core.VMName]*engine.Engine, len(prober.targets))
	for name, target := range prober.targets {
		engines[name] = target.engine
	}
	prober.engines.Store(&engines)
}

// probeLoop probes one engine at every interval until ctx ends.
func (prober *engineProber) probeLoop(ctx context.Context, name core.VMName, eng core.Engine) {
	for {
		state := prober.state()
		attempt := probeAttempt{vm: name, sentAt: prober.now()}
		probeCtx, cancel := context.WithTimeout(ctx, state.maxProbeAge)
		attempt.result, attempt.err = eng.Probe(probeCtx)
		cancel()
		select {
		case prober.results <- attempt:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(state.probeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// removeAllTargets stops all probing and waits for its end.
func (prober *engineProber) removeAllTargets() {
	for name := range maps.Keys(prober.targets) {
		prober.removeTarget(name)
	}
	prober.wg.Wait()
}
