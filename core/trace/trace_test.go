package trace_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/repair"
	"kumquathinge/core/trace"
)

// traceText returns a trace with one fabric domain of the given number of VMs,
// a group of four and a group of two, and a load time of one minute.
func traceText(vms int, faults ...string) string {
	out := []string{
		`{"do":"trace","name":"t","at":14400}`,
		`{"do":"store","per_minute":60}`,
		`{"do":"model","model":"m","load":60}`,
		`{"do":"group","group":"g","zone":"z","size":4,"model":"m"}`,
		`{"do":"group","group":"h","zone":"z","size":2,"model":"m"}`,
	}
	for idx := range vms {
		out = append(out, fmt.Sprintf(`{"do":"vm","vm":"v%d","zone":"z","domain":"d"}`, idx))
	}
	return strings.Join(append(out, faults...), "\n")
}

// TestPlay checks the reaction of a policy to faults: the number of retired
// assignments, the number of loads and the maximum downtime.
func TestPlay(t *testing.T) {
	policies := map[string]repair.Policy{"weighted": repair.CostBased{}, "wait": repair.AlwaysWait{}, "rebuild": repair.AlwaysRebuild{}}
	tests := []struct {
		name    string
		policy  string
		vms     int
		faults  []string
		retired int
		loads   int
		down    time.Duration
	}{
		{"no faults", "weighted", 6, nil, 0, 0, 0},
		{"short pause with a spare", "weighted", 7, []string{`{"do":"pause","at":5000,"vm":"v0"}`, `{"do":"resume","at":5030,"vm":"v0"}`}, 0, 0, 31 * time.Second},
		{"short pause, immediate rebuild", "rebuild", 7, []string{`{"do":"pause","at":5000,"vm":"v0"}`, `{"do":"resume","at":5030,"vm":"v0"}`}, 1, 4, 2 * time.Minute},
		{"restart: only the restarted engine loads", "weighted", 6, []string{`{"do":"die","at":5000,"vm":"v0"}`, `{"do":"return","at":5020,"vm":"v0"}`}, 0, 1, 2 * time.Minute},
		{"lost for an hour with a spare", "weighted", 7, []string{`{"do":"die","at":5000,"vm":"v0"}`, `{"do":"return","at":8600,"vm":"v0"}`}, 1, 4, 5 * time.Minute},
		{"lost for an hour, always wait", "wait", 7, []string{`{"do":"die","at":5000,"vm":"v0"}`, `{"do":"return","at":8600,"vm":"v0"}`}, 0, 1, 62 * time.Minute},
		{"one lost in each group: one group is formed from both", "weighted", 6, []string{`{"do":"die","at":5000,"vm":"v0"}`, `{"do":"die","at":5000,"vm":"v5"}`}, 2, 4, 162 * time.Minute},
		{"domain unreachable for ten minutes", "weighted", 7, []string{`{"do":"dark","at":5000,"domain":"d"}`, `{"do":"light","at":5600,"domain":"d"}`}, 0, 0, 21 * time.Minute},
		{"member leaves with a spare", "weighted", 7, []string{`{"do":"leave","at":5000,"vm":"v0"}`}, 1, 4, 2 * time.Minute},
		{"member leaves without a spare: kept until it returns", "weighted", 6, []string{
			`{"do":"leave","at":5000,"vm":"v0"}`, `{"do":"die","at":5300,"vm":"v0"}`, `{"do":"stay","at":5500,"vm":"v0"}`, `{"do":"return","at":5500,"vm":"v0"}`,
		}, 0, 1, 11 * time.Minute},
		{"spare exits during the repair", "weighted", 8, []string{
			`{"do":"die","at":5000,"vm":"v0"}`, `{"do":"die","at":5150,"vm":"v6"}`, `{"do":"die","at":5160,"vm":"v7"}`, `{"do":"return","at":5400,"vm":"v7"}`,
		}, 2, 8, 20 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, err := trace.Read(strings.NewReader(traceText(tt.vms, tt.faults...)))
			assert.NilError(t, err)
			res := trace.Play(tr, testDeployment, policies[tt.policy])
			assert.Equal(t, res.Retired, tt.retired)
			assert.Equal(t, res.Loads, tt.loads)
			assert.Assert(t, res.Downtime <= tt.down, "down for %v", res.Downtime)
		})
	}
}

func TestReadErrorLine(t *testing.T) {
	for _, bad := range []string{"{", `{"do":"explode"}`} {
		_, err := trace.Read(strings.NewReader(traceText(6, bad)))
		assert.ErrorContains(t, err, "line 12")
	}
	_, err := trace.Read(strings.NewReader(""))
	assert.ErrorContains(t, err, "no end")
}
