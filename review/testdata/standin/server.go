package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"kumquathinge/platform"
)

// answer is what a server does with a request.
type answer struct {
	// work is how long the request runs. crash ends the server after it.
	work  time.Duration
	crash bool
}

// server is a plain server. After a crash it starts again at its address, with another id.
type server struct {
	dep     *deployment
	zone    string
	addr    string
	respond func(req *http.Request) answer
	arrived func(srv *server, req *http.Request)
	restart time.Duration

	mu     sync.Mutex
	life   int
	num    int
	born   int64
	seq    int
	http   *http.Server
	ended  bool
	closed bool
}

// startServer starts a server and registers it.
func startServer(dep *deployment, num int, zone string, restart time.Duration, respond func(*http.Request) answer, arrived func(*server, *http.Request)) (*server, error) {
	srv := &server{dep: dep, num: num, zone: zone, restart: restart, respond: respond, arrived: arrived}
	if err := srv.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return srv, nil
}

func (srv *server) id() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return fmt.Sprintf("s%d-%d", srv.num, srv.life)
}

func (srv *server) listen(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv.mu.Lock()
	srv.addr, srv.ended = lis.Addr().String(), false
	srv.life++
	srv.born = time.Now().UnixMilli()
	srv.http = &http.Server{Handler: srv.handler(), IdleTimeout: 10 * time.Second}
	life, httpServer := srv.life, srv.http
	srv.mu.Unlock()
	go func() { _ = httpServer.Serve(lis) }()
	srv.dep.rec.printf("server %s starts in %s", srv.id(), srv.zone)
	go srv.beat(life)
	return nil
}

// beat writes the server's entry every heartbeat interval while it runs. An entry is removed
// three intervals after the end of its server.
func (srv *server) beat(life int) {
	id := srv.id()
	for {
		srv.mu.Lock()
		running := srv.life == life && !srv.ended && !srv.closed
		srv.seq++
		raw, err := json.Marshal(map[string]any{
			"service": service, "address": srv.addr, "zone": srv.zone, "version": "1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": srv.seq, "born": srv.born,
		})
		srv.mu.Unlock()
		if err != nil || !running {
			break
		}
		srv.dep.store.Append(platform.TopicServers, id, raw)
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	srv.mu.Lock()
	closed := srv.closed
	srv.mu.Unlock()
	if !closed {
		srv.dep.store.Append(platform.TopicServers, id, nil)
	}
}

// crash ends the server: its connections break, and nothing listens until it is back.
func (srv *server) crash() {
	srv.mu.Lock()
	if srv.ended || srv.closed {
		srv.mu.Unlock()
		return
	}
	srv.ended = true
	httpServer, addr := srv.http, srv.addr
	srv.mu.Unlock()
	srv.dep.rec.printf("server %s crashes", srv.id())
	_ = httpServer.Close()
	time.AfterFunc(srv.restart, func() {
		srv.mu.Lock()
		closed := srv.closed
		srv.mu.Unlock()
		if closed {
			return
		}
		if err := srv.listen(addr); err != nil {
			srv.dep.rec.printf("server s%d can't start again: %v", srv.num, err)
		}
	})
}

func (srv *server) close() {
	srv.mu.Lock()
	srv.closed = true
	httpServer := srv.http
	srv.mu.Unlock()
	_ = httpServer.Close()
}

func (srv *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", srv.health)
	mux.HandleFunc("GET /-/report", srv.report)
	mux.HandleFunc("/", srv.serve)
	return mux
}

func (srv *server) health(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Instance-Id", srv.id())
	_, _ = io.WriteString(rw, "ok")
}

func (srv *server) report(rw http.ResponseWriter, _ *http.Request) {
	srv.mu.Lock()
	doc := map[string]any{"service": service, "state": "ready", "born": srv.born, "seq": srv.seq}
	srv.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(doc)
}

func (srv *server) serve(rw http.ResponseWriter, req *http.Request) {
	id := srv.id()
	attempt := req.Header.Get(platform.HeaderAttemptID)
	rw.Header().Set(platform.HeaderAttemptID, attempt)
	if expected := req.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		rw.Header().Set(platform.HeaderNotExecuted, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.ReadAll(req.Body)
	srv.arrived(srv, req)
	ans := srv.respond(req)
	if !waitFor(req.Context(), ans.work) {
		return
	}
	if ans.crash {
		srv.crash()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set(platform.HeaderResponseStamp, "stamp-"+id+"-"+attempt)
	_, _ = io.WriteString(rw, "answer to "+attempt)
}

func waitFor(ctx context.Context, dur time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dur):
		return true
	}
}
