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

func unpacked(fzz *testing.F, data []byte) []byte {
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	assert.NilError(fzz, err)
	return out
}

// FuzzDecode reads any data, both as it is and compressed.
func FuzzDecode(fzz *testing.F) {
	sta := fold.New()
	fzz.Add(unpacked(fzz, sta.Encode()))
	sta.Apply(entry(1, start, set("/", "queue.depth", "7", 0), assign("g1", 0, "v1"), claim("k", start, 1, "n1")))
	sta.Apply(entry(2, start, result("k", 1, false, "n1"), set("/", "x", "7", 0)))
	fzz.Add(unpacked(fzz, sta.Encode()))
	fzz.Fuzz(func(tst *testing.T, data []byte) {
		var buf bytes.Buffer
		wri, err := flate.NewWriter(&buf, flate.HuffmanOnly)
		assert.NilError(tst, err)
		_, err = wri.Write(data)
		assert.NilError(tst, err)
		assert.NilError(tst, wri.Close())
		_, err = fold.Decode(data)
		assert.Assert(tst, err == nil || core.CodeOf(err) == core.CodeSnapshotBad)
		got, err := fold.Decode(buf.Bytes())
		if err != nil {
			assert.Equal(tst, core.CodeOf(err), core.CodeSnapshotBad)
			return
		}
		reread(tst, got)
	})
}

// FuzzApply folds any data between two good entries. The state stays one that
// can be encoded and read back.
func FuzzApply(fzz *testing.F) {
	for _, rec := range []recd.Record{
		set("/", "org.weight", "2", 1), assign("g2", 0, "v2"), retire("g1", 1), unload("g1", 1, "v1"),
		claim("k2", start, 1, "n1"), result("k", 1, true, "n1"), release("k", 1, "n1"), rule(1),
		{By: "n", Snapshot: &recd.Snapshot{At: 1, Parts: 1}},
	} {
		fzz.Add(entry(2, start, rec).Data)
	}
	fzz.Add([]byte{0xff})
	fzz.Fuzz(func(tst *testing.T, data []byte) {
		sta := fold.New()
		sta.Apply(entry(1, start, assign("g1", 0, "v1"), claim("k", start, 1, "n1")))
		sta.Apply(core.Entry{Offset: 2, ID: "f", At: start, Data: data})
		sta = reread(tst, sta)
		sta.Apply(entry(3, start.Add(time.Hour), retire("g1", 1)))
		reread(tst, sta)
	})
}
