package main_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/model/trial"
)

// TestProgram runs the program with valid and invalid flags, on arrivals that it
// generates itself.
func TestProgram(t *testing.T) {
	dir := t.TempDir()
	bin := filepath.Join(dir, "exper")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	arrivals := filepath.Join(dir, "sub", "arrivals.jsonl")
	results := filepath.Join(dir, "results.json")
	plots := filepath.Join(dir, "plots")
	bad := filepath.Join(dir, "bad.jsonl")
	assert.NilError(t, os.WriteFile(bad, []byte("{}\n"), 0o600))
	tests := []struct {
		name string
		args string
		ok   bool
		want string
	}{
		{"generate", "--generate 200 --seed 3 --arrivals " + arrivals, true, ""},
		{"measure", "--arrivals " + arrivals + " --load 1.5 --policy round-robin --policy kumquathinge --orgs" +
			" --json " + results + " --plots " + plots, true, "tokens in time"},
		{"no file", "--arrivals " + dir + "/none", false, "no such file"},
		{"bad arrivals", "--arrivals " + bad, false, "line 1"},
		{"unknown flag", "--lode 1", false, "unknown flag"},
		{"press nothing", "press", false, "--front or --engine is required"},
		{"press no server", "press --rate 0 --front 127.0.0.1:1", false, "must be positive"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, runErr := exec.Command(bin, strings.Fields(tt.args)...).CombinedOutput()
			assert.Equal(t, runErr == nil, tt.ok, "%s", got)
			assert.Assert(t, strings.Contains(string(got), tt.want), "%s", got)
		})
	}
	data, err := os.ReadFile(results)
	assert.NilError(t, err)
	var res []trial.Result
	assert.NilError(t, json.Unmarshal(data, &res))
	assert.Equal(t, len(res), 2)
	assert.Equal(t, res[0].Policy, trial.SystemPolicy)
	files, err := filepath.Glob(filepath.Join(plots, "*.png"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 4)
}
