package check

import "time"

// Place is where a value stands in the file, or would stand if it is not set. Lines
// are counted from 1.
type Place struct {
	Path string
	Line int
}

// Value is a value with its place. Values that the file doesn't set are zero.
type Value[T any] struct {
	Place
	Val T
	Set bool
}

// Field is a number, string or truth value as it is written in the file. Fields of
// two objects are compared by Name, the path within the object.
type Field struct {
	Place
	Name, Text string
}

// Object is a part of the document with those fields that are only compared as text.
type Object struct {
	Place
	Fields []Field
}

// Document is a configuration with the places of its values.
type Document struct {
	Object
	Version  Value[int64]
	Routes   []Route
	Services []Service
	Orgs     []Org
	Limits   Limits
}

// Route is a route of a Document.
type Route struct {
	Object
	Name, Host, Prefix Value[string]
	// KindKnown is false for a kind that the system doesn't have.
	KindKnown                              Value[bool]
	Timeout, TargetLatency, TargetEventGap Value[time.Duration]
	Priority, MaxAttempts                  Value[int]
	Public                                 Value[bool]
	// Service is the only target, or one of weight 1 beside those of Split.
	Service Value[string]
	Split   []Target
	// SplitPlace is the place of Split.
	SplitPlace Place
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Place
	Service Value[string]
	Weight  Value[float64]
}

// Service is a service of a Document.
type Service struct {
	Object
	Name          Value[string]
	MaxConns      Value[int]
	ColdStart     Value[time.Duration]
	ColdPerSecond Value[float64]
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is the profile of a service of model servers.
type Engine struct {
	Place
	Slots Value[int]
	// MemoryTokens is the number of tokens that the memory of a group holds.
	MemoryTokens                             Value[int]
	TypicalPromptTokens, TypicalOutputTokens Value[float64]
	// Times are those that only have to be positive or zero, and Rates and Counts
	// likewise.
	Times  []Value[time.Duration]
	Rates  []Value[float64]
	Counts []Value[int]
	Models []Model
}

// Model is a model of an Engine.
type Model struct {
	Object
	Name                   Value[string]
	GroupSize              Value[int]
	Share, TimeFactor      Value[float64]
	LoadTime, WarmLoadTime Value[time.Duration]
}

// Org is an organisation of a Document.
type Org struct {
	Object
	Name     Value[string]
	Keys     []Value[string]
	Priority Value[int]
}

// Limits are the limits of requests and connections.
type Limits struct {
	Object
	MaxHeaderBytes, MaxBodyBytes Value[int]
	HeaderTimeout, IdleTimeout   Value[time.Duration]
}
