package store

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tail"
)

// message is what the task is sent: an event of the follower, with the channel
// that wants the answer to a proposal, or a question.
type message struct {
	evt tail.Event
	ans chan tail.Answer
	ask func(tsk *task)
}

// send hands a message to the task. Its error carries core.CodeNotReady if the
// store has stopped or ctx has ended first.
func (str *Store) send(ctx context.Context, msg message) error {
	select {
	case str.inbox <- msg:
		return nil
	case <-str.done:
		return core.Errorf(core.CodeNotReady, "the store has stopped")
	case <-ctx.Done():
		return core.Errorf(core.CodeNotReady, "the store did not answer: %v", ctx.Err())
	}
}

// ask2 runs a question in the task and returns its two answers.
func ask2[A, B any](ctx context.Context, str *Store, qst func(tsk *task) (A, B)) (one A, two B, err error) {
	type pair struct {
		one A
		two B
	}
	ans := make(chan pair, 1)
	err = str.send(ctx, message{ask: func(tsk *task) {
		var par pair
		par.one, par.two = qst(tsk)
		ans <- par
	}})
	if err != nil {
		return one, two, err
	}
	select {
	case par := <-ans:
		return par.one, par.two, nil
	case <-str.done:
		return one, two, core.Errorf(core.CodeNotReady, "the store has stopped")
	case <-ctx.Done():
		return one, two, core.Errorf(core.CodeNotReady, "the store did not answer: %v", ctx.Err())
	}
}

// task owns the follower. Its workers perform the calls, one of each kind at a
// time.
type task struct {
	str     *Store
	fol     *tail.Follower
	reads   chan tail.ReadLog
	asks    chan peerCall
	appends chan tail.Append
	answers map[uint64]chan tail.Answer
	peers   []core.Peer
	peersAt time.Time
	nodes   []core.NodeName
	images  chan *fold.Image
}

func newTask(str *Store) *task {
	return &task{
		str: str,
		fol: tail.NewFollower(tail.Config{
			Node: str.cfg.Node, Run: str.cfg.Run, Timings: str.cfg.Timings, Program: str.cfg.Program,
		}),
		reads:   make(chan tail.ReadLog, 1),
		asks:    make(chan peerCall, 1),
		appends: make(chan tail.Append, 1),
		images:  make(chan *fold.Image, 1),
		answers: map[uint64]chan tail.Answer{},
	}
}

func (tsk *task) run(ctx context.Context) error {
	tic := time.NewTicker(tsk.str.cfg.Tick)
	defer tic.Stop()
	tsk.tick()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tic.C:
			tsk.tick()
		case msg := <-tsk.str.inbox:
			tsk.take(msg)
		}
	}
}

// tick steps the follower and looks at the peers now and then.
func (tsk *task) tick() {
	now := tsk.str.cfg.Now()
	if tsk.peersAt.IsZero() || now.Sub(tsk.peersAt) >= tsk.str.cfg.Refresh {
		tsk.peersAt = now
		tsk.peers = tsk.str.cfg.Peers()
		tsk.nodes = tsk.str.cfg.Nodes()
		tsk.str.dropState()
	}
	tsk.step(tail.Tick{Peers: len(tsk.peers), Nodes: tsk.nodes})
}

func (tsk *task) take(msg message) {
	if msg.ask != nil {
		msg.ask(tsk)
		return
	}
	if prp, ok := msg.evt.(tail.Proposed); ok {
		tsk.answers[prp.Ticket] = msg.ans
	}
	tsk.step(msg.evt)
}

// step feeds the follower and performs its actions.
func (tsk *task) step(evt tail.Event) {
	acts := tsk.fol.Step(evt, tsk.str.cfg.Now())
	tsk.publish(acts)
	for _, act := range acts {
		tsk.perform(act)
	}
}

func (tsk *task) perform(act tail.Action) {
	switch typ := act.(type) {
	case tail.ReadLog:
		tsk.reads <- typ
	case tail.ReadPeer:
		tsk.asks <- peerCall{peer: tsk.peers[typ.Peer%len(tsk.peers)], act: typ}
	case tail.AskState:
		tsk.asks <- peerCall{peer: tsk.peers[typ.Peer%len(tsk.peers)], act: typ}
	case tail.Append:
		tsk.appends <- typ
	case tail.Encode:
		tsk.images <- typ.Image
	case tail.Answer:
		tsk.answers[typ.Ticket] <- typ
		delete(tsk.answers, typ.Ticket)
	}
}

// publish makes the new view and status visible before any proposal is
// answered.
func (tsk *task) publish(acts []tail.Action) {
	str := tsk.str
	old := str.status.Load()
	now := tsk.fol.Status()
	if now != *old {
		str.status.Store(&now)
	}
	if now.Code != old.Code || now.Ready != old.Ready {
		str.cfg.Logger.WithField("event", "store").WithField("node", string(str.cfg.Node)).
			WithField("code", int(now.Code)).WithField("ready", now.Ready).
			WithField("offset", uint64(now.Offset)).Info(now.Detail)
	}
	for _, act := range acts {
		if _, ok := act.(tail.Publish); ok {
			tsk.announce()
			return
		}
	}
}

func (tsk *task) announce() {
	str := tsk.str
	str.view.Store(tsk.fol.State().View())
	next := make(chan struct{})
	old := str.changed.Swap(&next)
	close(*old)
}

// image returns a copy of the state, nil if this node has none to give.
func (tsk *task) image() *fold.Image {
	if !tsk.fol.Status().Ready {
		return nil
	}
	return tsk.fol.State().Image()
}

// encodeImages encodes images beside the task.
func (tsk *task) encodeImages(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case img := <-tsk.images:
			err := tsk.report(ctx, tail.Encoded{At: img.Offset(), Data: img.Encode()})
			if err != nil {
				return err
			}
		}
	}
}

// report hands the answer to a call back to the task.
func (tsk *task) report(ctx context.Context, evt tail.Event) error {
	return tsk.str.send(ctx, message{evt: evt})
}

func (tsk *task) readLogs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case act := <-tsk.reads:
			err := tsk.report(ctx, tsk.readLog(ctx, act))
			if err != nil {
				return err
			}
		}
	}
}

func (tsk *task) readLog(ctx context.Context, act tail.ReadLog) tail.LogRead {
	cfg := &tsk.str.cfg
	cal, cancel := context.WithTimeout(ctx, act.Wait+cfg.CallBound)
	defer cancel()
	evt := tail.LogRead{Sent: cfg.Now()}
	evt.Page, evt.Err = cfg.Log.Read(cal, act.From, act.Max, act.Wait)
	return evt
}

func (tsk *task) appendBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case act := <-tsk.appends:
			err := tsk.report(ctx, tsk.appendBatch(ctx, act))
			if err != nil {
				return err
			}
		}
	}
}

func (tsk *task) appendBatch(ctx context.Context, act tail.Append) tail.Appended {
	cal, cancel := context.WithTimeout(ctx, tsk.str.cfg.CallBound)
	defer cancel()
	evt := tail.Appended{Batch: act.Batch}
	evt.Offset, evt.Err = tsk.str.cfg.Log.Append(cal, act.Batch, act.Data)
	return evt
}
