package store

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/tail"
)

// peerCall is a call to one peer. The peer is looked up by the task, which
// owns the list.
type peerCall struct {
	peer core.Peer
	act  tail.Action
}

func (tsk *task) askPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case cal := <-tsk.asks:
			err := tsk.report(ctx, tsk.askPeer(ctx, cal))
			if err != nil {
				return err
			}
		}
	}
}

func (tsk *task) askPeer(ctx context.Context, cal peerCall) tail.Event {
	ctx, cancel := context.WithTimeout(ctx, tsk.str.cfg.CallBound)
	defer cancel()
	if act, ok := cal.act.(tail.ReadPeer); ok {
		pag, err := cal.peer.Relay(ctx, act.From, act.Max)
		return tail.PeerRead{Peer: act.Peer, Page: pag, Err: err}
	}
	data, err := cal.peer.State(ctx)
	return tail.StateRead{Data: data, Err: err}
}
