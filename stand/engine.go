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
	// Fencing makes the engine refuse orders older than its last one.
	Fencing bool
	// LoadTime is the time that a load takes, TokenTime that of one token.
	LoadTime  time.Duration
	TokenTime time.Duration
	// Slots is the number of requests that run at once; more are queued.
	Slots int
	// Weights is the address of the weight store, empty for none.
	Weights string
	// CacheBlocks is the number of prefix blocks that the cache holds.
	CacheBlocks int
}

// EngineFault holds the faults of an Engine. LoseAnswers counts answers to
// orders.
type EngineFault struct {
	Fault
	// Die ends the process: it accepts no connection and has forgotten all.
	// It comes back empty after ReviveAfter, or when Die is off again.
	Die         bool `json:"die,omitempty"`
	ReviveAfter Span `json:"revive_after,omitempty"`
	// Restart ends the process and starts another at once.
	Restart bool `json:"restart,omitempty"`
	// CrashOn ends the process when it gets a prompt that contains the text.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving is reported in probes.
	Leaving bool `json:"leaving,omitempty"`
	// WrongAttempt echoes another attempt in every chunk.
	WrongAttempt bool `json:"wrong_attempt,omitempty"`
	// CutAfter breaks the connection after so many tokens.
	CutAfter int `json:"cut_after,omitempty"`
	// NoEnd ends answers without the last chunk.
	NoEnd bool `json:"no_end,omitempty"`
	// GapAt leaves out the token at this position, which is not 0.
	GapAt int `json:"gap_at,omitempty"`
	// LoadLag is the age up to which reports of load are repeated.
	LoadLag Span `json:"load_lag,omitempty"`
	// CacheLate is the age from which on cache events are told.
	CacheLate Span `json:"cache_late,omitempty"`
	// CacheGap leaves out every so manyth cache event.
	CacheGap int `json:"cache_gap,omitempty"`
}

// EngineCount tells what an engine ran.
type EngineCount struct {
	Total     int            `json:"total"`
	Cancelled int            `json:"cancelled"`
	Orders    int            `json:"orders"`
	Crashes   int            `json:"crashes"`
	ByAttempt map[string]int `json:"by_attempt"`
	ByRequest map[string]int `json:"by_request"`
}

// Engine is a stand-in of one model engine. Its answers are those of Tokens.
type Engine struct {
	*base[EngineFault]
	cfg      EngineConfig
	probe    core.ProbeResult
	held     core.Offset
	rank     int
	load     uint64
	slots    chan struct{}
	running  int
	queued   int
	loadAt   time.Time
	attempts map[core.AttemptID]context.CancelFunc
	cache    cache
	count    EngineCount
}

// NewEngine returns an engine that is empty.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	eng := &Engine{base: newBase[EngineFault](), cfg: cfg}
	eng.count.ByAttempt = make(map[string]int)
	eng.count.ByRequest = make(map[string]int)
	eng.onFault = eng.applyFault
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

// Probe returns what the engine says of itself.
func (eng *Engine) Probe() core.ProbeResult {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	now := time.Now()
	if now.Sub(eng.loadAt) >= time.Duration(eng.fault.LoadLag) {
		eng.probe.Load = core.Load{Running: eng.running, Queued: eng.queued}
		eng.loadAt = now
	}
	pro := eng.probe
	pro.Leaving = eng.fault.Leaving
	return pro
}

// Count returns what ran so far, over all restarts.
func (eng *Engine) Count() EngineCount {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	out := eng.count
	out.ByAttempt = maps.Clone(out.ByAttempt)
	out.ByRequest = maps.Clone(out.ByRequest)
	return out
}

// Restart ends the process and starts another, which is empty.
func (eng *Engine) Restart() error {
	eng.Die()
	return eng.Revive()
}

// Die ends the process: its connections break and it accepts none.
func (eng *Engine) Die() {
	eng.kill()
	eng.reset()
}

// Revive starts the process again, empty.
func (eng *Engine) Revive() error { return eng.revive() }

// reset forgets all that a process holds.
func (eng *Engine) reset() {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	eng.probe = core.ProbeResult{
		VM:          eng.cfg.VM,
		Incarnation: core.Incarnation(uuid.NewString()),
		State:       core.EngineEmpty,
	}
	eng.held = 0
	eng.load++
	eng.slots = make(chan struct{}, eng.cfg.Slots)
	eng.running, eng.queued = 0, 0
	eng.loadAt = time.Time{}
	for _, cancel := range eng.attempts {
		cancel()
	}
	eng.attempts = make(map[core.AttemptID]context.CancelFunc)
	eng.cache = cache{limit: eng.cfg.CacheBlocks}
}

func (eng *Engine) applyFault(fau EngineFault) {
	switch {
	case fau.Die:
		eng.Die()
		eng.reviveAfter(time.Duration(fau.ReviveAfter))
	case fau.Restart:
		_ = eng.Restart()
	default:
		_ = eng.Revive()
	}
}

func (eng *Engine) reviveAfter(dur time.Duration) {
	if dur > 0 {
		time.AfterFunc(dur, func() { _ = eng.Revive() })
	}
}

func (eng *Engine) crash(fau EngineFault) {
	eng.mtx.Lock()
	eng.count.Crashes++
	eng.mtx.Unlock()
	eng.Die()
	eng.reviveAfter(time.Duration(fau.ReviveAfter))
}

func (eng *Engine) serveProbe(wri http.ResponseWriter, _ *http.Request) {
	reply(wri, http.StatusOK, eng.Probe())
}

func (eng *Engine) serveCount(wri http.ResponseWriter, _ *http.Request) {
	reply(wri, http.StatusOK, eng.Count())
}

// decode reads a request's JSON body and answers 400 if it is not one.
func decode(wri http.ResponseWriter, req *http.Request, val any) bool {
	err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxPlainBody)).Decode(val)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
