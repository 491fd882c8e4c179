package store_test

import (
	"context"
	"fmt"
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
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	for _, num := range []int{4, 16, 64} {
		ben.Run(fmt.Sprintf("nodes=%d", num), func(ben *testing.B) {
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
			var base core.Offset
			for ben.Loop() {
				vers, err := strs[0].Propose(ctx, recd.Record{By: "ana", Setting: &recd.Setting{
					Path: "/", Key: "queue.depth", Value: []byte("7"), Base: base,
				}})
				if err != nil || !vers[0].Accepted() {
					ben.Fatal(vers, err)
				}
				base = vers[0].Offset
				for _, str := range strs {
					for {
						chn := str.Changed()
						if str.View().Offset() >= base {
							break
						}
						<-chn
					}
				}
			}
			cancel()
			for range num {
				<-ended
			}
		})
	}
}
