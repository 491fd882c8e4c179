package crash_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
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

// Two servers end while they begin to answer requests that share a part. The
// requests that share only the other part are not affected.
func ExamplePartTracker() {
	tr := crash.NewPartTracker("entry-1", crash.PartsConfig{})
	now := time.Now()
	tr.Proved(crash.Subject{Shared: []core.PromptPart{"system"}}, now)
	bad := crash.Subject{Shared: []core.PromptPart{"system", "template"}}
	for _, id := range []string{"s1", "s2"} {
		now = now.Add(time.Second)
		tr.Interrupted(crash.ServerRun{ID: id}, bad, crash.StageBegun, now)
	}
	decision := tr.Decide(bad, now)
	fmt.Println(decision.Disposition == crash.Quarantined, decision.Part, decision.Servers)
	fmt.Println(tr.Decide(crash.Subject{Shared: []core.PromptPart{"system", "other"}}, now).Disposition == crash.Allowed)
	// Output:
	// true template [s1 s2]
	// true
}
