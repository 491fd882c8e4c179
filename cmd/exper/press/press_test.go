package press_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"kumquathinge/cmd/exper/press"
	"kumquathinge/core"
)

// serve runs an HTTP server on loopback until the test ends and returns its
// address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: handler}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(lis) }()
	t.Cleanup(func() {
		assert.NilError(t, srv.Shutdown())
		assert.NilError(t, <-done)
	})
	return lis.Addr().String()
}

// streamLines returns a handler that streams the lines with one write per line.
func streamLines(lines ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for _, line := range lines {
				_, _ = w.WriteString(line + "\n")
				_ = w.Flush()
			}
		})
	}
}

const tokenEvent = `data: {"choices":[{"text":"a","finish_reason":null}]}`

// TestEntryVM sends ten requests for each kind of response and checks the
// report.
func TestEntryVM(t *testing.T) {
	total := 10
	tests := []struct {
		name       string
		handler    fasthttp.RequestHandler
		unstreamed bool
		want       press.Report
	}{
		{name: "streamed", want: press.Report{Sent: total, Complete: total, Tokens: 2 * total},
			handler: streamLines("id: 0", tokenEvent, "", "id: 1", tokenEvent, "", "data: [DONE]", "")},
		{name: "no end mark", want: press.Report{Sent: total, Incomplete: total, Tokens: 2 * total},
			handler: streamLines(tokenEvent, tokenEvent)},
		{name: "failure in the stream", want: press.Report{Sent: total, Incomplete: total, Tokens: total},
			handler: streamLines(tokenEvent, "event: error", `data: {"error":{"code":203}}`)},
		{name: "refused", want: press.Report{Sent: total, Refused: total},
			handler: func(ctx *fasthttp.RequestCtx) { ctx.Error("busy", fasthttp.StatusTooManyRequests) }},
		{name: "connection closed", want: press.Report{Sent: total, Incomplete: total},
			handler: func(ctx *fasthttp.RequestCtx) {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
			}},
		{name: "in one piece", unstreamed: true, want: press.Report{Sent: total, Complete: total},
			handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"choices":[{"text":"a b"}]}`) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got atomic.Int64
			var bad atomic.Pointer[string]
			host := serve(t, func(ctx *fasthttp.RequestCtx) {
				got.Add(1)
				body := string(ctx.PostBody())
				if string(ctx.Request.Header.Peek("Authorization")) != "Bearer secret" ||
					string(ctx.Path()) != "/v1/completions" || !strings.Contains(body, `"max_tokens":2`) {
					bad.Store(&body)
				}
				tt.handler(ctx)
			})
			rep := press.Run(context.Background(), press.Config{
				Target: &press.EntryVM{Host: host, APIKey: "secret", Stream: !tt.unstreamed,
					Prompt: press.Prompt{Model: "alerts", Text: "x", MaxTokens: 2}},
				Rate: 200, Duration: 50 * time.Millisecond, MaxInFlight: 64, Timeout: 10 * time.Second,
			})
			assert.Assert(t, bad.Load() == nil)
			counts := press.Report{Sent: rep.Sent, Complete: rep.Complete, Refused: rep.Refused,
				Incomplete: rep.Incomplete, Skipped: rep.Skipped, Tokens: rep.Tokens}
			assert.DeepEqual(t, counts, tt.want)
			assert.Equal(t, got.Load(), int64(total), "requests were retried")
			assert.Equal(t, rep.FirstToken.TotalCount(), min(int64(rep.Tokens), int64(total)))
			assert.Equal(t, rep.Completion.TotalCount(), int64(rep.Complete))
			assert.Equal(t, core.CodeOf(rep.Err()) == core.CodeCutAnswer, rep.Incomplete > 0)
		})
	}
}

// TestLimits checks that requests beyond MaxInFlight are skipped, that requests
// without a response time out, and that a run ends with its context.
func TestLimits(t *testing.T) {
	release := make(chan struct{})
	host := serve(t, func(*fasthttp.RequestCtx) { <-release })
	defer close(release)
	cfg := press.Config{
		Target: &press.EntryVM{Host: host}, Rate: 200, Duration: 50 * time.Millisecond,
		MaxInFlight: 3, Timeout: 200 * time.Millisecond,
	}
	rep := press.Run(context.Background(), cfg)
	assert.Equal(t, rep.Incomplete, 3)
	assert.Equal(t, rep.Skipped, 7)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rep = press.Run(ctx, cfg)
	assert.Equal(t, rep.Sent, 0)
}

func TestEngine(t *testing.T) {
	state := "ready"
	host := serve(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/v1/probe" {
			_, _ = fmt.Fprintf(ctx, `{"vm":"v","state":%q,"group":"g","order":7}`, state)
			return
		}
		if !strings.Contains(string(ctx.PostBody()), `"group":"g","order":7`) {
			ctx.Error("wrong group", fasthttp.StatusServiceUnavailable)
			return
		}
		streamLines(`{"head":true}`, `{"pos":0,"text":"a"}`, `{"pos":1,"text":"b"}`, `{"end":true,"tokens":2}`)(ctx)
	})
	eng, err := press.NewEngine(host, "run", press.Prompt{MaxTokens: 2})
	assert.NilError(t, err)
	rep := press.Run(context.Background(), press.Config{
		Target: eng, Rate: 200, Duration: 25 * time.Millisecond, MaxInFlight: 8, Timeout: 10 * time.Second,
	})
	assert.Equal(t, rep.Complete, 5)
	assert.Equal(t, rep.Tokens, 10)
	state = "loading"
	_, err = press.NewEngine(host, "run", press.Prompt{})
	assert.Equal(t, core.CodeOf(err), core.CodeRefused)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
	_, err = press.NewEngine(lis.Addr().String(), "run", press.Prompt{})
	assert.Equal(t, core.CodeOf(err), core.CodeDialFailed)
}
