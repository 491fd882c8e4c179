package store

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/tail"
)

// peerCall is a call to one peer. The event loop resolves the peer, since it
// owns the list of peers.
type peerCall struct {
	peer   core.Peer
	action tail.Action
}

func (loop *eventLoop) callPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-loop.peerCalls:
			err := loop.sendEvent(ctx, loop.callPeer(ctx, call))
			if err != nil {
				return err
			}
		}
	}
}

func (loop *eventLoop) callPeer(ctx context.Context, call peerCall) tail.Event {
	ctx, cancel := context.WithTimeout(ctx, loop.store.cfg.CallTimeout)
	defer cancel()
	if act, ok := call.action.(tail.ReadPeer); ok {
		page, err := call.peer.Relay(ctx, act.From, act.Max)
		return tail.PeerRead{Peer: act.Peer, Page: page, Err: err}
	}
	state, err := call.peer.State(ctx)
	return tail.StateRead{State: state, Err: err}
}
