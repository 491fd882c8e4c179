package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Event is an input of Follower.Step.
type Event interface{ event() }

// Tick tells that time has passed, how many peers can be asked, and which
// entry VMs are live, this one included.
type Tick struct {
	PeerCount int
	LiveNodes []core.NodeName
}

// LogRead answers ReadLog. Sent is the time at which the read was sent.
type LogRead struct {
	SentAt time.Time
	Page   core.Page
	Err    error
}

// PeerRead answers ReadPeer.
type PeerRead struct {
	Peer int
	Page core.Page
	Err  error
}

// StateRead answers AskState.
type StateRead struct {
	Peer int
	Data []byte
	Err  error
}

// Appended answers Append. An error with core.CodeLogRefused means that the
// batch was surely not appended.
type Appended struct {
	BatchID core.RecordID
	Offset  core.Offset
	Err     error
}

// Proposed asks for records to be appended. Ticket is the caller's name for
// the proposal. Every record has an ID.
type Proposed struct {
	ProposalID uint64
	Records    []recd.Record
}

// Cancelled tells that the caller of a proposal waits no longer.
type Cancelled struct {
	ProposalID uint64
}

// PeerHash is the hash of a peer's state at an offset.
type PeerHash struct {
	Node   core.NodeName
	Offset core.Offset
	Hash   uint64
}

// Encoded answers Encode.
type Encoded struct {
	Offset core.Offset
	Data   []byte
}

func (Encoded) event()   {}
func (Tick) event()      {}
func (LogRead) event()   {}
func (PeerRead) event()  {}
func (StateRead) event() {}
func (Appended) event()  {}
func (Proposed) event()  {}
func (Cancelled) event() {}
func (PeerHash) event()  {}

// Action is an output of Follower.Step.
type Action interface{ action() }

// ReadLog asks for a read of the log. At most one is outstanding.
type ReadLog struct {
	From core.Offset
	Max  int
	Wait time.Duration
}

// ReadPeer asks a peer for entries that it has read. At most one ReadPeer or
// AskState is outstanding.
type ReadPeer struct {
	Peer int
	From core.Offset
	Max  int
}

// ReadState asks a peer for its whole state.
type ReadState struct {
	Peer int
}

// Append asks for an append. At most one is outstanding.
type Append struct {
	BatchID core.RecordID
	Data    []byte
}

// Encode asks for an image to be encoded, which takes time and may be done by
// another goroutine. At most one is outstanding.
type Encode struct {
	Snapshot *fold.Snapshot
}

// ProposalResult is the end of a proposal: the verdicts in the order of its records,
// or an error with core.CodeLogRefused, core.CodeLogUnknown or
// core.CodeRecordBad.
type ProposalResult struct {
	ProposalID uint64
	Verdicts   []fold.Verdict
	Err        error
}

// Publish tells that the state or the status has changed.
type Publish struct{}

func (Encode) action()         {}
func (ReadLog) action()        {}
func (ReadPeer) action()       {}
func (ReadState) action()      {}
func (Append) action()         {}
func (ProposalResult) action() {}
func (Publish) action()        {}
