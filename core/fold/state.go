package fold

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// Limits of the history that the state keeps. They determine the state, so a
// change of one needs a new rule.
const (
	maxAuditLines       = 4096
	maxDecisions        = 1 << 15
	maxDecisionAge      = 1 << 16 // offsets
	maxTextBytes        = 256     // bytes of one text field of a decision or an audit line
	maxPartialSnapshots = 8
)

// Versions is the newest record version and the newest rule that a program
// supports.
type Versions struct {
	Record uint16
	Rule   uint16
}

// Supported is the newest record version and the newest rule that this program
// supports.
var Supported = Versions{Record: recd.Version, Rule: RuleZoneEvacuation}

// State is the result of applying the entries of the log up to Offset. It is
// not safe for concurrent use; other goroutines read its View.
type State struct {
	supported        Versions
	offset           core.Offset
	now              time.Time
	claimCutoff      time.Time
	rules            core.Set[uint16]
	settings         *tree.Tree
	assignments      map[core.GroupName]core.Assignment
	holds            map[core.VMName]Hold
	claims           map[claimKey]*Claim
	claimExpiry      expiryHeap
	decisions        map[core.RecordID]Decision
	decisionQueue    []core.RecordID
	audit            []AuditLine
	partialSnapshots []partialSnapshot
	snapshotOffset   core.Offset
	itemHashSum      uint64
	assignmentIndex  *assignmentIndex
	holdIndex        *holdIndex
	view             *View
	err              *core.Error
}

// New returns the state before the log's first entry, for this program.
func New() *State { return NewFor(Supported) }

// NewFor returns the state before the log's first entry, for a program that
// supports the given versions.
func NewFor(versions Versions) *State {
	return &State{
		supported:   versions,
		rules:       core.NewSet[uint16](),
		settings:    tree.New(),
		assignments: map[core.GroupName]core.Assignment{},
		holds:       map[core.VMName]Hold{},
		claims:      map[claimKey]*Claim{},
		decisions:   map[core.RecordID]Decision{},
	}
}

// Offset returns the offset of the last applied entry.
func (st *State) Offset() core.Offset { return st.offset }

// Now returns the latest time of any applied entry.
func (st *State) Now() time.Time { return st.now }

// Err returns the error that stopped the state machine, or nil. It carries
// core.CodeRecordBad or core.CodeRuleUnknown.
func (st *State) Err() error {
	if st.err == nil {
		return nil
	}
	return st.err
}

// Tree returns the settings.
func (st *State) Tree() *tree.Tree { return st.settings }

// Assignments returns the last assignment of every group, sorted by group. A
// retired one lists the VMs that are not unloaded yet.
func (st *State) Assignments() []core.Assignment {
	out := slices.Collect(maps.Values(st.assignments))
	slices.SortFunc(out, func(one, two core.Assignment) int { return cmp.Compare(one.Group, two.Group) })
	return out
}

// Assignment returns the last assignment of the group and whether there is
// one.
func (st *State) Assignment(group core.GroupName) (core.Assignment, bool) {
	asg, ok := st.assignments[group]
	return asg, ok
}

// Holder returns the group that holds the VM and whether there is one.
func (st *State) Holder(vm core.VMName) (core.GroupName, bool) {
	hold, ok := st.holds[vm]
	return hold.Group, ok
}

// Holds returns all holds, sorted by VM.
func (st *State) Holds() []Hold {
	out := slices.Collect(maps.Values(st.holds))
	slices.SortFunc(out, func(one, two Hold) int { return cmp.Compare(one.VM, two.VM) })
	return out
}

// Claim returns the claim of the key and whether there is one.
func (st *State) Claim(org core.OrgName, key core.IdempotencyKey) (Claim, bool) {
	claim, ok := st.claims[claimKey{org: org, key: key}]
	if !ok {
		return Claim{}, false
	}
	return *claim, true
}

// Claims returns the number of stored claims.
func (st *State) Claims() int { return len(st.claims) }

// ClaimCutoff returns the issue time before which a claim is rejected as
// expired.
func (st *State) ClaimCutoff() time.Time { return st.claimCutoff }

// Decision returns the decision on the record's first appearance and whether it
// is still stored. Decisions on settings and assignments are stored as long as
// their audit lines, the others for at most maxDecisions records and
// maxDecisionAge offsets.
func (st *State) Decision(id core.RecordID) (Decision, bool) {
	decision, ok := st.decisions[id]
	return decision, ok
}

// Audit returns at most max audit lines with offsets greater than after,
// oldest first.
func (st *State) Audit(after core.Offset, max int) []AuditLine {
	return auditAfter(st.audit, after, max)
}

func auditAfter(lines []AuditLine, after core.Offset, max int) []AuditLine {
	idx, _ := slices.BinarySearchFunc(lines, after+1, func(line AuditLine, off core.Offset) int {
		return cmp.Compare(line.Offset, off)
	})
	lines = lines[idx:]
	return slices.Clone(lines[:min(max, len(lines))])
}

// SnapshotOffset returns the offset of the newest complete snapshot in the
// log, zero if none was seen.
func (st *State) SnapshotOffset() core.Offset { return st.snapshotOffset }

// RuleInForce reports whether the rule is in force.
func (st *State) RuleInForce(num uint16) bool { return st.rules.Has(num) }
