package queue_test

import (
	"context"
	"testing"

	"kumquathinge/core"
	"kumquathinge/queue"
)

// BenchmarkEnterDone measures Enter and Done with concurrent callers and free
// capacity.
func BenchmarkEnterDone(b *testing.B) {
	que := queue.New(queue.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- que.Run(ctx) }()
	que.SetCapacity("m", 1<<20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		job := core.Job{Org: "a", Model: "m", MaxTokens: 32}
		for pb.Next() {
			tkt, err := que.Enter(ctx, job)
			if err != nil {
				b.Error(err)
				return
			}
			tkt.Done(32)
		}
	})
	cancel()
	<-done
}

// BenchmarkEnterDoneSerial measures the latency that admission adds to a single
// request.
func BenchmarkEnterDoneSerial(b *testing.B) {
	que := queue.New(queue.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- que.Run(ctx) }()
	que.SetCapacity("m", 1<<20)
	for b.Loop() {
		tkt, err := que.Enter(ctx, core.Job{Org: "a", Model: "m", MaxTokens: 32})
		if err != nil {
			b.Fatal(err)
		}
		tkt.Done(32)
	}
	cancel()
	<-done
}
