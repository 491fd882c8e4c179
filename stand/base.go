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
	faultPath      = "/fault"
	maxControlBody = 1 << 20 // bytes
	headerTimeout  = 10 * time.Second
)

// Span is a time.Duration that is written in JSON as text.
type Span = lines.Duration

// Fault holds the faults that every stand-in knows.
type Fault struct {
	// Down drops every connection without an answer.
	Down bool `json:"down,omitempty"`
	// Freeze accepts requests and says nothing until it is off again.
	Freeze bool `json:"freeze,omitempty"`
	// SilentOld does the same on the connections that were open when it was
	// set, while new connections work.
	SilentOld bool `json:"silent_old,omitempty"`
	// Delay is waited for before each answer.
	Delay Span `json:"delay,omitempty"`
	// Refuse answers that the request surely had no effect.
	Refuse bool `json:"refuse,omitempty"`
	// LoseAnswers is the number of answers to lose after the request took
	// effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (fau Fault) common() Fault { return fau }

type faults interface{ common() Fault }

type connKey struct{}

// base is the part of a stand-in that serves connections and keeps faults.
type base[F faults] struct {
	mux     *http.ServeMux
	onFault func(F)

	mtx     sync.Mutex
	fault   F
	losses  int
	changed chan struct{}
	conns   uint64
	oldest  uint64
	addr    string
	srv     *http.Server
	lis     net.Listener
	dead    bool
	closed  bool
	revived chan net.Listener
	done    chan struct{}
}

func newBase[F faults]() *base[F] {
	return &base[F]{
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		revived: make(chan net.Listener, 1),
		done:    make(chan struct{}),
	}
}

// Start listens on addr and serves in the background until Close.
func (bas *base[F]) Start(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "stand-in can't listen")
	}
	srv := bas.bind(lis)
	go func() { _ = bas.serve(srv, lis) }()
	return nil
}

// Serve serves connections of lis until Close. It returns nil after Close.
func (bas *base[F]) Serve(lis net.Listener) error {
	return bas.serve(bas.bind(lis), lis)
}

func (bas *base[F]) serve(srv *http.Server, lis net.Listener) error {
	for {
		err := srv.Serve(lis)
		if !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "stand-in stopped")
		}
		select {
		case <-bas.done:
			return nil
		case lis = <-bas.revived:
			srv = bas.bind(lis)
		}
	}
}

func (bas *base[F]) bind(lis net.Listener) *http.Server {
	srv := &http.Server{
		Handler:           http.HandlerFunc(bas.handle),
		ConnContext:       bas.connContext,
		ReadHeaderTimeout: headerTimeout,
	}
	if bas.adopt(srv, lis) {
		_ = srv.Close()
	}
	return srv
}

// adopt makes srv the present server and reports whether the stand-in was
// closed before.
func (bas *base[F]) adopt(srv *http.Server, lis net.Listener) bool {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	bas.addr = lis.Addr().String()
	bas.srv = srv
	bas.lis = lis
	bas.dead = false
	return bas.closed
}

func (bas *base[F]) connContext(ctx context.Context, _ net.Conn) context.Context {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	bas.conns++
	return context.WithValue(ctx, connKey{}, bas.conns)
}

// Addr returns the address that the stand-in listens on.
func (bas *base[F]) Addr() string {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	return bas.addr
}

// Close stops the stand-in and drops its connections.
func (bas *base[F]) Close() error {
	srv := bas.end()
	if srv == nil {
		return nil
	}
	return srv.Close()
}

// end marks the stand-in as closed and returns the server to close, nil if
// there is none. The lock is not held while a server closes, since the server
// waits for connContext, which takes the lock.
func (bas *base[F]) end() *http.Server {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	if bas.closed {
		return nil
	}
	bas.closed = true
	close(bas.done)
	return bas.srv
}

// kill closes the listener and every connection.
func (bas *base[F]) kill() {
	srv, lis := bas.die()
	if srv == nil {
		return
	}
	_ = srv.Close()
	_ = lis.Close()
}

// die marks the process as ended and returns what to close, nil if it had
// ended before.
func (bas *base[F]) die() (*http.Server, net.Listener) {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	if bas.dead || bas.closed || bas.srv == nil {
		return nil, nil
	}
	bas.dead = true
	return bas.srv, bas.lis
}

// revive listens again after kill.
func (bas *base[F]) revive() error {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	if !bas.dead || bas.closed {
		return nil
	}
	lis, err := net.Listen("tcp", bas.addr)
	if err != nil {
		return eris.Wrap(err, "stand-in can't listen again")
	}
	bas.dead = false
	bas.revived <- lis
	return nil
}

// Dead reports whether the stand-in accepts no connections.
func (bas *base[F]) Dead() bool {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	return bas.dead
}

// SetFault replaces the faults.
func (bas *base[F]) SetFault(fau F) {
	bas.mtx.Lock()
	bas.fault = fau
	bas.losses = fau.common().LoseAnswers
	bas.oldest = 0
	if fau.common().SilentOld {
		bas.oldest = bas.conns
	}
	close(bas.changed)
	bas.changed = make(chan struct{})
	bas.mtx.Unlock()
	if bas.onFault != nil {
		bas.onFault(fau)
	}
}

// Fault returns the faults that are set.
func (bas *base[F]) Fault() F {
	bas.mtx.Lock()
	defer bas.mtx.Unlock()
	return bas.fault
}

// Control returns a handler that gets and sets the faults. Its path does not
// matter.
func (bas *base[F]) Control() http.Handler {
	return http.HandlerFunc(bas.serveFault)
}

func (bas *base[F]) serveFault(wri http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		reply(wri, http.StatusOK, bas.Fault())
		return
	}
	var fau F
	dec := json.NewDecoder(io.LimitReader(req.Body, maxControlBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(&fau)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	reply(wri, http.StatusOK, fau)
	_ = http.NewResponseController(wri).Flush()
	bas.SetFault(fau)
}

func (bas *base[F]) handle(wri http.ResponseWriter, req *http.Request) {
	if req.URL.Path == faultPath {
		bas.serveFault(wri, req)
		return
	}
	ctx := req.Context()
	if !bas.hold(ctx) {
		panic(http.ErrAbortHandler)
	}
	fau := bas.Fault().common()
	if fau.Down || !bas.wait(ctx, time.Duration(fau.Delay)) {
		panic(http.ErrAbortHandler)
	}
	bas.mux.ServeHTTP(wri, req)
}

// hold waits while the connection of ctx is to be silent. It returns false if
// the connection is gone.
func (bas *base[F]) hold(ctx context.Context) bool {
	con, _ := ctx.Value(connKey{}).(uint64)
	for {
		bas.mtx.Lock()
		silent := bas.fault.common().Freeze || con <= bas.oldest
		changed := bas.changed
		bas.mtx.Unlock()
		if !silent {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-bas.done:
			return false
		case <-changed:
		}
	}
}

// wait waits for dur and returns false if the connection went away.
func (bas *base[F]) wait(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	tim := time.NewTimer(dur)
	defer tim.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-bas.done:
		return false
	case <-tim.C:
		return true
	}
}

// loseAnswer drops the connection if an answer is to be lost.
func (bas *base[F]) loseAnswer() {
	bas.mtx.Lock()
	lose := bas.losses > 0
	if lose {
		bas.losses--
	}
	bas.mtx.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func reply(wri http.ResponseWriter, status int, val any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(val)
}

type refusal struct {
	Refused bool `json:"refused"`
}

func refuse(wri http.ResponseWriter) {
	reply(wri, http.StatusServiceUnavailable, refusal{Refused: true})
}
