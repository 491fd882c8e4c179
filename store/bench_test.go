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

// BenchmarkInForce is the time from a proposal until every entry VM has the
// accepted setting in its view, over an idle log in memory.
func BenchmarkInForce(ben *testing.B) {
	for _, num := range []int{4, 64, 340} {
		ben.Run(fmt.Sprintf("nodes=%d", num), func(ben *testing.B) {
			strs, stop := startMany(num)
			defer stop()
			var base core.Offset
			for ben.Loop() {
				base = changeAll(ben, strs, base)
			}
		})
	}
}

// BenchmarkControl is the processor time of 340 stores in one process over a
// second in which 1 and 10 changes come, per store.
func BenchmarkControl(ben *testing.B) {
	for _, num := range []int{1, 10} {
		ben.Run(fmt.Sprintf("changes=%d", num), func(ben *testing.B) {
			const nodes = 340
			strs, stop := startMany(nodes)
			defer stop()
			base := changeAll(ben, strs, 0)
			begin, spent := time.Now(), cpuTime()
			for ben.Loop() {
				end := time.After(time.Second)
				for range num {
					base = changeAll(ben, strs, base)
				}
				<-end
			}
			share := float64(cpuTime()-spent) / float64(time.Since(begin)) / nodes
			ben.ReportMetric(100*share, "%core/store")
		})
	}
}

func cpuTime() time.Duration {
	var use syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	if err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// startMany runs stores of one idle log.
func startMany(num int) ([]*store.Store, func()) {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	ctx, cancel := context.WithCancel(context.Background())
	lgs := logfk.New(time.Now)
	var strs []*store.Store
	ended := make(chan error, num)
	for idx := range num {
		str := store.New(store.Config{
			Node: core.NodeName(fmt.Sprint("n", idx)), Log: lgs.Client(), Logger: log,
			Peers: func() []core.Peer { return nil },
		})
		strs = append(strs, str)
		go func() { ended <- str.Run(ctx) }()
	}
	return strs, func() {
		cancel()
		for range num {
			<-ended
		}
	}
}

// changeAll changes a setting and waits until every store has it.
func changeAll(ben *testing.B, strs []*store.Store, base core.Offset) core.Offset {
	vers, err := strs[0].Propose(ben.Context(), recd.Record{By: "ana", Setting: &recd.Setting{
		Path: "/", Key: "queue.depth", Value: []byte("7"), Base: base,
	}})
	if err != nil || !vers[0].Accepted() {
		ben.Fatal(vers, err)
	}
	for _, str := range strs {
		for {
			chn := str.Changed()
			if str.View().Offset() >= vers[0].Offset {
				break
			}
			<-chn
		}
	}
	return vers[0].Offset
}
