package tail_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/core/tail"
)

// The log is a slice here. The program carries out each action and hands its
// answer back as an event.
func ExampleFollower() {
	fol := tail.NewFollower(tail.Config{Node: "n1", Run: "run7", Timings: tail.DefaultTimings(), Program: fold.Supported})
	now := time.Now()
	tick := tail.Tick{Nodes: []core.NodeName{"n1"}}
	rec := recd.Record{ID: "n1/run7/1", By: "ana", Setting: &recd.Setting{Path: "/", Key: "group.size", Value: []byte("4")}}
	var log []core.Entry
	evts := []tail.Event{tick, tail.Proposed{Ticket: 1, Records: []recd.Record{rec}}}
	for len(evts) > 0 {
		acts := fol.Step(evts[0], now)
		evts = evts[1:]
		for _, act := range acts {
			switch act := act.(type) {
			case tail.ReadLog:
				pag := core.Page{First: 1, Next: core.Offset(len(log) + 1), Entries: log[act.From-1:]}
				evts = append(evts, tail.LogRead{Sent: now, Page: pag})
			case tail.Append:
				off := core.Offset(len(log) + 1)
				log = append(log, core.Entry{Offset: off, ID: act.Batch, At: now, Data: act.Data})
				evts = append(evts, tail.Appended{Batch: act.Batch, Offset: off})
			case tail.Answer:
				fmt.Println(act.Ticket, act.Verdicts[0].Accepted(), act.Verdicts[0].Offset, act.Err)
				return
			}
		}
		now = now.Add(100 * time.Millisecond)
		evts = append(evts, tick)
	}
	// Output:
	// 1 true 1 <nil>
}
