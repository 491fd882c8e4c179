package tail_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/tail"
)

// FuzzReplay checks that a file is replayed or refused, and never both.
func FuzzReplay(fzz *testing.F) {
	pths, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(fzz, err)
	for _, pth := range pths {
		data, err := os.ReadFile(pth)
		assert.NilError(fzz, err)
		fzz.Add(data)
	}
	fzz.Add([]byte(`{"given":{"peers":1}}{"tick":true}{"read":{"first":2,"next":1}}`))
	fzz.Fuzz(func(t *testing.T, data []byte) {
		_, _, err := tail.Replay(bytes.NewReader(data))
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeRecordBad)
		}
	})
}
