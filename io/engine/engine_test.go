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

// load orders the engine into a group of its own and waits until it is ready.
func load(t *testing.T, eng core.Engine, num core.Offset) {
	t.Helper()
	ord := core.Order{FencingToken: num, Action: core.ActionLoad, Group: "g1", Members: []core.VMName{"e1"}}
	ord.Spec = core.Spec{Model: "m", Version: "1", Role: core.RoleBoth}
	_, err := eng.Order(t.Context(), ord)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		prb, err := eng.Probe(t.Context())
		if err != nil || prb.State != core.EngineReady {
			return poll.Continue("%v %v", prb.State, err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestConformance(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		engts.Test(t, func(t *testing.T) engts.Fixture {
			sta := stand.NewEngine(stand.EngineConfig{VM: "e1", Fencing: fencing, TokenTime: time.Millisecond})
			assert.NilError(t, sta.Start("127.0.0.1:0"))
			eng := engine.New(sta.Addr(), engine.Config{
				Wire:          wire.Config{IOTimeout: 100 * time.Millisecond},
				ProbeSilence:  50 * time.Millisecond,
				StreamSilence: 100 * time.Millisecond,
			})
			t.Cleanup(func() {
				eng.Close()
				_ = sta.Close()
			})
			num := core.Offset(5)
			load(t, eng, num)
			return engts.Fixture{
				Engine: eng,
				SetFault: func(flt engts.Fault) {
					sta.SetFault(faults[flt])
					if flt == engts.FaultNone && sta.Probe().State == core.EngineEmpty {
						num++
						load(t, eng, num)
					}
				},
				RunCount:       func(id core.AttemptID) int { return sta.Count().ByAttempt[string(id)] },
				ExpectedTokens: stand.Tokens,
				Fencing:        fencing,
			}
		})
	}
}

// FuzzDecodeChunk checks that a line is either one chunk that a guard accepts
// as it is stated, or an error that does not state "not run".
func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"attempt":"a","head":true,"incarnation":"i"}`))
	f.Add([]byte(`{"attempt":"a","pos":0,"text":"x"}`))
	f.Add([]byte(`{"attempt":"a","pos":0,"text":"x"}{"attempt":"a","pos":1}`))
	f.Add([]byte(`{"attempt":"a","end":true,"tokens":-1}`))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, line []byte) {
		chk, err := engine.DecodeChunk(line)
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeCutAnswer)
			return
		}
		grd := flight.NewChunkValidator("a", 0)
		if grd.Check(chk) == nil {
			assert.Assert(t, chk.Head && chk.Attempt == "a" && !chk.End)
		}
	})
}
