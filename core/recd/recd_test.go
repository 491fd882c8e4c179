package recd_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

func sampleBatch() recd.Batch {
	issued := time.Unix(1_800_000_000, 5).UTC()
	return recd.Batch{Version: recd.Version, Records: []recd.Record{
		{ID: "1", By: "ana", Setting: &recd.Setting{Path: "/", Key: "queue.depth", Value: []byte("7"), Base: 3}},
		{ID: "2", Assign: &recd.Assign{Group: "g", VMs: []core.VMName{"v"}, Spec: core.Spec{Adapters: []string{"a"}}}},
		{ID: "3", Claim: &recd.Claim{Org: "o", Key: "k", Issued: issued}},
		{ID: "4", Result: &recd.Result{Reply: core.Reply{Body: []byte{0, 0xff}}}},
		{ID: "5", Snapshot: &recd.SnapshotChunk{Data: []byte("x"), Parts: 1}},
	}}
}

func TestRoundTrip(t *testing.T) {
	got, err := recd.Decode(recd.Encode(sampleBatch()))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sampleBatch())
}

// batchWithLateIssueTime returns a batch with a claim issued in the year
// 36812, encoded as a number.
func batchWithLateIssueTime() []byte {
	out, err := cbor.Marshal(map[int]any{1: 1, 2: []any{map[int]any{1: "x", 14: map[int]any{3: int64(1) << 40}}}})
	if err != nil {
		panic(err)
	}
	return out
}

// TestIssueTimeOutOfRange checks that Decode rejects a time that Encode cannot
// write.
func TestIssueTimeOutOfRange(t *testing.T) {
	_, err := recd.Decode(batchWithLateIssueTime())
	assert.Equal(t, core.CodeOf(err), core.CodeRecordBad)
}

func FuzzDecode(f *testing.F) {
	f.Add(recd.Encode(sampleBatch()))
	f.Add(recd.Encode(recd.Batch{Version: recd.Version + 1}))
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Add(batchWithLateIssueTime())
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := recd.Decode(data)
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeRecordBad)
			return
		}
		again, err := recd.Decode(recd.Encode(batch))
		assert.NilError(t, err)
		assert.DeepEqual(t, recd.Encode(again), recd.Encode(batch))
	})
}
