package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/route"
)

// BenchmarkChoose routes prompts of 40 blocks, of which the first 20 are
// shared by one in eight prompts, and ends each request immediately.
func BenchmarkChoose(b *testing.B) {
	for _, num := range []int{8, 32, 70, 200} {
		b.Run(fmt.Sprintf("groups=%d", num), func(b *testing.B) {
			rtr := route.New(route.Config{})
			rnd := rand.New(rand.NewPCG(1, 2))
			cands := newCandidates(num, 8)
			for idx := range cands {
				cands[idx].LoadAt = t0
				cands[idx].Load.Running = rnd.IntN(8)
			}
			blocks := make([]uint64, 40)
			now := t0
			b.ReportAllocs()
			for pos := uint64(0); b.Loop(); pos++ {
				for idx := range blocks {
					blocks[idx] = uint64(idx)<<32 | pos%8
					if idx >= 20 {
						blocks[idx] = pos<<8 | uint64(idx)
					}
				}
				now = now.Add(time.Millisecond)
				idx := rtr.Choose(cands, blocks, now, pos*0x9e3779b97f4a7c15)
				rtr.Served(cands[idx].Group, 100*time.Millisecond, now)
			}
		})
	}
}

// BenchmarkApplyCacheEvents applies one cache event.
func BenchmarkApplyCacheEvents(b *testing.B) {
	rtr := route.New(route.Config{})
	events := make([]core.CacheEvent, 1)
	b.ReportAllocs()
	for pos := uint64(0); b.Loop(); pos++ {
		events[0] = core.CacheEvent{Seq: pos, Block: pos % 10000 * 31, Present: pos%3 != 0}
		rtr.ApplyCacheEvents("g1", events)
	}
}

// BenchmarkBlocks hashes a prompt of 8 KiB in blocks of 64 bytes.
func BenchmarkBlocks(b *testing.B) {
	prompt := string(make([]byte, 8192))
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		route.Blocks(prompt, 64)
	}
}
