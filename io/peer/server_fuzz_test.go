package peer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/membr"
	"kumquathinge/io/peer"
)

// reader gives what it decoded to the state machines that take it.
type reader struct {
	tab *membr.Table
	boo *crash.Tracker
}

func (rdr reader) Exchange(bea core.Heartbeat) core.Heartbeat {
	now := time.Unix(9, 0)
	rdr.tab.RecordHeartbeat(bea, now)
	_, _ = rdr.tab.RecordHash(bea)
	rdr.boo.UpdatePeer(bea.Node, bea.Suspects, now)
	for _, sus := range bea.Suspects {
		rdr.boo.Decide(sus.Fingerprint, now)
	}
	rdr.boo.Export(now)
	return rdr.tab.Self()
}

func (reader) Relay(context.Context, core.Offset, int) (core.Page, error) { return core.Page{}, nil }

func (reader) State(context.Context) ([]byte, error) { return nil, nil }

func (reader) Run(_ context.Context, job core.Job, snk core.Sink) error {
	if job.Hops < 0 {
		return core.Errorf(core.CodeBadRequest, "negative hops")
	}
	return snk.WritePart(core.Part{End: true})
}

// FuzzHandler sends any bytes to each procedure: they are refused or taken.
func FuzzHandler(fzz *testing.F) {
	for proc, msg := range []any{
		core.Heartbeat{Node: "n2", Zone: "z", Addr: "a:1", Incarnation: "r", Seq: 1, Suspects: []core.Suspect{{Fingerprint: 7, Crashes: -1}}},
		peer.RelayAsk{From: 1, Max: -1},
		peer.StateAsk{},
		core.Job{ID: "j", Hops: 1, Deadline: time.Unix(99, 0)},
	} {
		data, err := cbor.Marshal(msg)
		assert.NilError(fzz, err)
		fzz.Add(byte(proc), data)
	}
	fzz.Add(byte(0), []byte{0xbf, 0x03})
	procs := []string{"Exchange", "Relay", "State", "Forward"}
	fzz.Fuzz(func(t *testing.T, num byte, data []byte) {
		rdr := reader{boo: crash.New(crash.Config{}), tab: membr.New(
			core.Heartbeat{Node: "n1", Zone: "z", Addr: "b:1", Incarnation: "r"},
			membr.Config{SuspectTimeout: time.Second, DeadTimeout: time.Minute, ExchangeInterval: time.Second, Fanout: 2},
		)}
		proc := procs[int(num)%len(procs)]
		typ := "application/cbor"
		if proc == "Forward" {
			typ = "application/connect+cbor"
			size := len(data)
			data = append([]byte{0, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, data...)
		}
		req := httptest.NewRequest(http.MethodPost, "/kumquathinge.Peer/"+proc, bytes.NewReader(data))
		req.Header.Set("Content-Type", typ)
		res := httptest.NewRecorder()
		peer.Handler(rdr, time.Hour).ServeHTTP(res, req)
		assert.Assert(t, res.Code != http.StatusUnsupportedMediaType && res.Code != http.StatusNotFound, "%s: %d", proc, res.Code)
		rdr.tab.Live(time.Unix(9, 0))
	})
}
