package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// Kinds of faults. Those up to LastPlanned are planned work, in which no
// request may be lost.
const (
	// NodeTerm ends a node by SIGTERM and starts it again.
	NodeTerm Kind = iota
	// NodeHup tells a node that its settings changed.
	NodeHup
	// Configure writes another version of the configuration.
	Configure
	// ServerDrain lets a server leave as planned, and another one come.
	ServerDrain
	// NodeKill kills a node, Herd kills all of them; they start again.
	NodeKill
	Herd
	// NodeFreeze stops a node for a time.
	NodeFreeze
	// StoreRefuse, StoreDrop, StoreSilent, StoreSlow and StoreLost are calls
	// that are refused, reset, not answered, answered late, or done and not
	// answered, for all nodes or some.
	StoreRefuse
	StoreDrop
	StoreSilent
	StoreSlow
	StoreLost
	// StoreForget drops the history of the store.
	StoreForget
	// ServerDark silences a server, which comes back with nothing it knew.
	ServerDark
	// LinkDelay, LinkReset, LinkOut and LinkIn delay, reset or cut the
	// connections to a server, one way.
	LinkDelay
	LinkReset
	LinkOut
	LinkIn
	// ServerSlow, ServerFail, ServerRefuse, ServerCut and ServerStall are
	// servers that answer late, with failures, refuse, break off answers or
	// stop in their middle, for part of their requests.
	ServerSlow
	ServerFail
	ServerRefuse
	ServerCut
	ServerStall
	numKinds
)

// LastPlanned is the last kind of planned work.
const LastPlanned = ServerDrain

var kindNames = [numKinds]string{
	"node_term", "node_hup", "configure", "server_drain", "node_kill", "herd", "node_freeze", "store_refuse", "store_drop", "store_silent",
	"store_slow", "store_lost", "store_forget", "server_dark", "link_delay", "link_reset", "link_out", "link_in", "server_slow", "server_fail",
	"server_refuse", "server_cut", "server_stall",
}

// String returns the name of the kind.
func (knd Kind) String() string { return kindNames[knd] }

// Fault is one injury of a run.
type Fault struct {
	Kind Kind
	// At is the time since the start of the run, For how long it lasts.
	At, For time.Duration
	// Pick chooses the things that it strikes, Share is the part of the nodes
	// or requests.
	Pick  uint64
	Share float64
}

// String returns the fault in one line.
func (flt Fault) String() string {
	return fmt.Sprintf("%v %v for %v share %.2f pick %x", flt.At, flt.Kind, flt.For, flt.Share, flt.Pick)
}

// Lengths of faults.
const (
	minFault = 200 * time.Millisecond
	maxFault = 4 * time.Second
	// maxGap is the longest pause before the next fault; faults last longer on
	// average, so that they overlap.
	maxGap = 900 * time.Millisecond
	// plannedGap is added to the pauses of planned work.
	plannedGap = 300 * time.Millisecond
	// repeatChance is the chance that a fault is of the kind of the one before:
	// troubles come in series.
	repeatChance = 0.3
	// plannedEvery is the number of seeds of which one holds planned work only.
	plannedEvery = 4
)

// Script returns the faults of a run of the given length, by its seed. Planned
// tells that they are planned work only.
func Script(seed uint64, length time.Duration) (flts []Fault, planned bool) {
	rng := rand.New(rand.NewPCG(seed, 0))
	planned = seed%plannedEvery == 0
	num := int64(numKinds)
	if planned {
		num = int64(LastPlanned) + 1
	}
	knd := Kind(rng.Int64N(num))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.Int64N(int64(maxGap)))
		if planned {
			at += plannedGap
		}
		if at > length {
			return flts, planned
		}
		if rng.Float64() > repeatChance {
			knd = Kind(rng.Int64N(num))
		}
		flts = append(flts, Fault{
			Kind: knd, At: at, For: minFault + time.Duration(rng.Int64N(int64(maxFault-minFault))), Pick: rng.Uint64(), Share: 0.1 + 0.9*rng.Float64(),
		})
	}
}
