package model

import (
	"container/list"

	"kumquathinge/core"
)

// cache is a group's prefix cache with least-recently-used eviction.
type cache struct {
	capacity    int
	recency     *list.List // of uint64, most recently used first
	blocks      map[uint64]*list.Element
	lastSeq     uint64
	unpublished []core.CacheEvent
}

func newCache(size int) *cache {
	return &cache{capacity: size, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// matchPrefix returns the number of leading blocks that are cached.
func (lru *cache) matchPrefix(blocks []uint64) int {
	for idx, blk := range blocks {
		if _, ok := lru.blocks[blk]; !ok {
			return idx
		}
	}
	return len(blocks)
}

// insert adds the blocks or marks them as used, and returns the resulting
// cache events. It goes from the last block to the first, so that a prefix is
// evicted after the blocks that follow it.
func (lru *cache) insert(blocks []uint64) []core.CacheEvent {
	var out []core.CacheEvent
	for idx := len(blocks) - 1; idx >= 0; idx-- {
		blk := blocks[idx]
		if elem, ok := lru.blocks[blk]; ok {
			lru.recency.MoveToFront(elem)
			continue
		}
		lru.blocks[blk] = lru.recency.PushFront(blk)
		out = append(out, core.CacheEvent{Block: blk, Present: true})
	}
	for len(lru.blocks) > lru.capacity {
		elem := lru.recency.Back()
		blk := lru.recency.Remove(elem).(uint64)
		delete(lru.blocks, blk)
		out = append(out, core.CacheEvent{Block: blk})
	}
	return out
}
