package stand

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/google/uuid"

	"kumquathinge/core"
)

const defaultSlots = 64

// EngineConfig describes an engine.
type EngineConfig struct {
	VM core.VMName
	// Fencing makes the engine reject orders whose fencing token is lower than
	// that of its last order.
	Fencing bool
	// LoadTime is the duration of a load, TokenTime that of generating a token.
	LoadTime  time.Duration
	TokenTime time.Duration
	// Slots is the number of requests that run concurrently. Others are queued.
	// Zero means defaultSlots.
	Slots int
	// Weights is the address of the weight store. If it is empty, loads do not
	// wait for a weight store.
	Weights string
	// CacheBlocks is the capacity of the prefix cache in blocks. Zero means
	// defaultCacheBlocks.
	CacheBlocks int
}

// EngineFault holds the faults of an Engine. LoseAnswers applies to responses to
// orders.
type EngineFault struct {
	Fault
	// Die ends the process: it accepts no connections and loses its state.
	// It starts again, empty, after ReviveAfter or once Die is cleared.
	Die         bool `json:"die,omitempty"`
	ReviveAfter Span `json:"revive_after,omitempty"`
	// Restart ends the process and immediately starts a new one.
	Restart bool `json:"restart,omitempty"`
	// CrashOn ends the process when it receives a prompt with this text. It
	// starts again after ReviveAfter or with the next change of faults.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving is reported in probe results.
	Leaving bool `json:"leaving,omitempty"`
	// WrongAttempt sends the ID of another attempt in each chunk.
	WrongAttempt bool `json:"wrong_attempt,omitempty"`
	// CutAfter drops the connection after this number of tokens.
	CutAfter int `json:"cut_after,omitempty"`
	// NoEnd ends responses without the final chunk.
	NoEnd bool `json:"no_end,omitempty"`
	// GapAt omits the token at this position. Zero omits none.
	GapAt int `json:"gap_at,omitempty"`
	// LoadLag is the age that the reported load reaches before it is refreshed.
	LoadLag Span `json:"load_lag,omitempty"`
	// CacheLate is the age that cache events reach before they are reported.
	CacheLate Span `json:"cache_late,omitempty"`
	// CacheGap omits the cache events whose sequence number is a multiple of
	// it. Zero omits none.
	CacheGap int `json:"cache_gap,omitempty"`
}

// EngineCount holds the numbers of requests, cancellations, orders and crashes of
// an engine.
type EngineCount struct {
	Total     int            `json:"total"`
	Cancelled int            `json:"cancelled"`
	Orders    int            `json:"orders"`
	Crashes   int            `json:"crashes"`
	ByAttempt map[string]int `json:"by_attempt"`
	ByRequest map[string]int `json:"by_request"`
}

// Engine is a stand-in of a model engine. It generates the tokens of Tokens.
type Engine struct {
	*base[EngineFault]
	cfg             EngineConfig
	probe           core.ProbeResult
	fencingToken    core.Offset
	rank            int
	loadID          uint64
	slots           chan struct{}
	running         int
	queued          int
	loadReportedAt  time.Time
	cancelByAttempt map[core.AttemptID]context.CancelFunc
	cache           cache
	counts          EngineCount
}

// NewEngine returns an engine without a loaded model.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	eng := &Engine{base: newBase[EngineFault](), cfg: cfg}
	eng.counts.ByAttempt = make(map[string]int)
	eng.counts.ByRequest = make(map[string]int)
	eng.onFaultSet = eng.applyFault
	eng.reset()
	eng.mux.HandleFunc("GET /v1/probe", eng.serveProbe)
	eng.mux.HandleFunc("POST /v1/order", eng.serveOrder)
	eng.mux.HandleFunc("POST /v1/generate", eng.serveGenerate)
	eng.mux.HandleFunc("POST /v1/cancel", eng.serveCancel)
	eng.mux.HandleFunc("GET /v1/cache", eng.serveCache)
	eng.mux.HandleFunc("GET /count", eng.serveCount)
	return eng
}

// VM returns the name of the engine's VM.
func (eng *Engine) VM() core.VMName { return eng.cfg.VM }

// Probe returns the probe result of the engine.
func (eng *Engine) Probe() core.ProbeResult {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	now := time.Now()
	if now.Sub(eng.loadReportedAt) >= time.Duration(eng.fault.LoadLag) {
		eng.probe.Load = core.Load{Running: eng.running, Queued: eng.queued}
		eng.loadReportedAt = now
	}
	probe := eng.probe
	probe.Leaving = eng.fault.Leaving
	return probe
}

// Count returns the counts since NewEngine, across restarts.
func (eng *Engine) Count() EngineCount {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	out := eng.counts
	out.ByAttempt = maps.Clone(out.ByAttempt)
	out.ByRequest = maps.Clone(out.ByRequest)
	return out
}

// Restart ends the process and starts a new one without a loaded model.
func (eng *Engine) Restart() error {
	eng.Kill()
	return eng.Relaunch()
}

// Kill ends the process: it closes its connections, accepts no new ones and loses
// its state.
func (eng *Engine) Kill() {
	eng.stopListening()
	eng.reset()
}

// Relaunch starts a new process after Kill. It does nothing if one is running.
func (eng *Engine) Relaunch() error { return eng.listenAgain() }

// reset sets the state to that of a new process and cancels all attempts.
func (eng *Engine) reset() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.probe = core.ProbeResult{
		VM:          eng.cfg.VM,
		Incarnation: core.Incarnation(uuid.NewString()),
		State:       core.EngineEmpty,
	}
	eng.fencingToken = 0
	eng.loadID++
	eng.slots = make(chan struct{}, eng.cfg.Slots)
	eng.running, eng.queued = 0, 0
	eng.loadReportedAt = time.Time{}
	for _, cancel := range eng.cancelByAttempt {
		cancel()
	}
	eng.cancelByAttempt = make(map[core.AttemptID]context.CancelFunc)
	eng.cache = cache{maxBlocks: eng.cfg.CacheBlocks}
}

func (eng *Engine) applyFault(fault EngineFault) {
	switch {
	case fault.Die:
		eng.Kill()
		eng.relaunchAfter(time.Duration(fault.ReviveAfter))
	case fault.Restart:
		_ = eng.Restart()
	default:
		_ = eng.Relaunch()
	}
}

func (eng *Engine) relaunchAfter(dur time.Duration) {
	if dur > 0 {
		time.AfterFunc(dur, func() { _ = eng.Relaunch() })
	}
}

func (eng *Engine) crash(fault EngineFault) {
	eng.mu.Lock()
	eng.counts.Crashes++
	eng.mu.Unlock()
	eng.Kill()
	eng.relaunchAfter(time.Duration(fault.ReviveAfter))
}

func (eng *Engine) serveProbe(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, eng.Probe())
}

func (eng *Engine) serveCount(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, eng.Count())
}

// decode decodes the JSON body of a request. If that fails, it responds with
// status 400 and returns false.
func decode(rw http.ResponseWriter, req *http.Request, val any) bool {
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxRequestBytes)).Decode(val)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
