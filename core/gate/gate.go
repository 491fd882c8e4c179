package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"kumquathinge/core"
)

// Sight is what is known of a backend server from the last probe. Sent is the
// instant just before that probe was sent, zero if there was none. Missing is
// the instant at which a fresh connection failed after that probe, zero if
// none did.
type Sight struct {
	Probe   core.ProbeResult
	Sent    time.Time
	Missing time.Time
}

// Seen reports whether the server has answered a probe since it last failed.
func (sgt Sight) Seen() bool { return !sgt.Sent.IsZero() && sgt.Missing.IsZero() }

// Fresh reports whether the last probe is younger than bound at now and the
// server has not failed since.
func (sgt Sight) Fresh(now time.Time, bound time.Duration) bool {
	return sgt.Seen() && now.Sub(sgt.Sent) < bound
}

// Holds reports whether the probe shows the server ready in asn.
func (sgt Sight) Holds(asn core.Assignment) bool {
	prb := sgt.Probe
	return prb.State == core.EngineReady &&
		prb.Group == asn.Group &&
		prb.FencingToken == asn.FencingToken &&
		prb.Spec.Equal(asn.Spec)
}

// Loss is the end of a process as the gate saw it: its server reported another
// incarnation or went missing. Group is the group of which the process was a
// member, empty if none.
type Loss struct {
	VM    core.VMName
	Group core.GroupName
	Old   core.Incarnation
	At    time.Time
}

// Gate implements core.Gate. Permit and Verify may be called at any time from
// any goroutine and take no lock. The other methods serialise among themselves.
type Gate struct {
	bound atomic.Int64
	table atomic.Pointer[table]

	mu      sync.Mutex
	asns    []core.Assignment
	leaving core.Set[core.VMName]
	drain   core.Set[core.GroupName]
	cells   map[core.VMName]*cell
	losses  []Loss
}

var _ core.Gate = (*Gate)(nil)

// table is immutable.
type table struct {
	groups map[core.GroupName]*entry
}

// entry is immutable but for the sights behind its cells.
type entry struct {
	asn      core.Assignment
	cells    []*cell
	draining bool
	leaving  core.VMName
}

// cell holds the sight of one server. Its fields but sight belong to the
// writer.
type cell struct {
	sight atomic.Pointer[Sight]
	group core.GroupName
	lost  core.Incarnation
}

// New returns a Gate without assignments. Bound is the age from which on a
// probe no longer counts. New panics if bound is not positive.
func New(bound time.Duration) *Gate {
	gte := &Gate{cells: make(map[core.VMName]*cell)}
	gte.SetBound(bound)
	gte.table.Store(&table{})
	return gte
}

// SetBound replaces the bound. It panics if bound is not positive.
func (gte *Gate) SetBound(bound time.Duration) {
	if bound <= 0 {
		panic("gate: bound is not positive")
	}
	gte.bound.Store(int64(bound))
}

// Bound returns the bound.
func (gte *Gate) Bound() time.Duration { return time.Duration(gte.bound.Load()) }

// Assign replaces all assignments. Sights are kept.
func (gte *Gate) Assign(asns []core.Assignment) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	gte.asns = append([]core.Assignment(nil), asns...)
	for _, cel := range gte.cells {
		cel.group = ""
	}
	for _, asn := range asns {
		for _, vmn := range asn.VMs {
			gte.cell(vmn).group = asn.Group
		}
	}
	gte.rebuild()
}

// Leaving replaces the set of servers that get no new work: those on the
// leaving set of the platform's list and those drained by settings.
func (gte *Gate) Leaving(vms core.Set[core.VMName]) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	gte.leaving = core.NewSet(vms.Sorted()...)
	gte.rebuild()
}

// Drain replaces the set of groups that get no new work.
func (gte *Gate) Drain(grps core.Set[core.GroupName]) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	gte.drain = core.NewSet(grps.Sorted()...)
	gte.rebuild()
}

// Observe takes the answer to a probe that was sent at sent. An answer to an
// earlier probe than the last one taken, or than the last failure, is dropped.
func (gte *Gate) Observe(prb core.ProbeResult, sent time.Time) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	cel := gte.cell(prb.VM)
	old := cel.sight.Load()
	if old == nil {
		cel.sight.Store(&Sight{Probe: prb, Sent: sent})
		return
	}
	if sent.Before(old.Sent) || sent.Before(old.Missing) {
		return
	}
	if prb.Incarnation != old.Probe.Incarnation {
		gte.lose(prb.VM, cel, old, sent)
	}
	cel.lost = ""
	cel.sight.Store(&Sight{Probe: prb, Sent: sent})
}

// Missing states that a fresh connection to the server, tried at at, failed.
// It is ignored if the server has answered a probe sent later than that.
func (gte *Gate) Missing(vmn core.VMName, at time.Time) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	cel := gte.cell(vmn)
	old := cel.sight.Load()
	if old == nil {
		cel.sight.Store(&Sight{Missing: at})
		return
	}
	if at.Before(old.Sent) || !old.Missing.IsZero() {
		return
	}
	gte.lose(vmn, cel, old, at)
	cel.sight.Store(&Sight{Probe: old.Probe, Sent: old.Sent, Missing: at})
}

// Sights returns the sight of every server that was probed or assigned.
func (gte *Gate) Sights() map[core.VMName]Sight {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	out := make(map[core.VMName]Sight, len(gte.cells))
	for vmn, cel := range gte.cells {
		if sgt := cel.sight.Load(); sgt != nil {
			out[vmn] = *sgt
		}
	}
	return out
}

// Forget drops what is known of servers that are neither assigned nor in keep.
func (gte *Gate) Forget(keep core.Set[core.VMName]) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	for vmn, cel := range gte.cells {
		if cel.group == "" && !keep.Has(vmn) {
			delete(gte.cells, vmn)
		}
	}
}

// Crashed returns the losses since the last call, in the order in which they
// were seen. Each end of a process is returned once.
func (gte *Gate) Crashed() []Loss {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	out := gte.losses
	gte.losses = nil
	return out
}

func (gte *Gate) lose(vmn core.VMName, cel *cell, old *Sight, at time.Time) {
	inc := old.Probe.Incarnation
	if inc == "" || inc == cel.lost {
		return
	}
	cel.lost = inc
	gte.losses = append(gte.losses, Loss{VM: vmn, Group: old.Probe.Group, Old: inc, At: at})
}

func (gte *Gate) cell(vmn core.VMName) *cell {
	cel, ok := gte.cells[vmn]
	if !ok {
		cel = &cell{}
		gte.cells[vmn] = cel
	}
	return cel
}

func (gte *Gate) rebuild() {
	tbl := &table{groups: make(map[core.GroupName]*entry, len(gte.asns))}
	for _, asn := range gte.asns {
		ent := &entry{asn: asn, draining: gte.drain.Has(asn.Group)}
		for _, vmn := range asn.VMs {
			ent.cells = append(ent.cells, gte.cell(vmn))
			if gte.leaving.Has(vmn) {
				ent.leaving = vmn
			}
		}
		tbl.groups[asn.Group] = ent
	}
	gte.table.Store(tbl)
}
