package tree_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

func ExampleTree_Lookup() {
	tr := tree.New().
		Set("/", "request.deadline", []byte(`"20s"`), 1).
		Set("/models/alerts-70b", "request.deadline", []byte(`"10s"`), 2)
	for _, path := range []tree.Path{"/models/alerts-70b/groups/g1", "/models/notes-8b"} {
		val, _ := tr.Lookup(path, "request.deadline")
		fmt.Printf("%s: %s from %s, set at %d\n", path, val.Raw, val.Origin, val.Version)
	}
	fmt.Println(tr.Config("/services/booking").Int("request.max_attempts"))
	// Output:
	// /models/alerts-70b/groups/g1: "10s" from /models/alerts-70b, set at 2
	// /models/notes-8b: "20s" from /, set at 1
	// 3
}

func TestValidate(t *testing.T) {
	ok := core.CodeOK
	bad := core.CodeSettingInvalid
	for _, tc := range []struct {
		path tree.Path
		key  string
		raw  string
		want core.Code
	}{
		{"/", "group.size", "8", ok},
		{"/", "group.size", "8.0", ok},
		{"/", "group.size", "8.5", bad},
		{"/", "group.size", "0", bad},
		{"/", "group.size", "65", bad},
		{"/", "group.size", `"8"`, bad},
		{"/", "group.size", "1e999999999", bad},
		{"/", "org.weight", "1e-999999999", bad},
		{"/", "group.enabled", "true", ok},
		{"/", "group.enabled", "1", bad},
		{"/", "probe.bound", `"1s"`, ok},
		{"/", "probe.bound", `1`, bad},
		{"/", "probe.bound", `"1 second"`, bad},
		{"/", "probe.bound", `"2m"`, bad},
		{"/", "probe.bound", `"-1s"`, bad},
		{"/", "request.retry_budget", "0.25", ok},
		{"/", "request.retry_budget", "1.01", bad},
		{"/models/m", "model.role", `"decode"`, ok},
		{"/models/m", "model.role", `"encode"`, bad},
		{"/models/m", "model.adapters", `["a","b"]`, ok},
		{"/models/m", "model.adapters", `["a","a"]`, bad},
		{"/models/m", "model.adapters", `["a",1]`, bad},
		{"/models/m", "model.adapters", `{}`, bad},
		{"/models/m", "model.adapters", `["a"`, bad},
		{"/models/m", "model.adapters", `["a"] x`, bad},
		{"/orgs/o", "org.key_hashes", `["` + strings.Repeat("0f", 32) + `"]`, ok},
		{"/orgs/o", "org.key_hashes", `["0f"]`, bad},
		{"/orgs/o", "probe.bound", `"1s"`, bad},
		{"/orgs/o", "org.priorities", `1`, core.CodeSettingUnknown},
		{"/orgs", "org.priority", `1`, core.CodeNoSuchNode},
		{"/orgs/", "org.priority", `1`, core.CodeNoSuchNode},
		{"/orgs/o/", "org.priority", `1`, core.CodeNoSuchNode},
		{"/orgs/o/groups/g", "group.size", `1`, core.CodeNoSuchNode},
		{"/models/m/groups/g", "group.size", `1`, ok},
		{"/models/m/groups/g/x", "group.size", `1`, core.CodeNoSuchNode},
		{"/models/../groups/g", "group.size", `1`, core.CodeNoSuchNode},
		{"//", "group.size", `1`, core.CodeNoSuchNode},
		{"", "group.size", `1`, core.CodeNoSuchNode},
		{tree.Path("/vms/" + strings.Repeat("v", 129)), "vm.fencing", `true`, core.CodeNoSuchNode},
	} {
		err := tree.Validate(tc.path, tc.key, []byte(tc.raw))
		assert.Equal(t, core.CodeOf(err), tc.want, "%s %s %s: %v", tc.path, tc.key, tc.raw, err)
		if err == nil {
			continue
		}
		var coreErr *core.Error
		assert.Assert(t, errors.As(err, &coreErr))
		assert.Assert(t, strings.Contains(coreErr.Detail(), string(tc.path)), coreErr.Detail())
		assert.Assert(t, tc.want == core.CodeNoSuchNode || strings.Contains(coreErr.Detail(), tc.key), coreErr.Detail())
	}
}

// TestInheritance sets one key at all levels and checks the effective value for
// each subset of the levels from which it is removed.
func TestInheritance(t *testing.T) {
	const key = "model.capacity"
	leaf := tree.Path("/models/m/groups/g")
	levels := []tree.Path{"/", "/models/m", leaf}
	full := tree.New()
	for idx, path := range levels {
		full = full.Set(path, key, fmt.Appendf(nil, "%d", idx+1), core.Offset(idx+1))
	}
	for mask := range 1 << len(levels) {
		tr, want := full, 32
		origin := tree.OriginDefault
		for idx, path := range levels {
			if mask&(1<<idx) == 0 {
				tr = tr.Set(path, key, nil, 9)
				continue
			}
			want, origin = idx+1, path
		}
		assert.Equal(t, tr.Config(leaf).Int(key), want)
		_, ok := tr.Lookup(leaf, key)
		assert.Equal(t, ok, mask != 0)
		for _, val := range tr.EffectiveValues(leaf) {
			if val.Key == key {
				assert.Equal(t, val.Origin, origin)
			}
		}
	}
	assert.Equal(t, full.Config(leaf).Int(key), 3)
	assert.Equal(t, full.Version(leaf), core.Offset(3))
	assert.Equal(t, full.Set(leaf, key, nil, 9).Version(leaf), core.Offset(9))
	assert.DeepEqual(t, full.Children("/models/m"), []tree.Path{leaf})
}

func TestConfigReadsEveryType(t *testing.T) {
	cfg := tree.New().Set("/", "model.adapters", []byte(`["a"]`), 1).Config("/nodes/n")
	assert.Equal(t, cfg.Bool("service.enabled"), true)
	assert.Equal(t, cfg.Float("request.retry_budget"), 0.1)
	assert.Equal(t, cfg.Duration("probe.interval"), 250*time.Millisecond)
	assert.Equal(t, cfg.String("model.role"), "both")
	assert.DeepEqual(t, cfg.Strings("model.adapters"), []string{"a"})
	for _, fn := range []func(){
		func() { cfg.Int("no.such_key") },
		func() { cfg.Int("probe.interval") },
		func() { tree.New().Set("/", "queue.depth", []byte("-1"), 1) },
	} {
		assert.Assert(t, panics(fn))
	}
}

func panics(fn func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	fn()
	return false
}

// TestSettingsDocs checks that the table in docs/SETTINGS.md matches the
// schema.
func TestSettingsDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	var got []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Count(line, " | ") == 5 && strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	var want []string
	for _, key := range tree.Keys() {
		want = append(want, docsRow(key))
	}
	assert.DeepEqual(t, got, want)
}

func docsRow(key tree.Key) string {
	bounds := ""
	switch {
	case key.Type == tree.TypeDuration:
		format := func(sec float64) string { return time.Duration(sec * float64(time.Second)).String() }
		bounds = fmt.Sprintf("%s to %s", format(key.Min), format(key.Max))
	case key.Max > 0:
		bounds = fmt.Sprintf("%v to %v", key.Min, key.Max)
	}
	var kinds []string
	for _, kind := range key.AllowedAt {
		kinds = append(kinds, string(kind))
	}
	return fmt.Sprintf("| `%s` | %s | %s | `%s` | %s | %s |", key.Name, key.Type, bounds, key.Default, strings.Join(kinds, ", "), key.Doc)
}

func FuzzValidate(f *testing.F) {
	for _, key := range tree.Keys() {
		f.Add("/models/m/groups/g", key.Name, []byte(key.Default))
	}
	f.Add("/", "org.weight", []byte("1e-99"))
	f.Add("/", "model.adapters", []byte(`["\u0000"]`))
	f.Fuzz(func(t *testing.T, path, key string, raw []byte) {
		err := tree.Validate(tree.Path(path), key, raw)
		if err != nil {
			assert.Assert(t, core.CodeOf(err) >= core.CodeSettingInvalid && core.CodeOf(err) <= core.CodeNoSuchNode)
			return
		}
		tr := tree.New().Set(tree.Path(path), key, raw, 1)
		val, ok := tr.Lookup(tree.Path(path), key)
		assert.Equal(t, ok, raw != nil)
		assert.Assert(t, raw == nil || json.Valid(val.Raw))
		assert.Assert(t, raw == nil || tree.Validate(tree.Path(path), key, val.Raw) == nil)
	})
}
