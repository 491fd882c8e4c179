package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// startAppend appends the first available of: a batch that is due for a retry,
// a new batch, the next chunk of a snapshot.
func (fol *Follower) startAppend() {
	pr := &fol.proposer
	if pr.inFlight != nil || fol.state.Err() != nil || fol.now.Before(pr.nextAppendAt) {
		return
	}
	batch := pr.dueRetry(fol.now, fol.era)
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
	fol.emit(Append{Era: batch.era, BatchID: batch.id, Data: batch.data})
}

// appendInterval returns the minimum time between two appends of this node.
// The cluster's append rate is divided evenly, since any node may have as much
// to append as any other.
func (fol *Follower) appendInterval() time.Duration {
	timings := fol.cfg.Timings
	if timings.MaxAppendRate <= 0 {
		return timings.AppendInterval
	}
	share := float64(len(fol.lastTick.LiveNodes)) / timings.MaxAppendRate
	return max(timings.AppendInterval, time.Duration(share*float64(time.Second)))
}

// dueRetry returns a batch that is due to be appended again.
func (pr *proposer) dueRetry(now time.Time, era core.Era) *appendBatch {
	for _, batch := range pr.batches {
		if !batch.retryAt.After(now) && batch.era == era {
			return batch
		}
	}
	return nil
}

// newBatch returns a batch of the queued proposals, oldest first.
func (fol *Follower) newBatch() *appendBatch {
	pr := &fol.proposer
	if len(pr.queue) == 0 {
		return nil
	}
	batch := &appendBatch{id: pr.newID("b"), era: fol.era, retryAt: fol.now}
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
		if prop.decisions[idx].Record == "" {
			out = append(out, rec)
		}
	}
	return out
}

// handleAppended handles the result of an append. The batch's proposals fail
// only if every append of it was certainly refused.
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

// retryDelay returns the time to wait for the read-back of the batch before it
// is appended again.
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
