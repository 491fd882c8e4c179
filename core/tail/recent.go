package tail

import (
	"fmt"
	"slices"

	"kumquathinge/core"
)

const (
	maxRecentEntries = 4096
	maxRecentBytes   = 4 << 20
	maxHashes        = 1024
)

// entryCache stores the most recently applied entries for peers. size is their
// total size in bytes.
type entryCache struct {
	entries []core.Entry
	size    int
}

func (cache *entryCache) add(ent core.Entry) {
	cache.entries = append(cache.entries, ent)
	cache.size += len(ent.Data)
	for len(cache.entries) > maxRecentEntries || (cache.size > maxRecentBytes && len(cache.entries) > 1) {
		cache.size -= len(cache.entries[0].Data)
		cache.entries[0] = core.Entry{}
		cache.entries = cache.entries[1:]
	}
}

func (cache *entryCache) reset() { *cache = entryCache{} }

// Recent returns at most max of the most recently applied entries, starting at
// offset from, with the era that they were read in. Its error carries core.CodeLogGap if from is older than the
// oldest of them, and core.CodeNotReady while the log is read again after a return.
func (fol *Follower) Recent(from core.Offset, max int) (core.Page, error) {
	if fol.former != nil {
		return core.Page{}, core.Errorf(core.CodeNotReady, "the log came back from an older copy and is being read again")
	}
	page := core.Page{First: fol.state.Offset() + 1, Next: fol.state.Offset() + 1, Era: fol.era}
	if len(fol.recent.entries) > 0 {
		page.First = fol.recent.entries[0].Offset
	}
	if from < page.First {
		return page, core.Errorf(core.CodeLogGap, "entries are stored from offset %d on, but were requested from %d", page.First, from)
	}
	idx := int(min(from-page.First, core.Offset(len(fol.recent.entries))))
	page.Entries = slices.Clone(fol.recent.entries[idx:])
	if len(page.Entries) > max {
		page.Entries = page.Entries[:max]
	}
	return page, nil
}

// hashChecker stores the hashes at the most recent offsets of the era and the
// result of the last comparison with each peer.
type hashChecker struct {
	recent    [maxHashes]offsetHash
	byPeer    map[core.NodeName]PeerHash
	differing core.Set[core.NodeName]
}

type offsetHash struct {
	offset core.Offset
	hash   uint64
}

func (hc *hashChecker) init() {
	hc.recent = [maxHashes]offsetHash{}
	hc.byPeer = map[core.NodeName]PeerHash{}
	hc.differing = core.NewSet[core.NodeName]()
}

func (hc *hashChecker) record(offset core.Offset, hash uint64) {
	hc.recent[offset%maxHashes] = offsetHash{offset: offset, hash: hash}
}

// compare compares a peer's hash with the local one at the same offset, if
// that is still stored. Once more peers are stored than nodes are live, those
// that are not live are removed.
func (hc *hashChecker) compare(event PeerHash, live []core.NodeName) {
	offset := event.Position.Offset
	own := hc.recent[offset%maxHashes]
	if own.offset != offset || offset == 0 {
		return
	}
	hc.byPeer[event.Node] = event
	if len(hc.byPeer) > len(live) {
		hc.retainPeers(live)
	}
	if own.hash == event.Hash {
		hc.differing.Remove(event.Node)
		return
	}
	hc.differing.Add(event.Node)
}

// mismatch describes one peer whose state differs. It returns an empty string
// if there is none.
func (hc *hashChecker) mismatch() string {
	if hc.differing.Len() == 0 {
		return ""
	}
	event := hc.byPeer[hc.differing.Sorted()[0]]
	return fmt.Sprintf("the state at offset %d differs from that of %s (%d of %d peers differ)", event.Position.Offset, event.Node, hc.differing.Len(), len(hc.byPeer))
}

// inMinority reports whether the nodes with a different state outnumber those
// with the same state, this node included.
func (hc *hashChecker) inMinority() bool { return 2*hc.differing.Len() > len(hc.byPeer)+1 }

// retainPeers removes the peers that are not live.
func (hc *hashChecker) retainPeers(live []core.NodeName) {
	for name := range hc.byPeer {
		if !slices.Contains(live, name) {
			delete(hc.byPeer, name)
			hc.differing.Remove(name)
		}
	}
}
