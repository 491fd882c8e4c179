package stand_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/stand"
)

// TestWeightsRate checks that fetches above the rate are put off, and that an
// engine asks again until it may load.
func TestWeightsRate(t *testing.T) {
	wei := stand.NewWeights(0.001)
	assert.NilError(t, wei.Start("127.0.0.1:0"))
	defer wei.Close()
	url := "http://" + wei.Addr() + "/v1/fetch?model=m&version=1"
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		res, err := http.Post(url, "", nil)
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, want)
	}
	assert.Equal(t, wei.Fetches(), 1)
	limited := stand.NewWeights(50)
	assert.NilError(t, limited.Start("127.0.0.1:0"))
	defer limited.Close()
	for num := range 3 {
		eng, engURL := startEngine(t, stand.EngineConfig{Weights: limited.Addr()})
		load(t, eng, engURL, 7)
		assert.Equal(t, limited.Fetches(), num+1)
	}
}

// TestCacheEvents checks that events come late and with gaps.
func TestCacheEvents(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{CacheBlocks: 2})
	load(t, eng, url, 7)
	prompt := string(make([]byte, 3*stand.BlockBytes))
	_, _, end, _ := answer(t, url, core.GenerateRequest{Attempt: "a", Group: "g", Prompt: prompt, MaxTokens: 1})
	assert.Assert(t, end)
	blo := stand.Blocks(prompt)
	one := core.CacheEvent{Seq: 1, Block: blo[0], Present: true}
	two := core.CacheEvent{Seq: 2, Block: blo[1], Present: true}
	three := core.CacheEvent{Seq: 3, Block: blo[2], Present: true}
	four := core.CacheEvent{Seq: 4, Block: blo[0]}
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

// TestFrozenList checks that a frozen list stays as it was.
func TestFrozenList(t *testing.T) {
	lst := stand.NewVMs(core.VM{Name: "a"})
	assert.NilError(t, lst.Start("127.0.0.1:0"))
	defer lst.Close()
	for _, tt := range []struct {
		frozen bool
		want   core.VMName
	}{{true, "a"}, {false, "b"}} {
		lst.SetFault(stand.VMsFault{Frozen: tt.frozen})
		lst.Set(core.VM{Name: "b"})
		var got stand.VMList
		get(t, "http://"+lst.Addr()+"/v1/vms", &got)
		assert.DeepEqual(t, got.VMs, []core.VM{{Name: tt.want}})
	}
}
