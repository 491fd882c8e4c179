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

const patience = 10 * time.Second

func startEngine(t *testing.T, cfg stand.EngineConfig) (*stand.Engine, string) {
	t.Helper()
	cfg.VM = "vm-1"
	eng := stand.NewEngine(cfg)
	assert.NilError(t, eng.Start("127.0.0.1:0"))
	t.Cleanup(func() { assert.NilError(t, eng.Close()) })
	return eng, "http://" + eng.Addr()
}

func post(t *testing.T, cli *http.Client, url string, val any) (*http.Response, error) {
	t.Helper()
	raw, err := json.Marshal(val)
	assert.NilError(t, err)
	return cli.Post(url, "application/json", bytes.NewReader(raw))
}

func get(t *testing.T, url string, out any) {
	t.Helper()
	res, err := http.Get(url)
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.NilError(t, json.NewDecoder(res.Body).Decode(out))
}

func load(t *testing.T, eng *stand.Engine, url string, num core.Offset) {
	t.Helper()
	ord := core.Order{FencingToken: num, Action: core.ActionLoad, Group: "g", Members: []core.VMName{"vm-1"}}
	res, err := post(t, http.DefaultClient, url+"/v1/order", ord)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if eng.Probe().State == core.EngineReady {
			return poll.Success()
		}
		return poll.Continue("loading")
	}, poll.WithTimeout(patience))
}

// answer reads a whole answer: its text, the attempts named in it, whether it
// had an end, and whether the connection broke.
func answer(t *testing.T, url string, gen core.GenerateRequest) (string, core.Set[core.AttemptID], bool, bool) {
	t.Helper()
	seen := core.NewSet[core.AttemptID]()
	res, err := post(t, http.DefaultClient, url+"/v1/generate", gen)
	if err != nil {
		return "", seen, false, true
	}
	defer res.Body.Close()
	var txt string
	var end bool
	scn := bufio.NewScanner(res.Body)
	for scn.Scan() {
		var chu core.Chunk
		assert.NilError(t, json.Unmarshal(scn.Bytes(), &chu))
		seen.Add(chu.Attempt)
		txt += chu.Text
		end = chu.End
	}
	return txt, seen, end, scn.Err() != nil
}

func TestEngineAnswers(t *testing.T) {
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
			load(t, eng, url, 7)
			eng.SetFault(tt.fault)
			gen := core.GenerateRequest{Attempt: "a", Group: "g", Prompt: "p", MaxTokens: 4, StartPos: tt.from}
			txt, seen, end, cut := answer(t, url, gen)
			assert.Equal(t, txt, tt.text)
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
		load(t, eng, url, 7)
		load(t, eng, url, 7)
		eng.SetFault(stand.EngineFault{Fault: stand.Fault{LoseAnswers: 1}})
		_, err := post(t, http.DefaultClient, url+"/v1/order", core.Order{FencingToken: 9, Action: core.ActionUnload})
		assert.Assert(t, err != nil)
		assert.Equal(t, eng.Probe().State, core.EngineEmpty)
		res, err := post(t, http.DefaultClient, url+"/v1/order", core.Order{FencingToken: 8, Action: core.ActionLoad})
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode == http.StatusConflict, fencing)
		assert.Equal(t, eng.Probe().FencingToken == 9, fencing)
	}
}

func TestEngineDies(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{})
	load(t, eng, url, 7)
	was := eng.Probe()
	eng.SetFault(stand.EngineFault{Die: true})
	_, err := http.Get(url + "/v1/probe")
	assert.Assert(t, err != nil)
	eng.SetFault(stand.EngineFault{})
	_, err = http.Get(url + "/v1/probe")
	assert.NilError(t, err)
	assert.Equal(t, eng.Probe().State, core.EngineEmpty)
	assert.Assert(t, eng.Probe().Incarnation != was.Incarnation)
}

func TestSilentOldConnections(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{})
	old := &http.Client{Transport: &http.Transport{}}
	res, err := old.Get(url + "/v1/probe")
	assert.NilError(t, err)
	var pro core.ProbeResult
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&pro))
	res.Body.Close()
	eng.SetFault(stand.EngineFault{Fault: stand.Fault{SilentOld: true}})
	silent := make(chan error, 1)
	go func() {
		got, getErr := old.Get(url + "/v1/probe")
		if getErr == nil {
			got.Body.Close()
		}
		silent <- getErr
	}()
	fresh := &http.Client{Transport: &http.Transport{}}
	got, err := fresh.Get(url + "/v1/probe")
	assert.NilError(t, err)
	got.Body.Close()
	assert.Equal(t, len(silent), 0)
	assert.NilError(t, eng.Close())
	assert.Assert(t, <-silent != nil)
}

func TestCancel(t *testing.T) {
	eng, url := startEngine(t, stand.EngineConfig{TokenTime: time.Hour})
	load(t, eng, url, 7)
	ended := make(chan bool, 1)
	go func() {
		_, _, end, _ := answer(t, url, core.GenerateRequest{Attempt: "a", Group: "g", Prompt: "p"})
		ended <- end
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if eng.Probe().Load.Running == 1 {
			return poll.Success()
		}
		return poll.Continue("not running")
	}, poll.WithTimeout(patience))
	_, err := post(t, http.DefaultClient, url+"/v1/cancel", core.GenerateRequest{Attempt: "a"})
	assert.NilError(t, err)
	assert.Assert(t, <-ended)
	assert.Equal(t, eng.Count().Cancelled, 1)
}
