package model

import (
	"container/list"

	"kumquathinge/core"
)

// cache is a group's prefix cache, which drops the blocks unused for longest.
type cache struct {
	size   int
	order  *list.List // of uint64, the latest used first
	blocks map[uint64]*list.Element
	seq    uint64
	events []core.CacheEvent // not yet published
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// found returns how many of the leading blocks the cache has.
func (cch *cache) found(blocks []uint64) int {
	for idx, blk := range blocks {
		if _, ok := cch.blocks[blk]; !ok {
			return idx
		}
	}
	return len(blocks)
}

// insert uses the blocks, the last first so that a prefix outlives what is
// behind it, and returns the changes.
func (cch *cache) insert(blocks []uint64) []core.CacheEvent {
	var out []core.CacheEvent
	for idx := len(blocks) - 1; idx >= 0; idx-- {
		blk := blocks[idx]
		if elm, ok := cch.blocks[blk]; ok {
			cch.order.MoveToFront(elm)
			continue
		}
		cch.blocks[blk] = cch.order.PushFront(blk)
		out = append(out, core.CacheEvent{Block: blk, Present: true})
	}
	for len(cch.blocks) > cch.size {
		elm := cch.order.Back()
		blk := cch.order.Remove(elm).(uint64)
		delete(cch.blocks, blk)
		out = append(out, core.CacheEvent{Block: blk})
	}
	return out
}
