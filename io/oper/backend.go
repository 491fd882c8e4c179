package oper

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Backend is what the interface needs of its node. Its methods are called
// from many goroutines.
type Backend interface {
	// View returns the folded state, nil while the node has none.
	View() *fold.View
	// Propose appends the record and returns the fold's verdict on it. An
	// error with core.CodeLogRefused, core.CodeLogDown or core.CodeNotReady
	// means that the record was surely not appended; any other error means
	// that this is not known.
	Propose(ctx context.Context, rec recd.Record) (fold.Verdict, error)
	// Outcome returns the verdict on the record and whether it is known.
	Outcome(id core.RecordID) (fold.Verdict, bool)
	// Status returns what the node knows of groups, VMs and nodes.
	Status(ctx context.Context) Status
}
