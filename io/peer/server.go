package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"kumquathinge/core"
)

// Backend serves the requests of peers.
type Backend interface {
	// Exchange processes a peer's heartbeat and returns that of this node.
	Exchange(heartbeat core.Heartbeat) core.Heartbeat
	// Relay returns at most limit log entries, the first one at offset from.
	Relay(ctx context.Context, from core.Offset, limit int) (core.Page, error)
	// State returns the complete state.
	State(ctx context.Context) (core.PeerState, error)
	// Run runs a forwarded job and writes the response to sink.
	Run(ctx context.Context, job core.Job, sink core.Sink) error
}

// Handler returns the HTTP handler of the procedures. While a forwarded job runs,
// Forward sends a keep-alive part every keepAliveInterval.
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
			state, err := backend.State(ctx)
			if err != nil {
				return nil, toConnect(err)
			}
			return connect.NewResponse(&StateResponse{Data: state.Data, Era: state.Era}), nil
		}, opts...))
	mux.Handle(procForward, connect.NewServerStreamHandler(procForward,
		func(ctx context.Context, req *connect.Request[core.Job], stream *connect.ServerStream[core.Part]) error {
			return forward(ctx, backend, *req.Msg, stream, keepAliveInterval)
		}, opts...))
	return mux
}

// forward runs one job and streams its parts with keep-alives in between.
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

// streamSink writes parts to a connect stream. WritePart is safe for concurrent
// use.
type streamSink struct {
	mu     sync.Mutex
	stream *connect.ServerStream[core.Part]
	ended  bool
}

var _ core.Sink = (*streamSink)(nil)

// WritePart sends part. An error means that the connection to the forwarding
// node is lost.
func (sink *streamSink) WritePart(part core.Part) error {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.ended = sink.ended || part.End
	return sink.stream.Send(&part)
}

// sendKeepAlive sends a part with keepAlivePos.
func (sink *streamSink) sendKeepAlive() error {
	return sink.WritePart(core.Part{Pos: keepAlivePos})
}

// runKeepAlive sends a keep-alive at every interval until ctx ends or a write
// fails.
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

// sendFailure sends a last part with err, unless the job sent its own last part
// or err is nil.
func (sink *streamSink) sendFailure(err error) error {
	if err == nil || sink.ended {
		return nil
	}
	return sink.WritePart(core.FailurePart(err))
}

// toConnect converts err to a connect error that transmits its result code.
func toConnect(err error) error {
	connectErr := connect.NewError(connect.CodeFailedPrecondition, err)
	connectErr.Meta().Set(headerCode, core.CodeOf(err).String())
	return connectErr
}
