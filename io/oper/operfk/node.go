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

// Epoch is the start time of the log: the entry at offset n has the time Epoch
// plus n seconds.
var Epoch = time.Date(2030, time.January, 2, 3, 4, 5, 0, time.UTC)

// Node is an oper.Backend that folds appended records directly.
type Node struct {
	mtx             sync.Mutex
	state           *fold.State
	entryCount      int
	failCode        core.Code
	responsesToLose int
	notReady        bool
	status          oper.Status
}

var _ oper.Backend = (*Node)(nil)

// New returns a node with an empty log.
func New() *Node { return &Node{state: fold.New()} }

// FailAppends makes appends fail with the code and without effect. core.CodeOK
// ends this.
func (node *Node) FailAppends(code core.Code) {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	node.failCode = code
}

// LoseResponses drops the responses to the next n appends after they took
// effect.
func (node *Node) LoseResponses(n int) {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	node.responsesToLose = n
}

// SetNotReady sets whether the node has no state yet, so that View returns nil.
func (node *Node) SetNotReady(notReady bool) {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	node.notReady = notReady
}

// SetStatus sets the result of Status.
func (node *Node) SetStatus(status oper.Status) {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	node.status = status
}

// AppendCount returns the number of entries in the log.
func (node *Node) AppendCount() int {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	return node.entryCount
}

// View returns the folded state, or nil after SetNotReady(true).
func (node *Node) View() *fold.View {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	if node.notReady {
		return nil
	}
	return node.state.View()
}

// Propose appends the record and folds it, unless a fault is set.
func (node *Node) Propose(_ context.Context, rec recd.Record) (fold.Decision, error) {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	if node.failCode != core.CodeOK {
		return fold.Decision{}, core.Errorf(node.failCode, "the log failed")
	}
	decision := node.apply(rec)
	if node.responsesToLose > 0 {
		node.responsesToLose--
		return fold.Decision{}, core.Errorf(core.CodeLogUnknown, "the log's response was lost")
	}
	return decision, nil
}

func (node *Node) apply(rec recd.Record) fold.Decision {
	node.entryCount++
	batch := recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}
	decisions := node.state.Apply(core.Entry{
		Offset: core.Offset(node.entryCount),
		ID:     rec.ID,
		At:     Epoch.Add(time.Duration(node.entryCount) * time.Second),
		Data:   recd.Encode(batch),
	})
	return decisions[0]
}

// Outcome returns the decision on the record.
func (node *Node) Outcome(id core.RecordID) (fold.Decision, bool) {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	return node.state.Decision(id)
}

// Status returns the status set by SetStatus.
func (node *Node) Status(context.Context) oper.Status {
	node.mtx.Lock()
	defer node.mtx.Unlock()
	return node.status
}
