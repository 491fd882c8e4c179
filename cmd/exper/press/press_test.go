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

// serve answers on loopback with hdl until the test ends.
func serve(t *testing.T, hdl fasthttp.RequestHandler) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: hdl}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(lis) }()
	t.Cleanup(func() {
		assert.NilError(t, srv.Shutdown())
		assert.NilError(t, <-done)
	})
	return lis.Addr().String()
}

// events streams lines, one write each.
func events(lines ...string) fasthttp.RequestHandler {
	return func(rqc *fasthttp.RequestCtx) {
		rqc.SetBodyStreamWriter(func(wri *bufio.Writer) {
			for _, lin := range lines {
				_, _ = wri.WriteString(lin + "\n")
				_ = wri.Flush()
			}
		})
	}
}

const tokenEvent = `data: {"choices":[{"text":"a","finish_reason":null}]}`

// TestFront runs ten requests against each kind of answer.
func TestFront(t *testing.T) {
	all := 10
	tests := []struct {
		name   string
		answer fasthttp.RequestHandler
		whole  bool
		want   press.Report
	}{
		{name: "streamed", want: press.Report{Sent: all, Whole: all, Tokens: 2 * all},
			answer: events("id: 0", tokenEvent, "", "id: 1", tokenEvent, "", "data: [DONE]", "")},
		{name: "no end mark", want: press.Report{Sent: all, Broken: all, Tokens: 2 * all},
			answer: events(tokenEvent, tokenEvent)},
		{name: "failure in the stream", want: press.Report{Sent: all, Broken: all, Tokens: all},
			answer: events(tokenEvent, "event: error", `data: {"error":{"code":203}}`)},
		{name: "refused", want: press.Report{Sent: all, Refused: all},
			answer: func(rqc *fasthttp.RequestCtx) { rqc.Error("busy", fasthttp.StatusTooManyRequests) }},
		{name: "connection closed", want: press.Report{Sent: all, Broken: all},
			answer: func(rqc *fasthttp.RequestCtx) {
				rqc.HijackSetNoResponse(true)
				rqc.Hijack(func(con net.Conn) { _ = con.Close() })
			}},
		{name: "in one piece", whole: true, want: press.Report{Sent: all, Whole: all},
			answer: func(rqc *fasthttp.RequestCtx) { rqc.SetBodyString(`{"choices":[{"text":"a b"}]}`) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got atomic.Int64
			var bad atomic.Pointer[string]
			host := serve(t, func(rqc *fasthttp.RequestCtx) {
				got.Add(1)
				ask := string(rqc.PostBody())
				if string(rqc.Request.Header.Peek("Authorization")) != "Bearer secret" ||
					string(rqc.Path()) != "/v1/completions" || !strings.Contains(ask, `"max_tokens":2`) {
					bad.Store(&ask)
				}
				tt.answer(rqc)
			})
			rep := press.Run(context.Background(), press.Config{
				Target: &press.Front{Host: host, Key: "secret", Stream: !tt.whole,
					Prompt: press.Prompt{Model: "alerts", Text: "x", MaxTokens: 2}},
				Rate: 200, For: 50 * time.Millisecond, InFlight: 64, Timeout: 10 * time.Second,
			})
			assert.Assert(t, bad.Load() == nil)
			counts := press.Report{Sent: rep.Sent, Whole: rep.Whole, Refused: rep.Refused,
				Broken: rep.Broken, Skipped: rep.Skipped, Tokens: rep.Tokens}
			assert.DeepEqual(t, counts, tt.want)
			assert.Equal(t, got.Load(), int64(all), "requests were sent again")
			assert.Equal(t, rep.First.TotalCount(), min(int64(rep.Tokens), int64(all)))
			assert.Equal(t, rep.Last.TotalCount(), int64(rep.Whole))
			assert.Equal(t, core.CodeOf(rep.Err()) == core.CodeCutAnswer, rep.Broken > 0)
		})
	}
}

// TestBounds wants requests beyond InFlight skipped, silent answers to end
// with the timeout, and a run to end with its context.
func TestBounds(t *testing.T) {
	free := make(chan struct{})
	host := serve(t, func(*fasthttp.RequestCtx) { <-free })
	defer close(free)
	cfg := press.Config{
		Target: &press.Front{Host: host}, Rate: 200, For: 50 * time.Millisecond,
		InFlight: 3, Timeout: 200 * time.Millisecond,
	}
	rep := press.Run(context.Background(), cfg)
	assert.Equal(t, rep.Broken, 3)
	assert.Equal(t, rep.Skipped, 7)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rep = press.Run(ctx, cfg)
	assert.Equal(t, rep.Sent, 0)
}

func TestEngine(t *testing.T) {
	state := "ready"
	host := serve(t, func(rqc *fasthttp.RequestCtx) {
		if string(rqc.Path()) == "/v1/probe" {
			_, _ = fmt.Fprintf(rqc, `{"vm":"v","state":%q,"group":"g","order":7}`, state)
			return
		}
		if !strings.Contains(string(rqc.PostBody()), `"group":"g","order":7`) {
			rqc.Error("wrong group", fasthttp.StatusServiceUnavailable)
			return
		}
		events(`{"head":true}`, `{"pos":0,"text":"a"}`, `{"pos":1,"text":"b"}`, `{"end":true,"tokens":2}`)(rqc)
	})
	eng, err := press.NewEngine(host, "run", press.Prompt{MaxTokens: 2})
	assert.NilError(t, err)
	rep := press.Run(context.Background(), press.Config{
		Target: eng, Rate: 200, For: 25 * time.Millisecond, InFlight: 8, Timeout: 10 * time.Second,
	})
	assert.Equal(t, rep.Whole, 5)
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
