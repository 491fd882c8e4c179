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

func TestReplay(tst *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(tst, err)
	assert.Assert(tst, len(names) >= 5)
	for _, nam := range names {
		tst.Run(filepath.Base(nam), func(tst *testing.T) {
			fil, oer := os.Open(nam)
			assert.NilError(tst, oer)
			defer fil.Close()
			got, want, rer := tail.Replay(fil)
			assert.NilError(tst, rer)
			assert.DeepEqual(tst, got, want, cmpopts.EquateEmpty())
		})
	}
	for _, txt := range []string{"", `{"tick":true}`, `{"given":{},"x":1}`, `{"given":{"peers":1,"rules":1}}`} {
		_, _, err = tail.Replay(strings.NewReader(txt))
		assert.Equal(tst, core.CodeOf(err), core.CodeRecordBad, txt)
	}
}
