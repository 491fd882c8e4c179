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

// large matches numbers that would make a trace long to play.
var large = regexp.MustCompile(`[0-9]{4}|[eE][+0-9]`)

// FuzzRead checks that a file is either refused or a trace with zones that can
// be played.
func FuzzRead(fzz *testing.F) {
	fzz.Add([]byte(`{"do":"trace","at":60,"name":"n"}
{"do":"store","per_minute":30}
{"do":"model","model":"m","load":5}
{"do":"vm","vm":"a","zone":"z","domain":"d"}
{"do":"vm","vm":"b","zone":"z","domain":"d"}
{"do":"group","group":"g","zone":"z","model":"m","size":1}
{"do":"die","at":3,"vm":"a"}
{"do":"dark","at":4,"domain":"d"}
{"do":"slow","at":4,"vm":"b","factor":2}
{"do":"return","at":9,"vm":"a"}`))
	fzz.Add([]byte(`{"do":"trace","at":-1}`))
	fzz.Add([]byte(`{"do":"trace","at":9223372036854775807}` + "\n" + `{"do":"vm"}`))
	fzz.Fuzz(func(t *testing.T, data []byte) {
		trc, err := trace.Read(bytes.NewReader(data))
		assert.Equal(t, err == nil, trc != nil)
		if err != nil {
			return
		}
		assert.Assert(t, len(trc.Zones()) > 0)
		if !large.Match(data) {
			trace.Play(trc, trace.Deployment{Name: "d", Downtime: 3, Stranded: 1, Wait: time.Minute}, repair.CostBased{})
		}
	})
}
