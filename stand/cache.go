package stand

import (
	"net/http"
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	defaultCacheBlocks = 1024
	maxCacheEvents     = 4096
)

type cacheEvent struct {
	addedAt time.Time
	core.CacheEvent
}

// cache is the prefix cache of an engine. It evicts the oldest block first.
type cache struct {
	maxBlocks int
	seq       uint64
	blocks    []uint64
	events    []cacheEvent
}

func (cache *cache) add(prompt string) {
	maxBlocks := cache.maxBlocks
	if maxBlocks <= 0 {
		maxBlocks = defaultCacheBlocks
	}
	for _, block := range Blocks(prompt) {
		if slices.Contains(cache.blocks, block) {
			continue
		}
		cache.blocks = append(cache.blocks, block)
		cache.addEvent(block, true)
	}
	for len(cache.blocks) > maxBlocks {
		cache.addEvent(cache.blocks[0], false)
		cache.blocks = cache.blocks[1:]
	}
}

func (cache *cache) addEvent(block uint64, present bool) {
	cache.seq++
	event := core.CacheEvent{Seq: cache.seq, Block: block, Present: present}
	cache.events = append(cache.events, cacheEvent{addedAt: time.Now(), CacheEvent: event})
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[1:]
	}
}

type cacheEventsBody struct {
	Events []core.CacheEvent `json:"events"`
}

func (eng *Engine) serveCache(rw http.ResponseWriter, req *http.Request) {
	after, err := queryUint(req, "after")
	if err != nil {
		http.Error(rw, "after is a number", http.StatusBadRequest)
		return
	}
	writeJSON(rw, http.StatusOK, cacheEventsBody{Events: eng.cacheEvents(after, time.Now())})
}

func (eng *Engine) cacheEvents(after uint64, now time.Time) []core.CacheEvent {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	out := []core.CacheEvent{}
	gap := uint64(max(eng.fault.CacheGap, 0))
	for _, event := range eng.cache.events {
		delayed := now.Sub(event.addedAt) < time.Duration(eng.fault.CacheLate)
		omitted := gap > 0 && event.Seq%gap == 0
		if event.Seq > after && !delayed && !omitted {
			out = append(out, event.CacheEvent)
		}
	}
	return out
}
