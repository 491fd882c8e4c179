package tail_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/tail"
)

func TestReplay(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 5)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			file, openErr := os.Open(name)
			assert.NilError(t, openErr)
			defer file.Close()
			got, want, replayErr := tail.Replay(file)
			assert.NilError(t, replayErr)
			assert.DeepEqual(t, got, want, cmpopts.EquateEmpty())
		})
	}
	for _, text := range []string{"", `{"tick":true}`, `{"given":{},"x":1}`, `{"given":{"peers":1,"rules":1}}`} {
		_, _, err = tail.Replay(strings.NewReader(text))
		assert.Equal(t, core.CodeOf(err), core.CodeRecordBad, text)
	}
}
