package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of a model server.
const (
	loadTime   = 600 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	openTime   = 300 * time.Millisecond
)

// event is one thing that a stand-in saw, for record.txt.
type event struct {
	at   time.Time
	text string
}

// journal collects what clients sent and got, and what servers ran.
type journal struct {
	mu     sync.Mutex
	events []event
}

func (jr *journal) addf(format string, args ...any) {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	jr.events = append(jr.events, event{at: time.Now(), text: fmt.Sprintf(format, args...)})
}

// server is a stand-in of a model server, or of a plain one if it has no domain.
type server struct {
	st      *store
	jr      *journal
	lis     net.Listener
	id      string
	service string
	zone    string
	domain  string
	slots   int
	born    int64
	// pace returns how many times as long as usual the server's group works.
	pace func() float64
	// serve answers a request that runs.
	serve func(srv *server, rw http.ResponseWriter, req *http.Request, body []byte)

	mu       sync.Mutex
	draining bool
	seq      int
	staged   []string
	model    string
	epoch    int64
	fence    int64
	group    *membership
	members  []string
	running  int
	// cut is closed when the running requests lose their group.
	cut chan struct{}
}

type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// start listens, registers the server and answers requests.
func (srv *server) start(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv.lis, srv.born = lis, time.Now().UnixMilli()
	srv.register()
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(srv.handle), IdleTimeout: 8 * time.Second}).Serve(lis)
	}()
	return nil
}

// document returns what the server says of itself. The caller holds the mutex.
func (srv *server) document() map[string]any {
	state := "ready"
	if srv.draining {
		state = "draining"
	}
	doc := map[string]any{
		"service": srv.service, "address": srv.lis.Addr().String(), "zone": srv.zone, "version": "v1", "slots": srv.slots,
		"state": state, "coldLeftMs": 0, "born": srv.born, "seq": srv.seq, "models": []any{},
	}
	if srv.domain == "" {
		return doc
	}
	doc["domain"], doc["staged"], doc["stage"], doc["running"], doc["queued"], doc["busy"] = srv.domain, append([]string{}, srv.staged...), "hybrid", srv.running, 0, srv.group != nil && srv.group.State == "joining"
	doc["pace"] = 1.0
	if srv.pace != nil {
		doc["pace"] = srv.pace()
	}
	if srv.model != "" {
		doc["models"] = []map[string]any{{"name": srv.model, "version": 1, "adapters": []string{}}}
	}
	if srv.group != nil {
		doc["group"] = *srv.group
	}
	return doc
}

// register writes the server's entry.
func (srv *server) register() {
	srv.mu.Lock()
	raw, err := json.Marshal(srv.document())
	srv.mu.Unlock()
	if err == nil {
		srv.st.put("keyed.servers", srv.id, raw)
	}
}

func (srv *server) handle(rw http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/-/report":
		srv.mu.Lock()
		raw, _ := json.Marshal(srv.document())
		srv.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(raw)
		return
	case req.URL.Path == "/health":
		rw.Header().Set("Instance-Id", srv.id)
		return
	case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != srv.id:
		rw.Header().Set("Instance-Id", srv.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case req.URL.Path == "/-/order":
		srv.handleOrder(rw, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	srv.mu.Lock()
	open := srv.domain == "" || srv.group != nil && srv.group.State == "open"
	if !open || srv.running >= 2*srv.slots {
		srv.mu.Unlock()
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	srv.running++
	if srv.cut == nil {
		srv.cut = make(chan struct{})
	}
	srv.mu.Unlock()
	srv.jr.addf("run %s at %s %s", id, srv.id, req.URL.RequestURI())
	defer func() {
		srv.mu.Lock()
		srv.running--
		closed := srv.running == 0 && srv.group != nil && srv.group.State == "closing"
		if closed {
			srv.group.State = "ready"
		}
		srv.mu.Unlock()
		if closed {
			srv.register()
		}
	}()
	rw.Header().Set("Response-Stamp", "stamp."+srv.id+"."+id)
	srv.serve(srv, rw, req, body)
}

func (srv *server) handleOrder(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		Op       string   `json:"op"`
		Group    string   `json:"group"`
		Epoch    int64    `json:"epoch"`
		Model    string   `json:"model"`
		Members  []string `json:"members"`
		Fence    *int64   `json:"fence"`
		Expected *int     `json:"expected"`
	}
	err := json.NewDecoder(req.Body).Decode(&order)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status := func() int {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		if order.Fence != nil {
			if *order.Fence < srv.fence {
				return http.StatusPreconditionFailed
			}
			srv.fence = *order.Fence
		}
		if order.Expected != nil && *order.Expected != srv.seq {
			return http.StatusConflict
		}
		return srv.applyOrder(order.Op, order.Group, order.Epoch, order.Model, order.Members)
	}()
	srv.jr.addf("order %s %s/%d to %s: %d", order.Op, order.Group, order.Epoch, srv.id, status)
	srv.register()
	rw.WriteHeader(status)
}

// applyOrder carries out an order. The caller holds the mutex.
func (srv *server) applyOrder(op, group string, epoch int64, model string, members []string) int {
	in := srv.group != nil && srv.group.Name == group && srv.group.Epoch == epoch
	switch op {
	case "join":
		return srv.join(group, epoch, model, members)
	case "stage":
		srv.staged = []string{model}
		srv.seq++
		return http.StatusAccepted
	case "open", "close", "leave":
	default:
		return http.StatusBadRequest
	}
	if !in {
		return http.StatusConflict
	}
	switch {
	case op == "open" && srv.group.State == "open":
		return http.StatusOK
	case op == "open" && (srv.group.State != "ready" || srv.group.Rank != 0):
		return http.StatusConflict
	case op == "open":
		srv.after(openTime, func() { srv.group.State = "open" })
	case op == "close" && srv.group.State == "ready":
		return http.StatusOK
	case op == "close":
		// What runs is finished; the head is ready after it.
		srv.group.State = "closing"
		if srv.running == 0 {
			srv.group.State = "ready"
		}
	case op == "leave":
		srv.cutRunning()
		srv.group, srv.members = nil, nil
	}
	srv.seq++
	return http.StatusAccepted
}

// join makes the server a member. The caller holds the mutex.
func (srv *server) join(group string, epoch int64, model string, members []string) int {
	if epoch < srv.epoch {
		return http.StatusPreconditionFailed
	}
	if srv.group != nil && srv.group.Name == group && srv.group.Epoch == epoch {
		if slices.Equal(srv.members, members) {
			return http.StatusOK
		}
		return http.StatusPreconditionFailed
	}
	dur := loadTime
	if srv.model == model || slices.Contains(srv.staged, model) {
		dur = rejoinTime
	}
	srv.cutRunning()
	srv.epoch, srv.model, srv.staged, srv.members = epoch, model, []string{model}, members
	srv.group = &membership{Name: group, Epoch: epoch, Rank: slices.Index(members, srv.id), State: "joining"}
	srv.seq++
	srv.after(dur, func() { srv.group.State = "ready" })
	return http.StatusAccepted
}

// cutRunning breaks off what runs, since its group is no more. The caller holds the
// mutex.
func (srv *server) cutRunning() {
	if srv.cut != nil {
		close(srv.cut)
		srv.cut = nil
	}
}

// drain makes the server leave: it reports it and serves on.
func (srv *server) drain() {
	srv.mu.Lock()
	srv.draining = true
	srv.mu.Unlock()
	srv.register()
}

// after changes the current membership after a delay, unless it has changed by
// then. The caller holds the mutex.
func (srv *server) after(dur time.Duration, change func()) {
	group, seq := srv.group, srv.seq+1
	if group.State == "joining" {
		seq = srv.seq
	}
	time.AfterFunc(dur, func() {
		srv.mu.Lock()
		same := srv.group == group && srv.seq == seq
		if same {
			change()
		}
		srv.mu.Unlock()
		if same {
			srv.register()
		}
	})
}

// streamPieces answers with a stream of events num+1 to total, where num is the
// event that the request goes on at. gap returns the time before each event.
func streamPieces(srv *server, rw http.ResponseWriter, req *http.Request, total int, gap func() time.Duration) {
	id := req.Header.Get("Attempt-Id")
	srv.mu.Lock()
	cut := srv.cut
	srv.mu.Unlock()
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", "1")
	for num := first + 1; num <= total; num++ {
		select {
		case <-time.After(gap()):
		case <-cut:
			srv.jr.addf("broken %s at %s: the group is no more after event %d of %d", id, srv.id, num-1, total)
			panic(http.ErrAbortHandler)
		case <-req.Context().Done():
			srv.jr.addf("cut %s at %s: the caller closed the connection after event %d of %d", id, srv.id, num-1, total)
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece-%d-of-%s\n\n", num, num, req.URL.Path)
		rw.(http.Flusher).Flush()
	}
	srv.jr.addf("done %s at %s: all %d events sent", id, srv.id, total)
}
