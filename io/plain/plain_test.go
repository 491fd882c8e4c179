package plain_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/plnts"
	"kumquathinge/io/plain"
	"kumquathinge/io/wire"
	"kumquathinge/stand"
)

var faults = map[plnts.Fault]stand.PlainFault{
	plnts.FaultNone:           {},
	plnts.FaultDown:           {Fault: stand.Fault{Down: true}},
	plnts.FaultRefuse:         {Fault: stand.Fault{Refuse: true}},
	plnts.FaultStall:          {Fault: stand.Fault{Freeze: true}},
	plnts.FaultStallOpenConns: {Fault: stand.Fault{SilentOld: true}},
	plnts.FaultWrongAttempt:   {WrongAttempt: true},
	plnts.FaultShortBody:      {ShortBody: true},
	plnts.FaultLostResponse:   {Fault: stand.Fault{LoseAnswers: 1}},
}

func TestConformance(t *testing.T) {
	plnts.Test(t, func(t *testing.T) plnts.Fixture {
		fake := stand.NewPlain("svc-1")
		assert.NilError(t, fake.Start("127.0.0.1:0"))
		client := plain.New(fake.Addr(), plain.Config{Wire: wire.Config{IOTimeout: 100 * time.Millisecond}})
		t.Cleanup(func() {
			client.Close()
			_ = fake.Close()
		})
		return plnts.Fixture{
			Server:   client,
			SetFault: func(fault plnts.Fault) { fake.SetFault(faults[fault]) },
			RunCount: func(id core.AttemptID) int { return fake.Count().ByAttempt[string(id)] },
		}
	})
}

// TestReplyHeaders checks the results of a reply without Content-Length and of
// replies with status 503 that do or do not state a refusal or another attempt.
func TestReplyHeaders(t *testing.T) {
	tests := map[string]core.Code{
		"/chunked": core.CodeCutAnswer,
		"/refused": core.CodeRefused,
		"/crossed": core.CodeCrossedAnswer,
		"/busy":    core.CodeOK,
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
		switch req.URL.Path {
		case "/chunked":
			_ = http.NewResponseController(w).Flush()
			return
		case "/refused":
			w.Header().Set("X-Refused", "1")
		case "/crossed":
			w.Header().Set("X-Refused", "1")
			w.Header().Set("X-Attempt-Id", "another")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	client := plain.New(srv.Listener.Addr().String(), plain.Config{})
	for path, want := range tests {
		_, err := client.Call(t.Context(), core.Call{Attempt: "a", Method: http.MethodGet, Path: path})
		assert.Equal(t, core.CodeOf(err), want, path)
	}
}
