package oper

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Backend is the node that an API serves. Its methods must be safe for
// concurrent use.
type Backend interface {
	// View returns the folded state, or nil if the node has none yet.
	View() *fold.View
	// Propose appends the record to the log and returns the fold's decision on
	// it. An error with core.CodeLogRefused, core.CodeLogDown or
	// core.CodeNotReady guarantees that the record was not appended; after any
	// other error the outcome is unknown.
	Propose(ctx context.Context, rec recd.Record) (fold.Decision, error)
	// Outcome returns the decision on the record, or false if it is unknown.
	Outcome(id core.RecordID) (fold.Decision, bool)
	// Status returns the state of groups, VMs and nodes as this node sees it.
	Status(ctx context.Context) Status
}
