package node

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// peerBackend handles the calls of the node's peers.
type peerBackend struct {
	node *Node
}

var _ peer.Backend = (*peerBackend)(nil)

// Exchange records a peer's heartbeat and returns this node's.
func (backend *peerBackend) Exchange(hb core.Heartbeat) core.Heartbeat {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	return backend.node.membership.exchange(ctx, hb)
}

// Relay returns log entries that this node has read, for peers that can't read
// the log.
func (backend *peerBackend) Relay(ctx context.Context, from core.Offset, limit int) (core.Page, error) {
	return backend.node.store.Relay(from, limit)
}

// State returns the replicated state.
func (backend *peerBackend) State(context.Context) (core.PeerState, error) {
	return backend.node.store.State()
}

// Run runs a job that a peer forwarded.
func (backend *peerBackend) Run(ctx context.Context, job core.Job, sink core.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	return backend.node.jobs.Run(ctx, job, sink)
}
