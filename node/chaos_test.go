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

// faults are what may happen to an engine. The last one heals it.
var faults = []stand.EngineFault{
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

// chaos puts faults on random engines, one for every few answers.
type chaos struct {
	mu   sync.Mutex
	rnd  *rand.Rand
	sys  *nodets.System
	seen int
}

// answersPerFault is the number of answers between two faults.
const answersPerFault = 4

// answered counts an answer and may bring about the next fault.
func (cha *chaos) answered() {
	cha.mu.Lock()
	defer cha.mu.Unlock()
	cha.seen++
	if cha.seen%answersPerFault != 0 {
		return
	}
	nam := core.VMName(fmt.Sprintf("vm-%d", cha.rnd.IntN(len(cha.sys.Engines))))
	cha.sys.Engines[nam].SetFault(faults[cha.rnd.IntN(len(faults))])
}

// heal takes all faults back.
func (cha *chaos) heal() {
	cha.mu.Lock()
	defer cha.mu.Unlock()
	for _, eng := range cha.sys.Engines {
		eng.SetFault(stand.EngineFault{})
	}
}

// TestWholeOrTrulyRefused sends requests through all entry VMs while faults
// come and go on random engines. Every answer with an end mark is the whole
// answer to its own prompt, and no engine saw a request that was refused as
// not run. Once healed, every entry VM completes requests.
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
			cha := &chaos{rnd: rand.New(rand.NewPCG(seed, seed)), sys: sys}
			answers := make([][]nodets.Response, workers)
			var wg sync.WaitGroup
			for wor := range workers {
				wg.Go(func() {
					for num := range requests {
						mem := sys.EntryVMs[(wor+num)%len(sys.EntryVMs)]
						ans := sys.Complete(context.Background(), mem, prompt(wor, num), tokens, nil)
						answers[wor] = append(answers[wor], ans)
						cha.answered()
					}
				})
			}
			wg.Wait()
			cha.heal()
			whole := checkAnswers(t, sys, answers, tokens)
			t.Logf("%d of %d answers whole", whole, workers*requests)
			for _, mem := range sys.EntryVMs {
				completes(sys, mem, "healed")
			}
		})
	}
}

// prompt returns the prompt of a request.
func prompt(wor, num int) string { return fmt.Sprintf("prompt %d of %d", num, wor) }

// checkAnswers checks every answer and returns how many were whole.
func checkAnswers(t *testing.T, sys *nodets.System, answers [][]nodets.Response, tokens int) int {
	t.Helper()
	ran := make(map[string]int)
	for _, eng := range sys.Engines {
		for id, num := range eng.Count().ByRequest {
			ran[id] += num
		}
	}
	whole := 0
	for wor, lst := range answers {
		for num, ans := range lst {
			if ans.Complete {
				whole++
				assert.Equal(t, ans.Text, stand.Answer(prompt(wor, num), tokens))
			}
			if ans.NotRun {
				assert.Equal(t, ran[ans.RequestID], 0, "answered as not run, but ran: %+v", ans)
			}
			assert.Assert(t, ans.Complete || ans.Code != core.CodeOK || ans.Err != nil, "neither whole nor failed: %+v", ans)
		}
	}
	return whole
}
