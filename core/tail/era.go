package tail

import (
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// formerState is the state of an earlier era. It is served while the log of the
// current era is read. incomplete is set if that failed because neither the log nor
// a peer has a state to begin with.
type formerState struct {
	state      *fold.State
	era        core.Era
	incomplete bool
}

// State returns the state that is served, which later calls of Step change.
func (fol *Follower) State() *fold.State {
	if fol.former != nil {
		return fol.former.state
	}
	return fol.state
}

// servedEra returns the era of the state that is served.
func (fol *Follower) servedEra() core.Era {
	if fol.former != nil {
		return fol.former.era
	}
	return fol.era
}

// position returns the position up to which the current era was read.
func (fol *Follower) position() core.Position {
	return core.Position{Era: fol.era, Offset: fol.state.Offset()}
}

// latestEra returns the latest era that this node or a peer has read. What is read
// in an earlier one comes from an older copy of the log.
func (fol *Follower) latestEra() core.Era { return max(fol.era, fol.maxPeerPosition.Era) }

// isReady reports whether the served state may be used.
func (fol *Follower) isReady() bool {
	caughtUp := fol.ready && fol.gapEnd == 0
	if fol.former != nil {
		caughtUp = !fol.former.incomplete
	}
	return caughtUp && fol.state.Err() == nil && !fol.hashes.inMinority()
}

// recordPeerPosition records how far a peer has read.
func (fol *Follower) recordPeerPosition(pos core.Position) {
	if pos.Era == 0 {
		fol.maxPeerOffset = max(fol.maxPeerOffset, pos.Offset)
	}
	if fol.maxPeerPosition.Before(pos) {
		fol.maxPeerPosition = pos
	}
}

// behindPeers reports whether a peer has read further. The offset of a peer that
// states no era counts as one of the current era, since it may be.
func (fol *Follower) behindPeers() bool {
	return fol.position().Before(fol.maxPeerPosition) || fol.state.Offset() < fol.maxPeerOffset
}

// enterEra begins to read the log of a later era, which may lack entries that were
// applied: the log came back from an older copy. A state that is ready is served
// until the new one has caught up. Proposals of the earlier era are no longer
// appended, since their premises may not hold in the new one.
func (fol *Follower) enterEra(era core.Era) {
	earlier := fol.era
	fol.era = era
	if earlier == 0 {
		// Proposals that were made before an era was known belong to the first one.
		for _, batch := range fol.proposer.batches {
			batch.era = era
		}
	}
	if fol.state.Offset() == 0 && fol.former == nil && fol.gapEnd == 0 {
		return
	}
	if fol.former == nil && fol.isReady() {
		fol.former = &formerState{state: fol.state, era: earlier}
	}
	fol.state = fold.NewFor(fol.cfg.Versions)
	fol.ready = false
	fol.stateInstalled = false
	fol.gapEnd = 0
	fol.scan = nil
	fol.peerReads.needState = false
	fol.logReads.endsEarly = false
	fol.recent.reset()
	fol.hashes.init()
	fol.snapshots = snapshotWriter{encoding: fol.snapshots.encoding, encodingEra: fol.snapshots.encodingEra}
	if earlier != 0 {
		for _, prop := range slices.Clone(fol.proposer.queue) {
			fol.complete(prop, core.Errorf(core.CodeLogRefused, "the log came back from an older copy, the records were not appended: %s", prop.recordIDs()))
		}
	}
	fol.emit(Publish{})
}

// leaveFormerState serves the state of the current era from now on.
func (fol *Follower) leaveFormerState() {
	if fol.former == nil {
		return
	}
	fol.former = nil
	fol.ready = true
	fol.resolveFromState()
	fol.emit(Publish{})
}

// endEarlierBatches ends the proposals whose appends were made for an earlier era
// and whose records are not in the log. It must be called at the end of the log.
func (fol *Follower) endEarlierBatches() {
	for _, batch := range slices.Clone(fol.proposer.batches) {
		if batch.era == fol.era || fol.proposer.inFlight == batch {
			continue
		}
		if !batch.maybeAppended {
			fol.failBatch(batch)
			continue
		}
		for _, prop := range slices.Clone(batch.proposals) {
			fol.complete(prop, core.Errorf(core.CodeLogUnknown, "the log came back from an older copy, which lacks the records: query record ID %s", prop.recordIDs()))
		}
	}
}
