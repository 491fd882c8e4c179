package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"kumquathinge/core"
)

const fetchTimeout = 5 * time.Second

type heldNumber struct {
	Held core.Offset `json:"held"`
}

func (eng *Engine) serveOrder(wri http.ResponseWriter, req *http.Request) {
	var ord core.Order
	if !decode(wri, req, &ord) {
		return
	}
	held, ok := eng.order(ord)
	eng.loseAnswer()
	if !ok {
		reply(wri, http.StatusConflict, heldNumber{Held: held})
		return
	}
	reply(wri, http.StatusOK, eng.Probe())
}

// order carries out ord, or returns the newer number that the engine holds.
func (eng *Engine) order(ord core.Order) (core.Offset, bool) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if eng.cfg.Fencing && ord.FencingToken < eng.held {
		return eng.held, false
	}
	eng.count.Orders++
	same := eng.holds(ord)
	eng.held = ord.FencingToken
	if same {
		return eng.held, true
	}
	for _, cancel := range eng.attempts {
		cancel()
	}
	eng.load++
	eng.rank = ord.Rank
	eng.probe.FencingToken = ord.FencingToken
	if ord.Action == core.ActionUnload {
		eng.probe.State = core.EngineEmpty
		eng.probe.Group = ""
		eng.probe.Spec = core.Spec{}
		return eng.held, true
	}
	eng.probe.State = core.EngineLoading
	eng.probe.Group = ord.Group
	eng.probe.Spec = ord.Spec
	go eng.fetchAndLoad(eng.load, ord.Spec)
	return eng.held, true
}

// holds reports whether the engine already is as ord asks.
func (eng *Engine) holds(ord core.Order) bool {
	if ord.Action == core.ActionUnload {
		return eng.probe.State == core.EngineEmpty && eng.probe.FencingToken == ord.FencingToken
	}
	return eng.probe.State != core.EngineEmpty &&
		eng.probe.FencingToken == ord.FencingToken &&
		eng.probe.Group == ord.Group &&
		eng.rank == ord.Rank &&
		eng.probe.Spec.Equal(ord.Spec)
}

func (eng *Engine) fetchAndLoad(load uint64, spc core.Spec) {
	ctx := context.Background()
	for eng.cfg.Weights != "" {
		wait, err := fetch(ctx, eng.cfg.Weights, spc)
		if err == nil && wait == 0 {
			break
		}
		if !eng.wait(ctx, max(wait, time.Millisecond)) || !eng.loadingStill(load) {
			return
		}
	}
	if !eng.wait(ctx, eng.cfg.LoadTime) {
		return
	}
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if eng.load == load {
		eng.probe.State = core.EngineReady
	}
}

func (eng *Engine) loadingStill(load uint64) bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	return eng.load == load
}

// fetch asks the weight store once and returns how long to wait before the
// next try, zero if the fetch was allowed.
func fetch(ctx context.Context, addr string, spc core.Spec) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + addr + "/v1/fetch?model=" + string(spc.Model) + "&version=" + spc.Version
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "weight store address")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "weight store")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusOK {
		return 0, nil
	}
	var bod retryAfter
	err = json.NewDecoder(res.Body).Decode(&bod)
	if err != nil {
		return 0, eris.Wrap(err, "weight store's answer")
	}
	return time.Duration(bod.Milliseconds) * time.Millisecond, nil
}

func (eng *Engine) takes(gen core.GenerateRequest) bool {
	return eng.probe.State == core.EngineReady &&
		eng.probe.Group == gen.Group &&
		eng.rank == 0 &&
		(gen.Adapter == "" || slices.Contains(eng.probe.Spec.Adapters, gen.Adapter))
}
