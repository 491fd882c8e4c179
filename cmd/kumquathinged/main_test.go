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

// TestExitCodes runs the daemon with --check, invalid start files, an address in
// use and an unknown flag.
func TestExitCodes(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	busy, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	defer func() { _ = busy.Close() }()
	good := node.Config{
		Node: "e1", Zone: "z1", Log: "127.0.0.1:1", VMs: "127.0.0.1:1",
		Listen: node.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort, Metrics: anyPort},
	}
	tests := []struct {
		name     string
		edit     func(cfg *node.Config)
		args     []string
		wantExit int
		wantOut  string
		// wantErr is the prefix of the single line on standard error.
		wantErr string
	}{
		{"checked", func(*node.Config) {}, []string{"--check"}, 0, "start file is valid", ""},
		{"wrong value", func(cfg *node.Config) { cfg.Zone = "" }, nil, 2, "", "code 600: start file: zone: is missing"},
		{"wrong value checked", func(cfg *node.Config) { cfg.Zone = "" }, []string{"--check"}, 2, "", "code 600: start file: zone: is missing"},
		{
			"missing certificate checked", func(cfg *node.Config) { cfg.TLS = node.TLS{Cert: "/no/such.crt", Key: "k", CA: "/no/such.ca"} },
			[]string{"--check"}, 2, "", "code 600: authorities: open /no/such.ca",
		},
		{"address in use", func(cfg *node.Config) { cfg.Listen.Peers = busy.Addr().String() }, nil, 1, "", "code 601: listen on " + busy.Addr().String()},
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
			var stderr strings.Builder
			cmd.Stderr = &stderr
			stdout, err := cmd.Output()
			var exitErr *exec.ExitError
			assert.Assert(t, err == nil || errors.As(err, &exitErr), "%v", err)
			assert.Equal(t, cmd.ProcessState.ExitCode(), tt.wantExit, stderr.String())
			assert.Equal(t, strings.TrimSpace(string(stdout)), tt.wantOut)
			assert.Assert(t, strings.HasPrefix(stderr.String(), tt.wantErr), stderr.String())
			assert.Assert(t, strings.Count(stderr.String(), "\n") <= 1, stderr.String())
		})
	}
}
