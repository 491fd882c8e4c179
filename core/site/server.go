package site

import "time"

// GroupState is what a member says of its group.
type GroupState uint8

// States of a member in its group. Only the head is open, closing or broken.
const (
	GroupNone GroupState = iota
	GroupJoining
	GroupReady
	GroupOpen
	GroupClosing
	GroupBroken
)

// String returns the name of the state.
func (state GroupState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[state]
}

// Membership is a server's place in a group. A zero Membership is none.
type Membership struct {
	Name  string
	Epoch int64
	// Rank is the position in the list of members. Rank 0 is the head.
	Rank  int
	State GroupState
}

// Server is one life of a backend server, as its entry tells of it.
type Server struct {
	ID, Service, Addr, Zone string
	Slots                   int
	// Draining servers end soon and take no new requests.
	Draining bool
	// Domain is the fabric domain, empty for plain services.
	Domain string
	// StagedModels lists the models on the server's host.
	StagedModels []string
	Model        string
	Group        Membership
	// StartMillis is the start of this life, in Unix milliseconds by its own clock.
	StartMillis int64
}

// HasStaged reports whether the model is staged on the server's host.
func (srv *Server) HasStaged(model string) bool {
	for _, name := range srv.StagedModels {
		if name == model {
			return true
		}
	}
	return false
}

// Report is a server's answer to a question for its state.
type Report struct {
	// Server is the entry with what the report says of it.
	Server *Server
	// Slowdown is over 1 for a server that is slower than usual.
	Slowdown float64
}

// Record is a record of a keyed topic. A record without a value ends its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// OrderKind is what a server is told to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderJoin OrderKind = iota
	OrderOpen
	OrderClose
	OrderLeave
	OrderStage
)

// String returns the name of the kind.
func (kind OrderKind) String() string {
	return [...]string{"join", "open", "close", "leave", "stage"}[kind]
}

// Order is an order to one server.
type Order struct {
	Kind         OrderKind
	Server, Addr string
	Group        string
	Epoch        int64
	Model        string
	// Members lists the IDs of the group's members, the head first.
	Members []string
	// Preempt ends the running requests when a group closes.
	Preempt bool
	// FencingToken is the term of the orderer. Servers refuse lower ones than they
	// have seen.
	FencingToken int64
}

// OrderResult is a server's answer to an order.
type OrderResult uint8

// Results of orders.
const (
	// OrderUnknown: no answer came, the order may be carried out later.
	OrderUnknown OrderResult = iota
	// OrderAccepted: the order is in progress.
	OrderAccepted
	// OrderDone: the order is done, or the state held before.
	OrderDone
	// OrderConflict: the order doesn't fit the server's state.
	OrderConflict
	// OrderFenced: another orderer has used a higher term, or the epoch is old.
	OrderFenced
	// OrderMisdirected: another server has the address.
	OrderMisdirected
	// OrderRefused: the server takes no such order.
	OrderRefused
)

// String returns the name of the result.
func (res OrderResult) String() string {
	return [...]string{"unknown", "begun", "done", "conflict", "fenced", "misdirected", "refused"}[res]
}

// Settings are the settings of a process.
type Settings struct {
	Node, IP, Zone string
	// CallerAddr and Readiness are listen addresses, Store that of the store.
	CallerAddr, ReadinessAddr, StoreAddr string
	// PeerPort is the UDP port of the entry VMs among each other.
	PeerPort    int
	MemoryBytes int64
	// StopGrace is the time from the order to stop until the process is ended.
	StopGrace time.Duration
	// RetryRatio and RetrySlack bound the repeats of all nodes in a
	// RetryWindow: the ratio to the requests, and a number beyond that.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}
