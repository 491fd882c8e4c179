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

// replays are the packages with replay files and what reads them.
var replays = []struct {
	name   string
	replay func(rdr io.Reader) error
}{
	{"flight", func(rdr io.Reader) error { _, _, err := flight.Replay(rdr); return err }},
	{"once", func(rdr io.Reader) error { _, _, err := once.Replay(rdr); return err }},
	{"tail", func(rdr io.Reader) error { _, _, err := tail.Replay(rdr); return err }},
}

// FuzzReplay checks that a replay file is replayed or refused with its code.
func FuzzReplay(fzz *testing.F) {
	for num, rpl := range replays {
		pths, err := filepath.Glob(filepath.Join("..", rpl.name, "testdata", "*.jsonl"))
		assert.NilError(fzz, err)
		assert.Assert(fzz, len(pths) > 0, "no replay files of %s", rpl.name)
		for _, pth := range pths {
			data, err := os.ReadFile(pth)
			assert.NilError(fzz, err)
			fzz.Add(byte(num), data)
		}
	}
	fzz.Add(byte(0), []byte(`{"limits":{"attempts":1}}{"event":{"kind":"start"}}`))
	fzz.Add(byte(1), []byte(`{"given":{}}{"event":{"kind":"start"}}{"event":{"kind":"ran"}}`))
	fzz.Add(byte(2), []byte(`{"given":{"peers":1}}{"tick":true}{"read":{"first":2,"next":1}}`))
	fzz.Fuzz(func(t *testing.T, num byte, data []byte) {
		err := replays[int(num)%len(replays)].replay(bytes.NewReader(data))
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeRecordBad)
		}
	})
}
