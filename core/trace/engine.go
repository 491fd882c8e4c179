package trace

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// Engine models one model engine. A fencing engine refuses orders with a lower
// number than it has seen.
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

// NewEngine returns a running engine that holds nothing.
func NewEngine(name core.VMName, fencing bool) *Engine {
	eng := &Engine{fencing: fencing, loadFactor: 1}
	eng.probe.VM = name
	eng.Restart()
	return eng
}

// Reachable reports whether the engine can be reached and runs.
func (eng *Engine) Reachable() bool { return !eng.exited && !eng.paused && !eng.unreachable }

// Probe returns what the engine says of itself.
func (eng *Engine) Probe() core.ProbeResult { return eng.probe }

// Exit ends the process.
func (eng *Engine) Exit() { eng.exited = true }

// Pause stops the process; Resume lets it run on.
func (eng *Engine) Pause() { eng.paused = true }

// Resume lets a stopped process run on.
func (eng *Engine) Resume() { eng.paused = false }

// Restart starts a new process.
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

// Order carries out an order. Its error carries core.CodeDialFailed if the
// engine does not answer and core.CodeStaleOrder if it refuses the number.
func (eng *Engine) Order(order core.Order) error {
	if !eng.Reachable() {
		return core.Errorf(core.CodeDialFailed, "VM %q does not answer", eng.probe.VM)
	}
	if eng.fencing && order.FencingToken < eng.highestToken {
		return core.Errorf(core.CodeStaleOrder, "order %d is older than %d", order.FencingToken, eng.highestToken)
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

// FinishLoad completes a load at once.
func (eng *Engine) FinishLoad() {
	if eng.probe.State == core.EngineLoading && eng.Reachable() {
		eng.awaitingTransfer = false
		eng.probe.State = core.EngineReady
	}
}

// startTransfer starts the transfer of the weights, which takes load.
func (eng *Engine) startTransfer(load time.Duration) {
	eng.awaitingTransfer = false
	eng.loadRemaining = time.Duration(eng.loadFactor * float64(load))
}

// advance lets dur pass.
func (eng *Engine) advance(dur time.Duration) {
	if eng.exited || eng.paused || eng.awaitingTransfer || eng.probe.State != core.EngineLoading {
		return
	}
	eng.loadRemaining -= dur
	if eng.loadRemaining <= 0 {
		eng.probe.State = core.EngineReady
	}
}
