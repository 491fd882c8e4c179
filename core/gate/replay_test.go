package gate_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/gate"
)

const bound = time.Second

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	codes = map[string]core.Code{
		"ok": core.CodeOK, "unknown": core.CodeGroupUnknown, "missing": core.CodeMemberMissing,
		"draining": core.CodeDraining, "crossed": core.CodeCrossedAnswer,
	}
)

// event is one line of a replay file: something that happened, or a question
// with the stated outcome. Times are in milliseconds from the start.
type event struct {
	Do       string           `json:"do"`
	Name     string           `json:"name"`
	At       int              `json:"at"`
	Sent     int              `json:"sent"`
	VM       core.VMName      `json:"vm"`
	VMs      []core.VMName    `json:"vms"`
	Inc      core.Incarnation `json:"inc"`
	State    core.EngineState `json:"state"`
	Group    core.GroupName   `json:"group"`
	Order    core.Offset      `json:"order"`
	Version  string           `json:"version"`
	Adapters []string         `json:"adapters"`
	Phase    core.Phase       `json:"phase"`
	Leaving  bool             `json:"leaving"`
	Body     bool             `json:"body"`
	Code     string           `json:"code"`
	Losses   []string         `json:"losses"`
}

func (evt event) at() time.Time { return start.Add(time.Duration(evt.At) * time.Millisecond) }

func (evt event) spec() core.Spec {
	spc := core.Spec{Model: "alerts-70b", Version: "v1", Role: core.RoleBoth, Adapters: evt.Adapters}
	if evt.Version != "" {
		spc.Version = evt.Version
	}
	return spc
}

func (evt event) probe() (core.ProbeResult, time.Time) {
	sent := evt.at()
	if evt.Sent > 0 {
		sent = start.Add(time.Duration(evt.Sent) * time.Millisecond)
	}
	return core.ProbeResult{
		VM: evt.VM, Incarnation: evt.Inc, State: evt.State, Group: evt.Group,
		FencingToken: evt.Order, Spec: evt.spec(), Leaving: evt.Leaving,
	}, sent
}

// player feeds a gate from the lines of a replay file.
type player struct {
	gte  *gate.Gate
	asns map[core.GroupName]core.Assignment
	per  core.Permit
}

func newPlayer() *player {
	return &player{gte: gate.New(bound), asns: map[core.GroupName]core.Assignment{}}
}

func (ply *player) assign(evt event) {
	pha := evt.Phase
	if pha == "" {
		pha = core.PhaseAssigned
	}
	ply.asns[evt.Group] = core.Assignment{Group: evt.Group, VMs: evt.VMs, FencingToken: evt.Order, Phase: pha, Spec: evt.spec()}
	var all []core.Assignment
	for _, asn := range ply.asns {
		all = append(all, asn)
	}
	ply.gte.Assign(all)
}

func (ply *player) permit(t *testing.T, evt event) {
	per, err := ply.gte.Permit(evt.Group, evt.at())
	assert.Equal(t, core.CodeOf(err), codes[evt.Code], "at %d ms: %v", evt.At, err)
	if err != nil {
		return
	}
	ply.per = per
	asn := ply.asns[evt.Group]
	assert.Equal(t, per.FencingToken, asn.FencingToken)
	assert.Equal(t, per.Leader, asn.VMs[0])
	if evt.Inc != "" {
		assert.Equal(t, per.Incarnation, evt.Inc)
	}
}

func (ply *player) play(t *testing.T, evt event) {
	switch evt.Do {
	case "assign":
		ply.assign(evt)
	case "probe":
		ply.gte.Observe(evt.probe())
	case "missing":
		ply.gte.Missing(evt.VM, evt.at())
	case "leaving":
		ply.gte.Leaving(core.NewSet(evt.VMs...))
	case "drain":
		grps := core.NewSet[core.GroupName]()
		for _, nam := range evt.VMs {
			grps.Add(core.GroupName(nam))
		}
		ply.gte.Drain(grps)
	case "bound":
		ply.gte.SetBound(time.Duration(evt.At) * time.Millisecond)
	case "permit":
		ply.permit(t, evt)
	case "verify":
		head := core.Chunk{Head: !evt.Body, Incarnation: evt.Inc, FencingToken: evt.Order, Spec: evt.spec()}
		assert.Equal(t, core.CodeOf(ply.gte.Verify(ply.per, head)), codes[evt.Code])
	case "crashed":
		got := []string{}
		for _, los := range ply.gte.Crashed() {
			got = append(got, fmt.Sprintf("%s/%s/%s@%d", los.VM, los.Group, los.Old, los.At.Sub(start).Milliseconds()))
		}
		assert.DeepEqual(t, got, evt.Losses)
	default:
		t.Fatalf("unknown event %q", evt.Do)
	}
}

func replay(t *testing.T, path string) {
	fil, err := os.Open(path)
	assert.NilError(t, err)
	defer fil.Close()
	var name string
	cases := map[string][]event{}
	var order []string
	scn := bufio.NewScanner(fil)
	for scn.Scan() {
		var evt event
		assert.NilError(t, json.Unmarshal(scn.Bytes(), &evt))
		if evt.Do == "case" {
			name = evt.Name
			order = append(order, name)
			continue
		}
		cases[name] = append(cases[name], evt)
	}
	assert.NilError(t, scn.Err())
	assert.Assert(t, len(order) > 0)
	for _, nam := range order {
		t.Run(nam, func(t *testing.T) {
			ply := newPlayer()
			for _, evt := range cases[nam] {
				ply.play(t, evt)
			}
		})
	}
}

func TestHoldsCompleteGroup(t *testing.T) { replay(t, "testdata/complete.jsonl") }

func TestHoldsLeavingServer(t *testing.T) { replay(t, "testdata/leaving.jsonl") }

func TestCrashed(t *testing.T) { replay(t, "testdata/crash.jsonl") }
