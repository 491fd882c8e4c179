package main_test

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/node"
)

// TestExitCodes runs the daemon with start files that it can't use or is only
// to check.
func TestExitCodes(t *testing.T) {
	const any = "127.0.0.1:0"
	taken, err := net.Listen("tcp", any)
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	good := node.Config{
		Node: "e1", Zone: "z1", Log: "127.0.0.1:1", VMs: "127.0.0.1:1",
		Listen: node.Listen{Callers: any, Operators: any, Peers: any, Metrics: any},
	}
	tests := []struct {
		name string
		edit func(cfg *node.Config)
		args []string
		exit int
		out  string
		// fault is the beginning of the one line on the error output.
		fault string
	}{
		{"checked", func(*node.Config) {}, []string{"--check"}, 0, "start file is valid", ""},
		{"wrong value", func(cfg *node.Config) { cfg.Zone = "" }, nil, 2, "", "code 600: start file: zone: is missing"},
		{"wrong value checked", func(cfg *node.Config) { cfg.Zone = "" }, []string{"--check"}, 2, "", "code 600: start file: zone: is missing"},
		{
			"missing certificate checked", func(cfg *node.Config) { cfg.TLS = node.TLS{Cert: "/no/such.crt", Key: "k", CA: "/no/such.ca"} },
			[]string{"--check"}, 2, "", "code 600: authorities: open /no/such.ca",
		},
		{"address in use", func(cfg *node.Config) { cfg.Listen.Peers = taken.Addr().String() }, nil, 1, "", "code 601: listen on " + taken.Addr().String()},
		{"unknown flag", func(*node.Config) {}, []string{"--chek"}, 2, "", "unknown flag `chek'"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := good
			tt.edit(&cfg)
			raw, err := json.Marshal(cfg)
			assert.NilError(t, err)
			file := filepath.Join(t.TempDir(), "start.json")
			assert.NilError(t, os.WriteFile(file, raw, 0o600))
			cmd := exec.Command(program, append([]string{"--config", file}, tt.args...)...)
			var faults strings.Builder
			cmd.Stderr = &faults
			out, err := cmd.Output()
			var eer *exec.ExitError
			assert.Assert(t, err == nil || errors.As(err, &eer), "%v", err)
			assert.Equal(t, cmd.ProcessState.ExitCode(), tt.exit, faults.String())
			assert.Equal(t, strings.TrimSpace(string(out)), tt.out)
			assert.Assert(t, strings.HasPrefix(faults.String(), tt.fault), faults.String())
			assert.Assert(t, strings.Count(faults.String(), "\n") <= 1, faults.String())
		})
	}
}
