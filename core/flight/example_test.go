package flight_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// The first server refuses the request, so that attempt definitely did not
// run. The connection to the second breaks, which leaves the outcome unknown.
func ExampleMachine_Step() {
	now := time.Now()
	sm := flight.New("n1/run7/9", flight.Limits{
		MaxAttempts: 2, Retry: flight.RetryIfNotRun, Deadline: now.Add(10 * time.Second),
	})
	for _, evt := range []flight.Event{
		{Kind: flight.EventStart},
		{Kind: flight.EventChosen, Group: "g1"},
		{Kind: flight.EventNotRun, Attempt: "n1/run7/9.1", Code: core.CodeRefused},
		{Kind: flight.EventRetryGranted},
		{Kind: flight.EventBackoffOver},
		{Kind: flight.EventChosen, Group: "g2"},
		{Kind: flight.EventFailed, Attempt: "n1/run7/9.2", Code: core.CodeSilent},
	} {
		for _, act := range sm.Step(evt, now) {
			fmt.Println(evt.Kind, "->", act.Kind)
			if act.Kind == flight.ActionFinish {
				fmt.Println(uint16(act.Code), act.Code.NotRun(), sm.Dispatches())
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

// The response skips position 1.
func ExampleChunkValidator() {
	cv := flight.NewChunkValidator("n1/run7/9.1", 0)
	for _, chunk := range []core.Chunk{
		{Attempt: "n1/run7/9.1", Head: true},
		{Attempt: "n1/run7/9.1", Pos: 0, Text: "brown"},
		{Attempt: "n1/run7/9.1", Pos: 2, Text: "lost"},
	} {
		fmt.Println(cv.NextPos(), uint16(core.CodeOf(cv.Check(chunk))))
	}
	// Output:
	// 0 0
	// 0 0
	// 1 203
}
