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

func (eng *Engine) serveCancel(rw http.ResponseWriter, req *http.Request) {
	var body attemptBody
	if !decode(rw, req, &body) {
		return
	}
	eng.mu.Lock()
	cancel, ok := eng.cancelByAttempt[body.Attempt]
	if ok {
		eng.counts.Cancelled++
		delete(eng.cancelByAttempt, body.Attempt)
	}
	eng.mu.Unlock()
	if ok {
		cancel()
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (eng *Engine) serveGenerate(rw http.ResponseWriter, req *http.Request) {
	var gen core.GenerateRequest
	if !decode(rw, req, &gen) {
		return
	}
	fault := eng.Fault()
	if fault.Refuse {
		writeRefusal(rw)
		return
	}
	run, ok := eng.startRun(req.Context(), gen)
	if !ok {
		writeRefusal(rw)
		return
	}
	defer run.end()
	if fault.CrashOn != "" && strings.Contains(gen.Prompt, fault.CrashOn) {
		eng.crash(fault)
		panic(http.ErrAbortHandler)
	}
	if !run.acquireSlot() {
		panic(http.ErrAbortHandler)
	}
	run.stream(rw, fault)
}

// run is a request that the engine accepted. The context conn ends with the
// connection, ctx also when the attempt is cancelled.
type run struct {
	eng     *Engine
	request core.GenerateRequest
	conn    context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	slots   chan struct{}
	hasSlot bool
	head    core.Chunk
}

// startRun counts and queues a request. It returns false if the engine does not
// accept it.
func (eng *Engine) startRun(conn context.Context, gen core.GenerateRequest) (*run, bool) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if !eng.accepts(gen) {
		return nil, false
	}
	ctx, cancel := context.WithCancel(conn)
	eng.counts.Total++
	eng.counts.ByAttempt[string(gen.Attempt)]++
	eng.counts.ByRequest[gen.Request]++
	eng.cancelByAttempt[gen.Attempt] = cancel
	eng.cache.add(gen.Prompt)
	eng.queued++
	head := core.Chunk{
		Attempt:      gen.Attempt,
		Head:         true,
		Incarnation:  eng.probe.Incarnation,
		FencingToken: eng.probe.FencingToken,
		Spec:         eng.probe.Spec,
		Pos:          gen.StartPos,
	}
	return &run{eng: eng, request: gen, conn: conn, ctx: ctx, cancel: cancel, slots: eng.slots, head: head}, true
}

// acquireSlot waits for a free slot. It returns false if the run ends before.
func (run *run) acquireSlot() bool {
	select {
	case run.slots <- struct{}{}:
	case <-run.ctx.Done():
		return false
	}
	eng := run.eng
	eng.mu.Lock()
	defer eng.mu.Unlock()
	run.hasSlot = true
	if run.sameProcess() {
		eng.queued--
		eng.running++
	}
	return true
}

// sameProcess reports whether the process that accepted the request still runs:
// each process has its own slots channel.
func (run *run) sameProcess() bool { return run.slots == run.eng.slots }

func (run *run) end() {
	run.cancel()
	eng := run.eng
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if run.hasSlot {
		<-run.slots
	}
	if !run.sameProcess() {
		return
	}
	delete(eng.cancelByAttempt, run.request.Attempt)
	if run.hasSlot {
		eng.running--
	} else {
		eng.queued--
	}
}

func (run *run) stream(rw http.ResponseWriter, fault EngineFault) {
	rw.Header().Set("Content-Type", "application/x-ndjson")
	run.write(rw, run.head, fault)
	tokens := Tokens(run.request.Prompt, run.request.MaxTokens)
	for pos := run.request.StartPos; pos < len(tokens); pos++ {
		if fault.CutAfter > 0 && pos-run.request.StartPos >= fault.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !run.eng.sleep(run.ctx, run.eng.cfg.TokenTime) {
			run.endCancelled(rw, pos, fault)
			return
		}
		if fault.GapAt > 0 && pos == fault.GapAt {
			continue
		}
		run.write(rw, core.Chunk{Pos: pos, Text: tokens[pos]}, fault)
	}
	if fault.NoEnd {
		return
	}
	run.write(rw, core.Chunk{Pos: len(tokens), End: true, Tokens: len(tokens), FinishReason: reasonLength}, fault)
}

// endCancelled sends the final chunk of a cancelled attempt, or drops the
// connection if the process or the client has closed it.
func (run *run) endCancelled(rw http.ResponseWriter, pos int, fault EngineFault) {
	if run.conn.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	run.write(rw, core.Chunk{Pos: pos, End: true, Tokens: pos, FinishReason: reasonCancelled}, fault)
}

// write sends one chunk. It drops the connection if that fails.
func (run *run) write(rw http.ResponseWriter, chunk core.Chunk, fault EngineFault) {
	chunk.Attempt = run.request.Attempt
	if fault.WrongAttempt {
		chunk.Attempt = wrongAttempt
	}
	if !run.eng.waitWhileSilent(run.conn) {
		panic(http.ErrAbortHandler)
	}
	err := json.NewEncoder(rw).Encode(chunk)
	if err == nil {
		err = http.NewResponseController(rw).Flush()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
