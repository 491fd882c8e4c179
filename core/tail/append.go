package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// startAppend sends a batch again whose time has come, or else the next new
// batch, or else the next chunk of a snapshot.
func (fol *Follower) startAppend() {
	pr := &fol.proposer
	if pr.inFlight != nil || fol.state.Err() != nil || fol.now.Before(pr.nextAppendAt) {
		return
	}
	batch := pr.dueRetry(fol.now)
	if batch == nil {
		batch = fol.newBatch()
	}
	if batch == nil {
		batch = fol.snapshots.dueChunk(fol.now)
	}
	if batch == nil {
		return
	}
	pr.inFlight = batch
	pr.nextAppendAt = fol.now.Add(fol.appendInterval())
	batch.attempts++
	fol.emit(Append{BatchID: batch.id, Data: batch.data})
}

// appendInterval returns the least time between two appends of this node: its
// even share of the budget, since any node may have as much to append as any
// other.
func (fol *Follower) appendInterval() time.Duration {
	timings := fol.cfg.Timings
	if timings.MaxAppendRate <= 0 {
		return timings.AppendInterval
	}
	share := float64(len(fol.lastTick.LiveNodes)) / timings.MaxAppendRate
	return max(timings.AppendInterval, time.Duration(share*float64(time.Second)))
}

// dueRetry returns a batch that is to be appended again.
func (pr *proposer) dueRetry(now time.Time) *appendBatch {
	for _, batch := range pr.batches {
		if !batch.retryAt.After(now) {
			return batch
		}
	}
	return nil
}

// newBatch makes a batch of the proposals that wait, the oldest first.
func (fol *Follower) newBatch() *appendBatch {
	pr := &fol.proposer
	if len(pr.queue) == 0 {
		return nil
	}
	batch := &appendBatch{id: pr.newID("b"), retryAt: fol.now}
	var recs []recd.Record
	size := 0
	for len(pr.queue) > 0 {
		prop := pr.queue[0]
		if len(recs) > 0 && (len(recs)+prop.undecided > maxBatchRecords || size+prop.size > maxBatchBytes) {
			break
		}
		pr.queue = pr.queue[1:]
		prop.batch = batch
		batch.proposals = append(batch.proposals, prop)
		recs = append(recs, prop.undecidedRecords()...)
		size += prop.size
	}
	batch.data = recd.Encode(recd.Batch{Version: recd.Version, Records: recs})
	pr.batches = append(pr.batches, batch)
	return batch
}

func (prop *proposal) undecidedRecords() []recd.Record {
	out := make([]recd.Record, 0, prop.undecided)
	for idx, rec := range prop.records {
		if prop.verdicts[idx].Record == "" {
			out = append(out, rec)
		}
	}
	return out
}

// handleAppended takes the answer to an append. Only if every append of the batch
// was surely refused are its proposals refused.
func (fol *Follower) handleAppended(event Appended) {
	pr := &fol.proposer
	batch := pr.inFlight
	if batch == nil || batch.id != event.BatchID {
		return
	}
	pr.inFlight = nil
	if fol.snapshots.isAppending(batch) {
		fol.snapshots.handleAppended(batch, event, fol.now, fol.cfg.Timings)
		return
	}
	switch {
	case event.Err == nil:
		batch.appended = true
		batch.maybeAppended = true
	case core.CodeOf(event.Err) != core.CodeLogRefused:
		batch.maybeAppended = true
	case !batch.maybeAppended:
		fol.failBatch(batch)
		return
	}
	batch.retryAt = fol.now.Add(fol.retryDelay(batch))
}

// retryDelay returns how long the read-back may take before the batch is
// appended again.
func (fol *Follower) retryDelay(batch *appendBatch) time.Duration {
	if batch.appended {
		return fol.cfg.Timings.MaxRetryDelay
	}
	return backoff(fol.cfg.Timings, batch.attempts)
}

func (fol *Follower) failBatch(batch *appendBatch) {
	for len(batch.proposals) > 0 {
		prop := batch.proposals[0]
		fol.complete(prop, core.Errorf(core.CodeLogRefused, "the log refused the records: %s", prop.recordIDs()))
	}
}
