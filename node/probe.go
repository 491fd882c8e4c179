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
	serverDialTimeout = 500 * time.Millisecond
	rosterInterval    = 200 * time.Millisecond
)

// target is a model engine that is probed.
type target struct {
	addr   string
	eng    *engine.Engine
	cancel context.CancelFunc
}

// sighting is the result of one probe.
type sighting struct {
	vm   core.VMName
	prb  core.ProbeResult
	sent time.Time
	err  error
}

// prober is the task that probes the model engines of the zone. It alone
// writes to the gate.
type prober struct {
	zone  core.Zone
	lst   *lister
	world func() *world
	gat   *gate.Gate
	now   func() time.Time
	lost  func([]core.GroupName)
	seen  chan sighting
	tgs   map[core.VMName]*target
	wg    sync.WaitGroup
	table atomic.Pointer[map[core.VMName]*engine.Engine]
}

// newProber returns a prober without targets. Lost is called with the groups
// that lost a member.
func newProber(zon core.Zone, lst *lister, wor func() *world, gat *gate.Gate, now func() time.Time, lost func([]core.GroupName)) *prober {
	prb := &prober{
		zone:  zon,
		lst:   lst,
		world: wor,
		gat:   gat,
		now:   now,
		lost:  lost,
		seen:  make(chan sighting),
		tgs:   make(map[core.VMName]*target),
	}
	prb.table.Store(&map[core.VMName]*engine.Engine{})
	return prb
}

// engine returns the client of a VM's engine.
func (prb *prober) engine(vmx core.VMName) (core.Engine, error) {
	eng, ok := (*prb.table.Load())[vmx]
	if !ok {
		return nil, core.Errorf(core.CodeVMUnknown, "VM %q is not on the list of this zone", vmx)
	}
	return eng, nil
}

// run probes until ctx ends.
func (prb *prober) run(ctx context.Context) error {
	defer prb.stop()
	tic := time.NewTicker(rosterInterval)
	defer tic.Stop()
	prb.refresh(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tic.C:
			prb.refresh(ctx)
		case see := <-prb.seen:
			prb.take(see)
		}
	}
}

// take hands a probe's result to the gate.
func (prb *prober) take(see sighting) {
	if see.err != nil {
		prb.gat.RecordFailure(see.vm, see.sent)
	} else {
		prb.gat.RecordProbe(see.prb, see.sent)
	}
	prb.reportLosses()
}

// reportLosses tells which groups lost a member.
func (prb *prober) reportLosses() {
	grps := core.NewSet[core.GroupName]()
	for _, los := range prb.gat.TakeCrashes() {
		grps.Add(los.Group)
	}
	if grps.Len() > 0 {
		prb.lost(grps.Sorted())
	}
}

// refresh brings targets and gate in line with list, settings and assignments.
func (prb *prober) refresh(ctx context.Context) {
	wor := prb.world()
	prb.gat.SetMaxProbeAge(wor.bound)
	prb.gat.SetAssignments(wor.assigned)
	prb.gat.SetLeaving(wor.leaving(prb.lst.roster()))
	prb.gat.SetDraining(wor.drainGroups)
	vms := prb.lst.roster().inZone(prb.zone, core.VMEngine)
	changed := false
	keep := core.NewSet[core.VMName]()
	for _, vmx := range vms {
		keep.Add(vmx.Name)
		changed = prb.ensure(ctx, vmx) || changed
	}
	changed = prb.prune(keep, wor) || changed
	for _, nam := range wor.held.Sorted() {
		keep.Add(nam)
	}
	prb.gat.Prune(keep)
	if changed {
		prb.publish()
	}
}

// ensure starts to probe a VM, anew if its address has changed. It reports
// whether anything changed.
func (prb *prober) ensure(ctx context.Context, vmx core.VM) bool {
	old, ok := prb.tgs[vmx.Name]
	if ok && old.addr == vmx.Addr {
		return false
	}
	if ok {
		prb.end(vmx.Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	tgt := &target{
		addr:   vmx.Addr,
		eng:    engine.New(vmx.Addr, engine.Config{Wire: wire.Config{DialTimeout: serverDialTimeout}}),
		cancel: cancel,
	}
	prb.tgs[vmx.Name] = tgt
	prb.wg.Go(func() { prb.watch(ctx, vmx.Name, tgt.eng) })
	return true
}

// prune ends the probing of VMs that are neither on the list nor held by a
// group. The list lags, so that a held VM missing from it may still serve.
func (prb *prober) prune(keep core.Set[core.VMName], wor *world) bool {
	changed := false
	for nam := range maps.Keys(prb.tgs) {
		if keep.Has(nam) || wor.held.Has(nam) {
			continue
		}
		prb.end(nam)
		changed = true
	}
	return changed
}

// end ends the probing of one VM.
func (prb *prober) end(nam core.VMName) {
	prb.tgs[nam].cancel()
	prb.tgs[nam].eng.Close()
	delete(prb.tgs, nam)
}

// publish replaces the table of engines.
func (prb *prober) publish() {
	tab := make(map[core.VMName]*engine.Engine, len(prb.tgs))
	for nam, tgt := range prb.tgs {
		tab[nam] = tgt.eng
	}
	prb.table.Store(&tab)
}

// watch probes one engine at every interval until ctx ends.
func (prb *prober) watch(ctx context.Context, nam core.VMName, eng core.Engine) {
	for {
		wor := prb.world()
		see := sighting{vm: nam, sent: prb.now()}
		pctx, cancel := context.WithTimeout(ctx, wor.bound)
		see.prb, see.err = eng.Probe(pctx)
		cancel()
		select {
		case prb.seen <- see:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(wor.interval):
		case <-ctx.Done():
			return
		}
	}
}

// stop ends every target.
func (prb *prober) stop() {
	for nam := range maps.Keys(prb.tgs) {
		prb.end(nam)
	}
	prb.wg.Wait()
}
