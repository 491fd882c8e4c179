package flight_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// The first server refuses, which is surely not run, and the second one's
// connection breaks, which leaves the outcome unknown.
func ExampleMachine_Step() {
	now := time.Now()
	mac := flight.New("n1/run7/9", flight.Limits{
		Attempts: 2, Repeat: flight.RepeatNotRun, Deadline: now.Add(10 * time.Second),
	})
	for _, evt := range []flight.Event{
		{Kind: flight.EventStart},
		{Kind: flight.EventChosen, Group: "g1"},
		{Kind: flight.EventNotRun, Attempt: "n1/run7/9.1", Code: core.CodeRefused},
		{Kind: flight.EventGranted},
		{Kind: flight.EventWaited},
		{Kind: flight.EventChosen, Group: "g2"},
		{Kind: flight.EventBroken, Attempt: "n1/run7/9.2", Code: core.CodeSilent},
	} {
		for _, act := range mac.Step(evt, now) {
			fmt.Println(evt.Kind, "->", act.Kind)
			if act.Kind == flight.ActionFinish {
				fmt.Println(uint16(act.Code), act.Code.NotRun(), mac.Dispatches())
			}
		}
	}
	// Output:
	// start -> choose
	// chosen -> dispatch
	// not_run -> retry
	// granted -> wait
	// waited -> choose
	// chosen -> dispatch
	// broken -> cancel
	// broken -> finish
	// 204 false 2
}

// The answer skips position 1.
func ExampleGuard() {
	grd := flight.NewGuard("n1/run7/9.1", 0)
	for _, chk := range []core.Chunk{
		{Attempt: "n1/run7/9.1", Head: true},
		{Attempt: "n1/run7/9.1", Pos: 0, Text: "brown"},
		{Attempt: "n1/run7/9.1", Pos: 2, Text: "lost"},
	} {
		fmt.Println(grd.Next(), uint16(core.CodeOf(grd.Check(chk))))
	}
	// Output:
	// 0 0
	// 0 0
	// 1 203
}
