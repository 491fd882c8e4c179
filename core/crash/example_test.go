package crash_test

import (
	"fmt"
	"time"

	"kumquathinge/core/crash"
)

// One request runs on two groups in turn, and each is lost while it runs there.
// Another request runs beside it on the first group only.
func ExampleTracker() {
	const bad, other = 0xbad, 0x600d
	tr := crash.New(crash.Config{QuarantineTime: 10 * time.Minute})
	now := time.Now()
	tr.Started(bad, "g1")
	tr.Started(other, "g1")
	tr.GroupsLost(now, "g1")
	fmt.Println(tr.Decide(bad, now).Disposition == crash.Isolated, tr.Decide(other, now).Disposition == crash.Isolated)

	tr.Started(bad, "g2")
	tr.Started(other, "g3")
	tr.Completed(other, "g3", now)
	tr.GroupsLost(now, "g2")
	fmt.Println(tr.Decide(bad, now).Disposition == crash.Quarantined, tr.Decide(other, now).Disposition == crash.Allowed)
	// Output:
	// true true
	// true true
}
