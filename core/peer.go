package core

import (
	"context"
	"time"
)

// Heartbeat is the status that an entry VM sends to its peers. Hash is the
// hash of the replicated state at HashOffset in the era Era of the log, LogOK reports whether the node
// can reach the log, and InFlightByGroup counts its in-flight requests by
// group.
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
	Era             Era               `cbor:"15,keyasint,omitempty"`
}

// HashPosition returns the position in the log at which the state has Hash.
func (hb Heartbeat) HashPosition() Position {
	return Position{Era: hb.Era, Offset: hb.HashOffset}
}

// PeerState is the complete state of an entry VM, encoded by package fold, and
// the era of the log that it was read in. Earlier builds state no era.
type PeerState struct {
	Era  Era
	Data []byte
}

// Usage is an organisation's demand at one node: requests and tokens per
// second, and the number of running requests.
type Usage struct {
	Requests float64 `cbor:"1,keyasint"`
	Tokens   float64 `cbor:"2,keyasint"`
	Running  int     `cbor:"3,keyasint"`
}

// Suspect is a request that may have crashed a backend server. Fingerprint is
// a hash of the request's content.
type Suspect struct {
	Fingerprint uint64    `cbor:"1,keyasint"`
	Crashes     int       `cbor:"2,keyasint"`
	ExpiresAt   time.Time `cbor:"3,keyasint"`
	Cleared     bool      `cbor:"4,keyasint,omitempty"`
}

// Job is a caller's request in the form in which nodes forward it. Deadline is
// absolute. Hops counts how often the job was forwarded. Model is set for
// completions, Service for calls of a plain service. Type is the content type
// of the body.
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

// Part is one piece of the response to a job. A completion has many parts with
// Text; a plain call has one with Reply. The last part has End set. Code is
// set on the last part if the job failed.
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

// Sink receives the parts of a response in order. If WritePart returns an
// error, the caller has disconnected and the job is cancelled.
type Sink interface {
	WritePart(part Part) error
}

// Peer is a client of another entry VM.
//
// Exchange sends a heartbeat and returns the peer's. Relay returns at most
// limit log entries starting at offset from that the peer has read. State
// returns the peer's complete state. Forward runs a job at the peer;
// its error carries CodePeerUnreachable if the job definitely did not reach
// the peer, and CodeUnknownOutcome if that cannot be determined.
type Peer interface {
	Exchange(ctx context.Context, beat Heartbeat) (Heartbeat, error)
	Relay(ctx context.Context, from Offset, limit int) (Page, error)
	State(ctx context.Context) (PeerState, error)
	Forward(ctx context.Context, job Job, sink Sink) error
}
