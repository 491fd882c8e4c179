package operfk

import (
	"context"
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/io/oper"
)

// Epoch is the time of the first entry of the log; each entry is a second
// later than the one before it.
var Epoch = time.Date(2030, time.January, 2, 3, 4, 5, 0, time.UTC)

// Node is an oper.Backend that folds its own log.
type Node struct {
	mtx     sync.Mutex
	state   *fold.State
	entries int
	fail    core.Code
	lose    int
	empty   bool
	status  oper.Status
}

var _ oper.Backend = (*Node)(nil)

// New returns a node with an empty log.
func New() *Node { return &Node{state: fold.New()} }

// Fail makes appends fail with the code and without effect, until it is
// core.CodeOK.
func (nod *Node) Fail(cod core.Code) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.fail = cod
}

// LoseAnswers loses the answers to the next num appends after they took
// effect.
func (nod *Node) LoseAnswers(num int) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.lose = num
}

// SetEmpty makes the node one that has no state yet.
func (nod *Node) SetEmpty(empty bool) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.empty = empty
}

// SetStatus sets what Status returns.
func (nod *Node) SetStatus(sta oper.Status) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.status = sta
}

// Appends returns the number of entries of the log.
func (nod *Node) Appends() int {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.entries
}

// View returns the folded state.
func (nod *Node) View() *fold.View {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	if nod.empty {
		return nil
	}
	return nod.state.View()
}

// Propose appends the record and folds it.
func (nod *Node) Propose(_ context.Context, rec recd.Record) (fold.Verdict, error) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	if nod.fail != core.CodeOK {
		return fold.Verdict{}, core.Errorf(nod.fail, "the log failed")
	}
	ver := nod.apply(rec)
	if nod.lose > 0 {
		nod.lose--
		return fold.Verdict{}, core.Errorf(core.CodeLogUnknown, "the log's answer is lost")
	}
	return ver, nil
}

func (nod *Node) apply(rec recd.Record) fold.Verdict {
	nod.entries++
	bat := recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}
	vers := nod.state.Apply(core.Entry{
		Offset: core.Offset(nod.entries),
		ID:     rec.ID,
		At:     Epoch.Add(time.Duration(nod.entries) * time.Second),
		Data:   recd.Encode(bat),
	})
	return vers[0]
}

// Outcome returns the verdict on the record.
func (nod *Node) Outcome(id core.RecordID) (fold.Verdict, bool) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.state.Outcome(id)
}

// Status returns what SetStatus set.
func (nod *Node) Status(context.Context) oper.Status {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.status
}
