package engine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/core/engts"
	"kumquathinge/core/flight"
	"kumquathinge/io/engine"
	"kumquathinge/io/wire"
	"kumquathinge/stand"
)

var faults = map[engts.Fault]stand.EngineFault{
	engts.FaultNone:           {},
	engts.FaultDown:           {Die: true},
	engts.FaultRefuse:         {Fault: stand.Fault{Refuse: true}},
	engts.FaultStall:          {Fault: stand.Fault{Freeze: true}},
	engts.FaultStallOpenConns: {Fault: stand.Fault{SilentOld: true}},
	engts.FaultWrongAttempt:   {WrongAttempt: true},
	engts.FaultDisconnect:     {CutAfter: 2},
	engts.FaultMissingEnd:     {NoEnd: true},
	engts.FaultMissingToken:   {GapAt: 3},
	engts.FaultCrash:          {CrashOn: "dog"},
}

// loadAndAwaitReady loads a model into a group with this single engine and waits
// until the engine is ready.
func loadAndAwaitReady(t *testing.T, eng core.Engine, token core.Offset) {
	t.Helper()
	order := core.Order{FencingToken: token, Action: core.ActionLoad, Group: "g1", Members: []core.VMName{"e1"}}
	order.Spec = core.Spec{Model: "m", Version: "1", Role: core.RoleBoth}
	_, err := eng.Order(t.Context(), order)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		probe, err := eng.Probe(t.Context())
		if err != nil || probe.State != core.EngineReady {
			return poll.Continue("%v %v", probe.State, err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestConformance(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		engts.Test(t, func(t *testing.T) engts.Fixture {
			fake := stand.NewEngine(stand.EngineConfig{VM: "e1", Fencing: fencing, TokenTime: time.Millisecond})
			assert.NilError(t, fake.Start("127.0.0.1:0"))
			eng := engine.New(fake.Addr(), engine.Config{
				Wire:            wire.Config{IOTimeout: 100 * time.Millisecond},
				ProbeIOTimeout:  50 * time.Millisecond,
				StreamIOTimeout: 100 * time.Millisecond,
			})
			t.Cleanup(func() {
				eng.Close()
				_ = fake.Close()
			})
			token := core.Offset(5)
			loadAndAwaitReady(t, eng, token)
			return engts.Fixture{
				Engine: eng,
				SetFault: func(fault engts.Fault) {
					fake.SetFault(faults[fault])
					if fault == engts.FaultNone && fake.Probe().State == core.EngineEmpty {
						token++
						loadAndAwaitReady(t, eng, token)
					}
				},
				RunCount:       func(id core.AttemptID) int { return fake.Count().ByAttempt[string(id)] },
				ExpectedTokens: stand.Tokens,
				Fencing:        fencing,
			}
		})
	}
}

// FuzzDecodeChunk checks that a line is decoded as one chunk or rejected with
// core.CodeCutAnswer, which does not state that the request did not run. The
// validator must accept nothing but a head as the first chunk.
func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"attempt":"a","head":true,"incarnation":"i"}`))
	f.Add([]byte(`{"attempt":"a","pos":0,"text":"x"}`))
	f.Add([]byte(`{"attempt":"a","pos":0,"text":"x"}{"attempt":"a","pos":1}`))
	f.Add([]byte(`{"attempt":"a","end":true,"tokens":-1}`))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, line []byte) {
		chunk, err := engine.DecodeChunk(line)
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeCutAnswer)
			return
		}
		validator := flight.NewChunkValidator("a", 0)
		if validator.Check(chunk) == nil {
			assert.Assert(t, chunk.Head && chunk.Attempt == "a" && !chunk.End)
		}
	})
}
