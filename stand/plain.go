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
	attemptHeader = "X-Attempt-Id"
	refusedHeader = "X-Refused"
	maxPlainBody  = 16 << 20 // bytes
	wrongAttempt  = "attempt-of-another-request"
)

// PlainFault holds the faults of Plain.
type PlainFault struct {
	Fault
	// WrongAttempt echoes another attempt.
	WrongAttempt bool `json:"wrong_attempt,omitempty"`
	// ShortBody breaks the connection in the middle of the answer's body.
	ShortBody bool `json:"short_body,omitempty"`
	// RunTime is the time that each run takes.
	RunTime Span `json:"run_time,omitempty"`
}

// PlainCount tells what a plain service ran. AtOnce is the greatest number of
// runs that were in progress at one time.
type PlainCount struct {
	Total     int            `json:"total"`
	AtOnce    int            `json:"at_once"`
	ByBody    map[string]int `json:"by_body"`
	ByAttempt map[string]int `json:"by_attempt"`
}

// PlainReply is the body of a plain service's answer. Run is the number of
// runs so far.
type PlainReply struct {
	VM     string `json:"vm"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// Plain is a stand-in of one backend server of a plain service.
type Plain struct {
	*base[PlainFault]
	name    string
	count   PlainCount
	running int
}

// NewPlain returns a plain service on the VM name.
func NewPlain(name string) *Plain {
	pla := &Plain{base: newBase[PlainFault](), name: name}
	pla.count = PlainCount{ByBody: make(map[string]int), ByAttempt: make(map[string]int)}
	pla.mux.HandleFunc("GET /count", pla.serveCount)
	pla.mux.HandleFunc("/", pla.serveCall)
	return pla
}

// Count returns what ran so far.
func (pla *Plain) Count() PlainCount {
	pla.mtx.Lock()
	defer pla.mtx.Unlock()
	return PlainCount{
		Total:     pla.count.Total,
		AtOnce:    pla.count.AtOnce,
		ByBody:    maps.Clone(pla.count.ByBody),
		ByAttempt: maps.Clone(pla.count.ByAttempt),
	}
}

func (pla *Plain) serveCount(wri http.ResponseWriter, _ *http.Request) {
	reply(wri, http.StatusOK, pla.Count())
}

func (pla *Plain) serveCall(wri http.ResponseWriter, req *http.Request) {
	bod, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxPlainBody))
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	fau := pla.Fault()
	if fau.Refuse {
		wri.Header().Set(refusedHeader, "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	att := req.Header.Get(attemptHeader)
	run := pla.run(att, string(bod))
	defer pla.ran()
	// A run goes on when its caller is gone.
	pla.wait(req.Context(), time.Duration(fau.RunTime))
	if !pla.hold(req.Context()) {
		panic(http.ErrAbortHandler)
	}
	pla.loseAnswer()
	if fau.WrongAttempt {
		att = wrongAttempt
	}
	pla.answer(wri, att, fau.ShortBody, PlainReply{
		VM:     pla.name,
		Method: req.Method,
		Path:   req.URL.RequestURI(),
		Body:   string(bod),
		Run:    run,
	})
}

func (pla *Plain) run(att, bod string) int {
	pla.mtx.Lock()
	defer pla.mtx.Unlock()
	pla.running++
	pla.count.AtOnce = max(pla.count.AtOnce, pla.running)
	pla.count.Total++
	pla.count.ByBody[bod]++
	pla.count.ByAttempt[att]++
	return pla.count.Total
}

// ran notes the end of a run.
func (pla *Plain) ran() {
	pla.mtx.Lock()
	defer pla.mtx.Unlock()
	pla.running--
}

func (pla *Plain) answer(wri http.ResponseWriter, att string, short bool, rep PlainReply) {
	out, err := json.Marshal(rep)
	if err != nil {
		panic(err)
	}
	hdr := wri.Header()
	hdr.Set(attemptHeader, att)
	hdr.Set("Content-Type", "application/json")
	hdr.Set("Content-Length", strconv.Itoa(len(out)))
	if !short {
		_, _ = wri.Write(out)
		return
	}
	_, _ = wri.Write(out[:len(out)/2])
	_ = http.NewResponseController(wri).Flush()
	panic(http.ErrAbortHandler)
}
