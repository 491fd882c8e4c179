package site

import "time"

// RequestKind tells what of a request may be repeated.
type RequestKind uint8

// Kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota
	// KindAtMostOnce requests run at most once for each attempt of a caller.
	KindAtMostOnce
	// KindStream requests are answered by a series of events and run at most
	// once, unless the route lets a stream go on at another server.
	KindStream
)

// String returns the name of the kind.
func (kind RequestKind) String() string {
	switch kind {
	case KindIdempotent:
		return "idempotent"
	case KindAtMostOnce:
		return "once"
	}
	return "stream"
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Orgs     []Org
	// MaxHeaderBytes and MaxBody bound what a caller may send, in bytes.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time that a caller may take for a header,
	// IdleTimeout the time that it may leave a connection unused.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route tells where requests of a host and a path prefix go and how.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	Targets            []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between events.
	TargetEventGap time.Duration
	// Priority is the rank, 0 is the highest.
	Priority int
	// MaxAttempts is the number of servers that an attempt may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Retryable reports whether a request of the route may run again.
func (route *Route) Retryable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers with one purpose.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is the profile of a service of model servers. Times and slots are
// those of a whole group.
type Engine struct {
	Slots int
	// TokensPerEvent is the number of tokens that come in one event.
	TokensPerEvent int
	// StepTime is the time for one token of each running request, StepPerSeq what
	// each request adds to it and StepPerK what 1,000 tokens of context add.
	StepTime, StepTimePerSequence, StepTimePerKTokens time.Duration
	PromptTokensPerSec                                float64
	LoadsPerSec                                       float64
	MaxConcurrentLoads                                int
	// OpenTime is the time from an open order until the group serves.
	OpenTime                                 time.Duration
	ReportLag                                time.Duration
	TypicalPromptTokens, TypicalOutputTokens float64
	Models                                   []Model
}

// Model is a model that groups of a service serve.
type Model struct {
	Name string
	// GroupSize is the number of members of a group.
	GroupSize int
	// InitialShare is the model's part of the work when traffic starts.
	InitialShare float64
	// TimeFactor is a factor on all times of a group.
	TimeFactor float64
	// LoadTime is the time to load a member from the weight store, WarmTime
	// from the host's own copy.
	LoadTime, WarmLoadTime time.Duration
}

// Org is an organisation with its keys.
type Org struct {
	Name string
	Keys []string
	// Priority goes before that of a route, if it is set.
	Priority *int
}
