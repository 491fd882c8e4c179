package stand

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"
)

const (
	attemptHeader   = "X-Attempt-Id"
	refusedHeader   = "X-Refused"
	maxRequestBytes = 16 << 20 // bytes
	wrongAttempt    = "attempt-of-another-request"
)

// PlainFault holds the faults of Plain.
type PlainFault struct {
	Fault
	// WrongAttempt sends the ID of another attempt in the response.
	WrongAttempt bool `json:"wrong_attempt,omitempty"`
	// ShortBody drops the connection in the middle of the response body.
	ShortBody bool `json:"short_body,omitempty"`
	// RunTime is the duration of each run.
	RunTime Span `json:"run_time,omitempty"`
}

// PlainCount holds the numbers of runs of a plain service. AtOnce is the maximum
// number of concurrent runs.
type PlainCount struct {
	Total     int            `json:"total"`
	AtOnce    int            `json:"at_once"`
	ByBody    map[string]int `json:"by_body"`
	ByAttempt map[string]int `json:"by_attempt"`
}

// PlainReply is the body of a plain service's response. Run is the number of runs
// including this one.
type PlainReply struct {
	VM     string `json:"vm"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// Plain is a stand-in of a backend server of a plain service.
type Plain struct {
	*base[PlainFault]
	name    string
	counts  PlainCount
	running int
}

// NewPlain returns a backend server of a plain service on the VM with this name.
func NewPlain(name string) *Plain {
	plain := &Plain{base: newBase[PlainFault](), name: name}
	plain.counts = PlainCount{ByBody: make(map[string]int), ByAttempt: make(map[string]int)}
	plain.mux.HandleFunc("GET /count", plain.serveCount)
	plain.mux.HandleFunc("/", plain.serveCall)
	return plain
}

// Count returns the counts of runs since NewPlain.
func (plain *Plain) Count() PlainCount {
	plain.mu.Lock()
	defer plain.mu.Unlock()
	return PlainCount{
		Total:     plain.counts.Total,
		AtOnce:    plain.counts.AtOnce,
		ByBody:    maps.Clone(plain.counts.ByBody),
		ByAttempt: maps.Clone(plain.counts.ByAttempt),
	}
}

func (plain *Plain) serveCount(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, plain.Count())
}

func (plain *Plain) serveCall(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxRequestBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	fault := plain.Fault()
	if fault.Refuse {
		rw.Header().Set(refusedHeader, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	attempt := req.Header.Get(attemptHeader)
	run := plain.startRun(attempt, string(body))
	defer plain.endRun()
	// The result is ignored: a run counts even if the client disconnects.
	plain.sleep(req.Context(), time.Duration(fault.RunTime))
	if !plain.waitWhileSilent(req.Context()) {
		panic(http.ErrAbortHandler)
	}
	plain.loseResponse()
	if fault.WrongAttempt {
		attempt = wrongAttempt
	}
	plain.writeResponse(rw, attempt, fault.ShortBody, PlainReply{
		VM:     plain.name,
		Method: req.Method,
		Path:   req.URL.RequestURI(),
		Body:   string(body),
		Run:    run,
	})
}

func (plain *Plain) startRun(attempt, body string) int {
	plain.mu.Lock()
	defer plain.mu.Unlock()
	plain.running++
	plain.counts.AtOnce = max(plain.counts.AtOnce, plain.running)
	plain.counts.Total++
	plain.counts.ByBody[body]++
	plain.counts.ByAttempt[attempt]++
	return plain.counts.Total
}

func (plain *Plain) endRun() {
	plain.mu.Lock()
	defer plain.mu.Unlock()
	plain.running--
}

func (plain *Plain) writeResponse(rw http.ResponseWriter, attempt string, truncate bool, body PlainReply) {
	out, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	hdr := rw.Header()
	hdr.Set(attemptHeader, attempt)
	hdr.Set("Content-Type", "application/json")
	hdr.Set("Content-Length", strconv.Itoa(len(out)))
	if !truncate {
		_, _ = rw.Write(out)
		return
	}
	_, _ = rw.Write(out[:len(out)/2])
	_ = http.NewResponseController(rw).Flush()
	panic(http.ErrAbortHandler)
}
