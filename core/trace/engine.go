package trace

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// Engine simulates a model engine. An engine with fencing refuses orders whose
// fencing token is lower than the highest that it has received.
type Engine struct {
	fencing          bool
	probe            core.ProbeResult
	highestToken     core.Offset
	starts           int
	exited           bool
	paused           bool
	unreachable      bool
	leaving          bool
	loadFactor       float64
	awaitingTransfer bool
	loadRemaining    time.Duration
}

// NewEngine returns a running engine without a loaded model.
func NewEngine(name core.VMName, fencing bool) *Engine {
	eng := &Engine{fencing: fencing, loadFactor: 1}
	eng.probe.VM = name
	eng.Restart()
	return eng
}

// Reachable reports whether the engine is running and can be reached.
func (eng *Engine) Reachable() bool { return !eng.exited && !eng.paused && !eng.unreachable }

// Probe returns the engine's response to a probe.
func (eng *Engine) Probe() core.ProbeResult { return eng.probe }

// Exit terminates the process.
func (eng *Engine) Exit() { eng.exited = true }

// Pause suspends the process until Resume.
func (eng *Engine) Pause() { eng.paused = true }

// Resume continues a suspended process.
func (eng *Engine) Resume() { eng.paused = false }

// Restart starts a new process without a loaded model.
func (eng *Engine) Restart() {
	eng.starts++
	eng.exited, eng.paused, eng.awaitingTransfer = false, false, false
	eng.highestToken = 0
	eng.probe = core.ProbeResult{
		VM:          eng.probe.VM,
		Incarnation: core.Incarnation(fmt.Sprintf("%s-%d", eng.probe.VM, eng.starts)),
		State:       core.EngineEmpty,
	}
}

// Order executes an order. Its error carries core.CodeDialFailed if the engine
// is not reachable, and core.CodeStaleOrder if it refuses the fencing token.
func (eng *Engine) Order(order core.Order) error {
	if !eng.Reachable() {
		return core.Errorf(core.CodeDialFailed, "VM %q is not reachable", eng.probe.VM)
	}
	if eng.fencing && order.FencingToken < eng.highestToken {
		return core.Errorf(core.CodeStaleOrder, "fencing token %d is lower than %d", order.FencingToken, eng.highestToken)
	}
	eng.highestToken = max(eng.highestToken, order.FencingToken)
	probe := &eng.probe
	if order.Action == core.ActionUnload {
		eng.awaitingTransfer = false
		probe.State, probe.Group, probe.FencingToken, probe.Spec = core.EngineEmpty, "", order.FencingToken, core.Spec{}
		return nil
	}
	if probe.State != core.EngineEmpty && probe.Group == order.Group && probe.FencingToken == order.FencingToken && probe.Spec.Equal(order.Spec) {
		return nil
	}
	probe.State, probe.Group, probe.FencingToken, probe.Spec = core.EngineLoading, order.Group, order.FencingToken, order.Spec
	eng.awaitingTransfer = true
	return nil
}

// FinishLoad completes a load in progress immediately.
func (eng *Engine) FinishLoad() {
	if eng.probe.State == core.EngineLoading && eng.Reachable() {
		eng.awaitingTransfer = false
		eng.probe.State = core.EngineReady
	}
}

// startTransfer starts the transfer of the weights, which takes the duration
// load times the load factor of the engine.
func (eng *Engine) startTransfer(load time.Duration) {
	eng.awaitingTransfer = false
	eng.loadRemaining = time.Duration(eng.loadFactor * float64(load))
}

// advance advances a load in progress by dur.
func (eng *Engine) advance(dur time.Duration) {
	if eng.exited || eng.paused || eng.awaitingTransfer || eng.probe.State != core.EngineLoading {
		return
	}
	eng.loadRemaining -= dur
	if eng.loadRemaining <= 0 {
		eng.probe.State = core.EngineReady
	}
}
