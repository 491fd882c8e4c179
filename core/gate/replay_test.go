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

const maxProbeAge = time.Second

var (
	start      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	codeByName = map[string]core.Code{
		"ok": core.CodeOK, "unknown": core.CodeGroupUnknown, "missing": core.CodeMemberMissing,
		"draining": core.CodeDraining, "crossed": core.CodeCrossedAnswer,
	}
)

// replayEvent is one line of a replay file: an event, or a call with its
// expected result. Times are in milliseconds since start.
type replayEvent struct {
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

func (event replayEvent) at() time.Time { return start.Add(time.Duration(event.At) * time.Millisecond) }

func (event replayEvent) spec() core.Spec {
	result := core.Spec{Model: "alerts-70b", Version: "v1", Role: core.RoleBoth, Adapters: event.Adapters}
	if event.Version != "" {
		result.Version = event.Version
	}
	return result
}

func (event replayEvent) probe() (core.ProbeResult, time.Time) {
	sent := event.at()
	if event.Sent > 0 {
		sent = start.Add(time.Duration(event.Sent) * time.Millisecond)
	}
	return core.ProbeResult{
		VM: event.VM, Incarnation: event.Inc, State: event.State, Group: event.Group,
		FencingToken: event.Order, Spec: event.spec(), Leaving: event.Leaving,
	}, sent
}

// scenarioRunner applies the events of a replay file to a gate.
type scenarioRunner struct {
	gate        *gate.Gate
	assignments map[core.GroupName]core.Assignment
	lastPermit  core.Permit
}

func newScenarioRunner() *scenarioRunner {
	return &scenarioRunner{gate: gate.New(maxProbeAge), assignments: map[core.GroupName]core.Assignment{}}
}

func (runner *scenarioRunner) assign(event replayEvent) {
	phase := event.Phase
	if phase == "" {
		phase = core.PhaseAssigned
	}
	runner.assignments[event.Group] = core.Assignment{Group: event.Group, VMs: event.VMs, FencingToken: event.Order, Phase: phase, Spec: event.spec()}
	var all []core.Assignment
	for _, assignment := range runner.assignments {
		all = append(all, assignment)
	}
	runner.gate.SetAssignments(all)
}

func (runner *scenarioRunner) permit(t *testing.T, event replayEvent) {
	permit, err := runner.gate.Permit(event.Group, event.at())
	assert.Equal(t, core.CodeOf(err), codeByName[event.Code], "at %d ms: %v", event.At, err)
	if err != nil {
		return
	}
	runner.lastPermit = permit
	assignment := runner.assignments[event.Group]
	assert.Equal(t, permit.FencingToken, assignment.FencingToken)
	assert.Equal(t, permit.Leader, assignment.VMs[0])
	if event.Inc != "" {
		assert.Equal(t, permit.Incarnation, event.Inc)
	}
}

func (runner *scenarioRunner) apply(t *testing.T, event replayEvent) {
	switch event.Do {
	case "assign":
		runner.assign(event)
	case "probe":
		runner.gate.RecordProbe(event.probe())
	case "missing":
		runner.gate.RecordFailure(event.VM, event.at())
	case "leaving":
		runner.gate.SetLeaving(core.NewSet(event.VMs...))
	case "drain":
		groups := core.NewSet[core.GroupName]()
		for _, name := range event.VMs {
			groups.Add(core.GroupName(name))
		}
		runner.gate.SetDraining(groups)
	case "bound":
		runner.gate.SetMaxProbeAge(time.Duration(event.At) * time.Millisecond)
	case "permit":
		runner.permit(t, event)
	case "verify":
		head := core.Chunk{Head: !event.Body, Incarnation: event.Inc, FencingToken: event.Order, Spec: event.spec()}
		assert.Equal(t, core.CodeOf(runner.gate.Verify(runner.lastPermit, head)), codeByName[event.Code])
	case "crashed":
		got := []string{}
		for _, crash := range runner.gate.TakeCrashes() {
			got = append(got, fmt.Sprintf("%s/%s/%s@%d", crash.VM, crash.Group, crash.Incarnation, crash.At.Sub(start).Milliseconds()))
		}
		assert.DeepEqual(t, got, event.Losses)
	default:
		t.Fatalf("unknown event type %q", event.Do)
	}
}

func replay(t *testing.T, path string) {
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	var name string
	cases := map[string][]replayEvent{}
	var order []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var event replayEvent
		assert.NilError(t, json.Unmarshal(scanner.Bytes(), &event))
		if event.Do == "case" {
			name = event.Name
			order = append(order, name)
			continue
		}
		cases[name] = append(cases[name], event)
	}
	assert.NilError(t, scanner.Err())
	assert.Assert(t, len(order) > 0)
	for _, caseName := range order {
		t.Run(caseName, func(t *testing.T) {
			runner := newScenarioRunner()
			for _, event := range cases[caseName] {
				runner.apply(t, event)
			}
		})
	}
}

func TestHoldsCompleteGroup(t *testing.T) { replay(t, "testdata/complete.jsonl") }

func TestHoldsLeavingServer(t *testing.T) { replay(t, "testdata/leaving.jsonl") }

func TestTakeCrashes(t *testing.T) { replay(t, "testdata/crash.jsonl") }
