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

// Limits of what the state remembers. They are part of the fold: a change of
// one needs a rule.
const (
	auditLimit   = 4096
	verdictLimit = 1 << 15
	verdictSpan  = 1 << 16 // offsets
	textLimit    = 256     // bytes of an audit line's values
	snapLimit    = 8
)

// Program states which record versions and rules a program knows.
type Program struct {
	Version uint16
	Rules   uint16
}

// Newest is the record version and the newest rule that this program knows.
var Newest = Program{Version: recd.Version, Rules: RuleGroupSettings}

// State is the state that the log's entries up to Offset make. It belongs to
// one goroutine; readers elsewhere use its View.
type State struct {
	prg     Program
	offset  core.Offset
	now     time.Time
	horizon time.Time
	rules   core.Set[uint16]
	tre     *tree.Tree
	groups  map[core.GroupName]core.Assignment
	holds   map[core.VMName]Hold
	claims  map[claimKey]*Claim
	expiry  expiryHeap
	done    map[core.RecordID]Verdict
	queue   []core.RecordID
	audit   []AuditLine
	snaps   []snapProgress
	snapAt  core.Offset
	sum     uint64
	grouped *groupTable
	held    *holdTable
	view    *View
	err     *core.Error
}

// New returns the state before the log's first entry, as this program folds.
func New() *State { return NewFor(Newest) }

// NewFor returns the state before the log's first entry, folded by a program
// that knows the given versions and rules.
func NewFor(prg Program) *State {
	return &State{
		prg:    prg,
		rules:  core.NewSet[uint16](),
		tre:    tree.New(),
		groups: map[core.GroupName]core.Assignment{},
		holds:  map[core.VMName]Hold{},
		claims: map[claimKey]*Claim{},
		done:   map[core.RecordID]Verdict{},
	}
}

// Offset returns the offset of the last entry folded.
func (sta *State) Offset() core.Offset { return sta.offset }

// Now returns the latest time that an entry carried.
func (sta *State) Now() time.Time { return sta.now }

// Err returns the error that stopped the fold, nil if it goes on. It carries
// core.CodeRecordBad or core.CodeRuleUnknown.
func (sta *State) Err() error {
	if sta.err == nil {
		return nil
	}
	return sta.err
}

// Tree returns the settings.
func (sta *State) Tree() *tree.Tree { return sta.tre }

// Assignments returns the last assignment of every group, by group. A retired
// one lists the VMs that it has not unloaded yet.
func (sta *State) Assignments() []core.Assignment {
	out := slices.Collect(maps.Values(sta.groups))
	slices.SortFunc(out, func(one, two core.Assignment) int { return cmp.Compare(one.Group, two.Group) })
	return out
}

// Assignment returns the last assignment of the group and whether it had one.
func (sta *State) Assignment(grp core.GroupName) (core.Assignment, bool) {
	asg, ok := sta.groups[grp]
	return asg, ok
}

// Holder returns the group that the VM belongs to and whether it does to any.
func (sta *State) Holder(vm core.VMName) (core.GroupName, bool) {
	hld, ok := sta.holds[vm]
	return hld.Group, ok
}

// Holds returns all holds, by VM.
func (sta *State) Holds() []Hold {
	out := slices.Collect(maps.Values(sta.holds))
	slices.SortFunc(out, func(one, two Hold) int { return cmp.Compare(one.VM, two.VM) })
	return out
}

// Claim returns the claim of the key and whether there is one.
func (sta *State) Claim(org core.OrgName, key core.IdempotencyKey) (Claim, bool) {
	clm, ok := sta.claims[claimKey{org: org, key: key}]
	if !ok {
		return Claim{}, false
	}
	return *clm, true
}

// Claims returns the number of claims remembered.
func (sta *State) Claims() int { return len(sta.claims) }

// Horizon returns the issue time before which a claim is refused as expired.
func (sta *State) Horizon() time.Time { return sta.horizon }

// Outcome returns the verdict on the record's first appearance and whether it
// is still remembered. Verdicts on settings and assignments are remembered as
// long as their audit lines, the others for a shorter span of the log.
func (sta *State) Outcome(id core.RecordID) (Verdict, bool) {
	ver, ok := sta.done[id]
	return ver, ok
}

// Audit returns at most max audit lines behind offset after, oldest first.
func (sta *State) Audit(after core.Offset, max int) []AuditLine {
	return auditAfter(sta.audit, after, max)
}

func auditAfter(lns []AuditLine, after core.Offset, max int) []AuditLine {
	idx, _ := slices.BinarySearchFunc(lns, after+1, func(lin AuditLine, off core.Offset) int {
		return cmp.Compare(lin.Offset, off)
	})
	lns = lns[idx:]
	return slices.Clone(lns[:min(max, len(lns))])
}

// SnapshotAt returns the offset of the newest snapshot that the log holds
// whole, zero if none was seen.
func (sta *State) SnapshotAt() core.Offset { return sta.snapAt }

// Rule reports whether the rule is in force.
func (sta *State) Rule(num uint16) bool { return sta.rules.Has(num) }
