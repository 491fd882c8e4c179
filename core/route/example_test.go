package route_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/route"
)

func ExampleRouter() {
	rtr := route.New(route.Config{})
	cands := []core.Candidate{
		{Group: "alerts-1", FencingToken: 7, Capacity: 8},
		{Group: "alerts-2", FencingToken: 9, Capacity: 8},
	}
	now := time.Unix(100, 0)
	blocks := route.Blocks("You write alerts for lost pets. Case 17: a brown dog.", 16)
	first := rtr.Choose(cands, blocks, now, 1)
	rtr.Served(cands[first].Group, 300*time.Millisecond, now)

	blocks = route.Blocks("You write alerts for lost pets. Case 18: a black cat.", 16)
	fmt.Println("same group:", rtr.Choose(cands, blocks, now, 2) == first)

	cands[first].Load = core.Load{Running: 8, Queued: 5}
	cands[first].LoadAt = now.Add(time.Second)
	fmt.Println("same group under load:", rtr.Choose(cands, blocks, now.Add(time.Second), 3) == first)
	// Output:
	// same group: true
	// same group under load: false
}
