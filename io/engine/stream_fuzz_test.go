package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/engine"
	"kumquathinge/io/wire"
)

// FuzzAnswer lets an engine answer anything. A stream's tokens have the
// positions from zero on, its end states their number, and no answer with the
// status OK says that the request did not run.
func FuzzAnswer(fzz *testing.F) {
	const head, tok = `{"attempt":"a1","head":true}` + "\n", `{"attempt":"a1","pos":0,"text":"x"}` + "\n"
	fzz.Add(200, head+tok+`{"attempt":"a1","pos":1,"end":true,"tokens":1}`+"\n")
	fzz.Add(200, head+tok+tok)
	fzz.Add(200, strings.TrimSpace(head))
	fzz.Add(503, `{"refused":true}`)
	fzz.Add(200, `{"vm":"a","state":"ready","order":18446744073709551615}`)
	fzz.Add(200, `{"events":[{"seq":2},{"seq":1}]}`)
	status, body := http.StatusOK, ""
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		wri.WriteHeader(status)
		_, _ = io.WriteString(wri, body)
	}))
	fzz.Cleanup(srv.Close)
	eng := engine.New(strings.TrimPrefix(srv.URL, "http://"), engine.Config{Wire: wire.Config{IOTimeout: time.Minute}})
	fzz.Cleanup(eng.Close)
	fzz.Fuzz(func(t *testing.T, sta int, txt string) {
		if sta < 200 || sta > 599 {
			return
		}
		status, body = sta, txt
		ctx := context.Background()
		_, _ = eng.Probe(ctx)
		_, _ = eng.Order(ctx, core.Order{Action: core.ActionLoad})
		_, _ = eng.CacheEvents(ctx, 0)
		str, err := eng.Generate(ctx, core.GenerateRequest{Attempt: "a1"})
		if err != nil {
			assert.Assert(t, sta != http.StatusOK)
			assert.Assert(t, !core.CodeOf(err).NotRun() || sta == http.StatusServiceUnavailable, "%v", err)
			return
		}
		assert.Assert(t, str != nil, "neither a stream nor an error")
		next := 0
		for {
			chk, err := str.Next(ctx)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				assert.Assert(t, !core.CodeOf(err).NotRun(), "%v", err)
				break
			}
			switch {
			case chk.End:
				assert.Equal(t, chk.Tokens, next)
			case !chk.Head:
				assert.Equal(t, chk.Pos, next)
				next++
			}
		}
		assert.NilError(t, str.Close())
	})
}
