package route

import (
	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// maxBlocks bounds the prefix blocks of one prompt.
const maxBlocks = 64

// Blocks cuts the prompt into blocks of blockLen bytes and returns for each the
// XXH64 hash of the prompt up to the block's end, as engines do in their cache
// events. A last block that isn't full is left out, and so is what lies behind
// the 64th block. Blocks panics if blockLen is not positive.
func Blocks(prompt string, blockLen int) []uint64 {
	if blockLen <= 0 {
		panic("route: block length must be positive")
	}
	num := min(len(prompt)/blockLen, maxBlocks)
	out := make([]uint64, 0, num)
	dig := xxhash.New()
	for idx := range num {
		_, _ = dig.WriteString(prompt[idx*blockLen : (idx+1)*blockLen])
		out = append(out, dig.Sum64())
	}
	return out
}

const golden = 0x9e3779b97f4a7c15

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood, "Fast splittable
// pseudorandom number generators", OOPSLA 2014).
func mix(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

// affine returns the candidate to prefer for the prefix, or -1 if all of them
// are over the bound or slow.
func (rtr *Router) affine(blocks []uint64, tot total) int {
	if len(blocks) == 0 {
		return -1
	}
	if idx := rtr.holding(blocks, tot); idx >= 0 {
		return idx
	}
	return rtr.ranked(blocks[0], tot)
}

// holding returns the least loaded candidate within the bound among those
// believed to hold the longest prefix.
func (rtr *Router) holding(blocks []uint64, tot total) int {
	best := -1
	for num := len(blocks); num > 0 && best < 0; num-- {
		if ent := rtr.holds.get(blocks[num-1]); ent.num > 0 {
			best = rtr.among(&ent, tot)
		}
	}
	return best
}

func (rtr *Router) among(ent *holders, tot total) int {
	best := -1
	for idx := range rtr.views {
		vw := &rtr.views[idx]
		if vw.slow || !ent.has(vw.grp.holder()) || !rtr.fits(vw, tot) {
			continue
		}
		if best < 0 || vw.load < rtr.views[best].load {
			best = idx
		}
	}
	return best
}

// ranked returns the first of the best Holders of the block's rendezvous
// ranking that is within the bound, or -1.
func (rtr *Router) ranked(block uint64, tot total) int {
	below := ^uint64(0)
	for left := rtr.cfg.Holders; left > 0; left-- {
		best, top := -1, uint64(0)
		for idx := range rtr.views {
			val := mix(rtr.views[idx].grp.hash ^ block)
			if val < below && (best < 0 || val > top) {
				best, top = idx, val
			}
		}
		if best < 0 {
			return -1
		}
		if vw := &rtr.views[best]; !vw.slow && rtr.fits(vw, tot) {
			return best
		}
		below = top
	}
	return -1
}

// holder names a group and the load of its cache that a belief is about.
type holder struct {
	id    uint32
	epoch uint32
}

// maxHolders bounds the groups remembered for one block.
const maxHolders = 4

// holders are the groups believed to hold a block, the latest first.
type holders struct {
	list [maxHolders]holder
	num  uint8
}

func (ent *holders) has(hld holder) bool {
	for _, oth := range ent.list[:ent.num] {
		if oth == hld {
			return true
		}
	}
	return false
}

func (ent *holders) add(hld holder) {
	ent.drop(hld)
	if ent.num < maxHolders {
		ent.num++
	}
	copy(ent.list[1:ent.num], ent.list[:ent.num-1])
	ent.list[0] = hld
}

func (ent *holders) drop(hld holder) {
	for idx, oth := range ent.list[:ent.num] {
		if oth == hld {
			copy(ent.list[idx:], ent.list[idx+1:ent.num])
			ent.num--
			return
		}
	}
}

// index remembers which groups hold which blocks, in two generations: once
// the younger has half the blocks allowed, the older is dropped.
type index struct {
	half  int
	young map[uint64]holders
	old   map[uint64]holders
}

func newIndex(size int) *index {
	half := max(1, size/2)
	return &index{half: half, young: make(map[uint64]holders)}
}

// get returns a block's holders, none if it isn't remembered.
func (idx *index) get(block uint64) holders {
	if ent, ok := idx.young[block]; ok {
		return ent
	}
	return idx.old[block]
}

// put remembers a block's holders in the young generation.
func (idx *index) put(block uint64, ent holders) {
	if _, ok := idx.young[block]; !ok && len(idx.young) >= idx.half {
		old := idx.old
		idx.old = idx.young
		clear(old)
		idx.young = old
		if idx.young == nil {
			idx.young = make(map[uint64]holders)
		}
	}
	idx.young[block] = ent
}

func (idx *index) add(blocks []uint64, hld holder) {
	for _, blk := range blocks {
		ent := idx.get(blk)
		ent.add(hld)
		idx.put(blk, ent)
	}
}

// correct takes in one cache event. An event is believed over what was
// believed before, since at worst it costs one miss.
func (idx *index) correct(evt core.CacheEvent, hld holder) {
	ent := idx.get(evt.Block)
	switch {
	case evt.Present:
		ent.add(hld)
	case ent.has(hld):
		ent.drop(hld)
	default:
		return
	}
	idx.put(evt.Block, ent)
}
