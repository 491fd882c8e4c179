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

// Page is the result of reading the log. First is the lowest retained offset,
// and Next the offset that the next append will get. Era is zero if the log or
// the peer that the page was read from states none.
type Page struct {
	First   Offset
	Next    Offset
	Entries []Entry
	Era     Era `cbor:",omitempty"`
}

// Log is a client of the platform's append-only log service.
//
// Append returns the offset of the new entry. An error with CodeLogRefused
// means that the entry was definitely not appended, one with CodeLogUnknown
// that it may have been. A log that states eras refuses an append that names
// another era than the current one; zero names none.
//
// Read returns at most limit entries starting at offset from, and waits at
// most wait for the first one. It returns an error with CodeLogGap if from is
// lower than the first retained offset (Page.First and Page.Era are then set),
// and with CodeLogDown if the service is unreachable.
type Log interface {
	Append(ctx context.Context, era Era, id RecordID, data []byte) (Offset, error)
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Page, error)
}

// VMKind is the kind of process that a VM runs.
type VMKind string

// Kinds of VMs.
const (
	VMEngine VMKind = "engine"
	VMPlain  VMKind = "plain"
	VMEntry  VMKind = "entry"
)

// VM is one row of the platform's VM list. The list lags behind the actual
// state. Leaving is set while the VM is being removed.
type VM struct {
	Name    VMName `json:"name"`
	Addr    string `json:"addr"`
	Zone    Zone   `json:"zone"`
	Domain  Domain `json:"domain"`
	Kind    VMKind `json:"kind"`
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving"`
}

// VMLister reads the platform's list of VMs, including those that are leaving.
// Its error carries CodeLogDown if the list cannot be read.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
