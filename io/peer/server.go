package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"kumquathinge/core"
)

// Backend is what a node offers to its peers.
type Backend interface {
	// Exchange takes a peer's beat and returns this node's.
	Exchange(bea core.Heartbeat) core.Heartbeat
	// Relay returns log entries from an offset on.
	Relay(ctx context.Context, from core.Offset, max int) (core.Page, error)
	// State returns the encoded state.
	State(ctx context.Context) ([]byte, error)
	// Run runs a forwarded job and writes its answer to snk.
	Run(ctx context.Context, job core.Job, snk core.Sink) error
}

// Handler returns the HTTP handler of the procedures. Forward repeats an empty
// part every beat interval while the job says nothing.
func Handler(bck Backend, beat time.Duration) http.Handler {
	opts := []connect.HandlerOption{
		connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
	mux := http.NewServeMux()
	mux.Handle(procExchange, connect.NewUnaryHandler(procExchange,
		func(_ context.Context, req *connect.Request[core.Heartbeat]) (*connect.Response[core.Heartbeat], error) {
			ans := bck.Exchange(*req.Msg)
			return connect.NewResponse(&ans), nil
		}, opts...))
	mux.Handle(procRelay, connect.NewUnaryHandler(procRelay,
		func(ctx context.Context, req *connect.Request[RelayAsk]) (*connect.Response[core.Page], error) {
			pag, err := bck.Relay(ctx, req.Msg.From, req.Msg.Max)
			if err != nil {
				return nil, toConnect(err)
			}
			return connect.NewResponse(&pag), nil
		}, opts...))
	mux.Handle(procState, connect.NewUnaryHandler(procState,
		func(ctx context.Context, _ *connect.Request[StateAsk]) (*connect.Response[StateReply], error) {
			data, err := bck.State(ctx)
			if err != nil {
				return nil, toConnect(err)
			}
			return connect.NewResponse(&StateReply{Data: data}), nil
		}, opts...))
	mux.Handle(procForward, connect.NewServerStreamHandler(procForward,
		func(ctx context.Context, req *connect.Request[core.Job], str *connect.ServerStream[core.Part]) error {
			return forward(ctx, bck, *req.Msg, str, beat)
		}, opts...))
	return mux
}

// forward runs one job and streams its parts.
func forward(ctx context.Context, bck Backend, job core.Job, str *connect.ServerStream[core.Part], beat time.Duration) error {
	snk := &streamSink{str: str}
	if err := snk.idle(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { snk.keepAlive(ctx, beat) })
	err := bck.Run(ctx, job, snk)
	cancel()
	wg.Wait()
	return snk.finish(err)
}

// streamSink writes parts to a connect stream.
type streamSink struct {
	mu    sync.Mutex
	str   *connect.ServerStream[core.Part]
	ended bool
}

var _ core.Sink = (*streamSink)(nil)

// WritePart sends prt. Its error means that the forwarding node is gone.
func (snk *streamSink) WritePart(prt core.Part) error {
	snk.mu.Lock()
	defer snk.mu.Unlock()
	snk.ended = snk.ended || prt.End
	return snk.str.Send(&prt)
}

// idle sends an empty part.
func (snk *streamSink) idle() error {
	return snk.WritePart(core.Part{Pos: acceptedPos})
}

// keepAlive sends an empty part at every interval until ctx ends.
func (snk *streamSink) keepAlive(ctx context.Context, beat time.Duration) {
	tic := time.NewTicker(beat)
	defer tic.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tic.C:
			if snk.idle() != nil {
				return
			}
		}
	}
}

// finish sends the last part of a job that failed before it sent one.
func (snk *streamSink) finish(err error) error {
	if err == nil || snk.ended {
		return nil
	}
	return snk.WritePart(core.FailurePart(err))
}

// toConnect wraps err so that its code crosses the connection.
func toConnect(err error) error {
	out := connect.NewError(connect.CodeFailedPrecondition, err)
	out.Meta().Set(headerCode, core.CodeOf(err).String())
	return out
}
