package node

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// peerBackend answers the node's peers.
type peerBackend struct {
	node *Node
}

var _ peer.Backend = (*peerBackend)(nil)

// Exchange takes a peer's beat and returns this node's.
func (backend *peerBackend) Exchange(hb core.Heartbeat) core.Heartbeat {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	return backend.node.membership.exchange(ctx, hb)
}

// Relay returns log entries that this node has read.
func (backend *peerBackend) Relay(ctx context.Context, from core.Offset, limit int) (core.Page, error) {
	return backend.node.store.Relay(from, limit)
}

// State returns the encoded state.
func (backend *peerBackend) State(context.Context) ([]byte, error) { return backend.node.store.State() }

// Run runs a job that a peer handed on.
func (backend *peerBackend) Run(ctx context.Context, job core.Job, sink core.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	return backend.node.jobs.Run(ctx, job, sink)
}
