package tail

import (
	"fmt"
	"slices"

	"kumquathinge/core"
)

const (
	recentEntries = 4096
	recentBytes   = 4 << 20
	hashesKept    = 1024
)

// ring keeps the entries read last, for peers.
type ring struct {
	ents []core.Entry
	size int
}

func (rin *ring) add(ent core.Entry) {
	rin.ents = append(rin.ents, ent)
	rin.size += len(ent.Data)
	for len(rin.ents) > recentEntries || (rin.size > recentBytes && len(rin.ents) > 1) {
		rin.size -= len(rin.ents[0].Data)
		rin.ents[0] = core.Entry{}
		rin.ents = rin.ents[1:]
	}
}

func (rin *ring) reset() { *rin = ring{} }

// Recent returns at most max of the entries read last, from offset from on.
// Its error carries core.CodeLogGap if from is older than the oldest of them.
func (fol *Follower) Recent(from core.Offset, max int) (core.Page, error) {
	pag := core.Page{First: fol.sta.Offset() + 1, Next: fol.sta.Offset() + 1}
	if len(fol.recent.ents) > 0 {
		pag.First = fol.recent.ents[0].Offset
	}
	if from < pag.First {
		return pag, core.Errorf(core.CodeLogGap, "entries are kept from offset %d on, not from %d", pag.First, from)
	}
	idx := int(min(from-pag.First, core.Offset(len(fol.recent.ents))))
	pag.Entries = slices.Clone(fol.recent.ents[idx:])
	if len(pag.Entries) > max {
		pag.Entries = pag.Entries[:max]
	}
	return pag, nil
}

// hashLog keeps the hashes of the last offsets and what the comparison with
// each peer showed last.
type hashLog struct {
	kept  [hashesKept]hashAt
	peers map[core.NodeName]PeerHash
	bad   core.Set[core.NodeName]
}

type hashAt struct {
	at   core.Offset
	hash uint64
}

func (hlg *hashLog) init() {
	hlg.peers = map[core.NodeName]PeerHash{}
	hlg.bad = core.NewSet[core.NodeName]()
}

func (hlg *hashLog) note(at core.Offset, hash uint64) {
	hlg.kept[at%hashesKept] = hashAt{at: at, hash: hash}
}

// compare holds a peer's hash against the own one at the same offset, if that
// is still kept. Live are the entry VMs that count.
func (hlg *hashLog) compare(evt PeerHash, live []core.NodeName) {
	own := hlg.kept[evt.At%hashesKept]
	if own.at != evt.At || evt.At == 0 {
		return
	}
	hlg.peers[evt.Node] = evt
	if len(hlg.peers) > len(live) {
		hlg.keep(live)
	}
	if own.hash == evt.Hash {
		hlg.bad.Remove(evt.Node)
		return
	}
	hlg.bad.Add(evt.Node)
}

// alarm returns a description of a peer whose state differs, empty if none.
func (hlg *hashLog) alarm() string {
	if hlg.bad.Len() == 0 {
		return ""
	}
	evt := hlg.peers[hlg.bad.Sorted()[0]]
	return fmt.Sprintf("the state at offset %d differs from that of %s (%d of %d peers differ)", evt.At, evt.Node, hlg.bad.Len(), len(hlg.peers))
}

// outvoted reports whether more peers have another state than have this one,
// the follower itself included.
func (hlg *hashLog) outvoted() bool { return 2*hlg.bad.Len() > len(hlg.peers)+1 }

// keep forgets the peers that are not among the live ones.
func (hlg *hashLog) keep(live []core.NodeName) {
	for nam := range hlg.peers {
		if !slices.Contains(live, nam) {
			delete(hlg.peers, nam)
			hlg.bad.Remove(nam)
		}
	}
}
