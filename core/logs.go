package core

import (
	"context"
	"time"
)

// Entry is one entry of the platform's log.
type Entry struct {
	Offset Offset    `cbor:"1,keyasint"`
	ID     RecordID  `cbor:"2,keyasint"`
	At     time.Time `cbor:"3,keyasint"`
	Data   []byte    `cbor:"4,keyasint"`
}

// Page is the answer to a read of the log. First is the lowest offset still
// kept and Next the offset that the next append will get.
type Page struct {
	First   Offset
	Next    Offset
	Entries []Entry
}

// Log is the platform's append-only log service.
//
// Append returns the offset of the new entry. An error with CodeLogRefused
// means that the entry was surely not appended, one with CodeLogUnknown that
// it may have been.
//
// Read returns at most max entries from offset from on and waits up to wait
// for the first. It returns an error with CodeLogGap if from is older than
// the oldest kept entry (Page.First is then set), and CodeLogDown if the
// service can't be reached.
type Log interface {
	Append(ctx context.Context, id RecordID, data []byte) (Offset, error)
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Page, error)
}

// VMKind tells what runs on a VM.
type VMKind string

// Kinds of VM.
const (
	VMEngine VMKind = "engine"
	VMPlain  VMKind = "plain"
	VMEntry  VMKind = "entry"
)

// VM is one line of the platform's list of VMs, which lags.
type VM struct {
	Name    VMName `json:"name"`
	Addr    string `json:"addr"`
	Zone    Zone   `json:"zone"`
	Domain  Domain `json:"domain"`
	Kind    VMKind `json:"kind"`
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving"`
}

// VMLister reads the platform's list of live and leaving VMs. Errors carry
// CodeLogDown if the list can't be read.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
