package queue_test

import (
	"context"
	"testing"

	"kumquathinge/core"
	"kumquathinge/queue"
)

// BenchmarkEnterDone lets callers enter and leave at once, with slots for all.
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

// BenchmarkEnterDoneSerial is the same with one caller: the time that admission
// adds to a request.
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
