package once_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/once"
)

// The claim was accepted at offset 17. The request runs and its reply is
// recorded.
func ExampleMachine() {
	now := time.Now()
	mac := once.New(once.Config{
		Stem: "n1/run7/c9", Issued: now, Window: time.Hour, ClockError: time.Second, Deadline: now.Add(10 * time.Second),
	})
	for _, evt := range []once.Event{
		{Kind: once.EventStart},
		{Kind: once.EventAbsent},
		{Kind: once.EventAccepted, Offset: 17},
		{Kind: once.EventRan, Reply: core.Reply{Status: 200, Body: []byte("booked")}},
	} {
		for _, act := range mac.Step(evt, now) {
			fmt.Printf("%s -> %s %q %d\n", evt.Kind, act.Kind, act.Record, act.Claim)
		}
	}
	// Output:
	// start -> lookup "" 0
	// absent -> claim "n1/run7/c9.1" 0
	// accepted -> dispatch "" 17
	// ran -> answer "" 0
	// ran -> record "" 17
	// ran -> finish "" 0
}
