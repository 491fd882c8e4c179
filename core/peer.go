package core

import (
	"context"
	"time"
)

// Heartbeat is what an entry VM tells its peers of itself. Groups counts its
// requests in progress by group.
type Heartbeat struct {
	Node            NodeName          `cbor:"1,keyasint"`
	Zone            Zone              `cbor:"2,keyasint"`
	Addr            string            `cbor:"3,keyasint"`
	Incarnation     Incarnation       `cbor:"4,keyasint"`
	Seq             uint64            `cbor:"5,keyasint"`
	Applied         Offset            `cbor:"6,keyasint"`
	Hash            uint64            `cbor:"7,keyasint"`
	HashOffset      Offset            `cbor:"8,keyasint"`
	LogOK           bool              `cbor:"9,keyasint"`
	Stopping        bool              `cbor:"10,keyasint"`
	InFlight        int               `cbor:"11,keyasint"`
	Usage           map[OrgName]Usage `cbor:"12,keyasint,omitempty"`
	Suspects        []Suspect         `cbor:"13,keyasint,omitempty"`
	InFlightByGroup map[GroupName]int `cbor:"14,keyasint,omitempty"`
}

// Usage is an organisation's demand at one node, per second, and its requests
// in progress.
type Usage struct {
	Requests float64 `cbor:"1,keyasint"`
	Tokens   float64 `cbor:"2,keyasint"`
	Running  int     `cbor:"3,keyasint"`
}

// Suspect is a request that may have crashed a backend server. Print is a
// fingerprint of the request's content.
type Suspect struct {
	Fingerprint uint64    `cbor:"1,keyasint"`
	Crashes     int       `cbor:"2,keyasint"`
	ExpiresAt   time.Time `cbor:"3,keyasint"`
	Cleared     bool      `cbor:"4,keyasint,omitempty"`
}

// Job is a request of a caller as the nodes hand it on. Deadline is absolute;
// Hops counts how often it was forwarded. Model is set for completions,
// Service for calls of a plain service.
type Job struct {
	ID             string         `cbor:"1,keyasint"`
	Org            OrgName        `cbor:"2,keyasint"`
	Model          ModelName      `cbor:"3,keyasint,omitempty"`
	Adapter        string         `cbor:"4,keyasint,omitempty"`
	Service        string         `cbor:"5,keyasint,omitempty"`
	Method         string         `cbor:"6,keyasint,omitempty"`
	Path           string         `cbor:"7,keyasint,omitempty"`
	Type           string         `cbor:"8,keyasint,omitempty"`
	Body           []byte         `cbor:"9,keyasint,omitempty"`
	Prompt         string         `cbor:"10,keyasint,omitempty"`
	MaxTokens      int            `cbor:"11,keyasint,omitempty"`
	StartPos       int            `cbor:"12,keyasint,omitempty"`
	Priority       int            `cbor:"13,keyasint"`
	IdempotencyKey IdempotencyKey `cbor:"14,keyasint,omitempty"`
	KeyIssuedAt    time.Time      `cbor:"15,keyasint,omitempty"`
	OrderingKey    string         `cbor:"16,keyasint,omitempty"`
	Deadline       time.Time      `cbor:"17,keyasint"`
	Hops           int            `cbor:"18,keyasint"`
}

// AtMostOnce reports whether the job must not be repeated.
func (job Job) AtMostOnce() bool { return job.IdempotencyKey != "" }

// Part is a piece of a job's answer on its way to the caller. A completion
// has many parts with Text; a plain call has one with Reply. The last part has
// End set. Code is set on the last part if the job failed.
type Part struct {
	Pos          int           `cbor:"1,keyasint"`
	Text         string        `cbor:"2,keyasint,omitempty"`
	Reply        *Reply        `cbor:"3,keyasint,omitempty"`
	End          bool          `cbor:"4,keyasint,omitempty"`
	Tokens       int           `cbor:"5,keyasint,omitempty"`
	FinishReason string        `cbor:"6,keyasint,omitempty"`
	Code         Code          `cbor:"7,keyasint,omitempty"`
	Detail       string        `cbor:"8,keyasint,omitempty"`
	RetryAfter   time.Duration `cbor:"9,keyasint,omitempty"`
}

// Sink takes the parts of an answer in order. An error means that the caller
// is gone; the job is then cancelled.
type Sink interface {
	WritePart(part Part) error
}

// Peer is another entry VM.
//
// Exchange sends a beat and returns the peer's. Relay returns log entries from
// offset from on that the peer has read, and State its whole encoded state.
// Forward runs a job at the peer; its error carries CodePeerUnreachable if the
// job surely did not get there and CodeUnknownOutcome if that can't be told.
type Peer interface {
	Exchange(ctx context.Context, beat Heartbeat) (Heartbeat, error)
	Relay(ctx context.Context, from Offset, limit int) (Page, error)
	State(ctx context.Context) ([]byte, error)
	Forward(ctx context.Context, job Job, sink Sink) error
}
