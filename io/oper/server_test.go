package oper_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
	"kumquathinge/io/oper/operfk"
)

const probePath = `"path":"/","key":"probe.interval"`

type client struct {
	t   *testing.T
	cli fasthttp.Client
	key string
}

func serve(t *testing.T, nod *operfk.Node, cfg oper.Config) *client {
	t.Helper()
	api, err := oper.New(nod, cfg)
	assert.NilError(t, err)
	lis := fasthttputil.NewInmemoryListener()
	srv := api.Server()
	go srv.Serve(lis)
	t.Cleanup(func() { srv.Shutdown() })
	return &client{t: t, cli: fasthttp.Client{Dial: func(string) (net.Conn, error) { return lis.Dial() }}}
}

// call returns the HTTP status and reads the answer into out.
func (cli *client) call(method, url, body string, out any) int {
	cli.t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://node" + url)
	if cli.key != "" {
		req.Header.Set("Authorization", "Bearer "+cli.key)
	}
	if body != "" {
		req.Header.SetContentType("application/json")
		req.SetBodyString(body)
	}
	assert.Check(cli.t, cli.cli.Do(req, res))
	assert.Check(cli.t, json.Unmarshal(res.Body(), out), "%s", res.Body())
	return res.StatusCode()
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// open lets in ana, since callers over the listener in memory have no loopback
// address.
func open() oper.Config {
	return oper.Config{Operators: []oper.Operator{{Name: "ana", KeyHash: hashOf("k-ana")}}}
}

func start(t *testing.T) (*operfk.Node, *client) {
	t.Helper()
	nod := operfk.New()
	cli := serve(t, nod, open())
	cli.key = "k-ana"
	return nod, cli
}

// TestBadInput sends bad input to each place and checks that it gets its code,
// that the error names the path, and that nothing is appended.
func TestBadInput(t *testing.T) {
	long := strings.Repeat("x", 2000)
	put := func(fields string) string { return `{` + fields + `}` }
	tests := []struct {
		name, method, url, body string
		want                    core.Code
		text                    string
	}{
		{"no such route", "GET", "/v2", "", core.CodeBadRequest, "/v2"},
		{"wrong method", "POST", "/v1/settings", "{}", core.CodeBadRequest, "POST"},
		{"no path", "GET", "/v1/settings", "", core.CodeBadRequest, "path"},
		{"no node", "GET", "/v1/settings?path=/moons/x", "", core.CodeNoSuchNode, "/moons/x"},
		{"bad flag", "GET", "/v1/settings?path=/&explain=very", "", core.CodeBadRequest, "very"},
		{"history of no node", "GET", "/v1/settings/history?path=nope", "", core.CodeNoSuchNode, "nope"},
		{"bad number", "GET", "/v1/audit?after=-1", "", core.CodeBadRequest, "after=-1"},
		{"bad limit", "GET", "/v1/audit?max=many", "", core.CodeBadRequest, "max=many"},
		{"no id", "GET", "/v1/outcome", "", core.CodeBadRequest, "id"},
		{"unseen id", "GET", "/v1/outcome?id=x", "", core.CodeSettingUncertain, "ID"},
		{"not JSON", "PUT", "/v1/settings", `{"path":`, core.CodeBadRequest, "body"},
		{"two values", "PUT", "/v1/settings", put(probePath+`,"value":"1s","base":0`) + `{}`, core.CodeBadRequest, "goes on"},
		{"unknown field", "PUT", "/v1/settings", put(probePath + `,"value":"1s","base":0,"forced":true`), core.CodeBadRequest, "forced"},
		{"no base", "PUT", "/v1/settings", put(probePath + `,"value":"1s"`), core.CodeBadRequest, "base"},
		{"negative base", "PUT", "/v1/settings", put(probePath + `,"value":"1s","base":-1`), core.CodeBadRequest, "base"},
		{"no value", "PUT", "/v1/settings", put(probePath + `,"base":0`), core.CodeBadRequest, "/: probe.interval"},
		{"null", "PUT", "/v1/settings", put(probePath + `,"base":0,"value":null`), core.CodeSettingInvalid, "/: probe.interval"},
		{"no unit", "PUT", "/v1/settings", put(probePath + `,"value":"250","base":0`), core.CodeSettingInvalid, "/: probe.interval"},
		{"number for a duration", "PUT", "/v1/settings", put(probePath + `,"value":250,"base":0`), core.CodeSettingInvalid, "/: probe.interval"},
		{"below range", "PUT", "/v1/settings", put(probePath + `,"value":"1ms","base":0`), core.CodeSettingInvalid, "/: probe.interval"},
		{"above range", "PUT", "/v1/settings", put(`"path":"/models/m","key":"group.size","value":65,"base":0`), core.CodeSettingInvalid, "/models/m: group.size"},
		{"unknown key", "PUT", "/v1/settings", put(`"path":"/models/m","key":"probe.period","value":1,"base":0`), core.CodeSettingUnknown, "/models/m"},
		{"key at the wrong node", "PUT", "/v1/settings", put(`"path":"/orgs/o","key":"group.size","value":1,"base":0`), core.CodeSettingInvalid, "/orgs/o: group.size"},
		{"node of no shape", "PUT", "/v1/settings", put(`"path":"/models","key":"group.size","value":1,"base":0`), core.CodeNoSuchNode, "/models"},
		{"id that is none", "PUT", "/v1/settings", put(probePath + `,"value":"1s","base":0,"id":"1"`), core.CodeBadRequest, "UUID"},
		{"long note", "PUT", "/v1/settings", put(probePath + `,"value":"1s","base":0,"note":"` + long + `"`), core.CodeBadRequest, "note"},
		{"value for an unset", "DELETE", "/v1/settings", put(probePath + `,"value":"1s","base":0`), core.CodeBadRequest, "/: probe.interval"},
		{"unset of an unknown key", "DELETE", "/v1/settings", put(`"path":"/","key":"x","base":0`), core.CodeSettingUnknown, "/"},
		{"drain of nothing", "POST", "/v1/drain", `{"kind":"vm","name":"","on":true}`, core.CodeBadRequest, "name"},
		{"drain of a kind", "POST", "/v1/drain", `{"kind":"zone","name":"z","on":true}`, core.CodeBadRequest, "zone"},
		{"drain neither way", "POST", "/v1/drain", `{"kind":"vm","name":"a"}`, core.CodeBadRequest, "on"},
		{"drain of no VM", "POST", "/v1/drain", `{"kind":"vm","name":"b","on":true}`, core.CodeVMUnknown, "/vms/b"},
		{"drain of no node", "POST", "/v1/drain", `{"kind":"node","name":"b","on":true}`, core.CodeNoSuchNode, "/nodes/b"},
		{"drain of no group", "POST", "/v1/drain", `{"kind":"group","name":"b","on":true}`, core.CodeGroupUnknown, `"b"`},
		{"drain of a VM's model", "POST", "/v1/drain", `{"kind":"vm","name":"a","model":"m","on":true}`, core.CodeBadRequest, "model"},
		{"drain of a bad name", "POST", "/v1/drain", `{"kind":"vm","name":"a/b","on":true}`, core.CodeNoSuchNode, "/vms/a/b"},
		{"large body", "PUT", "/v1/settings", `"` + strings.Repeat("x", oper.MaxBodyBytes) + `"`, core.CodeTooLarge, "larger"},
	}
	nod, cli := start(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var flr oper.Failure
			sta := cli.call(tt.method, tt.url, tt.body, &flr)
			assert.Assert(t, sta >= 400, "status %d", sta)
			assert.Equal(t, flr.Code, tt.want, flr.Error)
			assert.Assert(t, strings.Contains(flr.Error, tt.text), flr.Error)
			assert.Equal(t, nod.Appends(), 0)
		})
	}
}

func TestContentType(t *testing.T) {
	nod, cli := start(t)
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://node/v1/drain")
	req.Header.Set("Authorization", "Bearer k-ana")
	req.Header.SetContentType("text/plain")
	req.SetBodyString(`{"kind":"vm","name":"a","on":true}`)
	assert.NilError(t, cli.cli.Do(req, res))
	assert.Equal(t, res.StatusCode(), fasthttp.StatusBadRequest)
	assert.Equal(t, nod.Appends(), 0)
}

func TestOperatorKeys(t *testing.T) {
	for _, tt := range []struct {
		name, key string
		cfg       oper.Config
		want      int
	}{
		{"known", "k-ana", open(), fasthttp.StatusOK},
		{"unknown", "k-bob", open(), fasthttp.StatusUnauthorized},
		{"none", "", open(), fasthttp.StatusUnauthorized},
		{"the hash for the key", hashOf("k-ana"), open(), fasthttp.StatusUnauthorized},
		{"not from a loopback address", "", oper.Config{}, fasthttp.StatusUnauthorized},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cli := serve(t, operfk.New(), tt.cfg)
			cli.key = tt.key
			var flr oper.Failure
			assert.Equal(t, cli.call("GET", "/v1/status", "", &flr), tt.want)
			assert.Equal(t, flr.Code == core.CodeUnauthorized, tt.want == fasthttp.StatusUnauthorized)
		})
	}
	for _, oprs := range [][]oper.Operator{
		{{Name: "", KeyHash: hashOf("a")}},
		{{Name: "a", KeyHash: "k-ana"}},
		{{Name: "a", KeyHash: strings.ToUpper(hashOf("a"))}},
		{{Name: "a", KeyHash: hashOf("a")}, {Name: "b", KeyHash: hashOf("a")}},
	} {
		_, err := oper.New(operfk.New(), oper.Config{Operators: oprs})
		assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
	}
}

// TestChangeStates checks what an operator hears of a change under each fault
// of the log, and that it is true.
func TestChangeStates(t *testing.T) {
	const id = "6ba7b810-9dad-41d1-80b4-00c04fd430c8"
	for _, tt := range []struct {
		name  string
		fail  core.Code
		lose  int
		empty bool
		want  oper.State
		code  core.Code
		http  int
		in    bool
	}{
		{name: "accepted", want: oper.StateAccepted, http: 200, in: true},
		{name: "refused", fail: core.CodeLogRefused, want: oper.StateNotAccepted, code: core.CodeLogRefused, http: 503},
		{name: "down", fail: core.CodeLogDown, want: oper.StateNotAccepted, code: core.CodeLogDown, http: 503},
		{name: "lost answer", lose: 1, want: oper.StateUnknown, code: core.CodeSettingUncertain, http: 504, in: true},
		{name: "lost request", fail: core.CodeLogUnknown, want: oper.StateUnknown, code: core.CodeSettingUncertain, http: 504},
		{name: "no state", empty: true, code: core.CodeNotReady, http: 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			nod, cli := start(t)
			nod.Fail(tt.fail)
			nod.LoseAnswers(tt.lose)
			nod.SetEmpty(tt.empty)
			var got struct {
				State oper.State
				Code  core.Code
				ID    string
			}
			body := `{` + probePath + `,"value":"1s","base":0,"id":"` + id + `"}`
			assert.Equal(t, cli.call("PUT", "/v1/settings", body, &got), tt.http)
			assert.Equal(t, got.State, tt.want)
			assert.Equal(t, got.Code, tt.code)
			assert.Equal(t, got.ID == id, !tt.empty)
			nod.SetEmpty(false)
			assert.Equal(t, nod.View().Tree().Version(tree.Root) == 1, tt.in)
			var rec oper.Receipt
			sta := cli.call("GET", "/v1/outcome?id="+id, "", &rec)
			assert.Equal(t, sta == 200 && rec.State == oper.StateAccepted, tt.in)
			// The same ID may be sent again, whatever became of it.
			nod.Fail(core.CodeOK)
			assert.Equal(t, cli.call("PUT", "/v1/settings", body, &got), 200)
			assert.Equal(t, got.State, oper.StateAccepted)
			assert.Equal(t, nod.View().Tree().Version(tree.Root), core.Offset(1))
			// Another change may not.
			body = strings.Replace(body, `"1s"`, `"2s"`, 1)
			assert.Equal(t, cli.call("PUT", "/v1/settings", body, &got), 409)
			assert.Equal(t, got.State, oper.StateRejected)
			assert.Equal(t, got.Code, core.CodeDuplicateRecord)
		})
	}
}

// TestRacingOperators lets operators add to one value from the version that
// they read: of all who started from one version, one is accepted and the
// others hear who was first, so that no addition is lost.
func TestRacingOperators(t *testing.T) {
	const operators, rounds = 4, 8
	nod, cli := start(t)
	var grp sync.WaitGroup
	for opr := range operators {
		grp.Go(func() {
			for round := range rounds {
				add(t, cli, fmt.Sprintf("o%d-%d", opr, round))
			}
		})
	}
	grp.Wait()
	got := nod.View().Tree().Config(tree.ModelPath("m")).Strings("model.adapters")
	assert.Equal(t, core.NewSet(got...).Len(), operators*rounds)
	var aud oper.Audit
	cli.call("GET", "/v1/settings/history?path=/models/m", "", &aud)
	assert.Equal(t, len(aud.Lines), nod.Appends())
}

// add adds an adapter to the list, as often as another operator was first.
func add(t *testing.T, cli *client, nam string) {
	for {
		var set oper.Settings
		cli.call("GET", "/v1/settings?path=/models/m", "", &set)
		var old []string
		for _, val := range set.Values {
			if val.Key == "model.adapters" {
				assert.Check(t, json.Unmarshal(val.Value, &old))
			}
		}
		val, _ := json.Marshal(append(old, nam))
		var flr oper.Failure
		sta := cli.call("PUT", "/v1/settings", fmt.Sprintf(`{"path":"/models/m","key":"model.adapters","value":%s,"base":%d}`, val, set.Version), &flr)
		if sta == 200 {
			return
		}
		if flr.Code != core.CodeSettingRaced || !strings.Contains(flr.Error, "changed by ana at offset") {
			t.Errorf("status %d: %+v", sta, flr)
			return
		}
	}
}

// TestSameIDLongValue sends a change again whose value the audit trail holds
// shortened.
func TestSameIDLongValue(t *testing.T) {
	nod, cli := start(t)
	var nams []string
	for num := range 100 {
		nams = append(nams, fmt.Sprintf("%q", fmt.Sprintf("adapter-%d", num)))
	}
	body := `{"path":"/","key":"model.adapters","base":0,"id":"6ba7b810-9dad-41d1-80b4-00c04fd430c8","value":[` + strings.Join(nams, ",") + `]}`
	for range 2 {
		var rec oper.Receipt
		assert.Equal(t, cli.call("PUT", "/v1/settings", body, &rec), 200, rec.Detail)
		assert.Equal(t, rec.Offset, core.Offset(1))
	}
	assert.Equal(t, nod.Appends(), 2)
}

func TestExplain(t *testing.T) {
	_, cli := start(t)
	var rec oper.Receipt
	cli.call("PUT", "/v1/settings", `{"path":"/","key":"group.size","value":4,"base":0}`, &rec)
	cli.call("PUT", "/v1/settings", `{"path":"/models/m","key":"group.size","value":2,"base":0}`, &rec)
	var set oper.Settings
	cli.call("GET", "/v1/settings?path=/models/m/groups/g&explain=1", "", &set)
	for _, val := range set.Values {
		if val.Key != "group.size" {
			assert.Equal(t, val.Origin, tree.OriginDefault)
			continue
		}
		assert.Equal(t, val.Origin, tree.Path("/models/m"))
		assert.Equal(t, string(val.Value), "2")
		assert.DeepEqual(t, val.Chain, []oper.Step{
			{Path: "/models/m", Value: []byte("2"), Version: 2},
			{Path: "/", Value: []byte("4"), Version: 1},
			{Path: tree.OriginDefault, Value: []byte("8")},
		})
	}
	assert.Equal(t, cli.call("DELETE", "/v1/settings", `{"path":"/models/m","key":"group.size","base":2}`, &rec), 200)
	cli.call("GET", "/v1/settings?path=/models/m", "", &set)
	assert.Equal(t, set.Version, core.Offset(3))
	assert.Equal(t, set.Values[2].Key, "group.size")
	assert.Equal(t, set.Values[2].Origin, tree.Root)
}

func TestDrain(t *testing.T) {
	nod, cli := start(t)
	nod.SetStatus(oper.Status{VMs: []oper.VMStatus{{Name: "a"}}, Nodes: []oper.NodeStatus{{Name: "n"}}})
	var rec oper.Receipt
	set := func(pth, key, val string) {
		body := fmt.Sprintf(`{"path":%q,"key":%q,"value":%s,"base":0}`, pth, key, val)
		assert.Equal(t, cli.call("PUT", "/v1/settings", body, &rec), 200, rec.Detail)
	}
	set("/models/m/groups/g", "group.size", "1")
	set("/models/m/groups/h", "group.size", "1")
	set("/models/k/groups/h", "group.size", "1")
	for _, tt := range []struct {
		body string
		path tree.Path
		key  string
	}{
		{`{"kind":"vm","name":"a","on":%t}`, "/vms/a", "vm.draining"},
		{`{"kind":"node","name":"n","on":%t}`, "/nodes/n", "node.draining"},
		{`{"kind":"group","name":"g","on":%t}`, "/models/m/groups/g", "group.draining"},
		{`{"kind":"group","name":"h","model":"k","on":%t}`, "/models/k/groups/h", "group.draining"},
	} {
		for _, on := range []bool{true, false} {
			assert.Equal(t, cli.call("POST", "/v1/drain", fmt.Sprintf(tt.body, on), &rec), 200, tt.body)
			assert.Equal(t, nod.View().Tree().Config(tt.path).Bool(tt.key), on)
		}
	}
	var flr oper.Failure
	assert.Equal(t, cli.call("POST", "/v1/drain", `{"kind":"group","name":"h","on":true}`, &flr), 400)
	assert.Assert(t, strings.Contains(flr.Error, "/models/k/groups/h"), flr.Error)
	set("/", "vm.draining", "true")
	assert.Equal(t, cli.call("POST", "/v1/drain", `{"kind":"vm","name":"a","on":false}`, &rec), 200)
	assert.Equal(t, nod.View().Tree().Config("/vms/a").Bool("vm.draining"), false)
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{`+probePath+`,"value":"1s","base":0}`), false)
	f.Add([]byte(`{`+probePath+`,"base":7,"note":"n"}`), true)
	f.Fuzz(func(t *testing.T, raw []byte, unset bool) {
		cha, err := oper.DecodeChange(raw, unset)
		if err != nil {
			assert.Assert(t, core.CodeOf(err) != core.CodeUnknownOutcome, "%v", err)
			return
		}
		assert.NilError(t, tree.Validate(cha.Path, cha.Key, cha.Value))
		assert.Equal(t, cha.Value == nil, unset)
		set := &recd.Setting{Path: string(cha.Path), Key: cha.Key, Value: cha.Value, Base: *cha.Base}
		rec := recd.Record{ID: "x", Setting: set}
		ver, err := operfk.New().Propose(t.Context(), rec)
		assert.NilError(t, err)
		assert.Equal(t, ver.Accepted(), *cha.Base == 0, ver.Detail)
	})
}

func FuzzDecodeDrain(f *testing.F) {
	f.Add([]byte(`{"kind":"group","name":"g","model":"m","on":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		dra, err := oper.DecodeDrain(raw)
		if err != nil {
			assert.Assert(t, core.CodeOf(err) == core.CodeBadRequest || core.CodeOf(err) == core.CodeTooLarge)
			return
		}
		assert.Assert(t, dra.On != nil && dra.Name != "")
	})
}
