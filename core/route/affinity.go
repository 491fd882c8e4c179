package route

import (
	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// maxBlocks is the maximum number of prefix blocks per prompt.
const maxBlocks = 64

// Blocks splits the prompt into blocks of blockLen bytes. It returns for each
// block the XXH64 hash of the prompt up to the end of the block, as engines do
// in their cache events. An incomplete last block and everything after the
// 64th block are ignored. Blocks panics if blockLen is not positive.
func Blocks(prompt string, blockLen int) []uint64 {
	if blockLen <= 0 {
		panic("route: block length must be positive")
	}
	num := min(len(prompt)/blockLen, maxBlocks)
	out := make([]uint64, 0, num)
	digest := xxhash.New()
	for idx := range num {
		_, _ = digest.WriteString(prompt[idx*blockLen : (idx+1)*blockLen])
		out = append(out, digest.Sum64())
	}
	return out
}

const splitMixIncrement = 0x9e3779b97f4a7c15

// splitMix64 is the finaliser of SplitMix64 (Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", OOPSLA 2014).
func splitMix64(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

// chooseByPrefix returns the candidate to prefer for the prefix, or -1 if
// every preferred one is above the load bound or a straggler.
func (rtr *Router) chooseByPrefix(blocks []uint64, tot totals) int {
	if len(blocks) == 0 {
		return -1
	}
	if idx := rtr.chooseHolder(blocks, tot); idx >= 0 {
		return idx
	}
	return rtr.chooseRanked(blocks[0], tot)
}

// chooseHolder returns the least loaded candidate within the load bound among
// those that are expected to cache the longest prefix, or -1.
func (rtr *Router) chooseHolder(blocks []uint64, tot totals) int {
	best := -1
	for num := len(blocks); num > 0 && best < 0; num-- {
		if hs := rtr.cacheIndex.get(blocks[num-1]); hs.count > 0 {
			best = rtr.leastLoadedHolder(&hs, tot)
		}
	}
	return best
}

func (rtr *Router) leastLoadedHolder(hs *holders, tot totals) int {
	best := -1
	for idx := range rtr.candidates {
		cand := &rtr.candidates[idx]
		if cand.straggler || !hs.has(cand.group.asHolder()) || !rtr.withinBound(cand, tot) {
			continue
		}
		if best < 0 || cand.load < rtr.candidates[best].load {
			best = idx
		}
	}
	return best
}

// chooseRanked returns the first candidate within the load bound among the
// first RankedGroups of the block's rendezvous ranking, or -1.
func (rtr *Router) chooseRanked(block uint64, tot totals) int {
	below := ^uint64(0)
	for left := rtr.cfg.RankedGroups; left > 0; left-- {
		best, top := -1, uint64(0)
		for idx := range rtr.candidates {
			val := splitMix64(rtr.candidates[idx].group.hash ^ block)
			if val < below && (best < 0 || val > top) {
				best, top = idx, val
			}
		}
		if best < 0 {
			return -1
		}
		if cand := &rtr.candidates[best]; !cand.straggler && rtr.withinBound(cand, tot) {
			return best
		}
		below = top
	}
	return -1
}

// holder identifies a group and the epoch of its cache. The epoch changes when
// the group is loaded again.
type holder struct {
	groupID uint32
	epoch   uint32
}

// maxHolders is the maximum number of groups recorded per block.
const maxHolders = 4

// holders are the groups that are expected to cache a block, most recent
// first.
type holders struct {
	list  [maxHolders]holder
	count uint8
}

func (hs *holders) has(h holder) bool {
	for _, other := range hs.list[:hs.count] {
		if other == h {
			return true
		}
	}
	return false
}

func (hs *holders) add(h holder) {
	hs.remove(h)
	if hs.count < maxHolders {
		hs.count++
	}
	copy(hs.list[1:hs.count], hs.list[:hs.count-1])
	hs.list[0] = h
}

func (hs *holders) remove(h holder) {
	for idx, other := range hs.list[:hs.count] {
		if other == h {
			copy(hs.list[idx:], hs.list[idx+1:hs.count])
			hs.count--
			return
		}
	}
}

// blockIndex maps blocks to the groups that are expected to cache them. It has
// two generations: when the recent one holds half the allowed number of
// blocks, it replaces the previous one.
type blockIndex struct {
	generationSize int
	recent         map[uint64]holders
	previous       map[uint64]holders
}

func newBlockIndex(size int) *blockIndex {
	half := max(1, size/2)
	return &blockIndex{generationSize: half, recent: make(map[uint64]holders)}
}

// get returns the holders of a block, or none if the block is not in the
// index.
func (idx *blockIndex) get(block uint64) holders {
	if hs, ok := idx.recent[block]; ok {
		return hs
	}
	return idx.previous[block]
}

// put stores the holders of a block in the recent generation.
func (idx *blockIndex) put(block uint64, hs holders) {
	if _, ok := idx.recent[block]; !ok && len(idx.recent) >= idx.generationSize {
		old := idx.previous
		idx.previous = idx.recent
		clear(old)
		idx.recent = old
		if idx.recent == nil {
			idx.recent = make(map[uint64]holders)
		}
	}
	idx.recent[block] = hs
}

func (idx *blockIndex) add(blocks []uint64, h holder) {
	for _, block := range blocks {
		hs := idx.get(block)
		hs.add(h)
		idx.put(block, hs)
	}
}

// applyEvent updates the index with a cache event. An event always overrides
// the expectation, since an error costs at most one cache miss.
func (idx *blockIndex) applyEvent(event core.CacheEvent, h holder) {
	hs := idx.get(event.Block)
	switch {
	case event.Present:
		hs.add(h)
	case hs.has(h):
		hs.remove(h)
	default:
		return
	}
	idx.put(event.Block, hs)
}
