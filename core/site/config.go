package site

import "time"

// Kind tells what of a request may be repeated.
type Kind uint8

// Kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce
	// KindStream requests are answered by a series of events and run at most
	// once, unless the route lets a stream go on at another server.
	KindStream
)

// String returns the name of the kind.
func (knd Kind) String() string {
	switch knd {
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
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
	// MaxHeader and MaxBody bound what a caller may send, in bytes.
	MaxHeader, MaxBody int
	// HeaderTimeout bounds the time that a caller may take for a header,
	// IdleTimeout the time that it may leave a connection unused.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route tells where requests of a host and a path prefix go and how.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Targets            []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event.
	Objective time.Duration
	// GapObjective is the longest pause between events.
	GapObjective time.Duration
	// Priority is the rank, 0 is the highest.
	Priority int
	// Attempts is the number of servers that an attempt may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again.
func (rou *Route) Repeatable() bool {
	return rou.Kind == KindIdempotent || rou.Kind == KindStream && rou.Resumable
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
	// StepEvents is the number of tokens that come in one event.
	StepEvents int
	// Step is the time for one token of each running request, StepPerSeq what
	// each request adds to it and StepPerK what 1,000 tokens of context add.
	Step, StepPerSeq, StepPerK time.Duration
	PromptPerSec               float64
	LoadsPerSec                float64
	LoadsAtOnce                int
	// OpenTime is the time from an open order until the group serves.
	OpenTime                 time.Duration
	ReportLag                time.Duration
	UsualPrompt, UsualAnswer float64
	Models                   []Model
}

// Model is a model that groups of a service serve.
type Model struct {
	Name string
	// Size is the number of members of a group.
	Size int
	// Share is the model's part of the work when traffic starts.
	Share float64
	// Pace is a factor on all times of a group.
	Pace float64
	// LoadTime is the time to load a member from the weight store, WarmTime
	// from the host's own copy.
	LoadTime, WarmTime time.Duration
}

// Org is an organisation with its keys.
type Org struct {
	Name string
	Keys []string
	// Priority goes before that of a route, if it is set.
	Priority *int
}
