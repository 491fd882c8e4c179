package store

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tail"
)

// message is a message to the event loop: either an event for the follower, with
// the channel for the answer if it is a proposal, or a query.
type message struct {
	event  tail.Event
	answer chan tail.ProposalResult
	query  func(loop *eventLoop)
}

// send sends a message to the event loop. The error carries core.CodeNotReady if
// the store stopped or ctx ended first.
func (st *Store) send(ctx context.Context, msg message) error {
	select {
	case st.inbox <- msg:
		return nil
	case <-st.stopped:
		return core.Errorf(core.CodeNotReady, "the store has stopped")
	case <-ctx.Done():
		return core.Errorf(core.CodeNotReady, "the store did not respond: %v", ctx.Err())
	}
}

// query runs fn in the event loop and returns its results. The error is that of
// send.
func query[A, B any](ctx context.Context, st *Store, fn func(loop *eventLoop) (A, B)) (first A, second B, err error) {
	type results struct {
		first  A
		second B
	}
	answer := make(chan results, 1)
	err = st.send(ctx, message{query: func(loop *eventLoop) {
		var res results
		res.first, res.second = fn(loop)
		answer <- res
	}})
	if err != nil {
		return first, second, err
	}
	select {
	case res := <-answer:
		return res.first, res.second, nil
	case <-st.stopped:
		return first, second, core.Errorf(core.CodeNotReady, "the store has stopped")
	case <-ctx.Done():
		return first, second, core.Errorf(core.CodeNotReady, "the store did not respond: %v", ctx.Err())
	}
}

// eventLoop owns the follower. Its workers make the calls to the log and the
// peers, one call of each kind at a time.
type eventLoop struct {
	store            *Store
	follower         *tail.Follower
	logReads         chan tail.ReadLog
	peerCalls        chan peerCall
	appends          chan tail.Append
	answersByTicket  map[uint64]chan tail.ProposalResult
	peers            []core.Peer
	peersRefreshedAt time.Time
	nodes            []core.NodeName
	snapshots        chan *fold.Snapshot
}

func newEventLoop(st *Store) *eventLoop {
	return &eventLoop{
		store: st,
		follower: tail.NewFollower(tail.Config{
			Node: st.cfg.Node, Incarnation: st.cfg.Incarnation, Timings: st.cfg.Timings, Versions: st.cfg.Versions,
		}),
		logReads:        make(chan tail.ReadLog, 1),
		peerCalls:       make(chan peerCall, 1),
		appends:         make(chan tail.Append, 1),
		snapshots:       make(chan *fold.Snapshot, 1),
		answersByTicket: map[uint64]chan tail.ProposalResult{},
	}
}

func (loop *eventLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(loop.store.cfg.TickInterval)
	defer ticker.Stop()
	loop.tick()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			loop.tick()
		case msg := <-loop.store.inbox:
			loop.handle(msg)
		}
	}
}

// tick steps the follower and refreshes the peers every PeerRefreshInterval.
func (loop *eventLoop) tick() {
	now := loop.store.cfg.Now()
	if loop.peersRefreshedAt.IsZero() || now.Sub(loop.peersRefreshedAt) >= loop.store.cfg.PeerRefreshInterval {
		loop.peersRefreshedAt = now
		loop.peers = loop.store.cfg.Peers()
		loop.nodes = loop.store.cfg.Nodes()
		loop.store.dropStaleState()
	}
	loop.step(tail.Tick{PeerCount: len(loop.peers), LiveNodes: loop.nodes})
}

func (loop *eventLoop) handle(msg message) {
	if msg.query != nil {
		msg.query(loop)
		return
	}
	if proposed, ok := msg.event.(tail.Proposed); ok {
		loop.answersByTicket[proposed.ProposalID] = msg.answer
	}
	loop.step(msg.event)
}

// step passes an event to the follower and performs the resulting actions.
func (loop *eventLoop) step(evt tail.Event) {
	acts := loop.follower.Step(evt, loop.store.cfg.Now())
	loop.publish(acts)
	for _, act := range acts {
		loop.perform(act)
	}
}

func (loop *eventLoop) perform(act tail.Action) {
	switch action := act.(type) {
	case tail.ReadLog:
		loop.logReads <- action
	case tail.ReadPeer:
		loop.peerCalls <- peerCall{peer: loop.peers[action.Peer%len(loop.peers)], action: action}
	case tail.ReadState:
		loop.peerCalls <- peerCall{peer: loop.peers[action.Peer%len(loop.peers)], action: action}
	case tail.Append:
		loop.appends <- action
	case tail.Encode:
		loop.snapshots <- action.Snapshot
	case tail.ProposalResult:
		loop.answersByTicket[action.ProposalID] <- action
		delete(loop.answersByTicket, action.ProposalID)
	}
}

// publish publishes the new status and view. It runs before the actions, so that
// proposers see the view that contains their records.
func (loop *eventLoop) publish(acts []tail.Action) {
	st := loop.store
	old := st.status.Load()
	status := loop.follower.Status()
	if status != *old {
		st.status.Store(&status)
	}
	if status.Code != old.Code || status.Ready != old.Ready {
		st.cfg.Logger.WithField("event", "store").WithField("node", string(st.cfg.Node)).
			WithField("code", int(status.Code)).WithField("ready", status.Ready).
			WithField("era", uint64(status.Era)).WithField("offset", uint64(status.Offset)).Info(status.Detail)
	}
	for _, act := range acts {
		if _, ok := act.(tail.Publish); ok {
			loop.publishView()
			return
		}
	}
}

func (loop *eventLoop) publishView() {
	st := loop.store
	st.view.Store(loop.follower.State().View())
	next := make(chan struct{})
	old := st.changed.Swap(&next)
	close(*old)
}

// snapshot returns a copy of the state, or nil if this node is not ready.
func (loop *eventLoop) snapshot() *fold.Snapshot {
	if !loop.follower.Status().Ready {
		return nil
	}
	return loop.follower.State().Snapshot()
}

// encodeSnapshots encodes snapshots outside the event loop, since encoding takes
// long.
func (loop *eventLoop) encodeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case snap := <-loop.snapshots:
			err := loop.sendEvent(ctx, tail.Encoded{Offset: snap.Offset(), Data: snap.Encode()})
			if err != nil {
				return err
			}
		}
	}
}

// sendEvent sends the result of a call to the event loop.
func (loop *eventLoop) sendEvent(ctx context.Context, evt tail.Event) error {
	return loop.store.send(ctx, message{event: evt})
}

func (loop *eventLoop) readLogs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case act := <-loop.logReads:
			err := loop.sendEvent(ctx, loop.readLog(ctx, act))
			if err != nil {
				return err
			}
		}
	}
}

func (loop *eventLoop) readLog(ctx context.Context, act tail.ReadLog) tail.LogRead {
	cfg := &loop.store.cfg
	callCtx, cancel := context.WithTimeout(ctx, act.Wait+cfg.CallTimeout)
	defer cancel()
	evt := tail.LogRead{SentAt: cfg.Now()}
	evt.Page, evt.Err = cfg.Log.Read(callCtx, act.From, act.Max, act.Wait)
	return evt
}

func (loop *eventLoop) appendBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case act := <-loop.appends:
			err := loop.sendEvent(ctx, loop.appendBatch(ctx, act))
			if err != nil {
				return err
			}
		}
	}
}

func (loop *eventLoop) appendBatch(ctx context.Context, act tail.Append) tail.Appended {
	callCtx, cancel := context.WithTimeout(ctx, loop.store.cfg.CallTimeout)
	defer cancel()
	evt := tail.Appended{BatchID: act.BatchID}
	evt.Offset, evt.Err = loop.store.cfg.Log.Append(callCtx, act.Era, act.BatchID, act.Data)
	return evt
}
