package stand_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/stand"
)

const waitTimeout = 10 * time.Second

func startEngine(t *testing.T, cfg stand.EngineConfig) (*stand.Engine, string) {
	t.Helper()
	cfg.VM = "vm-1"
	eng := stand.NewEngine(cfg)
	assert.NilError(t, eng.Start("127.0.0.1:0"))
	t.Cleanup(func() { assert.NilError(t, eng.Close()) })
	return eng, "http://" + eng.Addr()
}

func post(t *testing.T, client *http.Client, url string, val any) (*http.Response, error) {
	t.Helper()
	raw, err := json.Marshal(val)
	assert.NilError(t, err)
	return client.Post(url, "application/json", bytes.NewReader(raw))
}

func get(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(out))
}

func loadModel(t *testing.T, eng *stand.Engine, url string, token core.Offset) {
	t.Helper()
	order := core.Order{FencingToken: token, Action: core.ActionLoad, Group: "g", Members: []core.VMName{"vm-1"}}
	resp, err := post(t, http.DefaultClient, url+"/v1/order", order)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if eng.Probe().State == core.EngineReady {
			return poll.Success()
		}
		return poll.Continue("loading")
	}, poll.WithTimeout(waitTimeout))
}

// generate sends a request and reads the response until its end. It returns the
// text, the attempt IDs of the chunks, whether the last chunk was a final one, and
// whether the request or the connection failed.
func generate(t *testing.T, url string, gen core.GenerateRequest) (string, core.Set[core.AttemptID], bool, bool) {
	t.Helper()
	seen := core.NewSet[core.AttemptID]()
	resp, err := post(t, http.DefaultClient, url+"/v1/generate", gen)
	if err != nil {
		return "", seen, false, true
	}
	defer resp.Body.Close()
	var text string
	var end bool
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		var chunk core.Chunk
		assert.NilError(t, json.Unmarshal(scanner.Bytes(), &chunk))
		seen.Add(chunk.Attempt)
		text += chunk.Text
		end = chunk.End
	}
	return text, seen, end, scanner.Err() != nil
}

func TestEngineResponses(t *testing.T) {
	all := stand.Answer("p", 4)
	tail := stand.Tokens("p", 4)[2] + stand.Tokens("p", 4)[3]
	tests := []struct {
		name  string
		fault stand.EngineFault
		from  int
		text  string
		end   bool
		cut   bool
		runs  int
	}{
		{name: "whole", text: all, end: true, runs: 1},
		{name: "resumed", from: 2, text: tail, end: true, runs: 1},
		{name: "crossed", fault: stand.EngineFault{WrongAttempt: true}, text: all, end: true, runs: 1},
		{name: "cut", fault: stand.EngineFault{CutAfter: 1}, text: stand.Tokens("p", 1)[0], cut: true, runs: 1},
		{name: "no end", fault: stand.EngineFault{NoEnd: true}, text: all, runs: 1},
		{name: "gap", fault: stand.EngineFault{GapAt: 1}, text: stand.Tokens("p", 1)[0] + tail, end: true, runs: 1},
		{name: "refused", fault: stand.EngineFault{Fault: stand.Fault{Refuse: true}}},
		{name: "crashed", fault: stand.EngineFault{CrashOn: "p"}, cut: true, runs: 1},
		{name: "down", fault: stand.EngineFault{Fault: stand.Fault{Down: true}}, cut: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			eng, url := startEngine(t, stand.EngineConfig{})
			loadModel(t, eng, url, 7)
			eng.SetFault(tt.fault)
			gen := core.GenerateRequest{Attempt: "a", Group: "g", Prompt: "p", MaxTokens: 4, StartPos: tt.from}
			text, seen, end, cut := generate(t, url, gen)
			assert.Equal(t, text, tt.text)
			assert.Equal(t, end, tt.end)
			assert.Equal(t, cut, tt.cut)
			assert.Equal(t, seen.Has("a"), tt.text != "" && !tt.fault.WrongAttempt)
			assert.Equal(t, eng.Count().ByAttempt["a"], tt.runs)
			assert.Equal(t, eng.Count().Crashes, map[bool]int{true: 1}[tt.fault.CrashOn != ""])
		})
	}
}

func TestEngineOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		eng, url := startEngine(t, stand.EngineConfig{Fencing: fencing})
		loadModel(t, eng, url, 7)
		loadModel(t, eng, url, 7)
		eng.SetFault(stand.EngineFault{Fault: stand.Fault{LoseAnswers: 1}})
		_, err := post(t, http.DefaultClient, url+"/v1/order", core.Order{FencingToken: 9, Action: core.ActionUnload})
		assert.Assert(t, err != nil)
		assert.Equal(t, eng.Probe().State, core.EngineEmpty)
		resp, err := post(t, http.DefaultClient, url+"/v1/order", core.Order{FencingToken: 8, Action: core.ActionLoad})
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode == http.StatusConflict, fencing)
		assert.Equal(t, eng.Probe().FencingToken == 9, fencing)
	}
}

func TestKilledEngineIsEmpty(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{})
	loadModel(t, eng, url, 7)
	before := eng.Probe()
	eng.SetFault(stand.EngineFault{Die: true})
	_, err := http.Get(url + "/v1/probe")
	assert.Assert(t, err != nil)
	eng.SetFault(stand.EngineFault{})
	_, err = http.Get(url + "/v1/probe")
	assert.NilError(t, err)
	assert.Equal(t, eng.Probe().State, core.EngineEmpty)
	assert.Assert(t, eng.Probe().Incarnation != before.Incarnation)
}

func TestSilentOldConnections(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{})
	oldClient := &http.Client{Transport: &http.Transport{}}
	resp, err := oldClient.Get(url + "/v1/probe")
	assert.NilError(t, err)
	var probe core.ProbeResult
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&probe))
	resp.Body.Close()
	eng.SetFault(stand.EngineFault{Fault: stand.Fault{SilentOld: true}})
	silentErr := make(chan error, 1)
	go func() {
		got, getErr := oldClient.Get(url + "/v1/probe")
		if getErr == nil {
			got.Body.Close()
		}
		silentErr <- getErr
	}()
	newClient := &http.Client{Transport: &http.Transport{}}
	got, err := newClient.Get(url + "/v1/probe")
	assert.NilError(t, err)
	got.Body.Close()
	assert.Equal(t, len(silentErr), 0)
	assert.NilError(t, eng.Close())
	assert.Assert(t, <-silentErr != nil)
}

func TestCancel(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{TokenTime: time.Hour})
	loadModel(t, eng, url, 7)
	ended := make(chan bool, 1)
	go func() {
		_, _, end, _ := generate(t, url, core.GenerateRequest{Attempt: "a", Group: "g", Prompt: "p"})
		ended <- end
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if eng.Probe().Load.Running == 1 {
			return poll.Success()
		}
		return poll.Continue("not running")
	}, poll.WithTimeout(waitTimeout))
	_, err := post(t, http.DefaultClient, url+"/v1/cancel", core.GenerateRequest{Attempt: "a"})
	assert.NilError(t, err)
	assert.Assert(t, <-ended)
	assert.Equal(t, eng.Count().Cancelled, 1)
}
