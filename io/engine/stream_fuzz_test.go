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

// FuzzResponse lets an engine respond with arbitrary data. The tokens of a stream
// must have consecutive positions from zero, its end chunk must state their
// number, and an error after status 200 must not state that the request did not
// run.
func FuzzResponse(f *testing.F) {
	const head, tok = `{"attempt":"a1","head":true}` + "\n", `{"attempt":"a1","pos":0,"text":"x"}` + "\n"
	f.Add(200, head+tok+`{"attempt":"a1","pos":1,"end":true,"tokens":1}`+"\n")
	f.Add(200, head+tok+tok)
	f.Add(200, strings.TrimSpace(head))
	f.Add(503, `{"refused":true}`)
	f.Add(200, `{"vm":"a","state":"ready","order":18446744073709551615}`)
	f.Add(200, `{"events":[{"seq":2},{"seq":1}]}`)
	status, body := http.StatusOK, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	f.Cleanup(srv.Close)
	eng := engine.New(strings.TrimPrefix(srv.URL, "http://"), engine.Config{Wire: wire.Config{IOTimeout: time.Minute}})
	f.Cleanup(eng.Close)
	f.Fuzz(func(t *testing.T, code int, txt string) {
		if code < 200 || code > 599 {
			return
		}
		status, body = code, txt
		ctx := context.Background()
		_, _ = eng.Probe(ctx)
		_, _ = eng.Order(ctx, core.Order{Action: core.ActionLoad})
		_, _ = eng.CacheEvents(ctx, 0)
		stream, err := eng.Generate(ctx, core.GenerateRequest{Attempt: "a1"})
		if err != nil {
			assert.Assert(t, code != http.StatusOK)
			assert.Assert(t, !core.CodeOf(err).NotRun() || code == http.StatusServiceUnavailable, "%v", err)
			return
		}
		assert.Assert(t, stream != nil, "neither a stream nor an error")
		next := 0
		for {
			chunk, err := stream.Next(ctx)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				assert.Assert(t, !core.CodeOf(err).NotRun(), "%v", err)
				break
			}
			switch {
			case chunk.End:
				assert.Equal(t, chunk.Tokens, next)
			case !chunk.Head:
				assert.Equal(t, chunk.Pos, next)
				next++
			}
		}
		assert.NilError(t, stream.Close())
	})
}
