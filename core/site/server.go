package site

import "time"

// GroupState is the state of a member in its group, as the member reports it.
type GroupState uint8

// States of a member. A member is ready once its model is loaded; a ready head is
// opened to receive requests. Only the head can be open, closing or broken.
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

// Membership is a server's place in a group. The zero value means that the
// server belongs to no group.
type Membership struct {
	Name  string
	Epoch int64
	// Rank is the index in the list of members. Rank 0 is the head.
	Rank  int
	State GroupState
}

// Server is one process of a backend server, as described by its entry. A
// restart gives a new StartMillis.
type Server struct {
	ID, Service, Addr, Zone string
	Slots                   int
	// Draining servers are about to stop and accept no new requests.
	Draining bool
	// Domain is the fabric domain within which groups are formed, empty for plain
	// services.
	Domain string
	// StagedModels lists the models whose weights are on the server's host, the
	// last one loaded last.
	StagedModels []string
	Model        string
	Group        Membership
	// StartMillis is the start time of the process, in Unix milliseconds by its
	// own clock.
	StartMillis int64
	// ColdLeft is how much longer the process tolerates few requests only, as it
	// stated when it wrote its entry.
	ColdLeft time.Duration
	// Updates is how often the process had written its entry. It rises with each
	// entry of a process.
	Updates int64
}

// ServerRun identifies one process of a server.
type ServerRun struct {
	ID          string `cbor:"1,keyasint"`
	StartMillis int64  `cbor:"2,keyasint"`
}

// Run returns the process that the entry describes.
func (srv *Server) Run() ServerRun { return ServerRun{ID: srv.ID, StartMillis: srv.StartMillis} }

// HasStaged reports whether the model is staged on the server's host.
func (srv *Server) HasStaged(model string) bool {
	for _, name := range srv.StagedModels {
		if name == model {
			return true
		}
	}
	return false
}

// Report is a server's response to a state request.
type Report struct {
	// Server is the server's entry, updated from the report.
	Server *Server
	// Slowdown exceeds 1 for a server that is slower than usual.
	Slowdown float64
}

// Record is a record of a keyed topic. A record without a value deletes its
// key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset int64  `cbor:"3,keyasint"`
}

// OrderKind is the action requested by an order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderJoin OrderKind = iota
	OrderOpen
	OrderClose
	OrderLeave
)

// String returns the name of the kind.
func (kind OrderKind) String() string {
	return [...]string{"join", "open", "close", "leave"}[kind]
}

// Order is a command of the orderer to one server.
type Order struct {
	Kind         OrderKind
	Server, Addr string
	Group        string
	Epoch        int64
	Model        string
	// Members lists the server IDs of the group, the head first.
	Members []string
	// Preempt aborts the running requests when a group closes.
	Preempt bool
	// FencingToken is the orderer's term. Servers refuse tokens lower than the
	// highest that they have received.
	FencingToken int64
}

// OrderResult is the outcome of an order.
type OrderResult uint8

const (
	// OrderUnknown means that no response arrived; the order may still be
	// carried out later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is in progress.
	OrderAccepted
	// OrderDone means that the requested state is reached, or was reached
	// before.
	OrderDone
	// OrderConflict means that the order doesn't fit the server's state.
	OrderConflict
	// OrderFenced means that an orderer with a higher term has sent orders, or
	// that the epoch is outdated.
	OrderFenced
	// OrderMisdirected means that another server uses the address.
	OrderMisdirected
	// OrderRefused means that the server rejects orders of this kind.
	OrderRefused
)

// String returns the name of the result.
func (res OrderResult) String() string {
	return [...]string{"unknown", "begun", "done", "conflict", "fenced", "misdirected", "refused"}[res]
}

// Settings are the settings of one entry VM process.
type Settings struct {
	Node, IP, Zone string
	// CallerAddr and ReadinessAddr are listen addresses, StoreAddr is the
	// address of the store.
	CallerAddr, ReadinessAddr, StoreAddr string
	// PeerPort is the UDP port for messages between entry VMs.
	PeerPort int
	// RelayPort is the TCP port for requests that entry VMs relay to each other, zero to
	// disable this.
	RelayPort   int
	MemoryBytes int64
	// MaxFds is the limit of descriptors of the process, zero if there is none.
	MaxFds int
	// StopGrace is the time between a stop request and the forced end of the
	// process.
	StopGrace time.Duration
	// StallTimeout is the time after which the head of a group breaks that has lost a
	// member, zero if unknown.
	StallTimeout time.Duration
	// RetryRatio and RetrySlack limit the retries of all nodes within any
	// RetryWindow to RetryRatio times the requests plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ColdRatio and ColdSlack limit the requests that a cold server receives from
	// all nodes in any second to ColdRatio times its rate plus ColdSlack.
	ColdRatio, ColdSlack float64
	// EvacuationTimeout is the time from the acknowledgement of an evacuation within
	// which requests to the zone must have ended.
	EvacuationTimeout time.Duration
}
