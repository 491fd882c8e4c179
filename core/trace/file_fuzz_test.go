package trace_test

import (
	"bytes"
	"testing"

	"kumquathinge/core/trace"
)

// FuzzRead checks that a file is either refused or a trace with zones.
func FuzzRead(fzz *testing.F) {
	fzz.Add([]byte(`{"do":"trace","at":60,"name":"n"}
{"do":"store","per_minute":30}
{"do":"model","model":"m","load":5}
{"do":"vm","vm":"a","zone":"z","domain":"d"}
{"do":"group","group":"g","zone":"z","model":"m","size":1}
{"do":"die","at":3,"vm":"a"}
{"do":"return","at":9,"vm":"a"}`))
	fzz.Add([]byte(`{"do":"trace","at":-1}`))
	fzz.Add([]byte(`{"do":"trace","at":9223372036854775807}` + "\n" + `{"do":"vm"}`))
	fzz.Fuzz(func(t *testing.T, data []byte) {
		trc, err := trace.Read(bytes.NewReader(data))
		if (err == nil) != (trc != nil) {
			t.Fatalf("trace %v with error %v", trc, err)
		}
		if trc != nil && len(trc.Zones()) == 0 {
			t.Fatal("a trace without zones")
		}
	})
}
