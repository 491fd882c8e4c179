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
	Exchange(heartbeat core.Heartbeat) core.Heartbeat
	// Relay returns log entries from an offset on.
	Relay(ctx context.Context, from core.Offset, limit int) (core.Page, error)
	// State returns the encoded state.
	State(ctx context.Context) ([]byte, error)
	// Run runs a forwarded job and writes its answer to snk.
	Run(ctx context.Context, job core.Job, sink core.Sink) error
}

// Handler returns the HTTP handler of the procedures. Forward repeats an empty
// part every beat interval while the job says nothing.
func Handler(backend Backend, keepAliveInterval time.Duration) http.Handler {
	opts := []connect.HandlerOption{
		connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
	mux := http.NewServeMux()
	mux.Handle(procExchange, connect.NewUnaryHandler(procExchange,
		func(_ context.Context, req *connect.Request[core.Heartbeat]) (*connect.Response[core.Heartbeat], error) {
			resp := backend.Exchange(*req.Msg)
			return connect.NewResponse(&resp), nil
		}, opts...))
	mux.Handle(procRelay, connect.NewUnaryHandler(procRelay,
		func(ctx context.Context, req *connect.Request[RelayRequest]) (*connect.Response[core.Page], error) {
			page, err := backend.Relay(ctx, req.Msg.From, req.Msg.Limit)
			if err != nil {
				return nil, toConnect(err)
			}
			return connect.NewResponse(&page), nil
		}, opts...))
	mux.Handle(procState, connect.NewUnaryHandler(procState,
		func(ctx context.Context, _ *connect.Request[StateRequest]) (*connect.Response[StateResponse], error) {
			data, err := backend.State(ctx)
			if err != nil {
				return nil, toConnect(err)
			}
			return connect.NewResponse(&StateResponse{Data: data}), nil
		}, opts...))
	mux.Handle(procForward, connect.NewServerStreamHandler(procForward,
		func(ctx context.Context, req *connect.Request[core.Job], stream *connect.ServerStream[core.Part]) error {
			return forward(ctx, backend, *req.Msg, stream, keepAliveInterval)
		}, opts...))
	return mux
}

// forward runs one job and streams its parts.
func forward(ctx context.Context, backend Backend, job core.Job, stream *connect.ServerStream[core.Part], keepAliveInterval time.Duration) error {
	sink := &streamSink{stream: stream}
	if err := sink.sendKeepAlive(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { sink.runKeepAlive(ctx, keepAliveInterval) })
	err := backend.Run(ctx, job, sink)
	cancel()
	wg.Wait()
	return sink.sendFailure(err)
}

// streamSink writes parts to a connect stream.
type streamSink struct {
	mu     sync.Mutex
	stream *connect.ServerStream[core.Part]
	ended  bool
}

var _ core.Sink = (*streamSink)(nil)

// WritePart sends prt. Its error means that the forwarding node is gone.
func (sink *streamSink) WritePart(part core.Part) error {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.ended = sink.ended || part.End
	return sink.stream.Send(&part)
}

// sendKeepAlive sends an empty part.
func (sink *streamSink) sendKeepAlive() error {
	return sink.WritePart(core.Part{Pos: keepAlivePos})
}

// runKeepAlive sends an empty part at every interval until ctx ends.
func (sink *streamSink) runKeepAlive(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if sink.sendKeepAlive() != nil {
				return
			}
		}
	}
}

// sendFailure sends the last part of a job that failed before it sent one.
func (sink *streamSink) sendFailure(err error) error {
	if err == nil || sink.ended {
		return nil
	}
	return sink.WritePart(core.FailurePart(err))
}

// toConnect wraps err so that its code crosses the connection.
func toConnect(err error) error {
	connectErr := connect.NewError(connect.CodeFailedPrecondition, err)
	connectErr.Meta().Set(headerCode, core.CodeOf(err).String())
	return connectErr
}
