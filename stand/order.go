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

type heldTokenBody struct {
	Held core.Offset `json:"held"`
}

func (eng *Engine) serveOrder(rw http.ResponseWriter, req *http.Request) {
	var order core.Order
	if !decode(rw, req, &order) {
		return
	}
	held, ok := eng.applyOrder(order)
	eng.loseResponse()
	if !ok {
		writeJSON(rw, http.StatusConflict, heldTokenBody{Held: held})
		return
	}
	writeJSON(rw, http.StatusOK, eng.Probe())
}

// applyOrder applies the order and returns the fencing token of the engine. It
// returns false if it rejects the order for a fencing token that is too low.
func (eng *Engine) applyOrder(order core.Order) (core.Offset, bool) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.cfg.Fencing && order.FencingToken < eng.fencingToken {
		return eng.fencingToken, false
	}
	eng.counts.Orders++
	applied := eng.isApplied(order)
	eng.fencingToken = order.FencingToken
	if applied {
		return eng.fencingToken, true
	}
	for _, cancel := range eng.cancelByAttempt {
		cancel()
	}
	eng.loadID++
	eng.rank = order.Rank
	eng.probe.FencingToken = order.FencingToken
	if order.Action == core.ActionUnload {
		eng.probe.State = core.EngineEmpty
		eng.probe.Group = ""
		eng.probe.Spec = core.Spec{}
		return eng.fencingToken, true
	}
	eng.probe.State = core.EngineLoading
	eng.probe.Group = order.Group
	eng.probe.Spec = order.Spec
	go eng.fetchAndLoad(eng.loadID, order.Spec)
	return eng.fencingToken, true
}

// isApplied reports whether the engine is already in the state that the order
// requests.
func (eng *Engine) isApplied(order core.Order) bool {
	if order.Action == core.ActionUnload {
		return eng.probe.State == core.EngineEmpty && eng.probe.FencingToken == order.FencingToken
	}
	return eng.probe.State != core.EngineEmpty &&
		eng.probe.FencingToken == order.FencingToken &&
		eng.probe.Group == order.Group &&
		eng.rank == order.Rank &&
		eng.probe.Spec.Equal(order.Spec)
}

func (eng *Engine) fetchAndLoad(loadID uint64, spec core.Spec) {
	ctx := context.Background()
	for eng.cfg.Weights != "" {
		delay, err := requestFetch(ctx, eng.cfg.Weights, spec)
		if err == nil && delay == 0 {
			break
		}
		if !eng.sleep(ctx, max(delay, time.Millisecond)) || !eng.isCurrentLoad(loadID) {
			return
		}
	}
	if !eng.sleep(ctx, eng.cfg.LoadTime) {
		return
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.loadID == loadID {
		eng.probe.State = core.EngineReady
	}
}

func (eng *Engine) isCurrentLoad(loadID uint64) bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.loadID == loadID
}

// requestFetch sends one fetch request to the weight store. It returns the delay
// before the next attempt, zero if the fetch was allowed.
func requestFetch(ctx context.Context, addr string, spec core.Spec) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + addr + "/v1/fetch?model=" + string(spec.Model) + "&version=" + spec.Version
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "invalid weight store address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "weight store request failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return 0, nil
	}
	var body retryBody
	err = json.NewDecoder(resp.Body).Decode(&body)
	if err != nil {
		return 0, eris.Wrap(err, "weight store response is invalid")
	}
	return time.Duration(body.Milliseconds) * time.Millisecond, nil
}

func (eng *Engine) accepts(gen core.GenerateRequest) bool {
	return eng.probe.State == core.EngineReady &&
		eng.probe.Group == gen.Group &&
		eng.rank == 0 &&
		(gen.Adapter == "" || slices.Contains(eng.probe.Spec.Adapters, gen.Adapter))
}
