package plain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/plnts"
	"kumquathinge/io/plain"
	"kumquathinge/io/wire"
	"kumquathinge/stand"
)

var faults = map[plnts.Fault]stand.PlainFault{
	plnts.FaultNone:      {},
	plnts.FaultDown:      {Fault: stand.Fault{Down: true}},
	plnts.FaultRefuse:    {Fault: stand.Fault{Refuse: true}},
	plnts.FaultFreeze:    {Fault: stand.Fault{Freeze: true}},
	plnts.FaultSilentOld: {Fault: stand.Fault{SilentOld: true}},
	plnts.FaultCrossed:   {WrongAttempt: true},
	plnts.FaultShort:     {ShortBody: true},
	plnts.FaultLost:      {Fault: stand.Fault{LoseAnswers: 1}},
}

func TestConformance(t *testing.T) {
	plnts.Test(t, func(t *testing.T) plnts.Fixture {
		sta := stand.NewPlain("svc-1")
		assert.NilError(t, sta.Start("127.0.0.1:0"))
		svc := plain.New(sta.Addr(), plain.Config{Wire: wire.Config{Silence: 100 * time.Millisecond}})
		t.Cleanup(func() {
			svc.Close()
			_ = sta.Close()
		})
		return plnts.Fixture{
			Plain: svc,
			Set:   func(flt plnts.Fault) { sta.SetFault(faults[flt]) },
			Ran:   func(id core.AttemptID) int { return sta.Count().ByAttempt[string(id)] },
		}
	})
}
