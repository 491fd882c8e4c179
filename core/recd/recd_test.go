package recd_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

func sample() recd.Batch {
	iss := time.Unix(1_800_000_000, 5).UTC()
	return recd.Batch{Version: recd.Version, Records: []recd.Record{
		{ID: "1", By: "ana", Setting: &recd.Setting{Path: "/", Key: "queue.depth", Value: []byte("7"), Base: 3}},
		{ID: "2", Assign: &recd.Assign{Group: "g", VMs: []core.VMName{"v"}, Spec: core.Spec{Adapters: []string{"a"}}}},
		{ID: "3", Claim: &recd.Claim{Org: "o", Key: "k", Issued: iss}},
		{ID: "4", Result: &recd.Result{Reply: core.Reply{Body: []byte{0, 0xff}}}},
		{ID: "5", Snapshot: &recd.Snapshot{Data: []byte("x"), Parts: 1}},
	}}
}

func TestRoundTrip(tst *testing.T) {
	got, err := recd.Decode(recd.Encode(sample()))
	assert.NilError(tst, err)
	assert.DeepEqual(tst, got, sample())
}

// farTime is a batch with a claim issued in the year 36812, as a number.
func farTime() []byte {
	out, err := cbor.Marshal(map[int]any{1: 1, 2: []any{map[int]any{1: "x", 14: map[int]any{3: int64(1) << 40}}}})
	if err != nil {
		panic(err)
	}
	return out
}

// TestFarTime: a time that Encode could not write again is refused.
func TestFarTime(tst *testing.T) {
	_, err := recd.Decode(farTime())
	assert.Equal(tst, core.CodeOf(err), core.CodeRecordBad)
}

func FuzzDecode(fzz *testing.F) {
	fzz.Add(recd.Encode(sample()))
	fzz.Add(recd.Encode(recd.Batch{Version: recd.Version + 1}))
	fzz.Add([]byte{0xa1, 0x01, 0x01})
	fzz.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	fzz.Add(farTime())
	fzz.Fuzz(func(tst *testing.T, data []byte) {
		bat, err := recd.Decode(data)
		if err != nil {
			assert.Equal(tst, core.CodeOf(err), core.CodeRecordBad)
			return
		}
		again, err := recd.Decode(recd.Encode(bat))
		assert.NilError(tst, err)
		assert.DeepEqual(tst, recd.Encode(again), recd.Encode(bat))
	})
}
