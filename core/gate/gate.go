package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"kumquathinge/core"
)

// ServerStatus is what is known of a backend server from the last probe. Sent is the
// instant just before that probe was sent, zero if there was none. Missing is
// the instant at which a fresh connection failed after that probe, zero if
// none did.
type ServerStatus struct {
	Probe       core.ProbeResult
	ProbeSentAt time.Time
	FailedAt    time.Time
}

// Reachable reports whether the server has answered a probe since it last failed.
func (status ServerStatus) Reachable() bool {
	return !status.ProbeSentAt.IsZero() && status.FailedAt.IsZero()
}

// Fresh reports whether the last probe is younger than bound at now and the
// server has not failed since.
func (status ServerStatus) Fresh(now time.Time, maxAge time.Duration) bool {
	return status.Reachable() && now.Sub(status.ProbeSentAt) < maxAge
}

// ReadyIn reports whether the probe shows the server ready in asn.
func (status ServerStatus) ReadyIn(asn core.Assignment) bool {
	probe := status.Probe
	return probe.State == core.EngineReady &&
		probe.Group == asn.Group &&
		probe.FencingToken == asn.FencingToken &&
		probe.Spec.Equal(asn.Spec)
}

// Crash is the end of a process as the gate saw it: its server reported another
// incarnation or went missing. Group is the group of which the process was a
// member, empty if none.
type Crash struct {
	VM          core.VMName
	Group       core.GroupName
	Incarnation core.Incarnation
	At          time.Time
}

// Gate implements core.Gate. Permit and Verify may be called at any time from
// any goroutine and take no lock. The other methods serialise among themselves.
type Gate struct {
	maxProbeAge atomic.Int64
	table       atomic.Pointer[groupTable]

	mu             sync.Mutex
	assignments    []core.Assignment
	leavingVMs     core.Set[core.VMName]
	drainingGroups core.Set[core.GroupName]
	servers        map[core.VMName]*serverState
	crashes        []Crash
}

var _ core.Gate = (*Gate)(nil)

// groupTable is immutable.
type groupTable struct {
	groups map[core.GroupName]*groupEntry
}

// groupEntry is immutable but for the sights behind its cells.
type groupEntry struct {
	assignment    core.Assignment
	members       []*serverState
	draining      bool
	leavingMember core.VMName
}

// serverState holds the sight of one server. Its fields but sight belong to the
// writer.
type serverState struct {
	status             atomic.Pointer[ServerStatus]
	group              core.GroupName
	crashedIncarnation core.Incarnation
}

// New returns a Gate without assignments. Bound is the age from which on a
// probe no longer counts. New panics if bound is not positive.
func New(maxAge time.Duration) *Gate {
	gate := &Gate{servers: make(map[core.VMName]*serverState)}
	gate.SetMaxProbeAge(maxAge)
	gate.table.Store(&groupTable{})
	return gate
}

// SetMaxProbeAge replaces the bound. It panics if bound is not positive.
func (gate *Gate) SetMaxProbeAge(maxAge time.Duration) {
	if maxAge <= 0 {
		panic("gate: bound is not positive")
	}
	gate.maxProbeAge.Store(int64(maxAge))
}

// MaxProbeAge returns the bound.
func (gate *Gate) MaxProbeAge() time.Duration { return time.Duration(gate.maxProbeAge.Load()) }

// SetAssignments replaces all assignments. Sights are kept.
func (gate *Gate) SetAssignments(asns []core.Assignment) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.assignments = append([]core.Assignment(nil), asns...)
	for _, srv := range gate.servers {
		srv.group = ""
	}
	for _, asn := range asns {
		for _, vmn := range asn.VMs {
			gate.server(vmn).group = asn.Group
		}
	}
	gate.rebuildTable()
}

// SetLeaving replaces the set of servers that get no new work: those on the
// leaving set of the platform's list and those drained by settings.
func (gate *Gate) SetLeaving(vms core.Set[core.VMName]) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.leavingVMs = core.NewSet(vms.Sorted()...)
	gate.rebuildTable()
}

// SetDraining replaces the set of groups that get no new work.
func (gate *Gate) SetDraining(groups core.Set[core.GroupName]) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.drainingGroups = core.NewSet(groups.Sorted()...)
	gate.rebuildTable()
}

// RecordProbe takes the answer to a probe that was sent at sent. An answer to an
// earlier probe than the last one taken, or than the last failure, is dropped.
func (gate *Gate) RecordProbe(probe core.ProbeResult, sent time.Time) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	srv := gate.server(probe.VM)
	prev := srv.status.Load()
	if prev == nil {
		srv.status.Store(&ServerStatus{Probe: probe, ProbeSentAt: sent})
		return
	}
	if sent.Before(prev.ProbeSentAt) || sent.Before(prev.FailedAt) {
		return
	}
	if probe.Incarnation != prev.Probe.Incarnation {
		gate.recordCrash(probe.VM, srv, prev, sent)
	}
	srv.crashedIncarnation = ""
	srv.status.Store(&ServerStatus{Probe: probe, ProbeSentAt: sent})
}

// RecordFailure states that a fresh connection to the server, tried at at, failed.
// It is ignored if the server has answered a probe sent later than that.
func (gate *Gate) RecordFailure(vmn core.VMName, at time.Time) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	srv := gate.server(vmn)
	prev := srv.status.Load()
	if prev == nil {
		srv.status.Store(&ServerStatus{FailedAt: at})
		return
	}
	if at.Before(prev.ProbeSentAt) || !prev.FailedAt.IsZero() {
		return
	}
	gate.recordCrash(vmn, srv, prev, at)
	srv.status.Store(&ServerStatus{Probe: prev.Probe, ProbeSentAt: prev.ProbeSentAt, FailedAt: at})
}

// Statuses returns the sight of every server that was probed or assigned.
func (gate *Gate) Statuses() map[core.VMName]ServerStatus {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	out := make(map[core.VMName]ServerStatus, len(gate.servers))
	for vmn, srv := range gate.servers {
		if status := srv.status.Load(); status != nil {
			out[vmn] = *status
		}
	}
	return out
}

// Prune drops what is known of servers that are neither assigned nor in keep.
func (gate *Gate) Prune(keep core.Set[core.VMName]) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	for vmn, srv := range gate.servers {
		if srv.group == "" && !keep.Has(vmn) {
			delete(gate.servers, vmn)
		}
	}
}

// TakeCrashes returns the losses since the last call, in the order in which they
// were seen. Each end of a process is returned once.
func (gate *Gate) TakeCrashes() []Crash {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	out := gate.crashes
	gate.crashes = nil
	return out
}

func (gate *Gate) recordCrash(vmn core.VMName, srv *serverState, prev *ServerStatus, at time.Time) {
	incarnation := prev.Probe.Incarnation
	if incarnation == "" || incarnation == srv.crashedIncarnation {
		return
	}
	srv.crashedIncarnation = incarnation
	gate.crashes = append(gate.crashes, Crash{VM: vmn, Group: prev.Probe.Group, Incarnation: incarnation, At: at})
}

func (gate *Gate) server(vmn core.VMName) *serverState {
	srv, ok := gate.servers[vmn]
	if !ok {
		srv = &serverState{}
		gate.servers[vmn] = srv
	}
	return srv
}

func (gate *Gate) rebuildTable() {
	table := &groupTable{groups: make(map[core.GroupName]*groupEntry, len(gate.assignments))}
	for _, asn := range gate.assignments {
		entry := &groupEntry{assignment: asn, draining: gate.drainingGroups.Has(asn.Group)}
		for _, vmn := range asn.VMs {
			entry.members = append(entry.members, gate.server(vmn))
			if gate.leavingVMs.Has(vmn) {
				entry.leavingMember = vmn
			}
		}
		table.groups[asn.Group] = entry
	}
	gate.table.Store(table)
}
