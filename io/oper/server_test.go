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

const probeIntervalFields = `"path":"/","key":"probe.interval"`

type testClient struct {
	t          *testing.T
	httpClient fasthttp.Client
	key        string
}

func startServer(t *testing.T, node *operfk.Node, cfg oper.Config) *testClient {
	t.Helper()
	api, err := oper.New(node, cfg)
	assert.NilError(t, err)
	ln := fasthttputil.NewInmemoryListener()
	srv := api.Server()
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Shutdown() })
	return &testClient{t: t, httpClient: fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}}
}

// call sends a request, decodes the response into out and returns the HTTP
// status.
func (client *testClient) call(method, url, body string, out any) int {
	client.t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://node" + url)
	if client.key != "" {
		req.Header.Set("Authorization", "Bearer "+client.key)
	}
	if body != "" {
		req.Header.SetContentType("application/json")
		req.SetBodyString(body)
	}
	assert.Check(client.t, client.httpClient.Do(req, res))
	assert.Check(client.t, json.Unmarshal(res.Body(), out), "%s", res.Body())
	return res.StatusCode()
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// operatorConfig returns a configuration with one operator: a client of the
// in-memory listener has no loopback address and needs a key.
func operatorConfig() oper.Config {
	return oper.Config{Operators: []oper.Operator{{Name: "ana", KeyHash: keyHash("k-ana")}}}
}

func startNode(t *testing.T) (*operfk.Node, *testClient) {
	t.Helper()
	node := operfk.New()
	client := startServer(t, node, operatorConfig())
	client.key = "k-ana"
	return node, client
}

// TestBadInput checks that invalid requests get the right code and an error that
// names what is wrong, and that nothing is appended.
func TestBadInput(t *testing.T) {
	longNote := strings.Repeat("x", 2000)
	jsonObject := func(fields string) string { return `{` + fields + `}` }
	tests := []struct {
		name, method, url, body string
		want                    core.Code
		text                    string
	}{
		{"no such route", "GET", "/v2", "", core.CodeBadRequest, "/v2"},
		{"wrong method", "POST", "/v1/settings", "{}", core.CodeBadRequest, "POST"},
		{"no path", "GET", "/v1/settings", "", core.CodeBadRequest, "path"},
		{"unknown node", "GET", "/v1/settings?path=/moons/x", "", core.CodeNoSuchNode, "/moons/x"},
		{"invalid boolean", "GET", "/v1/settings?path=/&explain=very", "", core.CodeBadRequest, "very"},
		{"history of an unknown node", "GET", "/v1/settings/history?path=nope", "", core.CodeNoSuchNode, "nope"},
		{"negative number", "GET", "/v1/audit?after=-1", "", core.CodeBadRequest, "after=-1"},
		{"limit is not a number", "GET", "/v1/audit?max=many", "", core.CodeBadRequest, "max=many"},
		{"no id", "GET", "/v1/outcome", "", core.CodeBadRequest, "id"},
		{"unknown id", "GET", "/v1/outcome?id=x", "", core.CodeSettingUncertain, "ID"},
		{"not JSON", "PUT", "/v1/settings", `{"path":`, core.CodeBadRequest, "body"},
		{"data after the value", "PUT", "/v1/settings", jsonObject(probeIntervalFields+`,"value":"1s","base":0`) + `{}`, core.CodeBadRequest, "after its JSON value"},
		{"unknown field", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1s","base":0,"forced":true`), core.CodeBadRequest, "forced"},
		{"no base", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1s"`), core.CodeBadRequest, "base"},
		{"negative base", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1s","base":-1`), core.CodeBadRequest, "base"},
		{"no value", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"base":0`), core.CodeBadRequest, "/: probe.interval"},
		{"null", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"base":0,"value":null`), core.CodeSettingInvalid, "/: probe.interval"},
		{"no unit", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"250","base":0`), core.CodeSettingInvalid, "/: probe.interval"},
		{"number for a duration", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":250,"base":0`), core.CodeSettingInvalid, "/: probe.interval"},
		{"below range", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1ms","base":0`), core.CodeSettingInvalid, "/: probe.interval"},
		{"above range", "PUT", "/v1/settings", jsonObject(`"path":"/models/m","key":"group.size","value":65,"base":0`), core.CodeSettingInvalid, "/models/m: group.size"},
		{"unknown key", "PUT", "/v1/settings", jsonObject(`"path":"/models/m","key":"probe.period","value":1,"base":0`), core.CodeSettingUnknown, "/models/m"},
		{"key at the wrong node", "PUT", "/v1/settings", jsonObject(`"path":"/orgs/o","key":"group.size","value":1,"base":0`), core.CodeSettingInvalid, "/orgs/o: group.size"},
		{"path of no node", "PUT", "/v1/settings", jsonObject(`"path":"/models","key":"group.size","value":1,"base":0`), core.CodeNoSuchNode, "/models"},
		{"malformed id", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1s","base":0,"id":"1"`), core.CodeBadRequest, "UUID"},
		{"long note", "PUT", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1s","base":0,"note":"` + longNote + `"`), core.CodeBadRequest, "note"},
		{"unset with a value", "DELETE", "/v1/settings", jsonObject(probeIntervalFields + `,"value":"1s","base":0`), core.CodeBadRequest, "/: probe.interval"},
		{"unset of an unknown key", "DELETE", "/v1/settings", jsonObject(`"path":"/","key":"x","base":0`), core.CodeSettingUnknown, "/"},
		{"drain without a name", "POST", "/v1/drain", `{"kind":"vm","name":"","on":true}`, core.CodeBadRequest, "name"},
		{"drain of an unknown kind", "POST", "/v1/drain", `{"kind":"zone","name":"z","on":true}`, core.CodeBadRequest, "zone"},
		{"drain without on", "POST", "/v1/drain", `{"kind":"vm","name":"a"}`, core.CodeBadRequest, "on"},
		{"drain of an unknown VM", "POST", "/v1/drain", `{"kind":"vm","name":"b","on":true}`, core.CodeVMUnknown, "/vms/b"},
		{"drain of an unknown node", "POST", "/v1/drain", `{"kind":"node","name":"b","on":true}`, core.CodeNoSuchNode, "/nodes/b"},
		{"drain of an unknown group", "POST", "/v1/drain", `{"kind":"group","name":"b","on":true}`, core.CodeGroupUnknown, `"b"`},
		{"drain of a VM with a model", "POST", "/v1/drain", `{"kind":"vm","name":"a","model":"m","on":true}`, core.CodeBadRequest, "model"},
		{"drain of an invalid name", "POST", "/v1/drain", `{"kind":"vm","name":"a/b","on":true}`, core.CodeNoSuchNode, "/vms/a/b"},
		{"large body", "PUT", "/v1/settings", `"` + strings.Repeat("x", oper.MaxBodyBytes) + `"`, core.CodeTooLarge, "larger"},
	}
	node, client := startNode(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var failure oper.Failure
			status := client.call(tt.method, tt.url, tt.body, &failure)
			assert.Assert(t, status >= 400, "status %d", status)
			assert.Equal(t, failure.Code, tt.want, failure.Error)
			assert.Assert(t, strings.Contains(failure.Error, tt.text), failure.Error)
			assert.Equal(t, node.AppendCount(), 0)
		})
	}
}

func TestContentType(t *testing.T) {
	node, client := startNode(t)
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://node/v1/drain")
	req.Header.Set("Authorization", "Bearer k-ana")
	req.Header.SetContentType("text/plain")
	req.SetBodyString(`{"kind":"vm","name":"a","on":true}`)
	assert.NilError(t, client.httpClient.Do(req, res))
	assert.Equal(t, res.StatusCode(), fasthttp.StatusBadRequest)
	assert.Equal(t, node.AppendCount(), 0)
}

func TestOperatorKeys(t *testing.T) {
	for _, tt := range []struct {
		name, key string
		cfg       oper.Config
		want      int
	}{
		{"known", "k-ana", operatorConfig(), fasthttp.StatusOK},
		{"unknown", "k-bob", operatorConfig(), fasthttp.StatusUnauthorized},
		{"none", "", operatorConfig(), fasthttp.StatusUnauthorized},
		{"hash sent as the key", keyHash("k-ana"), operatorConfig(), fasthttp.StatusUnauthorized},
		{"not from a loopback address", "", oper.Config{}, fasthttp.StatusUnauthorized},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := startServer(t, operfk.New(), tt.cfg)
			client.key = tt.key
			var failure oper.Failure
			assert.Equal(t, client.call("GET", "/v1/status", "", &failure), tt.want)
			assert.Equal(t, failure.Code == core.CodeUnauthorized, tt.want == fasthttp.StatusUnauthorized)
		})
	}
	for _, operators := range [][]oper.Operator{
		{{Name: "", KeyHash: keyHash("a")}},
		{{Name: "a", KeyHash: "k-ana"}},
		{{Name: "a", KeyHash: strings.ToUpper(keyHash("a"))}},
		{{Name: "a", KeyHash: keyHash("a")}, {Name: "b", KeyHash: keyHash("a")}},
	} {
		_, err := oper.New(operfk.New(), oper.Config{Operators: operators})
		assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
	}
}

// TestChangeStates checks that the reported outcome of a change is correct under
// each fault of the log, and that resending the change with its ID is safe.
func TestChangeStates(t *testing.T) {
	const id = "6ba7b810-9dad-41d1-80b4-00c04fd430c8"
	for _, tt := range []struct {
		name          string
		failCode      core.Code
		lostResponses int
		notReady      bool
		want          oper.State
		code          core.Code
		httpStatus    int
		appended      bool
	}{
		{name: "accepted", want: oper.StateAccepted, httpStatus: 200, appended: true},
		{name: "refused", failCode: core.CodeLogRefused, want: oper.StateNotAccepted, code: core.CodeLogRefused, httpStatus: 503},
		{name: "down", failCode: core.CodeLogDown, want: oper.StateNotAccepted, code: core.CodeLogDown, httpStatus: 503},
		{name: "lost response", lostResponses: 1, want: oper.StateUnknown, code: core.CodeSettingUncertain, httpStatus: 504, appended: true},
		{name: "lost request", failCode: core.CodeLogUnknown, want: oper.StateUnknown, code: core.CodeSettingUncertain, httpStatus: 504},
		{name: "no state", notReady: true, code: core.CodeNotReady, httpStatus: 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			node, client := startNode(t)
			node.FailAppends(tt.failCode)
			node.LoseResponses(tt.lostResponses)
			node.SetNotReady(tt.notReady)
			var got struct {
				State oper.State
				Code  core.Code
				ID    string
			}
			body := `{` + probeIntervalFields + `,"value":"1s","base":0,"id":"` + id + `"}`
			assert.Equal(t, client.call("PUT", "/v1/settings", body, &got), tt.httpStatus)
			assert.Equal(t, got.State, tt.want)
			assert.Equal(t, got.Code, tt.code)
			assert.Equal(t, got.ID == id, !tt.notReady)
			node.SetNotReady(false)
			assert.Equal(t, node.View().Tree().Version(tree.Root) == 1, tt.appended)
			var receipt oper.Receipt
			status := client.call("GET", "/v1/outcome?id="+id, "", &receipt)
			assert.Equal(t, status == 200 && receipt.State == oper.StateAccepted, tt.appended)
			// Resending the change with the same ID takes effect at most once.
			node.FailAppends(core.CodeOK)
			assert.Equal(t, client.call("PUT", "/v1/settings", body, &got), 200)
			assert.Equal(t, got.State, oper.StateAccepted)
			assert.Equal(t, node.View().Tree().Version(tree.Root), core.Offset(1))
			// Another change with the same ID is rejected.
			body = strings.Replace(body, `"1s"`, `"2s"`, 1)
			assert.Equal(t, client.call("PUT", "/v1/settings", body, &got), 409)
			assert.Equal(t, got.State, oper.StateRejected)
			assert.Equal(t, got.Code, core.CodeDuplicateRecord)
		})
	}
}

// TestRacingOperators lets several operators append to one list, each change
// based on the version read. Of the changes based on one version, one is accepted
// and the others fail with the name of the operator that was first, so that no
// update is lost.
func TestRacingOperators(t *testing.T) {
	const operators, rounds = 4, 8
	node, client := startNode(t)
	var wg sync.WaitGroup
	for op := range operators {
		wg.Go(func() {
			for round := range rounds {
				addAdapter(t, client, fmt.Sprintf("o%d-%d", op, round))
			}
		})
	}
	wg.Wait()
	got := node.View().Tree().Config(tree.ModelPath("m")).Strings("model.adapters")
	assert.Equal(t, core.NewSet(got...).Len(), operators*rounds)
	var audit oper.Audit
	client.call("GET", "/v1/settings/history?path=/models/m", "", &audit)
	assert.Equal(t, len(audit.Lines), node.AppendCount())
}

// addAdapter adds an adapter to the list and retries while other operators are
// first.
func addAdapter(t *testing.T, client *testClient, name string) {
	for {
		var settings oper.Settings
		client.call("GET", "/v1/settings?path=/models/m", "", &settings)
		var old []string
		for _, val := range settings.Values {
			if val.Key == "model.adapters" {
				assert.Check(t, json.Unmarshal(val.Value, &old))
			}
		}
		val, _ := json.Marshal(append(old, name))
		var failure oper.Failure
		status := client.call("PUT", "/v1/settings", fmt.Sprintf(`{"path":"/models/m","key":"model.adapters","value":%s,"base":%d}`, val, settings.Version), &failure)
		if status == 200 {
			return
		}
		if failure.Code != core.CodeSettingRaced || !strings.Contains(failure.Error, "changed by ana at offset") {
			t.Errorf("status %d: %+v", status, failure)
			return
		}
	}
}

// TestSameIDLongValue resends a change whose value is truncated in the audit
// trail: it must be recognised as the same change.
func TestSameIDLongValue(t *testing.T) {
	node, client := startNode(t)
	var names []string
	for idx := range 100 {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("adapter-%d", idx)))
	}
	body := `{"path":"/","key":"model.adapters","base":0,"id":"6ba7b810-9dad-41d1-80b4-00c04fd430c8","value":[` + strings.Join(names, ",") + `]}`
	for range 2 {
		var receipt oper.Receipt
		assert.Equal(t, client.call("PUT", "/v1/settings", body, &receipt), 200, receipt.Detail)
		assert.Equal(t, receipt.Offset, core.Offset(1))
	}
	assert.Equal(t, node.AppendCount(), 2)
}

func TestExplain(t *testing.T) {
	_, client := startNode(t)
	var receipt oper.Receipt
	client.call("PUT", "/v1/settings", `{"path":"/","key":"group.size","value":4,"base":0}`, &receipt)
	client.call("PUT", "/v1/settings", `{"path":"/models/m","key":"group.size","value":2,"base":0}`, &receipt)
	var settings oper.Settings
	client.call("GET", "/v1/settings?path=/models/m/groups/g&explain=1", "", &settings)
	for _, val := range settings.Values {
		if val.Key != "group.size" {
			assert.Equal(t, val.Origin, tree.OriginDefault)
			continue
		}
		assert.Equal(t, val.Origin, tree.Path("/models/m"))
		assert.Equal(t, string(val.Value), "2")
		assert.DeepEqual(t, val.Sources, []oper.Source{
			{Path: "/models/m", Value: []byte("2"), Version: 2},
			{Path: "/", Value: []byte("4"), Version: 1},
			{Path: tree.OriginDefault, Value: []byte("8")},
		})
	}
	assert.Equal(t, client.call("DELETE", "/v1/settings", `{"path":"/models/m","key":"group.size","base":2}`, &receipt), 200)
	client.call("GET", "/v1/settings?path=/models/m", "", &settings)
	assert.Equal(t, settings.Version, core.Offset(3))
	assert.Equal(t, settings.Values[2].Key, "group.size")
	assert.Equal(t, settings.Values[2].Origin, tree.Root)
}

func TestDrain(t *testing.T) {
	node, client := startNode(t)
	node.SetStatus(oper.Status{VMs: []oper.VMStatus{{Name: "a"}}, Nodes: []oper.NodeStatus{{Name: "n"}}})
	var receipt oper.Receipt
	putSetting := func(path, key, val string) {
		body := fmt.Sprintf(`{"path":%q,"key":%q,"value":%s,"base":0}`, path, key, val)
		assert.Equal(t, client.call("PUT", "/v1/settings", body, &receipt), 200, receipt.Detail)
	}
	putSetting("/models/m/groups/g", "group.size", "1")
	putSetting("/models/m/groups/h", "group.size", "1")
	putSetting("/models/k/groups/h", "group.size", "1")
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
			assert.Equal(t, client.call("POST", "/v1/drain", fmt.Sprintf(tt.body, on), &receipt), 200, tt.body)
			assert.Equal(t, node.View().Tree().Config(tt.path).Bool(tt.key), on)
		}
	}
	var failure oper.Failure
	assert.Equal(t, client.call("POST", "/v1/drain", `{"kind":"group","name":"h","on":true}`, &failure), 400)
	assert.Assert(t, strings.Contains(failure.Error, "/models/k/groups/h"), failure.Error)
	putSetting("/", "vm.draining", "true")
	assert.Equal(t, client.call("POST", "/v1/drain", `{"kind":"vm","name":"a","on":false}`, &receipt), 200)
	assert.Equal(t, node.View().Tree().Config("/vms/a").Bool("vm.draining"), false)
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{`+probeIntervalFields+`,"value":"1s","base":0}`), false)
	f.Add([]byte(`{`+probeIntervalFields+`,"base":7,"note":"n"}`), true)
	f.Fuzz(func(t *testing.T, raw []byte, unset bool) {
		change, err := oper.DecodeChange(raw, unset)
		if err != nil {
			assert.Assert(t, core.CodeOf(err) != core.CodeUnknownOutcome, "%v", err)
			return
		}
		assert.NilError(t, tree.Validate(change.Path, change.Key, change.Value))
		assert.Equal(t, change.Value == nil, unset)
		setting := &recd.Setting{Path: string(change.Path), Key: change.Key, Value: change.Value, Base: *change.Base}
		rec := recd.Record{ID: "x", Setting: setting}
		decision, err := operfk.New().Propose(t.Context(), rec)
		assert.NilError(t, err)
		assert.Equal(t, decision.Accepted(), *change.Base == 0, decision.Detail)
	})
}

func FuzzDecodeDrain(f *testing.F) {
	f.Add([]byte(`{"kind":"group","name":"g","model":"m","on":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		drain, err := oper.DecodeDrain(raw)
		if err != nil {
			assert.Assert(t, core.CodeOf(err) == core.CodeBadRequest || core.CodeOf(err) == core.CodeTooLarge)
			return
		}
		assert.Assert(t, drain.On != nil && drain.Name != "")
	})
}
