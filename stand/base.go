package stand

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathinge/core/lines"
)

const (
	faultPath       = "/fault"
	maxControlBytes = 1 << 20 // bytes
	headerTimeout   = 10 * time.Second
)

// Span is a time.Duration that is encoded in JSON as text.
type Span = lines.Duration

// Fault holds the faults that all stand-ins support.
type Fault struct {
	// Down drops the connection of each request without a response.
	Down bool `json:"down,omitempty"`
	// Freeze accepts requests but sends no data until it is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// SilentOld is Freeze for the connections that were opened before it was
	// set. New connections work.
	SilentOld bool `json:"silent_old,omitempty"`
	// Delay is the time before a request is handled.
	Delay Span `json:"delay,omitempty"`
	// Refuse responds that the request was rejected and had no effect.
	Refuse bool `json:"refuse,omitempty"`
	// LoseAnswers is the number of next responses that are dropped after the
	// request took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (fault Fault) commonFault() Fault { return fault }

type faultSet interface{ commonFault() Fault }

type connKey struct{}

// base serves the connections of a stand-in and holds its faults. F is the fault
// type of the stand-in.
type base[F faultSet] struct {
	mux        *http.ServeMux
	onFaultSet func(F)

	mu              sync.Mutex
	fault           F
	responsesToLose int
	faultChanged    chan struct{}
	connCount       uint64
	lastSilentConn  uint64
	addr            string
	server          *http.Server
	listener        net.Listener
	stopped         bool
	closed          bool
	newListeners    chan net.Listener
	done            chan struct{}
}

func newBase[F faultSet]() *base[F] {
	return &base[F]{
		mux:          http.NewServeMux(),
		faultChanged: make(chan struct{}),
		newListeners: make(chan net.Listener, 1),
		done:         make(chan struct{}),
	}
}

// Start listens on addr and serves in the background until Close.
func (base *base[F]) Start(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "stand-in cannot listen")
	}
	srv := base.newServer(lis)
	go func() { _ = base.serve(srv, lis) }()
	return nil
}

// Serve serves connections of lis and returns nil after Close.
func (base *base[F]) Serve(lis net.Listener) error {
	return base.serve(base.newServer(lis), lis)
}

func (base *base[F]) serve(srv *http.Server, lis net.Listener) error {
	for {
		err := srv.Serve(lis)
		if !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "stand-in stopped")
		}
		select {
		case <-base.done:
			return nil
		case lis = <-base.newListeners:
			srv = base.newServer(lis)
		}
	}
}

func (base *base[F]) newServer(lis net.Listener) *http.Server {
	srv := &http.Server{
		Handler:           http.HandlerFunc(base.handle),
		ConnContext:       base.connContext,
		ReadHeaderTimeout: headerTimeout,
	}
	if base.setServer(srv, lis) {
		_ = srv.Close()
	}
	return srv
}

// setServer makes srv the current server and reports whether the stand-in is
// already closed.
func (base *base[F]) setServer(srv *http.Server, lis net.Listener) bool {
	base.mu.Lock()
	defer base.mu.Unlock()
	base.addr = lis.Addr().String()
	base.server = srv
	base.listener = lis
	base.stopped = false
	return base.closed
}

func (base *base[F]) connContext(ctx context.Context, _ net.Conn) context.Context {
	base.mu.Lock()
	defer base.mu.Unlock()
	base.connCount++
	return context.WithValue(ctx, connKey{}, base.connCount)
}

// Addr returns the address on which the stand-in listens.
func (base *base[F]) Addr() string {
	base.mu.Lock()
	defer base.mu.Unlock()
	return base.addr
}

// Close stops the stand-in and closes its connections.
func (base *base[F]) Close() error {
	srv := base.markClosed()
	if srv == nil {
		return nil
	}
	return srv.Close()
}

// markClosed marks the stand-in as closed and returns the server to close, or nil.
// The caller closes it without holding mu, because closing waits for connContext,
// which locks mu.
func (base *base[F]) markClosed() *http.Server {
	base.mu.Lock()
	defer base.mu.Unlock()
	if base.closed {
		return nil
	}
	base.closed = true
	close(base.done)
	return base.server
}

// stopListening closes the listener and all connections.
func (base *base[F]) stopListening() {
	srv, lis := base.markStopped()
	if srv == nil {
		return
	}
	_ = srv.Close()
	_ = lis.Close()
}

// markStopped marks the stand-in as stopped and returns the server and listener to
// close, nil if it was already stopped or closed.
func (base *base[F]) markStopped() (*http.Server, net.Listener) {
	base.mu.Lock()
	defer base.mu.Unlock()
	if base.stopped || base.closed || base.server == nil {
		return nil, nil
	}
	base.stopped = true
	return base.server, base.listener
}

// listenAgain listens on the same address again after stopListening. It does
// nothing unless the stand-in is stopped.
func (base *base[F]) listenAgain() error {
	base.mu.Lock()
	defer base.mu.Unlock()
	if !base.stopped || base.closed {
		return nil
	}
	lis, err := net.Listen("tcp", base.addr)
	if err != nil {
		return eris.Wrap(err, "stand-in cannot listen again")
	}
	base.stopped = false
	base.newListeners <- lis
	return nil
}

// Stopped reports whether the stand-in is stopped and accepts no connections.
func (base *base[F]) Stopped() bool {
	base.mu.Lock()
	defer base.mu.Unlock()
	return base.stopped
}

// SetFault replaces all faults.
func (base *base[F]) SetFault(fault F) {
	base.mu.Lock()
	base.fault = fault
	base.responsesToLose = fault.commonFault().LoseAnswers
	base.lastSilentConn = 0
	if fault.commonFault().SilentOld {
		base.lastSilentConn = base.connCount
	}
	close(base.faultChanged)
	base.faultChanged = make(chan struct{})
	base.mu.Unlock()
	if base.onFaultSet != nil {
		base.onFaultSet(fault)
	}
}

// Fault returns the current faults.
func (base *base[F]) Fault() F {
	base.mu.Lock()
	defer base.mu.Unlock()
	return base.fault
}

// Control returns a handler that returns the faults, or replaces them on POST. It
// ignores the path of the request.
func (base *base[F]) Control() http.Handler {
	return http.HandlerFunc(base.serveFault)
}

func (base *base[F]) serveFault(rw http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		writeJSON(rw, http.StatusOK, base.Fault())
		return
	}
	var fault F
	dec := json.NewDecoder(io.LimitReader(req.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&fault)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(rw, http.StatusOK, fault)
	_ = http.NewResponseController(rw).Flush()
	base.SetFault(fault)
}

func (base *base[F]) handle(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == faultPath {
		base.serveFault(rw, req)
		return
	}
	ctx := req.Context()
	if !base.waitWhileSilent(ctx) {
		panic(http.ErrAbortHandler)
	}
	fault := base.Fault().commonFault()
	if fault.Down || !base.sleep(ctx, time.Duration(fault.Delay)) {
		panic(http.ErrAbortHandler)
	}
	base.mux.ServeHTTP(rw, req)
}

// waitWhileSilent waits while a fault keeps the connection of ctx silent. It
// returns false if the connection or the stand-in was closed.
func (base *base[F]) waitWhileSilent(ctx context.Context) bool {
	connID, _ := ctx.Value(connKey{}).(uint64)
	for {
		base.mu.Lock()
		silent := base.fault.commonFault().Freeze || connID <= base.lastSilentConn
		changed := base.faultChanged
		base.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-base.done:
			return false
		case <-changed:
		}
	}
}

// sleep waits for dur. It returns false if ctx ended or the stand-in was closed
// before.
func (base *base[F]) sleep(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-base.done:
		return false
	case <-timer.C:
		return true
	}
}

// loseResponse drops the connection by a panic if a fault loses this response.
func (base *base[F]) loseResponse() {
	base.mu.Lock()
	lose := base.responsesToLose > 0
	if lose {
		base.responsesToLose--
	}
	base.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(rw http.ResponseWriter, status int, val any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(val)
}

type refusedBody struct {
	Refused bool `json:"refused"`
}

func writeRefusal(rw http.ResponseWriter) {
	writeJSON(rw, http.StatusServiceUnavailable, refusedBody{Refused: true})
}
