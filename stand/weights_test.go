package stand_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/stand"
)

// TestWeightsRate checks that fetches above the rate are rejected with status 429,
// and that an engine retries its fetch until it is allowed to load.
func TestWeightsRate(t *testing.T) {
	weights := stand.NewWeights(0.001)
	assert.NilError(t, weights.Start("127.0.0.1:0"))
	defer weights.Close()
	url := "http://" + weights.Addr() + "/v1/fetch?model=m&version=1"
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		resp, err := http.Post(url, "", nil)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want)
	}
	assert.Equal(t, weights.Fetches(), 1)
	limited := stand.NewWeights(50)
	assert.NilError(t, limited.Start("127.0.0.1:0"))
	defer limited.Close()
	for num := range 3 {
		eng, engURL := startEngine(t, stand.EngineConfig{Weights: limited.Addr()})
		loadModel(t, eng, engURL, 7)
		assert.Equal(t, limited.Fetches(), num+1)
	}
}

// TestCacheEvents checks that CacheLate delays cache events and that CacheGap
// omits some.
func TestCacheEvents(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{CacheBlocks: 2})
	loadModel(t, eng, url, 7)
	prompt := string(make([]byte, 3*stand.BlockBytes))
	_, _, end, _ := generate(t, url, core.GenerateRequest{Attempt: "a", Group: "g", Prompt: prompt, MaxTokens: 1})
	assert.Assert(t, end)
	blocks := stand.Blocks(prompt)
	one := core.CacheEvent{Seq: 1, Block: blocks[0], Present: true}
	two := core.CacheEvent{Seq: 2, Block: blocks[1], Present: true}
	three := core.CacheEvent{Seq: 3, Block: blocks[2], Present: true}
	four := core.CacheEvent{Seq: 4, Block: blocks[0]}
	for _, tt := range []struct {
		fault stand.EngineFault
		want  []core.CacheEvent
	}{
		{stand.EngineFault{}, []core.CacheEvent{one, two, three, four}},
		{stand.EngineFault{CacheGap: 2}, []core.CacheEvent{one, three}},
		{stand.EngineFault{CacheLate: stand.Span(time.Hour)}, []core.CacheEvent{}},
	} {
		eng.SetFault(tt.fault)
		var got struct{ Events []core.CacheEvent }
		get(t, url+"/v1/cache?after=0", &got)
		assert.DeepEqual(t, got.Events, tt.want)
	}
}

// TestFrozenList checks that a frozen list hides changes until it is unfrozen.
func TestFrozenList(t *testing.T) {
	list := stand.NewVMs(core.VM{Name: "a"})
	assert.NilError(t, list.Start("127.0.0.1:0"))
	defer list.Close()
	for _, tt := range []struct {
		frozen bool
		want   core.VMName
	}{{true, "a"}, {false, "b"}} {
		list.SetFault(stand.VMsFault{Frozen: tt.frozen})
		list.Set(core.VM{Name: "b"})
		var got stand.VMList
		get(t, "http://"+list.Addr()+"/v1/vms", &got)
		assert.DeepEqual(t, got.VMs, []core.VM{{Name: tt.want}})
	}
}
