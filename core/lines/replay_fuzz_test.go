package lines_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/flight"
	"kumquathinge/core/once"
	"kumquathinge/core/tail"
)

// replayers are the packages that have replay files, with their replay
// functions.
var replayers = []struct {
	name   string
	replay func(rdr io.Reader) error
}{
	{"flight", func(rdr io.Reader) error { _, _, err := flight.Replay(rdr); return err }},
	{"once", func(rdr io.Reader) error { _, _, err := once.Replay(rdr); return err }},
	{"tail", func(rdr io.Reader) error { _, _, err := tail.Replay(rdr); return err }},
}

// FuzzReplay checks that arbitrary data either is replayed or returns an error
// with core.CodeRecordBad.
func FuzzReplay(f *testing.F) {
	for num, rp := range replayers {
		paths, err := filepath.Glob(filepath.Join("..", rp.name, "testdata", "*.jsonl"))
		assert.NilError(f, err)
		assert.Assert(f, len(paths) > 0, "no replay files of %s", rp.name)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			assert.NilError(f, err)
			f.Add(byte(num), data)
		}
	}
	f.Add(byte(0), []byte(`{"limits":{"attempts":1}}{"event":{"kind":"start"}}`))
	f.Add(byte(1), []byte(`{"given":{}}{"event":{"kind":"start"}}{"event":{"kind":"ran"}}`))
	f.Add(byte(2), []byte(`{"given":{"peers":1}}{"tick":true}{"read":{"first":2,"next":1}}`))
	f.Fuzz(func(t *testing.T, num byte, data []byte) {
		err := replayers[int(num)%len(replayers)].replay(bytes.NewReader(data))
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeRecordBad)
		}
	})
}
