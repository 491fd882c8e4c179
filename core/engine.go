package core

import (
	"context"
	"time"
)

// EngineState is what a model engine says of itself.
type EngineState string

// Engine states.
const (
	EngineEmpty   EngineState = "empty"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
)

// Spec tells what a group runs. Two specs are equal if every field is.
type Spec struct {
	Model    ModelName `json:"model" cbor:"1,keyasint"`
	Version  string    `json:"version" cbor:"2,keyasint"`
	Adapters []string  `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	Role     Role      `json:"role" cbor:"4,keyasint"`
}

// Load is an engine's report of its load, which lags.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// ProbeResult is an engine's answer to a probe.
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

// Action is what an order asks of an engine.
type Action string

// Order actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order tells an engine to load or unload. Number is the fencing number: the
// offset of the record that assigned the VM.
type Order struct {
	FencingToken Offset    `json:"number"`
	Action       Action    `json:"action"`
	Group        GroupName `json:"group"`
	Spec         Spec      `json:"spec"`
	Members      []VMName  `json:"members"`
	Rank         int       `json:"rank"`
}

// GenerateRequest asks an engine for a completion. From is the position of the first
// token wanted: a resumed stream starts behind what its caller has seen.
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

// Chunk is one piece of an engine's answer. The first chunk of an answer
// (Head) states who answers; the last (End) states the number of tokens. Every
// chunk echoes the attempt.
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

// CacheEvent tells that an engine's prefix cache gained or lost a block.
// Events come late and with gaps in Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"block"`
	Present bool   `json:"present"`
}

// Stream is an answer on its way. Next returns the chunks in the order in
// which they came and an error with CodeCutAnswer or CodeSilent if the
// connection broke or went silent before a chunk with End. Close gives up the
// stream and its connection.
type Stream interface {
	Next(ctx context.Context) (Chunk, error)
	Close() error
}

// Engine is one model engine.
//
// Generate returns an error with CodeDialFailed or CodeRefused if the request
// surely did not run, and with CodeUnknownOutcome otherwise. Order returns
// CodeStaleOrder if the engine refused the order's number. Implementations
// never repeat a call by themselves.
type Engine interface {
	Probe(ctx context.Context) (ProbeResult, error)
	Order(ctx context.Context, order Order) (ProbeResult, error)
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	Cancel(ctx context.Context, id AttemptID) error
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Call is a call of a plain service.
type Call struct {
	Attempt AttemptID
	Method  string
	Path    string
	Type    string
	Body    []byte
	Timeout time.Duration
}

// Reply is a plain service's whole answer.
type Reply struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint"`
	Type    string    `cbor:"3,keyasint"`
	Body    []byte    `cbor:"4,keyasint"`
}

// PlainServer is one backend server of a plain service. Errors are as for
// Engine.Generate; a reply that echoes another attempt, or is shorter than
// its stated length, is an error with CodeCrossedAnswer or CodeCutAnswer.
type PlainServer interface {
	Call(ctx context.Context, call Call) (Reply, error)
}
