package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// engineFaults are the faults to choose from. The last one clears the fault.
var engineFaults = []stand.EngineFault{
	{Die: true, ReviveAfter: stand.Span(200 * time.Millisecond)},
	{Restart: true},
	{Fault: stand.Fault{Freeze: true}},
	{Fault: stand.Fault{SilentOld: true}},
	{Fault: stand.Fault{Refuse: true}},
	{WrongAttempt: true},
	{CutAfter: 3},
	{NoEnd: true},
	{GapAt: 2},
	{},
}

// faultInjector sets faults on random engines, one after every few responses.
type faultInjector struct {
	mu        sync.Mutex
	rng       *rand.Rand
	system    *nodets.System
	responses int
}

// responsesPerFault is the number of responses between two faults.
const responsesPerFault = 4

// recordResponse counts a response and sets the next fault if it is due.
func (injector *faultInjector) recordResponse() {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.responses++
	if injector.responses%responsesPerFault != 0 {
		return
	}
	name := core.VMName(fmt.Sprintf("vm-%d", injector.rng.IntN(len(injector.system.Engines))))
	injector.system.Engines[name].SetFault(engineFaults[injector.rng.IntN(len(engineFaults))])
}

// clearFaults clears the faults of all engines.
func (injector *faultInjector) clearFaults() {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	for _, eng := range injector.system.Engines {
		eng.SetFault(stand.EngineFault{})
	}
}

// TestWholeOrTrulyRefused sends requests through all entry VMs while random
// engines get and lose faults. Every response with an end marker must be the
// complete response to its own prompt, and no engine may have run a request
// that was rejected as not run. Once the faults are cleared, every entry VM
// must complete requests.
func TestWholeOrTrulyRefused(t *testing.T) {
	const workers, requests, tokens = 8, 25, 12
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sys := nodets.Start(t, nodets.Config{
				Engine: stand.EngineConfig{TokenTime: time.Millisecond},
				Groups: map[string]core.Zone{"alerts-1": "z1", "alerts-2": "z2", "alerts-3": "z3"},
				Settings: map[string]map[string]any{
					"/": {"request.silence": "300ms", "request.deadline": "5s", "policy.return_wait": "1s", "quarantine.time": "1s"},
				},
			})
			injector := &faultInjector{rng: rand.New(rand.NewPCG(seed, seed)), system: sys}
			responses := make([][]nodets.Response, workers)
			var wg sync.WaitGroup
			for worker := range workers {
				wg.Go(func() {
					for num := range requests {
						entry := sys.EntryVMs[(worker+num)%len(sys.EntryVMs)]
						resp := sys.Complete(context.Background(), entry, promptOf(worker, num), tokens, nil)
						responses[worker] = append(responses[worker], resp)
						injector.recordResponse()
					}
				})
			}
			wg.Wait()
			injector.clearFaults()
			complete := checkResponses(t, sys, responses, tokens)
			t.Logf("%d of %d responses complete", complete, workers*requests)
			for _, entry := range sys.EntryVMs {
				awaitCompletion(sys, entry, "healed")
			}
		})
	}
}

// promptOf returns the prompt of a worker's request.
func promptOf(worker, num int) string { return fmt.Sprintf("prompt %d of %d", num, worker) }

// checkResponses checks every response and returns how many were complete.
func checkResponses(t *testing.T, sys *nodets.System, responses [][]nodets.Response, tokens int) int {
	t.Helper()
	ran := make(map[string]int)
	for _, eng := range sys.Engines {
		for id, num := range eng.Count().ByRequest {
			ran[id] += num
		}
	}
	complete := 0
	for worker, workerResponses := range responses {
		for num, resp := range workerResponses {
			if resp.Complete {
				complete++
				assert.Equal(t, resp.Text, stand.Answer(promptOf(worker, num), tokens))
			}
			if resp.NotRun {
				assert.Equal(t, ran[resp.RequestID], 0, "reported as not run, but ran: %+v", resp)
			}
			assert.Assert(t, resp.Complete || resp.Code != core.CodeOK || resp.Err != nil, "neither complete nor failed: %+v", resp)
		}
	}
	return complete
}
