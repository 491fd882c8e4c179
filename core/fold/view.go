package fold

import (
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

// View is an immutable view of a State, without its claims. Its methods may be
// called from several goroutines. What they return is shared and must not be
// written.
type View struct {
	offset core.Offset
	now    time.Time
	tre    *tree.Tree
	asgs   []core.Assignment
	byName map[core.GroupName]int
	holds  *holdTable
	audit  []AuditLine
	err    error
}

type holdTable struct {
	list []Hold
	byVM map[core.VMName]Hold
}

// View returns a view of the state as it is. It costs little if neither
// assignments nor holds have changed since the last call.
func (sta *State) View() *View {
	if sta.view != nil {
		return sta.view
	}
	if sta.grouped == nil {
		sta.grouped = newGroupTable(sta.Assignments())
	}
	if sta.held == nil {
		sta.held = newHoldTable(sta.Holds())
	}
	sta.view = &View{
		offset: sta.offset, now: sta.now, tre: sta.tre, asgs: sta.grouped.list, byName: sta.grouped.byName,
		holds: sta.held, audit: slices.Clip(sta.audit), err: sta.Err(),
	}
	return sta.view
}

type groupTable struct {
	list   []core.Assignment
	byName map[core.GroupName]int
}

func newGroupTable(lst []core.Assignment) *groupTable {
	tab := &groupTable{list: lst, byName: make(map[core.GroupName]int, len(lst))}
	for idx := range lst {
		tab.byName[lst[idx].Group] = idx
	}
	return tab
}

func newHoldTable(lst []Hold) *holdTable {
	tab := &holdTable{list: lst, byVM: make(map[core.VMName]Hold, len(lst))}
	for _, hld := range lst {
		tab.byVM[hld.VM] = hld
	}
	return tab
}

// Offset returns the offset of the last entry folded.
func (vie *View) Offset() core.Offset { return vie.offset }

// Now returns the latest time that an entry carried.
func (vie *View) Now() time.Time { return vie.now }

// Err returns the error that stopped the fold, nil if it goes on.
func (vie *View) Err() error { return vie.err }

// Tree returns the settings.
func (vie *View) Tree() *tree.Tree { return vie.tre }

// Assignments returns the last assignment of every group, by group. A retired
// one lists the VMs that it has not unloaded yet.
func (vie *View) Assignments() []core.Assignment { return vie.asgs }

// Assignment returns the last assignment of the group and whether it had one.
func (vie *View) Assignment(grp core.GroupName) (core.Assignment, bool) {
	idx, ok := vie.byName[grp]
	if !ok {
		return core.Assignment{}, false
	}
	return vie.asgs[idx], true
}

// Holder returns the group that the VM belongs to and whether it does to any.
func (vie *View) Holder(vm core.VMName) (core.GroupName, bool) {
	hld, ok := vie.holds.byVM[vm]
	return hld.Group, ok
}

// Hold returns the VM's hold and whether it has one.
func (vie *View) Hold(vm core.VMName) (Hold, bool) {
	hld, ok := vie.holds.byVM[vm]
	return hld, ok
}

// Holds returns all holds, by VM.
func (vie *View) Holds() []Hold { return vie.holds.list }

// Audit returns at most max audit lines behind offset after, oldest first.
func (vie *View) Audit(after core.Offset, max int) []AuditLine {
	return auditAfter(vie.audit, after, max)
}
