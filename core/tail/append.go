package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// nextAppend sends a batch again whose time has come, or else the next new
// batch, or else the next chunk of a snapshot.
func (fol *Follower) nextAppend() {
	prs := &fol.props
	if prs.busy != nil || fol.sta.Err() != nil || fol.now.Before(prs.nextAt) {
		return
	}
	bat := prs.due(fol.now)
	if bat == nil {
		bat = fol.newBatch()
	}
	if bat == nil {
		bat = fol.snaps.due(fol.now)
	}
	if bat == nil {
		return
	}
	prs.busy = bat
	prs.nextAt = fol.now.Add(fol.appendEvery())
	bat.tries++
	fol.do(Append{Batch: bat.id, Data: bat.data})
}

// appendEvery returns the least time between two appends of this node: its
// even share of the budget, since any node may have as much to append as any
// other.
func (fol *Follower) appendEvery() time.Duration {
	tim := fol.cfg.Timings
	if tim.AppendBudget <= 0 {
		return tim.AppendEvery
	}
	share := float64(len(fol.tick.Nodes)) / tim.AppendBudget
	return max(tim.AppendEvery, time.Duration(share*float64(time.Second)))
}

// due returns a batch that is to be appended again.
func (prs *proposer) due(now time.Time) *batch {
	for _, bat := range prs.batches {
		if !bat.at.After(now) {
			return bat
		}
	}
	return nil
}

// newBatch makes a batch of the proposals that wait, the oldest first.
func (fol *Follower) newBatch() *batch {
	prs := &fol.props
	if len(prs.queue) == 0 {
		return nil
	}
	bat := &batch{id: prs.newID("b"), at: fol.now}
	var recs []recd.Record
	size := 0
	for len(prs.queue) > 0 {
		prp := prs.queue[0]
		if len(recs) > 0 && (len(recs)+prp.open > maxBatchRecords || size+prp.size > maxBatchBytes) {
			break
		}
		prs.queue = prs.queue[1:]
		prp.batch = bat
		bat.props = append(bat.props, prp)
		recs = append(recs, prp.unsettled()...)
		size += prp.size
	}
	bat.data = recd.Encode(recd.Batch{Version: recd.Version, Records: recs})
	prs.batches = append(prs.batches, bat)
	return bat
}

func (prp *proposal) unsettled() []recd.Record {
	out := make([]recd.Record, 0, prp.open)
	for idx, rec := range prp.records {
		if prp.vers[idx].Record == "" {
			out = append(out, rec)
		}
	}
	return out
}

// appended takes the answer to an append. Only if every append of the batch
// was surely refused are its proposals refused.
func (fol *Follower) appended(evt Appended) {
	prs := &fol.props
	bat := prs.busy
	if bat == nil || bat.id != evt.Batch {
		return
	}
	prs.busy = nil
	if fol.snaps.owns(bat) {
		fol.snaps.answered(bat, evt, fol.now, fol.cfg.Timings)
		return
	}
	switch {
	case evt.Err == nil:
		bat.done = true
		bat.sent = true
	case core.CodeOf(evt.Err) != core.CodeLogRefused:
		bat.sent = true
	case !bat.sent:
		fol.refuse(bat)
		return
	}
	bat.at = fol.now.Add(fol.retryAfter(bat))
}

// retryAfter returns how long the read-back may take before the batch is
// appended again.
func (fol *Follower) retryAfter(bat *batch) time.Duration {
	if bat.done {
		return fol.cfg.Timings.RetryMax
	}
	return backoff(fol.cfg.Timings, bat.tries)
}

func (fol *Follower) refuse(bat *batch) {
	for len(bat.props) > 0 {
		prp := bat.props[0]
		fol.finish(prp, core.Errorf(core.CodeLogRefused, "the log refused the records: %s", prp.ids()))
	}
}
