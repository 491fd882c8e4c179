package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"kumquathinge/core"
)

// ServerStatus is the state of a backend server according to its last probe.
// ProbeSentAt is the time just before that probe was sent, zero if there was
// none. FailedAt is the time at which a new connection failed after that probe,
// zero if none failed.
type ServerStatus struct {
	Probe       core.ProbeResult
	ProbeSentAt time.Time
	FailedAt    time.Time
}

// Reachable reports whether the server has answered a probe since its last
// failure.
func (status ServerStatus) Reachable() bool {
	return !status.ProbeSentAt.IsZero() && status.FailedAt.IsZero()
}

// Fresh reports whether the last probe is younger than maxAge at now and the
// server has not failed since.
func (status ServerStatus) Fresh(now time.Time, maxAge time.Duration) bool {
	return status.Reachable() && now.Sub(status.ProbeSentAt) < maxAge
}

// ReadyIn reports whether the last probe shows the server ready in the
// assignment.
func (status ServerStatus) ReadyIn(assignment core.Assignment) bool {
	probe := status.Probe
	return probe.State == core.EngineReady &&
		probe.Group == assignment.Group &&
		probe.FencingToken == assignment.FencingToken &&
		probe.Spec.Equal(assignment.Spec)
}

// Crash is the end of a server process as far as probes show: the server
// reported another incarnation or became unreachable, if only for a time. Group
// is the group of which the process was a member, empty if none.
type Crash struct {
	VM          core.VMName
	Group       core.GroupName
	Incarnation core.Incarnation
	At          time.Time
}

// Gate implements core.Gate. It is safe for concurrent use. Permit and Verify
// take no lock; the other methods are serialised by a mutex.
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

// groupTable is an immutable snapshot that Permit reads without a lock.
type groupTable struct {
	groups map[core.GroupName]*groupEntry
}

// groupEntry is immutable except for the server states behind members.
type groupEntry struct {
	assignment    core.Assignment
	members       []*serverState
	draining      bool
	leavingMember core.VMName
}

// serverState is the state of one server. Status may be read without a lock;
// the other fields are protected by Gate.mu.
type serverState struct {
	status             atomic.Pointer[ServerStatus]
	group              core.GroupName
	crashedIncarnation core.Incarnation
}

// New returns a Gate without assignments. Probes that are maxAge old or older
// are ignored. New panics if maxAge is not positive.
func New(maxAge time.Duration) *Gate {
	gate := &Gate{servers: make(map[core.VMName]*serverState)}
	gate.SetMaxProbeAge(maxAge)
	gate.table.Store(&groupTable{})
	return gate
}

// SetMaxProbeAge replaces the maximum probe age. It panics if maxAge is not
// positive.
func (gate *Gate) SetMaxProbeAge(maxAge time.Duration) {
	if maxAge <= 0 {
		panic("gate: maximum probe age is not positive")
	}
	gate.maxProbeAge.Store(int64(maxAge))
}

// MaxProbeAge returns the age from which on a probe is ignored.
func (gate *Gate) MaxProbeAge() time.Duration { return time.Duration(gate.maxProbeAge.Load()) }

// SetAssignments replaces all assignments. The server statuses are kept.
func (gate *Gate) SetAssignments(assignments []core.Assignment) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.assignments = append([]core.Assignment(nil), assignments...)
	for _, srv := range gate.servers {
		srv.group = ""
	}
	for _, assignment := range assignments {
		for _, vmName := range assignment.VMs {
			gate.server(vmName).group = assignment.Group
		}
	}
	gate.rebuildTable()
}

// SetLeaving replaces the set of servers that receive no new requests: those
// that the platform's list marks as leaving and those drained by the settings.
func (gate *Gate) SetLeaving(vms core.Set[core.VMName]) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.leavingVMs = core.NewSet(vms.Sorted()...)
	gate.rebuildTable()
}

// SetDraining replaces the set of groups that receive no new requests.
func (gate *Gate) SetDraining(groups core.Set[core.GroupName]) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.drainingGroups = core.NewSet(groups.Sorted()...)
	gate.rebuildTable()
}

// RecordProbe records the response to a probe that was sent at the time sent.
// It ignores the response if the probe was sent before the last recorded probe
// or before the last failure.
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

// RecordFailure records that a new connection to the server, attempted at the
// time at, failed. It does nothing if the server has answered a probe that was
// sent later.
func (gate *Gate) RecordFailure(vmName core.VMName, at time.Time) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	srv := gate.server(vmName)
	prev := srv.status.Load()
	if prev == nil {
		srv.status.Store(&ServerStatus{FailedAt: at})
		return
	}
	if at.Before(prev.ProbeSentAt) || !prev.FailedAt.IsZero() {
		return
	}
	gate.recordCrash(vmName, srv, prev, at)
	srv.status.Store(&ServerStatus{Probe: prev.Probe, ProbeSentAt: prev.ProbeSentAt, FailedAt: at})
}

// Statuses returns the status of every server for which a probe or a failure
// was recorded.
func (gate *Gate) Statuses() map[core.VMName]ServerStatus {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	out := make(map[core.VMName]ServerStatus, len(gate.servers))
	for vmName, srv := range gate.servers {
		if status := srv.status.Load(); status != nil {
			out[vmName] = *status
		}
	}
	return out
}

// Prune deletes the state of servers that are neither assigned nor in keep.
func (gate *Gate) Prune(keep core.Set[core.VMName]) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	for vmName, srv := range gate.servers {
		if srv.group == "" && !keep.Has(vmName) {
			delete(gate.servers, vmName)
		}
	}
}

// TakeCrashes returns the crashes recorded since the last call, in the order in
// which they were recorded. Each end of a process is returned once.
func (gate *Gate) TakeCrashes() []Crash {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	out := gate.crashes
	gate.crashes = nil
	return out
}

func (gate *Gate) recordCrash(vmName core.VMName, srv *serverState, prev *ServerStatus, at time.Time) {
	incarnation := prev.Probe.Incarnation
	if incarnation == "" || incarnation == srv.crashedIncarnation {
		return
	}
	srv.crashedIncarnation = incarnation
	gate.crashes = append(gate.crashes, Crash{VM: vmName, Group: prev.Probe.Group, Incarnation: incarnation, At: at})
}

func (gate *Gate) server(vmName core.VMName) *serverState {
	srv, ok := gate.servers[vmName]
	if !ok {
		srv = &serverState{}
		gate.servers[vmName] = srv
	}
	return srv
}

func (gate *Gate) rebuildTable() {
	table := &groupTable{groups: make(map[core.GroupName]*groupEntry, len(gate.assignments))}
	for _, assignment := range gate.assignments {
		entry := &groupEntry{assignment: assignment, draining: gate.drainingGroups.Has(assignment.Group)}
		for _, vmName := range assignment.VMs {
			entry.members = append(entry.members, gate.server(vmName))
			if gate.leavingVMs.Has(vmName) {
				entry.leavingMember = vmName
			}
		}
		table.groups[assignment.Group] = entry
	}
	gate.table.Store(table)
}
