package crash_test

import (
	"fmt"
	"time"

	"kumquathinge/core/crash"
)

// One request is on two groups in turn when they are lost. Another one ran
// beside it once.
func ExampleBook() {
	const bad, other = 0xbad, 0x600d
	boo := crash.New(crash.Config{Quarantine: 10 * time.Minute})
	now := time.Now()
	boo.Running(bad, "g1")
	boo.Running(other, "g1")
	boo.Lost(now, "g1")
	fmt.Println(boo.Decide(bad, now).Verdict == crash.Alone, boo.Decide(other, now).Verdict == crash.Alone)

	boo.Running(bad, "g2")
	boo.Running(other, "g3")
	boo.Completed(other, "g3", now)
	boo.Lost(now, "g2")
	fmt.Println(boo.Decide(bad, now).Verdict == crash.Quarantined, boo.Decide(other, now).Verdict == crash.Free)
	// Output:
	// true true
	// true true
}
