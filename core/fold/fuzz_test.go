package fold_test

import (
	"bytes"
	"compress/flate"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

func decompressed(f *testing.F, data []byte) []byte {
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	assert.NilError(f, err)
	return out
}

// FuzzDecode decodes arbitrary data, both as it is and compressed.
func FuzzDecode(f *testing.F) {
	st := fold.New()
	f.Add(decompressed(f, st.Encode()))
	st.Apply(entry(1, start, set("/", "queue.depth", "7", 0), assign("g1", 0, "v1"), claim("k", start, 1, "n1")))
	st.Apply(entry(2, start, result("k", 1, false, "n1"), set("/", "x", "7", 0)))
	f.Add(decompressed(f, st.Encode()))
	f.Fuzz(func(t *testing.T, data []byte) {
		var buf bytes.Buffer
		writer, err := flate.NewWriter(&buf, flate.HuffmanOnly)
		assert.NilError(t, err)
		_, err = writer.Write(data)
		assert.NilError(t, err)
		assert.NilError(t, writer.Close())
		_, err = fold.Decode(data)
		assert.Assert(t, err == nil || core.CodeOf(err) == core.CodeSnapshotBad)
		got, err := fold.Decode(buf.Bytes())
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeSnapshotBad)
			return
		}
		roundTrip(t, got)
	})
}

// FuzzApply applies arbitrary data between two valid entries and checks that
// the state can be encoded and decoded.
func FuzzApply(f *testing.F) {
	for _, rec := range []recd.Record{
		set("/", "org.weight", "2", 1), assign("g2", 0, "v2"), retire("g1", 1), unload("g1", 1, "v1"),
		claim("k2", start, 1, "n1"), result("k", 1, true, "n1"), release("k", 1, "n1"), rule(1),
		{By: "n", Snapshot: &recd.SnapshotChunk{Offset: 1, Parts: 1}},
	} {
		f.Add(entry(2, start, rec).Data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		st := fold.New()
		st.Apply(entry(1, start, assign("g1", 0, "v1"), claim("k", start, 1, "n1")))
		st.Apply(core.Entry{Offset: 2, ID: "f", At: start, Data: data})
		st = roundTrip(t, st)
		st.Apply(entry(3, start.Add(time.Hour), retire("g1", 1)))
		roundTrip(t, st)
	})
}
