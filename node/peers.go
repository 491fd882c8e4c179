package node

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// peerBackend answers the node's peers.
type peerBackend struct {
	nod *Node
}

var _ peer.Backend = (*peerBackend)(nil)

// Exchange takes a peer's beat and returns this node's.
func (pbk *peerBackend) Exchange(bea core.Heartbeat) core.Heartbeat {
	ctx, cancel := context.WithTimeout(context.Background(), peerCall)
	defer cancel()
	return pbk.nod.bet.exchange(ctx, bea)
}

// Relay returns log entries that this node has read.
func (pbk *peerBackend) Relay(ctx context.Context, from core.Offset, max int) (core.Page, error) {
	return pbk.nod.sto.Relay(from, max)
}

// State returns the encoded state.
func (pbk *peerBackend) State(context.Context) ([]byte, error) { return pbk.nod.sto.State() }

// Run runs a job that a peer handed on.
func (pbk *peerBackend) Run(ctx context.Context, job core.Job, snk core.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	return pbk.nod.jbs.Run(ctx, job, snk)
}
