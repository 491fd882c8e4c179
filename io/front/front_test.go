package front_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/front"
)

// backend answers every job with what run does.
type backend struct {
	ready core.Code
	run   func(ctx context.Context, job core.Job, snk core.Sink) error
}

func (bck *backend) Org(sum string) (core.OrgName, bool) {
	want := sha256.Sum256([]byte("secret"))
	return "andes", sum == hex.EncodeToString(want[:])
}

func (bck *backend) Limits(core.OrgName) front.Limits {
	return front.Limits{Deadline: time.Minute, Priority: 3}
}

func (bck *backend) Models() []core.ModelName { return []core.ModelName{"alerts"} }

func (bck *backend) Ready() core.Code { return bck.ready }

func (bck *backend) Accepts() core.Code { return core.CodeOK }

func (bck *backend) Run(ctx context.Context, job core.Job, snk core.Sink) error {
	return bck.run(ctx, job, snk)
}

// serve starts a server on loopback and returns its base URL.
func serve(t testing.TB, bck *backend) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := front.Config{MaxBodyBytes: 4096, MaxPrompt: 100, MaxTokens: 50}
	srv := front.New(cfg, bck, log, new(expvar.Map), time.Now)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(lis) }()
	t.Cleanup(func() {
		assert.NilError(t, srv.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	return "http://" + lis.Addr().String()
}

// tokens is a run that answers with the job's prompt and position.
func tokens(_ context.Context, job core.Job, snk core.Sink) error {
	for pos := job.StartPos; pos < job.MaxTokens; pos++ {
		if err := snk.WritePart(core.Part{Pos: pos, Text: job.Prompt}); err != nil {
			return err
		}
	}
	return snk.WritePart(core.Part{Pos: job.MaxTokens, End: true, Tokens: job.MaxTokens, FinishReason: "length"})
}

// cut is a run that fails after one part.
func cut(_ context.Context, _ core.Job, snk core.Sink) error {
	_ = snk.WritePart(core.Part{Text: "half"})
	return core.Errorf(core.CodeCutAnswer, "connection lost")
}

// endless is a run that ends well without a last part.
func endless(_ context.Context, _ core.Job, snk core.Sink) error {
	return snk.WritePart(core.Part{Text: "half"})
}

// echo is a run of a plain service that returns the request.
func echo(_ context.Context, job core.Job, snk core.Sink) error {
	txt := job.Method + " " + job.Path + " " + string(job.Body) + " " + string(job.IdempotencyKey) + " " + job.OrderingKey
	return snk.WritePart(core.Part{End: true, Reply: &core.Reply{Status: 201, Type: "text/plain", Body: []byte(txt)}})
}

// refuse is a run that fails as not run.
func refuse(context.Context, core.Job, core.Sink) error {
	return core.WithRetryAfter(core.Errorf(core.CodeQueueFull, "full"), 1500*time.Millisecond)
}

const (
	plainAsk  = `{"model":"alerts","prompt":"ab","max_tokens":3}`
	streamAsk = `{"model":"alerts","prompt":"ab","max_tokens":3,"stream":true}`
)

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		run    func(context.Context, core.Job, core.Sink) error
		path   string
		body   string
		header map[string]string
		status int
		want   []string
		not    string
	}{
		{"whole", tokens, "/v1/completions", plainAsk, nil, 200, []string{`"text":"ababab"`, `"finish_reason":"length"`, `"completion_tokens":3`}, "error"},
		{"chat", tokens, "/v1/chat/completions", `{"model":"alerts:es","max_tokens":1,"messages":[{"role":"user","content":[{"type":"text","text":"q"}]}]}`, nil, 200, []string{`"content":"user: q\nassistant: "`, `"object":"chat.completion"`}, "error"},
		{"streamed", tokens, "/v1/completions", streamAsk, nil, 200, []string{"id: 0\n", "id: 2\n", "data: [DONE]"}, "error"},
		{"resumed", tokens, "/v1/completions", streamAsk, map[string]string{"Last-Event-ID": "1"}, 200, []string{"id: 2\n", "data: [DONE]"}, "id: 1\n"},
		{"cut whole", cut, "/v1/completions", plainAsk, nil, 502, []string{`"code":203`, `"not_run":false`}, "half"},
		{"cut stream", cut, "/v1/completions", streamAsk, nil, 200, []string{"event: error", `"code":203`}, "[DONE]"},
		{"no end whole", endless, "/v1/completions", plainAsk, nil, 502, []string{`"code":203`}, "half"},
		{"no end stream", endless, "/v1/completions", streamAsk, nil, 200, []string{"event: error"}, "[DONE]"},
		{"refused", refuse, "/v1/completions", streamAsk, nil, 429, []string{`"code":104`, `"not_run":true`}, ""},
		{"service", echo, "/services/fees/charge?x=1", "body", map[string]string{"Idempotency-Key": "k1", "Idempotency-Issued": "2026-12-04T07:00:00Z", "Ordering-Key": "o"}, 201, []string{"POST /charge?x=1 body k1 o"}, ""},
		{"service without reply", tokens, "/services/fees/charge", "", nil, 502, []string{`"code":203`}, ""},
		{"no issue time", echo, "/services/fees/charge", "", map[string]string{"Idempotency-Key": "k1"}, 400, []string{`"code":100`, "Idempotency-Issued"}, ""},
		{"bad key", tokens, "/v1/completions", plainAsk, map[string]string{"Authorization": "Bearer other"}, 401, []string{`"code":101`}, ""},
		{"bad body", tokens, "/v1/completions", `{`, nil, 400, []string{`"code":100`}, ""},
		{"bad prompt", tokens, "/v1/completions", `{"model":"alerts","prompt":["a","b"]}`, nil, 400, []string{"prompt"}, ""},
		{"two choices", tokens, "/v1/completions", `{"model":"alerts","prompt":"a","n":2}`, nil, 400, []string{"n is 2"}, ""},
		{"long answer", tokens, "/v1/completions", `{"model":"alerts","prompt":"a","max_tokens":51}`, nil, 413, []string{`"code":120`}, ""},
		{"bad timeout", tokens, "/v1/completions", plainAsk, map[string]string{"Request-Timeout": "5"}, 400, []string{"Request-Timeout"}, ""},
		{"bad position", tokens, "/v1/completions", streamAsk, map[string]string{"Last-Event-ID": "-1"}, 400, []string{"Last-Event-ID"}, ""},
		{"unknown path", tokens, "/v2", "", nil, 404, []string{"no such path"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := serve(t, &backend{run: tt.run})
			req, err := http.NewRequest(http.MethodPost, url+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer secret")
			for key, val := range tt.header {
				req.Header.Set(key, val)
			}
			res, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			body, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, tt.status, "%s", body)
			for _, txt := range tt.want {
				assert.Assert(t, strings.Contains(string(body), txt), "%s not in %s", txt, body)
			}
			assert.Assert(t, tt.not == "" || !strings.Contains(string(body), tt.not), "%s", body)
		})
	}
}

func TestCallerGoneCancelsJob(t *testing.T) {
	over := make(chan error, 1)
	url := serve(t, &backend{run: func(ctx context.Context, _ core.Job, snk core.Sink) error {
		for pos := 0; ; pos++ {
			if err := snk.WritePart(core.Part{Pos: pos, Text: "x"}); err != nil {
				over <- ctx.Err()
				return err
			}
		}
	}})
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(streamAsk))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_, err = bufio.NewReader(res.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.ErrorIs(t, <-over, context.Canceled)
}

func TestReady(t *testing.T) {
	bck := &backend{ready: core.CodeDraining, run: tokens}
	url := serve(t, bck)
	res, err := http.Get(url + "/ready")
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Result-Code"), "108")
	res, err = http.Get(url + "/live")
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(plainAsk))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	url := serve(f, &backend{run: tokens})
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(string(body)))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer secret")
			res, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			txt, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Assert(t, res.StatusCode < 500, "%s", txt)
			if strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") {
				assert.Assert(t, json.Valid(txt))
			}
		}
	})
}
