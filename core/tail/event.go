package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Event is an input of Follower.Step.
type Event interface{ event() }

// Tick reports that time has passed. PeerCount is the number of peers that can
// be queried, LiveNodes are the live entry VMs, including this one.
type Tick struct {
	PeerCount int
	LiveNodes []core.NodeName
}

// LogRead is the result of ReadLog. SentAt is the time at which the read was
// sent.
type LogRead struct {
	SentAt time.Time
	Page   core.Page
	Err    error
}

// PeerRead is the result of ReadPeer.
type PeerRead struct {
	Peer int
	Page core.Page
	Err  error
}

// StateRead is the result of ReadState.
type StateRead struct {
	Peer  int
	State core.PeerState
	Err   error
}

// Appended is the result of Append. An error with core.CodeLogRefused means
// that the batch was certainly not appended.
type Appended struct {
	BatchID core.RecordID
	Offset  core.Offset
	Err     error
}

// Proposed requests that records be appended. ProposalID is chosen by the
// caller. Every record must have an ID.
type Proposed struct {
	ProposalID uint64
	Records    []recd.Record
}

// Cancelled reports that the caller of a proposal no longer waits for it.
type Cancelled struct {
	ProposalID uint64
}

// PeerHash is the hash of a peer's state at a position.
type PeerHash struct {
	Node     core.NodeName
	Position core.Position
	Hash     uint64
}

// Encoded is the result of Encode.
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

// ReadLog requests a read of the log. At most one is in flight.
type ReadLog struct {
	From core.Offset
	Max  int
	Wait time.Duration
}

// ReadPeer requests entries that a peer has read. At most one ReadPeer or
// ReadState is in flight.
type ReadPeer struct {
	Peer int
	From core.Offset
	Max  int
}

// ReadState requests a peer's complete state.
type ReadState struct {
	Peer int
}

// Append requests an append to the log, which must refuse it in another era unless
// Era is zero. At most one is in flight.
type Append struct {
	Era     core.Era
	BatchID core.RecordID
	Data    []byte
}

// Encode requests that a snapshot be encoded, which is slow and may run in
// another goroutine. At most one is in flight.
type Encode struct {
	Snapshot *fold.Snapshot
}

// ProposalResult is the result of a proposal: the decisions in the order of its
// records, or an error with core.CodeLogRefused, core.CodeLogUnknown,
// core.CodeRecordBad or core.CodeTooLarge.
type ProposalResult struct {
	ProposalID uint64
	Decisions  []fold.Decision
	Err        error
}

// Publish reports that the state or the status has changed.
type Publish struct{}

func (Encode) action()         {}
func (ReadLog) action()        {}
func (ReadPeer) action()       {}
func (ReadState) action()      {}
func (Append) action()         {}
func (ProposalResult) action() {}
func (Publish) action()        {}
