package tail

import (
	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// maxPartialSnapshots limits the number of snapshots collected at the same
// time.
const maxPartialSnapshots = 8

// snapshotScanner searches the entries of the log for a complete snapshot.
type snapshotScanner struct {
	nextOffset core.Offset
	partials   []*partialSnapshot
}

// partialSnapshot collects the chunks of one snapshot.
type partialSnapshot struct {
	offset   core.Offset
	hash     uint64
	parts    [][]byte
	received int
}

// scanDue reports whether the log is to be searched for a snapshot, which is
// when no peer is left to query. It starts the search if none is in progress.
func (fol *Follower) scanDue() bool {
	if fol.peerReads.inFlight || (fol.peerReads.needState && fol.lastTick.PeerCount > 0) {
		return false
	}
	if fol.scan == nil {
		fol.scan = &snapshotScanner{nextOffset: fol.gapEnd}
	}
	return true
}

// handleScanPage handles a page of the search.
func (fol *Follower) handleScanPage(page core.Page) {
	if fol.scan == nil {
		return
	}
	for _, ent := range page.Entries {
		if ent.Offset != fol.scan.nextOffset {
			break
		}
		fol.scan.nextOffset++
		if data, ok := fol.scan.addEntry(ent); ok && fol.installSnapshot(data) {
			fol.logReads.nextAt, fol.logReads.nextUrgentAt = fol.now, fol.now
			return
		}
	}
	fol.logReads.nextAt, fol.logReads.nextUrgentAt = fol.now, fol.now
	if fol.scan.nextOffset >= page.Next {
		fol.restartScan()
	}
}

// restartScan discards the search, queries the peers again and delays the next
// read of the log by MaxRetryDelay.
func (fol *Follower) restartScan() {
	fol.scan = nil
	if fol.former != nil {
		fol.former.incomplete = true
	}
	fol.queryPeerStates()
	fol.logReads.nextAt = fol.now.Add(fol.cfg.Timings.MaxRetryDelay)
}

// installSnapshot installs the snapshot if the log contains the entries that
// follow it.
func (fol *Follower) installSnapshot(data []byte) bool {
	state, err := fold.DecodeFor(fol.cfg.Versions, data)
	if err != nil || state.Offset()+1 < fol.logReads.firstOffset {
		return false
	}
	return fol.installState(state)
}

// addEntry adds the chunks of an entry and returns the encoded state if they
// complete a snapshot.
func (sc *snapshotScanner) addEntry(ent core.Entry) ([]byte, bool) {
	batch, err := recd.Decode(ent.Data)
	if err != nil {
		return nil, false
	}
	for _, rec := range batch.Records {
		if rec.Snapshot == nil || rec.Snapshot.Parts < 1 || rec.Snapshot.Parts > fold.MaxSnapshotParts {
			continue
		}
		if data, ok := sc.addChunk(rec.Snapshot); ok {
			return data, true
		}
	}
	return nil, false
}

func (sc *snapshotScanner) addChunk(chunk *recd.SnapshotChunk) ([]byte, bool) {
	partial := sc.partialFor(chunk)
	if chunk.Part < 0 || chunk.Part >= len(partial.parts) || partial.parts[chunk.Part] != nil {
		return nil, false
	}
	partial.parts[chunk.Part] = chunk.Data
	partial.received++
	if partial.received < len(partial.parts) {
		return nil, false
	}
	return partial.assemble()
}

func (sc *snapshotScanner) partialFor(chunk *recd.SnapshotChunk) *partialSnapshot {
	for _, partial := range sc.partials {
		if partial.offset == chunk.Offset && partial.hash == chunk.Hash && len(partial.parts) == chunk.Parts {
			return partial
		}
	}
	if len(sc.partials) == maxPartialSnapshots {
		sc.partials = sc.partials[1:]
	}
	partial := &partialSnapshot{offset: chunk.Offset, hash: chunk.Hash, parts: make([][]byte, chunk.Parts)}
	sc.partials = append(sc.partials, partial)
	return partial
}

// assemble returns the joined chunks and whether their hash is the stated one.
func (partial *partialSnapshot) assemble() ([]byte, bool) {
	var out []byte
	for _, part := range partial.parts {
		out = append(out, part...)
	}
	return out, xxhash.Sum64(out) == partial.hash
}
