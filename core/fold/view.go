package fold

import (
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

// View is an immutable view of a State, without its claims. Its methods are
// safe for concurrent use. The values they return are shared and must not be
// modified.
type View struct {
	offset       core.Offset
	now          time.Time
	settings     *tree.Tree
	assignments  []core.Assignment
	indexByGroup map[core.GroupName]int
	holds        *holdIndex
	audit        []AuditLine
	err          error
}

type holdIndex struct {
	list []Hold
	byVM map[core.VMName]Hold
}

// View returns a view of the current state. It is cheap if neither assignments
// nor holds have changed since the last call.
func (st *State) View() *View {
	if st.view != nil {
		return st.view
	}
	if st.assignmentIndex == nil {
		st.assignmentIndex = newAssignmentIndex(st.Assignments())
	}
	if st.holdIndex == nil {
		st.holdIndex = newHoldIndex(st.Holds())
	}
	st.view = &View{
		offset: st.offset, now: st.now, settings: st.settings, assignments: st.assignmentIndex.list, indexByGroup: st.assignmentIndex.indexByGroup,
		holds: st.holdIndex, audit: slices.Clip(st.audit), err: st.Err(),
	}
	return st.view
}

type assignmentIndex struct {
	list         []core.Assignment
	indexByGroup map[core.GroupName]int
}

func newAssignmentIndex(list []core.Assignment) *assignmentIndex {
	index := &assignmentIndex{list: list, indexByGroup: make(map[core.GroupName]int, len(list))}
	for idx := range list {
		index.indexByGroup[list[idx].Group] = idx
	}
	return index
}

func newHoldIndex(list []Hold) *holdIndex {
	index := &holdIndex{list: list, byVM: make(map[core.VMName]Hold, len(list))}
	for _, hold := range list {
		index.byVM[hold.VM] = hold
	}
	return index
}

// Offset returns the offset of the last applied entry.
func (view *View) Offset() core.Offset { return view.offset }

// Now returns the latest time of any applied entry.
func (view *View) Now() time.Time { return view.now }

// Err returns the error that stopped the state machine, or nil.
func (view *View) Err() error { return view.err }

// Tree returns the settings.
func (view *View) Tree() *tree.Tree { return view.settings }

// Assignments returns the last assignment of every group, sorted by group. A
// retired one lists the VMs that are not unloaded yet.
func (view *View) Assignments() []core.Assignment { return view.assignments }

// Assignment returns the last assignment of the group and whether there is
// one.
func (view *View) Assignment(group core.GroupName) (core.Assignment, bool) {
	idx, ok := view.indexByGroup[group]
	if !ok {
		return core.Assignment{}, false
	}
	return view.assignments[idx], true
}

// Holder returns the group that holds the VM and whether there is one.
func (view *View) Holder(vm core.VMName) (core.GroupName, bool) {
	hold, ok := view.holds.byVM[vm]
	return hold.Group, ok
}

// Hold returns the VM's hold and whether there is one.
func (view *View) Hold(vm core.VMName) (Hold, bool) {
	hold, ok := view.holds.byVM[vm]
	return hold, ok
}

// Holds returns all holds, sorted by VM.
func (view *View) Holds() []Hold { return view.holds.list }

// Audit returns at most max audit lines with offsets greater than after,
// oldest first.
func (view *View) Audit(after core.Offset, max int) []AuditLine {
	return auditAfter(view.audit, after, max)
}
