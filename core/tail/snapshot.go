package tail

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// snapshotWriter writes a snapshot when one is due and it is this node's turn.
type snapshotWriter struct {
	dueSince      time.Time
	earliestStart time.Time
	encoding      bool
	encodingEra   core.Era
	lastOffset    core.Offset
	chunkBytes    int
	entryBytes    int
	lastSize      int
	chunks        []*appendBatch
	offset        core.Offset
}

// snapshotDue reports whether the log needs a newer snapshot: if the last one
// is in the older half of the log, or after SnapshotInterval entries with at
// least as many bytes as the last snapshot, so that snapshots at most double
// the bytes that every reader reads.
func (fol *Follower) snapshotDue() bool {
	timings := fol.cfg.Timings
	off, last := fol.state.Offset(), fol.state.SnapshotOffset()
	if off < last+timings.MinSnapshotInterval || !fol.logReads.reachable || !fol.ready || fol.gapEnd != 0 || off+1 < fol.logReads.nextOffset {
		return false
	}
	if off >= last+timings.SnapshotInterval && fol.snapshots.entryBytes >= fol.snapshots.lastSize {
		return true
	}
	return fol.logReads.firstOffset > 1 && last < fol.logReads.firstOffset+(off-fol.logReads.firstOffset)/2
}

func (fol *Follower) startSnapshot() {
	sw := &fol.snapshots
	if len(sw.chunks) > 0 {
		sw.dropIfObsolete(fol.state.SnapshotOffset())
		return
	}
	if sw.encoding {
		return
	}
	if !fol.snapshotDue() {
		sw.dueSince = time.Time{}
		return
	}
	if sw.dueSince.IsZero() {
		sw.dueSince = fol.now
	}
	if fol.now.Before(sw.earliestStart) {
		return
	}
	wait := time.Duration(fol.snapshotRank()) * fol.cfg.Timings.SnapshotRankDelay
	if fol.now.Sub(sw.dueSince) < wait {
		return
	}
	sw.dueSince = time.Time{}
	sw.encoding = true
	sw.encodingEra = fol.era
	fol.emit(Encode{Snapshot: fol.state.Snapshot()})
}

// handleEncoded splits the encoded snapshot into chunks to append.
func (fol *Follower) handleEncoded(event Encoded) {
	fol.snapshots.encoding = false
	if fol.snapshots.encodingEra != fol.era {
		return
	}
	fol.snapshots.offset = event.Offset
	for _, chunk := range Chunks(event.Offset, event.Data, fol.cfg.Timings.ChunkBytes) {
		fol.snapshots.chunks = append(fol.snapshots.chunks, fol.chunkBatch(chunk))
	}
}

// Chunks splits the encoded state at an offset into chunks of at most size
// bytes.
func Chunks(offset core.Offset, data []byte, size int) []recd.SnapshotChunk {
	sum := xxhash.Sum64(data)
	var out []recd.SnapshotChunk
	for part := range slices.Chunk(data, size) {
		out = append(out, recd.SnapshotChunk{Offset: offset, Hash: sum, Part: len(out), Data: part})
	}
	for idx := range out {
		out[idx].Parts = len(out)
	}
	return out
}

func (fol *Follower) chunkBatch(chunk recd.SnapshotChunk) *appendBatch {
	rec := recd.Record{ID: fol.proposer.newID("s"), By: string(fol.cfg.Node), Snapshot: &chunk}
	return &appendBatch{
		id:      fol.proposer.newID("b"),
		era:     fol.era,
		data:    recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}),
		retryAt: fol.now,
	}
}

// snapshotRank returns this node's rank among the live nodes that may write
// the next snapshot, by rendezvous hashing (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998).
func (fol *Follower) snapshotRank() int {
	own := rendezvousWeight(fol.cfg.Node, fol.state.SnapshotOffset())
	num := 0
	for _, node := range fol.lastTick.LiveNodes {
		if other := rendezvousWeight(node, fol.state.SnapshotOffset()); other > own || (other == own && node < fol.cfg.Node) {
			num++
		}
	}
	return num
}

func rendezvousWeight(node core.NodeName, offset core.Offset) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, uint64(offset))
	return xxhash.Sum64(append(buf, node...))
}

// countBytes adds the size of an entry to the bytes since the last complete
// snapshot. Chunks of snapshots are counted separately.
func (sw *snapshotWriter) countBytes(size int, decisions []fold.Decision, snapshotOffset core.Offset) {
	isChunk := len(decisions) > 0 && decisions[0].Kind == fold.KindSnapshot
	if isChunk {
		sw.chunkBytes += size
	} else {
		sw.entryBytes += size
	}
	if snapshotOffset > sw.lastOffset {
		sw.lastOffset = snapshotOffset
		sw.lastSize = sw.chunkBytes
		sw.chunkBytes = 0
		sw.entryBytes = 0
	}
}

// handleSnapshotDecision restarts the wait when a chunk of a snapshot appears,
// since another node is writing it.
func (fol *Follower) handleSnapshotDecision(decision fold.Decision) {
	if decision.Kind == fold.KindSnapshot && !fol.snapshots.dueSince.IsZero() {
		fol.snapshots.dueSince = fol.now
	}
}

// dropIfObsolete stops the writing once the log contains a complete snapshot
// that is at least as new.
func (sw *snapshotWriter) dropIfObsolete(snapshotOffset core.Offset) {
	if snapshotOffset >= sw.offset {
		sw.chunks = nil
	}
}

// dueChunk returns the next chunk to append, nil if none is due.
func (sw *snapshotWriter) dueChunk(now time.Time) *appendBatch {
	if len(sw.chunks) == 0 || sw.chunks[0].retryAt.After(now) {
		return nil
	}
	return sw.chunks[0]
}

func (sw *snapshotWriter) isAppending(batch *appendBatch) bool {
	return len(sw.chunks) > 0 && sw.chunks[0] == batch
}

// handleAppended moves on to the next chunk, or schedules a retry if the
// append may have failed: a duplicate chunk is harmless.
func (sw *snapshotWriter) handleAppended(batch *appendBatch, event Appended, now time.Time, timings Timings) {
	if event.Err == nil {
		sw.chunks = sw.chunks[1:]
		sw.earliestStart = now.Add(timings.SnapshotRankDelay)
		return
	}
	batch.retryAt = now.Add(backoff(timings, batch.attempts))
}
