package site

import "time"

// RequestKind determines whether a request may be retried.
type RequestKind uint8

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota
	// KindAtMostOnce requests run at most once per attempt of the caller.
	KindAtMostOnce
	// KindStream requests are answered with a stream of events. They run at most
	// once, unless the route allows resuming a stream on another server.
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
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout limits the time to receive a request header, IdleTimeout the
	// time that a caller's connection may stay idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route describes how requests for a host and a path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	Targets            []Target
	// Timeout is the maximum time that a caller waits for the response.
	Timeout time.Duration
	// TargetLatency is the target time to the response, or to the first event of
	// a stream.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest interval between events.
	TargetEventGap time.Duration
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of servers to which one attempt of a
	// caller is sent.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue on another server.
	Resumable bool
}

// Retryable reports whether a request of the route may run again.
func (route *Route) Retryable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers with the same purpose.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdStart is the time after its start for which a server is cold: it tolerates
	// ColdPerSecond requests a second and fails well above that. Zero if servers of
	// the service have no such limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for plain services, which run no models.
	Engine *Engine
}

// Engine is the performance profile of a service of model servers. Times and
// slots apply to a whole group.
type Engine struct {
	Slots int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// StepTime is the time per token of a running request. Each concurrent
	// request adds StepTimePerSequence and every 1,000 tokens of context add
	// StepTimePerKTokens.
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

// MaxGroupSize is the largest number of members of a group.
const MaxGroupSize = 1024

// Model is a model served by groups of a service.
type Model struct {
	Name string
	// GroupSize is the number of members of a group.
	GroupSize int
	// InitialShare is the model's share of the work assumed before traffic
	// starts.
	InitialShare float64
	// TimeFactor scales all times of a group.
	TimeFactor float64
	// LoadTime is the time to load a member from the weight store, WarmLoadTime
	// from the copy on its host.
	LoadTime, WarmLoadTime time.Duration
}

// Org is an organisation and its API keys.
type Org struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}
