package tail_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/core/tail"
)

// The log is a slice here. The program performs each action and passes the
// result back as an event.
func ExampleFollower() {
	fol := tail.NewFollower(tail.Config{Node: "n1", Incarnation: "run7", Timings: tail.DefaultTimings(), Versions: fold.Supported})
	now := time.Now()
	tick := tail.Tick{LiveNodes: []core.NodeName{"n1"}}
	rec := recd.Record{ID: "n1/run7/1", By: "ana", Setting: &recd.Setting{Path: "/", Key: "group.size", Value: []byte("4")}}
	var log []core.Entry
	events := []tail.Event{tick, tail.Proposed{ProposalID: 1, Records: []recd.Record{rec}}}
	for len(events) > 0 {
		actions := fol.Step(events[0], now)
		events = events[1:]
		for _, act := range actions {
			switch act := act.(type) {
			case tail.ReadLog:
				page := core.Page{First: 1, Next: core.Offset(len(log) + 1), Entries: log[act.From-1:]}
				events = append(events, tail.LogRead{SentAt: now, Page: page})
			case tail.Append:
				off := core.Offset(len(log) + 1)
				log = append(log, core.Entry{Offset: off, ID: act.BatchID, At: now, Data: act.Data})
				events = append(events, tail.Appended{BatchID: act.BatchID, Offset: off})
			case tail.ProposalResult:
				fmt.Println(act.ProposalID, act.Decisions[0].Accepted(), act.Decisions[0].Offset, act.Err)
				return
			}
		}
		now = now.Add(100 * time.Millisecond)
		events = append(events, tick)
	}
	// Output:
	// 1 true 1 <nil>
}
