package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"kumquathinge/core"
)

const (
	reasonLength    = "length"
	reasonCancelled = "cancelled"
)

type attemptBody struct {
	Attempt core.AttemptID `json:"attempt"`
}

func (eng *Engine) serveCancel(wri http.ResponseWriter, req *http.Request) {
	var bod attemptBody
	if !decode(wri, req, &bod) {
		return
	}
	eng.mtx.Lock()
	cancel, ok := eng.attempts[bod.Attempt]
	if ok {
		eng.count.Cancelled++
		delete(eng.attempts, bod.Attempt)
	}
	eng.mtx.Unlock()
	if ok {
		cancel()
	}
	wri.WriteHeader(http.StatusNoContent)
}

func (eng *Engine) serveGenerate(wri http.ResponseWriter, req *http.Request) {
	var gen core.GenerateRequest
	if !decode(wri, req, &gen) {
		return
	}
	fau := eng.Fault()
	if fau.Refuse {
		refuse(wri)
		return
	}
	run, ok := eng.begin(req.Context(), gen)
	if !ok {
		refuse(wri)
		return
	}
	defer run.end()
	if fau.CrashOn != "" && strings.Contains(gen.Prompt, fau.CrashOn) {
		eng.crash(fau)
		panic(http.ErrAbortHandler)
	}
	if !run.slot() {
		panic(http.ErrAbortHandler)
	}
	run.stream(wri, fau)
}

// run is one request that the engine took.
type run struct {
	eng    *Engine
	gen    core.GenerateRequest
	conn   context.Context
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	holds  bool
	head   core.Chunk
}

// begin counts gen as run, unless the engine does not take it.
func (eng *Engine) begin(conn context.Context, gen core.GenerateRequest) (*run, bool) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if !eng.takes(gen) {
		return nil, false
	}
	ctx, cancel := context.WithCancel(conn)
	eng.count.Total++
	eng.count.ByAttempt[string(gen.Attempt)]++
	eng.count.ByRequest[gen.Request]++
	eng.attempts[gen.Attempt] = cancel
	eng.cache.use(gen.Prompt)
	eng.queued++
	head := core.Chunk{
		Attempt:      gen.Attempt,
		Head:         true,
		Incarnation:  eng.probe.Incarnation,
		FencingToken: eng.probe.FencingToken,
		Spec:         eng.probe.Spec,
		Pos:          gen.StartPos,
	}
	return &run{eng: eng, gen: gen, conn: conn, ctx: ctx, cancel: cancel, slots: eng.slots, head: head}, true
}

// slot waits until the request may run.
func (run *run) slot() bool {
	select {
	case run.slots <- struct{}{}:
	case <-run.ctx.Done():
		return false
	}
	eng := run.eng
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	run.holds = true
	if run.current() {
		eng.queued--
		eng.running++
	}
	return true
}

// current reports whether the process that took the request still runs.
func (run *run) current() bool { return run.slots == run.eng.slots }

func (run *run) end() {
	run.cancel()
	eng := run.eng
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if run.holds {
		<-run.slots
	}
	if !run.current() {
		return
	}
	delete(eng.attempts, run.gen.Attempt)
	if run.holds {
		eng.running--
	} else {
		eng.queued--
	}
}

func (run *run) stream(wri http.ResponseWriter, fau EngineFault) {
	wri.Header().Set("Content-Type", "application/x-ndjson")
	run.write(wri, run.head, fau)
	toks := Tokens(run.gen.Prompt, run.gen.MaxTokens)
	for pos := run.gen.StartPos; pos < len(toks); pos++ {
		if fau.CutAfter > 0 && pos-run.gen.StartPos >= fau.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !run.eng.wait(run.ctx, run.eng.cfg.TokenTime) {
			run.stopped(wri, pos, fau)
			return
		}
		if fau.GapAt > 0 && pos == fau.GapAt {
			continue
		}
		run.write(wri, core.Chunk{Pos: pos, Text: toks[pos]}, fau)
	}
	if fau.NoEnd {
		return
	}
	run.write(wri, core.Chunk{Pos: len(toks), End: true, Tokens: len(toks), FinishReason: reasonLength}, fau)
}

// stopped ends the answer of a request that was cancelled, or breaks the
// connection if the process or the caller is gone.
func (run *run) stopped(wri http.ResponseWriter, pos int, fau EngineFault) {
	if run.conn.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	run.write(wri, core.Chunk{Pos: pos, End: true, Tokens: pos, FinishReason: reasonCancelled}, fau)
}

// write sends one chunk, or breaks the connection if it is gone.
func (run *run) write(wri http.ResponseWriter, chu core.Chunk, fau EngineFault) {
	chu.Attempt = run.gen.Attempt
	if fau.WrongAttempt {
		chu.Attempt = wrongAttempt
	}
	if !run.eng.hold(run.conn) {
		panic(http.ErrAbortHandler)
	}
	err := json.NewEncoder(wri).Encode(chu)
	if err == nil {
		err = http.NewResponseController(wri).Flush()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
