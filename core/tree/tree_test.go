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
	tre := tree.New().
		Set("/", "request.deadline", []byte(`"20s"`), 1).
		Set("/models/alerts-70b", "request.deadline", []byte(`"10s"`), 2)
	for _, pth := range []tree.Path{"/models/alerts-70b/groups/g1", "/models/notes-8b"} {
		val, _ := tre.Lookup(pth, "request.deadline")
		fmt.Printf("%s: %s from %s, set at %d\n", pth, val.Raw, val.Origin, val.Version)
	}
	fmt.Println(tre.Config("/services/booking").Int("request.max_attempts"))
	// Output:
	// /models/alerts-70b/groups/g1: "10s" from /models/alerts-70b, set at 2
	// /models/notes-8b: "20s" from /, set at 1
	// 3
}

func TestValidate(tst *testing.T) {
	ok := core.CodeOK
	bad := core.CodeSettingInvalid
	for _, cas := range []struct {
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
		err := tree.Validate(cas.path, cas.key, []byte(cas.raw))
		assert.Equal(tst, core.CodeOf(err), cas.want, "%s %s %s: %v", cas.path, cas.key, cas.raw, err)
		if err == nil {
			continue
		}
		var cer *core.Error
		assert.Assert(tst, errors.As(err, &cer))
		assert.Assert(tst, strings.Contains(cer.Detail(), string(cas.path)), cer.Detail())
		assert.Assert(tst, cas.want == core.CodeNoSuchNode || strings.Contains(cer.Detail(), cas.key), cer.Detail())
	}
}

// TestInheritance sets one key at every level and takes it away again from the
// bottom up and from the top down.
func TestInheritance(tst *testing.T) {
	const key = "model.capacity"
	leaf := tree.Path("/models/m/groups/g")
	levels := []tree.Path{"/", "/models/m", leaf}
	full := tree.New()
	for idx, pth := range levels {
		full = full.Set(pth, key, fmt.Appendf(nil, "%d", idx+1), core.Offset(idx+1))
	}
	for mask := range 1 << len(levels) {
		tre, want := full, 32
		origin := tree.OriginDefault
		for idx, pth := range levels {
			if mask&(1<<idx) == 0 {
				tre = tre.Set(pth, key, nil, 9)
				continue
			}
			want, origin = idx+1, pth
		}
		assert.Equal(tst, tre.Config(leaf).Int(key), want)
		_, has := tre.Lookup(leaf, key)
		assert.Equal(tst, has, mask != 0)
		for _, val := range tre.Effective(leaf) {
			if val.Key == key {
				assert.Equal(tst, val.Origin, origin)
			}
		}
	}
	assert.Equal(tst, full.Config(leaf).Int(key), 3)
	assert.Equal(tst, full.Version(leaf), core.Offset(3))
	assert.Equal(tst, full.Set(leaf, key, nil, 9).Version(leaf), core.Offset(9))
	assert.DeepEqual(tst, full.Children("/models/m"), []tree.Path{leaf})
}

func TestConfigReadsEveryType(tst *testing.T) {
	cfg := tree.New().Set("/", "model.adapters", []byte(`["a"]`), 1).Config("/nodes/n")
	assert.Equal(tst, cfg.Bool("service.enabled"), true)
	assert.Equal(tst, cfg.Float("request.retry_budget"), 0.1)
	assert.Equal(tst, cfg.Duration("probe.interval"), 250*time.Millisecond)
	assert.Equal(tst, cfg.String("model.role"), "both")
	assert.DeepEqual(tst, cfg.Strings("model.adapters"), []string{"a"})
	for _, fun := range []func(){
		func() { cfg.Int("no.such_key") },
		func() { cfg.Int("probe.interval") },
		func() { tree.New().Set("/", "queue.depth", []byte("-1"), 1) },
	} {
		assert.Assert(tst, panics(fun))
	}
}

func panics(fun func()) (did bool) {
	defer func() { did = recover() != nil }()
	fun()
	return false
}

// TestSettingsPage holds docs/SETTINGS.md against the schema, line by line.
func TestSettingsPage(tst *testing.T) {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(tst, err)
	var got []string
	for _, lin := range strings.Split(string(data), "\n") {
		if strings.Count(lin, " | ") == 5 && strings.HasPrefix(lin, "| `") {
			got = append(got, lin)
		}
	}
	var want []string
	for _, key := range tree.Keys() {
		want = append(want, line(key))
	}
	assert.DeepEqual(tst, got, want)
}

func line(key tree.Key) string {
	bounds := ""
	switch {
	case key.Type == tree.TypeDuration:
		span := func(sec float64) string { return time.Duration(sec * float64(time.Second)).String() }
		bounds = fmt.Sprintf("%s to %s", span(key.Min), span(key.Max))
	case key.Max > 0:
		bounds = fmt.Sprintf("%v to %v", key.Min, key.Max)
	}
	var whr []string
	for _, plc := range key.Where {
		whr = append(whr, string(plc))
	}
	return fmt.Sprintf("| `%s` | %s | %s | `%s` | %s | %s |", key.Name, key.Type, bounds, key.Default, strings.Join(whr, ", "), key.Doc)
}

func FuzzValidate(fzz *testing.F) {
	for _, key := range tree.Keys() {
		fzz.Add("/models/m/groups/g", key.Name, []byte(key.Default))
	}
	fzz.Add("/", "org.weight", []byte("1e-99"))
	fzz.Add("/", "model.adapters", []byte(`["\u0000"]`))
	fzz.Fuzz(func(tst *testing.T, pth, key string, raw []byte) {
		err := tree.Validate(tree.Path(pth), key, raw)
		if err != nil {
			assert.Assert(tst, core.CodeOf(err) >= core.CodeSettingInvalid && core.CodeOf(err) <= core.CodeNoSuchNode)
			return
		}
		tre := tree.New().Set(tree.Path(pth), key, raw, 1)
		val, has := tre.Lookup(tree.Path(pth), key)
		assert.Equal(tst, has, raw != nil)
		assert.Assert(tst, raw == nil || json.Valid(val.Raw))
		assert.Assert(tst, raw == nil || tree.Validate(tree.Path(pth), key, val.Raw) == nil)
	})
}
