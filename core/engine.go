package core

import (
	"context"
	"time"
)

// EngineState is the state that a model engine reports.
type EngineState string

// Engine states.
const (
	EngineEmpty   EngineState = "empty"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
)

// Spec describes what a group runs. Use Equal to compare two specs.
type Spec struct {
	Model    ModelName `json:"model" cbor:"1,keyasint"`
	Version  string    `json:"version" cbor:"2,keyasint"`
	Adapters []string  `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	Role     Role      `json:"role" cbor:"4,keyasint"`
}

// Load is the load that an engine reports, in requests. It lags behind the
// actual load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// ProbeResult is an engine's response to a probe or an order. FencingToken is
// that of the last order that the engine carried out.
type ProbeResult struct {
	VM           VMName      `json:"vm"`
	Incarnation  Incarnation `json:"incarnation"`
	State        EngineState `json:"state"`
	Group        GroupName   `json:"group"`
	FencingToken Offset      `json:"order"`
	Spec         Spec        `json:"spec"`
	Leaving      bool        `json:"leaving"`
	Load         Load        `json:"load"`
}

// Action is the operation that an order requests.
type Action string

// Actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order instructs an engine to load or unload a model. FencingToken is the
// offset of the log record that assigned the VM; an engine with fencing
// rejects a token lower than the highest that it has accepted.
type Order struct {
	FencingToken Offset    `json:"number"`
	Action       Action    `json:"action"`
	Group        GroupName `json:"group"`
	Spec         Spec      `json:"spec"`
	Members      []VMName  `json:"members"`
	Rank         int       `json:"rank"`
}

// GenerateRequest requests a completion from an engine. StartPos is the
// position of the first token to return: a resumed stream starts after the
// last token that its caller received.
type GenerateRequest struct {
	Attempt      AttemptID `json:"attempt"`
	Request      string    `json:"request"`
	Group        GroupName `json:"group"`
	FencingToken Offset    `json:"order"`
	Adapter      string    `json:"adapter,omitempty"`
	Prompt       string    `json:"prompt"`
	MaxTokens    int       `json:"max_tokens"`
	StartPos     int       `json:"from"`
	Priority     int       `json:"priority"`
}

// Chunk is one message of an engine's streamed response. The first chunk
// (Head) identifies the responding process and what it runs; the last (End)
// states the number of tokens. Every chunk echoes the attempt ID.
type Chunk struct {
	Attempt      AttemptID   `json:"attempt"`
	Head         bool        `json:"head,omitempty"`
	Incarnation  Incarnation `json:"incarnation,omitempty"`
	FencingToken Offset      `json:"order,omitempty"`
	Spec         Spec        `json:"spec,omitzero"`
	Pos          int         `json:"pos"`
	Text         string      `json:"text,omitempty"`
	End          bool        `json:"end,omitempty"`
	Tokens       int         `json:"tokens,omitempty"`
	FinishReason string      `json:"reason,omitempty"`
}

// CacheEvent reports that a block was added to an engine's prefix cache or
// evicted from it. Events arrive late, and Seq may have gaps.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"block"`
	Present bool   `json:"present"`
}

// Stream is a response that is being received. Next returns the chunks in the
// order of arrival, and an error with CodeCutAnswer or CodeSilent if the
// connection broke or timed out before a chunk with End. Close abandons the
// stream and closes its connection.
type Stream interface {
	Next(ctx context.Context) (Chunk, error)
	Close() error
}

// Engine is a client of one model engine.
//
// Generate returns an error with CodeDialFailed or CodeRefused if the request
// definitely did not run, and with CodeUnknownOutcome otherwise. Order returns
// an error with CodeStaleOrder if the engine rejected the fencing token.
// Implementations never retry a call on their own.
type Engine interface {
	Probe(ctx context.Context) (ProbeResult, error)
	Order(ctx context.Context, order Order) (ProbeResult, error)
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	Cancel(ctx context.Context, id AttemptID) error
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Call is a request to a plain service, that is, one that does not run a
// model. Type is the content type of the body.
type Call struct {
	Attempt AttemptID
	Method  string
	Path    string
	Type    string
	Body    []byte
	Timeout time.Duration
}

// Reply is the complete response of a plain service. Type is the content type
// of the body.
type Reply struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint"`
	Type    string    `cbor:"3,keyasint"`
	Body    []byte    `cbor:"4,keyasint"`
}

// PlainServer is a client of one backend server of a plain service. Errors are
// the same as for Engine.Generate. In addition, a reply that echoes another
// attempt ID yields CodeCrossedAnswer, and one shorter than its stated length
// CodeCutAnswer.
type PlainServer interface {
	Call(ctx context.Context, call Call) (Reply, error)
}
