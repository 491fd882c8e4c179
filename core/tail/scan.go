package tail

import (
	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

const maxOpenSnapshots = 8

// scanner looks for a whole snapshot in the entries that the log still keeps.
type scanner struct {
	pos  core.Offset
	open []*assembly
}

// assembly collects the chunks of one snapshot.
type assembly struct {
	at    core.Offset
	hash  uint64
	parts [][]byte
	have  int
}

// scanDue reports whether the log is to be searched for a snapshot: when no
// peer is left to ask. It starts the search if none is under way.
func (fol *Follower) scanDue() bool {
	if fol.peers.busy || (fol.peers.want && fol.tick.Peers > 0) {
		return false
	}
	if fol.scan == nil {
		fol.scan = &scanner{pos: fol.gap}
	}
	return true
}

// scanned takes a page of the search.
func (fol *Follower) scanned(pag core.Page) {
	if fol.scan == nil {
		return
	}
	for _, ent := range pag.Entries {
		if ent.Offset != fol.scan.pos {
			break
		}
		fol.scan.pos++
		if data, ok := fol.scan.add(ent); ok && fol.takeSnapshot(data) {
			fol.log.nextAt, fol.log.soonAt = fol.now, fol.now
			return
		}
	}
	fol.log.nextAt, fol.log.soonAt = fol.now, fol.now
	if fol.scan.pos >= pag.Next {
		fol.scanEnded()
	}
}

// scanEnded starts over, with the peers first, after a while.
func (fol *Follower) scanEnded() {
	fol.scan = nil
	fol.askAll()
	fol.log.nextAt = fol.now.Add(fol.cfg.Timings.RetryMax)
}

// takeSnapshot adopts the snapshot if the log holds the entries behind it.
func (fol *Follower) takeSnapshot(data []byte) bool {
	sta, err := fold.DecodeFor(fol.cfg.Program, data)
	if err != nil || sta.Offset()+1 < fol.log.first {
		return false
	}
	return fol.adopt(sta)
}

// add takes an entry and returns the encoded state if the entry completes a
// snapshot.
func (scn *scanner) add(ent core.Entry) ([]byte, bool) {
	bat, err := recd.Decode(ent.Data)
	if err != nil {
		return nil, false
	}
	for _, rec := range bat.Records {
		if rec.Snapshot == nil || rec.Snapshot.Parts < 1 || rec.Snapshot.Parts > fold.MaxSnapshotParts {
			continue
		}
		if data, ok := scn.chunk(rec.Snapshot); ok {
			return data, true
		}
	}
	return nil, false
}

func (scn *scanner) chunk(snp *recd.SnapshotChunk) ([]byte, bool) {
	asm := scn.assembly(snp)
	if snp.Part < 0 || snp.Part >= len(asm.parts) || asm.parts[snp.Part] != nil {
		return nil, false
	}
	asm.parts[snp.Part] = snp.Data
	asm.have++
	if asm.have < len(asm.parts) {
		return nil, false
	}
	return asm.join()
}

func (scn *scanner) assembly(snp *recd.SnapshotChunk) *assembly {
	for _, asm := range scn.open {
		if asm.at == snp.Offset && asm.hash == snp.Hash && len(asm.parts) == snp.Parts {
			return asm
		}
	}
	if len(scn.open) == maxOpenSnapshots {
		scn.open = scn.open[1:]
	}
	asm := &assembly{at: snp.Offset, hash: snp.Hash, parts: make([][]byte, snp.Parts)}
	scn.open = append(scn.open, asm)
	return asm
}

// join returns the chunks as one if their hash is the one stated.
func (asm *assembly) join() ([]byte, bool) {
	var out []byte
	for _, prt := range asm.parts {
		out = append(out, prt...)
	}
	return out, xxhash.Sum64(out) == asm.hash
}
