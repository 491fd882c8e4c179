package queue_test

import (
	"context"
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/queue"
)

func ExampleQueue() {
	que := queue.New(queue.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- que.Run(ctx) }()
	que.SetCapacity("alerts", 8)
	que.SetOrg("andes", admit.OrgLimits{RequestsPerSecond: 0.1})

	job := core.Job{Org: "andes", Model: "alerts", MaxTokens: 64}
	tkt, err := que.Enter(ctx, job)
	fmt.Println(err)
	tkt.Done(40)
	_, err = que.Enter(ctx, job)
	fmt.Println(core.CodeOf(err), core.RetryAfterOf(err) > time.Second)

	cancel()
	fmt.Println(<-done)
	// Output:
	// <nil>
	// 106 true
	// <nil>
}
