package once_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/once"
)

// The claim is accepted at offset 17. The request runs and its reply is
// recorded.
func ExampleMachine() {
	now := time.Now()
	sm := once.New(once.Config{
		IDPrefix: "n1/run7/c9", IssuedAt: now, Window: time.Hour, MaxClockSkew: time.Second, Deadline: now.Add(10 * time.Second),
	})
	for _, evt := range []once.Event{
		{Kind: once.EventStart},
		{Kind: once.EventNoClaim},
		{Kind: once.EventClaimAccepted, Offset: 17},
		{Kind: once.EventReply, Reply: core.Reply{Status: 200, Body: []byte("booked")}},
	} {
		for _, act := range sm.Step(evt, now) {
			fmt.Printf("%s -> %s %q %d\n", evt.Kind, act.Kind, act.RecordID, act.ClaimOffset)
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
