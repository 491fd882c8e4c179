package trace

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// Engine models one model engine. A fencing engine refuses orders with a lower
// number than it has seen.
type Engine struct {
	fencing bool
	probe   core.ProbeResult
	highest core.Offset
	runs    int
	dead    bool
	paused  bool
	dark    bool
	leaving bool
	factor  float64
	waiting bool
	left    time.Duration
}

// NewEngine returns a running engine that holds nothing.
func NewEngine(vmn core.VMName, fencing bool) *Engine {
	eng := &Engine{fencing: fencing, factor: 1}
	eng.probe.VM = vmn
	eng.Return()
	return eng
}

// Answers reports whether the engine can be reached and runs.
func (eng *Engine) Answers() bool { return !eng.dead && !eng.paused && !eng.dark }

// Probe returns what the engine says of itself.
func (eng *Engine) Probe() core.ProbeResult { return eng.probe }

// Die ends the process.
func (eng *Engine) Die() { eng.dead = true }

// Pause stops the process; Resume lets it run on.
func (eng *Engine) Pause() { eng.paused = true }

// Resume lets a stopped process run on.
func (eng *Engine) Resume() { eng.paused = false }

// Return starts a new process.
func (eng *Engine) Return() {
	eng.runs++
	eng.dead, eng.paused, eng.waiting = false, false, false
	eng.highest = 0
	eng.probe = core.ProbeResult{
		VM:          eng.probe.VM,
		Incarnation: core.Incarnation(fmt.Sprintf("%s-%d", eng.probe.VM, eng.runs)),
		State:       core.EngineEmpty,
	}
}

// Order carries out an order. Its error carries core.CodeDialFailed if the
// engine does not answer and core.CodeStaleOrder if it refuses the number.
func (eng *Engine) Order(ord core.Order) error {
	if !eng.Answers() {
		return core.Errorf(core.CodeDialFailed, "VM %q does not answer", eng.probe.VM)
	}
	if eng.fencing && ord.FencingToken < eng.highest {
		return core.Errorf(core.CodeStaleOrder, "order %d is older than %d", ord.FencingToken, eng.highest)
	}
	eng.highest = max(eng.highest, ord.FencingToken)
	prb := &eng.probe
	if ord.Action == core.ActionUnload {
		eng.waiting = false
		prb.State, prb.Group, prb.FencingToken, prb.Spec = core.EngineEmpty, "", ord.FencingToken, core.Spec{}
		return nil
	}
	if prb.State != core.EngineEmpty && prb.Group == ord.Group && prb.FencingToken == ord.FencingToken && prb.Spec.Equal(ord.Spec) {
		return nil
	}
	prb.State, prb.Group, prb.FencingToken, prb.Spec = core.EngineLoading, ord.Group, ord.FencingToken, ord.Spec
	eng.waiting = true
	return nil
}

// Loaded completes a load at once.
func (eng *Engine) Loaded() {
	if eng.probe.State == core.EngineLoading && eng.Answers() {
		eng.waiting = false
		eng.probe.State = core.EngineReady
	}
}

// fetch starts the transfer of the weights, which takes load.
func (eng *Engine) fetch(load time.Duration) {
	eng.waiting = false
	eng.left = time.Duration(eng.factor * float64(load))
}

// run lets dur pass.
func (eng *Engine) run(dur time.Duration) {
	if eng.dead || eng.paused || eng.waiting || eng.probe.State != core.EngineLoading {
		return
	}
	eng.left -= dur
	if eng.left <= 0 {
		eng.probe.State = core.EngineReady
	}
}
