package trace_test

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/repair"
	"kumquathinge/core/trace"
)

// longNumber matches numbers with which a replay could take too long.
var longNumber = regexp.MustCompile(`[0-9]{4}|[eE][+0-9]`)

// FuzzRead checks that a file is either rejected or a trace with zones that can
// be replayed.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"do":"trace","at":60,"name":"n"}
{"do":"store","per_minute":30}
{"do":"model","model":"m","load":5}
{"do":"vm","vm":"a","zone":"z","domain":"d"}
{"do":"vm","vm":"b","zone":"z","domain":"d"}
{"do":"group","group":"g","zone":"z","model":"m","size":1}
{"do":"die","at":3,"vm":"a"}
{"do":"dark","at":4,"domain":"d"}
{"do":"slow","at":4,"vm":"b","factor":2}
{"do":"return","at":9,"vm":"a"}`))
	f.Add([]byte(`{"do":"trace","at":-1}`))
	f.Add([]byte(`{"do":"trace","at":9223372036854775807}` + "\n" + `{"do":"vm"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tr, err := trace.Read(bytes.NewReader(data))
		assert.Equal(t, err == nil, tr != nil)
		if err != nil {
			return
		}
		assert.Assert(t, len(tr.Zones()) > 0)
		if !longNumber.Match(data) {
			trace.Play(tr, trace.Deployment{Name: "d", DowntimeWeight: 3, StrandedWeight: 1, ReturnWait: time.Minute}, repair.CostBased{})
		}
	})
}
