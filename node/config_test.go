package node_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/node"
)

// startFile is a valid start file; the tests replace parts of it.
const startFile = `{
	"node": "e1", "zone": "z1",
	"listen": {"callers": "10.0.1.1:8080", "operators": "127.0.0.1:7080", "peers": "127.0.0.1:7102", "metrics": "[::1]:9100"},
	"advertise": "10.0.1.1:7102",
	"log": "log.example:7000", "vms": "10.0.9.1:7001",
	"seeds": ["10.0.2.1:7102", "[fd00::2]:7102"],
	"operators": [{"name": "ana", "key_hash": "7f83b1657ff1fc53b92dc18148a1d65dfc2d4b1fa3d677284addd200126d9069"}]
}`

func ExampleParseConfig() {
	cfg, err := node.ParseConfig([]byte(startFile))
	fmt.Println(cfg.Node, cfg.Zone, cfg.Listen.Peers, err)
	_, err = node.ParseConfig([]byte(strings.Replace(startFile, "10.0.1.1:8080", "localhost:8080", 1)))
	fmt.Println(err)
	// Output:
	// e1 z1 127.0.0.1:7102 <nil>
	// code 600: start file: listen.callers: "localhost:8080" is not IP:port
}

// TestParseConfig replaces one part of a start file and checks the lines of
// the error.
func TestParseConfig(t *testing.T) {
	const hash = "7f83b1657ff1fc53b92dc18148a1d65dfc2d4b1fa3d677284addd200126d9069"
	tests := []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"good", "", "", nil},
		{"no node", `"e1"`, `""`, []string{"node: is missing"}},
		{"invalid node name", `"e1"`, `"a/b"`, []string{`node: "a/b" is not a valid name`}},
		{"long node", `"e1"`, `"` + strings.Repeat("n", 65) + `"`, []string{"is longer than 64"}},
		{"zone with line end", `"z1"`, `"z1\n"`, []string{`zone: "z1\n" is not a valid name`}},
		{"no callers", `"callers": "10.0.1.1:8080", `, "", []string{"listen.callers: is missing"}},
		{"callers by host name", "10.0.1.1:8080", "entry:8080", []string{`listen.callers: "entry:8080" is not IP:port`}},
		{"operators without port", "127.0.0.1:7080", "127.0.0.1", []string{`listen.operators: "127.0.0.1" is not IP:port`}},
		{"port too large", "127.0.0.1:7102", "127.0.0.1:70000", []string{`listen.peers: "127.0.0.1:70000" is not IP:port`}},
		{"metrics without IP", "[::1]:9100", ":9100", []string{`listen.metrics: ":9100" is not IP:port`}},
		{"open peers", "127.0.0.1:7102", "10.0.1.1:7102", []string{`listen.peers: "10.0.1.1:7102" is not a loopback address, so the section tls`}},
		{"open operators", "127.0.0.1:7080", "0.0.0.0:7080", []string{`listen.operators: "0.0.0.0:7080" is not a loopback address`}},
		{
			"nothing to dial", "127.0.0.1:7102\", \"metrics\": \"[::1]:9100\"},\n\t\"advertise\": \"10.0.1.1:7102\"", `[::]:7102", "metrics": "[::1]:9100"}`,
			[]string{"listen.peers: ", "advertise: is missing: peers can't dial"},
		},
		{"advertise by host name", `"advertise": "10.0.1.1:7102"`, `"advertise": "e1:7102"`, []string{`advertise: "e1:7102" is not IP:port`}},
		{"advertise port 0", `"advertise": "10.0.1.1:7102"`, `"advertise": "10.0.1.1:0"`, []string{`advertise: "10.0.1.1:0" is not IP:port with a port above 0`}},
		{"no log", `"log.example:7000"`, `""`, []string{"log: is missing"}},
		{"log without port", "log.example:7000", "log.example", []string{`log: "log.example" is not host:port`}},
		{"list as URL", "10.0.9.1:7001", "http://10.0.9.1:7001", []string{`vms: "http://10.0.9.1:7001" is not host:port`}},
		{"bad seed", "[fd00::2]:7102", "fd00::2:7102", []string{`seeds[1]: "fd00::2:7102" is not IP:port`}},
		{"operator without name", `"ana"`, `""`, []string{"operators[0].name: is missing"}},
		{"hash in upper case", hash, strings.ToUpper(hash), []string{"operators[0].key_hash: is not a SHA-256 in lower-case hexadecimal"}},
		{"short hash", hash, hash[2:], []string{"operators[0].key_hash: "}},
		{"key instead of hash", hash, "secret", []string{"operators[0].key_hash: is not"}},
		{"two with one key", `}]`, `}, {"name": "bob", "key_hash": "` + hash + `"}]`, []string{"operators: has two entries with the same KeyHash"}},
		{"part of tls", `"seeds"`, `"tls": {"cert": "a"}, "seeds"`, []string{"tls.key: is missing: cert, key and ca", "tls.ca: is missing"}},
		{"unknown field", `"seeds"`, `"seed"`, []string{`unknown field "seed"`}},
		{"unknown field below", `"callers"`, `"caller"`, []string{`unknown field "caller"`}},
		{"wrong type", `"e1"`, `1`, []string{"cannot unmarshal number into Go struct field Config.node"}},
		{"truncated", `"log.example:7000"`, `"log`, []string{"invalid character"}},
		{"trailing data", "}]\n}", "}]\n}{}", []string{"more data after the JSON object"}},
		{"two wrong values", `"e1", "zone": "z1"`, `"", "zone": "/"`, []string{"node: is missing", `zone: "/" is not a valid name`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(startFile, tt.old))
			cfg, err := node.ParseConfig([]byte(strings.Replace(startFile, tt.old, tt.new, 1)))
			if tt.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, cfg.Node, core.NodeName("e1"))
				return
			}
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
			assert.DeepEqual(t, cfg, node.Config{})
			for _, text := range tt.want {
				assert.Assert(t, strings.Contains(err.Error(), text), "%v", err)
			}
			assert.Equal(t, strings.Count(err.Error(), "start file: "), len(tt.want), "%v", err)
			assert.Assert(t, !strings.Contains(err.Error(), "secret"), "%v", err)
		})
	}
}

func TestReadConfigMissing(t *testing.T) {
	_, err := node.ReadConfig("/no/such.json")
	assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
	assert.ErrorContains(t, err, "/no/such.json")
}

// FuzzParseConfig checks that an accepted start file is the same after
// encoding and parsing it again, and that a rejected one has an error with the
// code and a line for each fault.
func FuzzParseConfig(f *testing.F) {
	for _, text := range []string{startFile, "", "{}", "null", "[]", "{}{}", `{"node":"n1","zone":"z1"}{}`, `{"node":"n1","zone":"z1","log":"http://[::1]:%"}`, `{"node":1}`, `{"tls":{"cert":"a"}}`, strings.Replace(startFile, "127", "0", 2)} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := node.ParseConfig(data)
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
			for _, line := range strings.Split(strings.TrimPrefix(err.Error(), "code 600: "), "\n") {
				assert.Assert(t, strings.HasPrefix(line, "start file: ") && len(line) > len("start file: "), "%q", err)
			}
			return
		}
		out, err := json.Marshal(cfg)
		assert.NilError(t, err)
		reparsed, err := node.ParseConfig(out)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(cfg, reparsed), "%+v is not %+v", cfg, reparsed)
	})
}
