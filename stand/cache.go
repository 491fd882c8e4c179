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
	at time.Time
	core.CacheEvent
}

// cache is an engine's prefix cache, of which the oldest block goes first.
type cache struct {
	limit  int
	seq    uint64
	blocks []uint64
	events []cacheEvent
}

func (cac *cache) use(prompt string) {
	limit := cac.limit
	if limit <= 0 {
		limit = defaultCacheBlocks
	}
	for _, blo := range Blocks(prompt) {
		if slices.Contains(cac.blocks, blo) {
			continue
		}
		cac.blocks = append(cac.blocks, blo)
		cac.tell(blo, true)
	}
	for len(cac.blocks) > limit {
		cac.tell(cac.blocks[0], false)
		cac.blocks = cac.blocks[1:]
	}
}

func (cac *cache) tell(blo uint64, present bool) {
	cac.seq++
	evt := core.CacheEvent{Seq: cac.seq, Block: blo, Present: present}
	cac.events = append(cac.events, cacheEvent{at: time.Now(), CacheEvent: evt})
	if len(cac.events) > maxCacheEvents {
		cac.events = cac.events[1:]
	}
}

type cacheEvents struct {
	Events []core.CacheEvent `json:"events"`
}

func (eng *Engine) serveCache(wri http.ResponseWriter, req *http.Request) {
	after, err := queryUint(req, "after")
	if err != nil {
		http.Error(wri, "after is a number", http.StatusBadRequest)
		return
	}
	reply(wri, http.StatusOK, cacheEvents{Events: eng.cacheEvents(after, time.Now())})
}

func (eng *Engine) cacheEvents(after uint64, now time.Time) []core.CacheEvent {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	out := []core.CacheEvent{}
	gap := uint64(max(eng.fault.CacheGap, 0))
	for _, evt := range eng.cache.events {
		late := now.Sub(evt.at) < time.Duration(eng.fault.CacheLate)
		lost := gap > 0 && evt.Seq%gap == 0
		if evt.Seq > after && !late && !lost {
			out = append(out, evt.CacheEvent)
		}
	}
	return out
}
