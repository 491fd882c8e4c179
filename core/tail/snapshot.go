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

// snapshotter writes a snapshot when one is due and this node's turn has come.
type snapshotter struct {
	since  time.Time
	rest   time.Time
	busy   bool
	whole  core.Offset
	chunk  int
	other  int
	size   int
	chunks []*batch
	at     core.Offset
}

// snapshotDue reports whether the log needs a newer snapshot: when the last
// one is in the older half of what the log keeps, or after so many entries
// with as many bytes as the last one, so that snapshots at most double what
// every reader reads.
func (fol *Follower) snapshotDue() bool {
	tim := fol.cfg.Timings
	off, last := fol.sta.Offset(), fol.sta.SnapshotOffset()
	if off < last+tim.SnapshotMin || !fol.log.ok || !fol.ready || fol.gap != 0 || off+1 < fol.log.next {
		return false
	}
	if off >= last+tim.SnapshotEvery && fol.snaps.other >= fol.snaps.size {
		return true
	}
	return fol.log.first > 1 && last < fol.log.first+(off-fol.log.first)/2
}

func (fol *Follower) nextSnapshot() {
	snp := &fol.snaps
	if len(snp.chunks) > 0 {
		snp.abandon(fol.sta.SnapshotOffset())
		return
	}
	if snp.busy {
		return
	}
	if !fol.snapshotDue() {
		snp.since = time.Time{}
		return
	}
	if snp.since.IsZero() {
		snp.since = fol.now
	}
	if fol.now.Before(snp.rest) {
		return
	}
	wait := time.Duration(fol.rank()) * fol.cfg.Timings.SnapshotStep
	if fol.now.Sub(snp.since) < wait {
		return
	}
	snp.since = time.Time{}
	snp.busy = true
	fol.do(Encode{Image: fol.sta.Snapshot()})
}

// encoded starts the writing of the snapshot.
func (fol *Follower) encoded(evt Encoded) {
	fol.snaps.busy = false
	fol.snaps.at = evt.At
	for _, chk := range Chunks(evt.At, evt.Data, fol.cfg.Timings.ChunkBytes) {
		fol.snaps.chunks = append(fol.snaps.chunks, fol.chunkBatch(chk))
	}
}

// Chunks returns the encoded state at an offset in chunks of at most size
// bytes.
func Chunks(at core.Offset, data []byte, size int) []recd.SnapshotChunk {
	sum := xxhash.Sum64(data)
	var out []recd.SnapshotChunk
	for part := range slices.Chunk(data, size) {
		out = append(out, recd.SnapshotChunk{Offset: at, Hash: sum, Part: len(out), Data: part})
	}
	for idx := range out {
		out[idx].Parts = len(out)
	}
	return out
}

func (fol *Follower) chunkBatch(snp recd.SnapshotChunk) *batch {
	rec := recd.Record{ID: fol.props.newID("s"), By: string(fol.cfg.Node), Snapshot: &snp}
	return &batch{
		id:   fol.props.newID("b"),
		data: recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}),
		at:   fol.now,
	}
}

// rank returns this node's place in the order in which nodes step in to write
// the next snapshot: highest random weight (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998) over the live nodes.
func (fol *Follower) rank() int {
	own := weight(fol.cfg.Node, fol.sta.SnapshotOffset())
	num := 0
	for _, nod := range fol.tick.Nodes {
		if oth := weight(nod, fol.sta.SnapshotOffset()); oth > own || (oth == own && nod < fol.cfg.Node) {
			num++
		}
	}
	return num
}

func weight(nod core.NodeName, at core.Offset) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, uint64(at))
	return xxhash.Sum64(append(buf, nod...))
}

// count adds up the bytes of the log since the last whole snapshot, those of
// snapshots apart.
func (snp *snapshotter) count(size int, vers []fold.Verdict, whole core.Offset) {
	isChunk := len(vers) > 0 && vers[0].Kind == fold.KindSnapshot
	if isChunk {
		snp.chunk += size
	} else {
		snp.other += size
	}
	if whole > snp.whole {
		snp.whole = whole
		snp.size = snp.chunk
		snp.chunk = 0
		snp.other = 0
	}
}

// snapshotSeen starts the wait anew when a chunk of a snapshot appears: its
// writer is at work.
func (fol *Follower) snapshotSeen(ver fold.Verdict) {
	if ver.Kind == fold.KindSnapshot && !fol.snaps.since.IsZero() {
		fol.snaps.since = fol.now
	}
}

// abandon stops the writing once the log holds a whole snapshot as new.
func (snp *snapshotter) abandon(whole core.Offset) {
	if whole >= snp.at {
		snp.chunks = nil
	}
}

// due returns the chunk to append next.
func (snp *snapshotter) due(now time.Time) *batch {
	if len(snp.chunks) == 0 || snp.chunks[0].at.After(now) {
		return nil
	}
	return snp.chunks[0]
}

func (snp *snapshotter) owns(bat *batch) bool {
	return len(snp.chunks) > 0 && snp.chunks[0] == bat
}

// answered goes on to the next chunk, or repeats the chunk if its append may
// have failed: a chunk that stands twice does no harm.
func (snp *snapshotter) answered(bat *batch, evt Appended, now time.Time, tim Timings) {
	if evt.Err == nil {
		snp.chunks = snp.chunks[1:]
		snp.rest = now.Add(tim.SnapshotStep)
		return
	}
	bat.at = now.Add(backoff(tim, bat.tries))
}
