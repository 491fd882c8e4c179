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

	"kumquathinge/platform"
)

// Names and times of the model servers.
const (
	modelService = "escriba"
	modelName    = "m0"
	modelSize    = 2
	engineSlots  = 26
	loadTime     = 4 * time.Second
	warmTime     = 400 * time.Millisecond
	rejoinTime   = 200 * time.Millisecond
	formTime     = 300 * time.Millisecond
	stallTime    = 5 * time.Second
)

// plan is what the head of a group does with a request.
type plan struct {
	// events is the number of events of the answer, pause the time before each.
	events int
	pause  time.Duration
	// crashAfter is the number of events after which the head crashes, negative if it does
	// not. crashDelay is the time from the last of them to the crash.
	crashAfter int
	crashDelay time.Duration
}

// fleet are the model servers.
type fleet struct {
	dep     *deployment
	restart time.Duration
	respond func(req *http.Request) plan
	arrived func(eng *engine, req *http.Request)
	mu      sync.Mutex
	engines []*engine
}

// engine is a model server.
type engine struct {
	fleet        *fleet
	num          int
	zone, domain string
	addr         string

	mu      sync.Mutex
	life    int
	born    int64
	seq     int
	fence   int64
	epoch   int64
	group   string
	groupAt int64
	rank    int
	state   string
	members []string
	model   string
	last    string
	staged  []string
	running int
	stalled time.Time
	ended   bool
	closed  bool
	http    *http.Server
	changed chan struct{}
	cut     chan struct{}
}

func startFleet(dep *deployment, domains, perDomain int, restart time.Duration, respond func(*http.Request) plan, arrived func(*engine, *http.Request)) (*fleet, error) {
	flt := &fleet{dep: dep, restart: restart, respond: respond, arrived: arrived}
	for num := range domains * perDomain {
		eng := &engine{fleet: flt, num: num + 1, zone: zones[num%len(zones)], domain: fmt.Sprintf("d%d", num/perDomain+1)}
		if err := eng.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		flt.mu.Lock()
		flt.engines = append(flt.engines, eng)
		flt.mu.Unlock()
	}
	return flt, nil
}

func (flt *fleet) close() {
	for _, eng := range flt.engines {
		eng.mu.Lock()
		eng.closed = true
		httpServer := eng.http
		eng.mu.Unlock()
		_ = httpServer.Close()
	}
}

// serving returns the number of groups that serve.
func (flt *fleet) serving() int {
	num := 0
	for _, eng := range flt.engines {
		eng.mu.Lock()
		if !eng.ended && eng.state == "open" {
			num++
		}
		eng.mu.Unlock()
	}
	return num
}

func (eng *engine) name() string { return fmt.Sprintf("m%d-%d", eng.num, eng.life) }

func (eng *engine) id() string {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.name()
}

func (eng *engine) listen(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	eng.mu.Lock()
	eng.addr, eng.ended = lis.Addr().String(), false
	eng.life++
	eng.born = time.Now().UnixMilli()
	eng.seq, eng.fence, eng.epoch, eng.group, eng.groupAt, eng.state, eng.members, eng.model, eng.last, eng.running = 0, 0, 0, "", 0, "", nil, "", "", 0
	eng.stalled = time.Time{}
	eng.changed, eng.cut = make(chan struct{}, 1), make(chan struct{})
	eng.http = &http.Server{Handler: eng.handler(), IdleTimeout: 10 * time.Second}
	life, httpServer, id := eng.life, eng.http, eng.name()
	eng.mu.Unlock()
	go func() { _ = httpServer.Serve(lis) }()
	eng.fleet.dep.rec.printf("model server %s starts in %s", id, eng.domain)
	go eng.beat(life, id)
	return nil
}

// document is the state of the server. The caller holds the mutex.
func (eng *engine) document() map[string]any {
	doc := map[string]any{
		"service": modelService, "address": eng.addr, "zone": eng.zone, "version": "v1", "slots": engineSlots, "state": "ready", "coldLeftMs": 0, "stage": "hybrid",
		"seq": eng.seq, "born": eng.born, "domain": eng.domain, "staged": eng.staged, "models": []any{}, "busy": eng.state == "joining", "queued": 0, "running": eng.running,
		"kvUsed": 0, "kvTotal": 2470000, "handles": 0, "pace": 1,
	}
	if eng.group != "" {
		doc["group"] = map[string]any{"name": eng.group, "epoch": eng.groupAt, "rank": eng.rank, "state": eng.state}
		if eng.state != "joining" {
			doc["models"] = []map[string]any{{"name": eng.model, "version": 1, "adapters": []string{}}}
		}
	}
	return doc
}

// beat writes the entry every heartbeat interval and after each change.
func (eng *engine) beat(life int, id string) {
	for {
		eng.mu.Lock()
		running := eng.life == life && !eng.ended && !eng.closed
		raw, err := json.Marshal(eng.document())
		changed := eng.changed
		eng.mu.Unlock()
		if err != nil || !running {
			break
		}
		eng.fleet.dep.store.Append(platform.TopicServers, id, raw)
		select {
		case <-changed:
		case <-time.After(heartbeat):
		}
	}
	time.Sleep(2 * heartbeat)
	eng.mu.Lock()
	closed := eng.closed
	eng.mu.Unlock()
	if !closed {
		eng.fleet.dep.store.Append(platform.TopicServers, id, nil)
	}
}

// note makes the entry be written. The caller holds the mutex.
func (eng *engine) note() {
	select {
	case eng.changed <- struct{}{}:
	default:
	}
}

// crash ends the server until it is back.
func (eng *engine) crash() {
	eng.mu.Lock()
	if eng.ended || eng.closed {
		eng.mu.Unlock()
		return
	}
	eng.ended = true
	httpServer, addr := eng.http, eng.addr
	eng.fleet.dep.rec.printf("model server %s crashes", eng.name())
	eng.note()
	eng.mu.Unlock()
	_ = httpServer.Close()
	time.AfterFunc(eng.fleet.restart, func() {
		eng.mu.Lock()
		closed := eng.closed
		eng.mu.Unlock()
		if closed {
			return
		}
		if err := eng.listen(addr); err != nil {
			eng.fleet.dep.rec.printf("model server m%d can't start again: %v", eng.num, err)
		}
	})
}

func (eng *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", eng.report)
	mux.HandleFunc("POST /-/order", eng.order)
	mux.HandleFunc("/", eng.serve)
	return mux
}

func (eng *engine) report(rw http.ResponseWriter, _ *http.Request) {
	eng.mu.Lock()
	doc := eng.document()
	eng.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(doc)
}

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Mode    string   `json:"mode"`
	Fence   int64    `json:"fence"`
}

func (eng *engine) order(rw http.ResponseWriter, req *http.Request) {
	var ord order
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if expected := req.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != eng.name() {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status := eng.apply(ord)
	if status == http.StatusAccepted {
		eng.seq++
		eng.note()
	}
	rw.WriteHeader(status)
}

// apply carries an order out and returns the status. The caller holds the mutex.
func (eng *engine) apply(ord order) int {
	if ord.Fence < eng.fence {
		return http.StatusPreconditionFailed
	}
	eng.fence = ord.Fence
	same := eng.group == ord.Group && eng.groupAt == ord.Epoch
	switch ord.Op {
	case "join":
		return eng.join(ord, same)
	case "open":
		switch {
		case same && eng.state == "open":
			return http.StatusOK
		case !same || eng.rank != 0 || eng.state != "ready":
			return http.StatusConflict
		}
		eng.later(formTime, func() { eng.state = "open" })
		return http.StatusAccepted
	case "close":
		switch {
		case same && (eng.state == "ready" || eng.state == "closing"):
			return http.StatusOK
		case !same || eng.state != "open":
			return http.StatusConflict
		}
		eng.state = "closing"
		if eng.running == 0 {
			eng.state = "ready"
		}
		return http.StatusAccepted
	case "leave":
		if !same {
			return http.StatusConflict
		}
		eng.leave()
		return http.StatusAccepted
	case "stage":
		if !slices.Contains(eng.staged, ord.Model) {
			eng.staged = []string{ord.Model}
		}
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// leave ends the membership and breaks off the answers. The caller holds the mutex.
func (eng *engine) leave() {
	eng.group, eng.groupAt, eng.state, eng.members, eng.model = "", 0, "", nil, ""
	close(eng.cut)
	eng.cut = make(chan struct{})
}

func (eng *engine) join(ord order, same bool) int {
	switch {
	case same && slices.Equal(eng.members, ord.Members):
		return http.StatusOK
	case ord.Epoch < eng.epoch || same:
		return http.StatusPreconditionFailed
	}
	eng.leave()
	eng.epoch, eng.group, eng.groupAt, eng.members, eng.model, eng.state = ord.Epoch, ord.Group, ord.Epoch, ord.Members, ord.Model, "joining"
	eng.rank = max(0, slices.Index(ord.Members, eng.name()))
	took := loadTime
	switch {
	case eng.last == ord.Model:
		took = rejoinTime
	case slices.Contains(eng.staged, ord.Model):
		took = warmTime
	}
	eng.later(took, func() {
		eng.state, eng.last, eng.staged = "ready", ord.Model, []string{ord.Model}
	})
	return http.StatusAccepted
}

// later changes the state after a time, unless the membership or the process is another one
// then. The caller holds the mutex.
func (eng *engine) later(after time.Duration, change func()) {
	life, epoch := eng.life, eng.groupAt
	time.AfterFunc(after, func() {
		eng.mu.Lock()
		defer eng.mu.Unlock()
		if eng.life == life && eng.groupAt == epoch && !eng.ended {
			change()
			eng.note()
		}
	})
}

// complete reports whether all members of the group are there.
func (flt *fleet) complete(group string, epoch int64, members []string) bool {
	found := 0
	for _, eng := range flt.engines {
		eng.mu.Lock()
		if !eng.ended && eng.group == group && eng.groupAt == epoch && slices.Contains(members, eng.name()) {
			found++
		}
		eng.mu.Unlock()
	}
	return found == len(members)
}

// serve answers the request of a client.
func (eng *engine) serve(rw http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get(platform.HeaderAttemptID)
	rw.Header().Set(platform.HeaderAttemptID, attempt)
	eng.mu.Lock()
	id, state, rank, group, epoch, members, cut := eng.name(), eng.state, eng.rank, eng.group, eng.groupAt, eng.members, eng.cut
	refused := 0
	switch {
	case req.Header.Get(platform.HeaderExpectInstance) != id || group == "" || rank != 0:
		refused = http.StatusMisdirectedRequest
	case state != "open" || eng.running >= 2*engineSlots:
		refused = http.StatusServiceUnavailable
	default:
		eng.running++
	}
	eng.mu.Unlock()
	if refused != 0 {
		if refused == http.StatusServiceUnavailable {
			rw.Header().Set(platform.HeaderNotExecuted, "1")
		}
		rw.WriteHeader(refused)
		return
	}
	defer eng.done()
	_, _ = io.ReadAll(req.Body)
	if !eng.await(req, group, epoch, members, cut) {
		rw.Header().Set(platform.HeaderNotExecuted, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	eng.fleet.arrived(eng, req)
	eng.stream(rw, req, id, attempt, cut)
}

// await waits until the group is complete. After stallTime it is broken.
func (eng *engine) await(req *http.Request, group string, epoch int64, members []string, cut chan struct{}) bool {
	for begin := time.Now(); !eng.fleet.complete(group, epoch, members); {
		select {
		case <-req.Context().Done():
			return false
		case <-cut:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(begin) > stallTime {
			eng.mu.Lock()
			if eng.group == group && eng.groupAt == epoch {
				eng.state = "broken"
				eng.note()
			}
			eng.mu.Unlock()
			return false
		}
	}
	return true
}

func (eng *engine) done() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.running--
	if eng.running == 0 && eng.state == "closing" {
		eng.state = "ready"
		eng.note()
	}
}

// stream sends the events after the one that the request names.
func (eng *engine) stream(rw http.ResponseWriter, req *http.Request, id, attempt string, cut chan struct{}) {
	what := eng.fleet.respond(req)
	from, _ := strconv.Atoi(req.Header.Get(platform.HeaderLastEventID))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(platform.HeaderResponseStamp, "stamp-"+id+"-"+attempt)
	rw.Header().Set("Weight-Versions", "1")
	for num := from + 1; num <= what.events; num++ {
		select {
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-time.After(what.pause):
		}
		if what.crashAfter >= 0 && num-from > what.crashAfter {
			eng.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", num, num)
		rw.(http.Flusher).Flush()
		if what.crashAfter == num-from {
			time.Sleep(what.crashDelay)
			eng.crash()
			panic(http.ErrAbortHandler)
		}
	}
}
