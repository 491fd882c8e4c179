package store_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/store"
	"kumquathinge/store/logfk"
)

// BenchmarkSettingPropagation measures the time from a proposal until every entry
// VM has the accepted setting in its view, with an idle in-memory log.
func BenchmarkSettingPropagation(b *testing.B) {
	for _, num := range []int{4, 64, 340} {
		b.Run(fmt.Sprintf("nodes=%d", num), func(b *testing.B) {
			stores, stop := startStores(num)
			defer stop()
			var base core.Offset
			for b.Loop() {
				base = changeSetting(b, stores, base)
			}
		})
	}
}

// BenchmarkControl measures the processor time per store of 340 stores in one
// process at 1 and 10 changes per second.
func BenchmarkControl(b *testing.B) {
	for _, num := range []int{1, 10} {
		b.Run(fmt.Sprintf("changes=%d", num), func(b *testing.B) {
			const nodes = 340
			stores, stop := startStores(nodes)
			defer stop()
			base := changeSetting(b, stores, 0)
			startedAt, cpuBefore := time.Now(), cpuTime()
			for b.Loop() {
				secondOver := time.After(time.Second)
				for range num {
					base = changeSetting(b, stores, base)
				}
				<-secondOver
			}
			share := float64(cpuTime()-cpuBefore) / float64(time.Since(startedAt)) / nodes
			b.ReportMetric(100*share, "%core/store")
		})
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startStores runs num stores against one idle log.
func startStores(num int) ([]*store.Store, func()) {
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	ctx, cancel := context.WithCancel(context.Background())
	log := logfk.New(time.Now)
	var stores []*store.Store
	ended := make(chan error, num)
	for idx := range num {
		st := store.New(store.Config{
			Node: core.NodeName(fmt.Sprint("n", idx)), Log: log.Client(), Logger: logger,
			Peers: func() []core.Peer { return nil },
		})
		stores = append(stores, st)
		go func() { ended <- st.Run(ctx) }()
	}
	return stores, func() {
		cancel()
		for range num {
			<-ended
		}
	}
}

// changeSetting changes a setting, waits until every store has applied it, and
// returns the offset of the change.
func changeSetting(b *testing.B, stores []*store.Store, base core.Offset) core.Offset {
	decisions, err := stores[0].Propose(b.Context(), recd.Record{By: "ana", Setting: &recd.Setting{
		Path: "/", Key: "queue.depth", Value: []byte("7"), Base: base,
	}})
	if err != nil || !decisions[0].Accepted() {
		b.Fatal(decisions, err)
	}
	for _, st := range stores {
		for {
			ch := st.Changed()
			if st.View().Offset() >= decisions[0].Offset {
				break
			}
			<-ch
		}
	}
	return decisions[0].Offset
}
