package nodets

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"kumquathinge/core"
	"kumquathinge/io/front"
	"kumquathinge/io/strict"
)

// client does not reuse connections, so that a call to a stopped entry VM
// fails.
var client = &http.Client{
	Timeout:   awaitTimeout,
	Transport: strict.NewTransport(&http.Transport{DisableKeepAlives: true}),
}

// Response is what a caller received. Complete is set if the response had its
// end marker. Code is the result code of a failure.
type Response struct {
	RequestID string
	Status    int
	Text      string
	Complete  bool
	Code      core.Code
	NotRun    bool
	Err       error
}

// Complete sends a streamed completion to an entry VM and reads the response
// to its end. If first is not nil, it is called at the first token.
func (sys *System) Complete(ctx context.Context, entry *EntryVM, prompt string, tokens int, first func()) Response {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, Model, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Addrs.Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	res, err := client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readFailure(res)
	}
	return readStream(res, first)
}

// errorBody is the body of a failed response.
type errorBody struct {
	Error struct {
		Code   core.Code `json:"code"`
		NotRun bool      `json:"not_run"`
	} `json:"error"`
}

// readFailure reads the response to a request that failed before its first
// part.
func readFailure(res *http.Response) Response {
	var failed errorBody
	err := json.NewDecoder(res.Body).Decode(&failed)
	return Response{
		RequestID: res.Header.Get(front.HeaderRequestID),
		Status:    res.StatusCode,
		Code:      failed.Error.Code,
		NotRun:    failed.Error.NotRun,
		Err:       err,
	}
}

// readStream reads a streamed response.
func readStream(res *http.Response, first func()) Response {
	resp := Response{RequestID: res.Header.Get(front.HeaderRequestID), Status: res.StatusCode}
	var text strings.Builder
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			resp.Complete = true
			continue
		}
		var got struct {
			errorBody
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		resp.Err = json.Unmarshal([]byte(data), &got)
		resp.Code = got.Error.Code
		resp.NotRun = got.Error.NotRun
		if len(got.Choices) == 1 {
			text.WriteString(got.Choices[0].Text)
		}
		if first != nil {
			first()
			first = nil
		}
	}
	if resp.Err == nil {
		resp.Err = scanner.Err()
	}
	resp.Text = text.String()
	return resp
}

// Charge calls the plain service with an idempotency key.
func (sys *System) Charge(ctx context.Context, entry *EntryVM, key, body string, issued time.Time) Response {
	return sys.callService(ctx, entry, body, map[string]string{
		front.HeaderIdempotencyKey:    key,
		front.HeaderIdempotencyIssued: issued.UTC().Format(time.RFC3339Nano),
	})
}

// CallInOrder calls the plain service with an ordering key.
func (sys *System) CallInOrder(ctx context.Context, entry *EntryVM, key, body string) Response {
	return sys.callService(ctx, entry, body, map[string]string{front.HeaderOrderingKey: key})
}

// callService calls the plain service once.
func (sys *System) callService(ctx context.Context, entry *EntryVM, body string, header map[string]string) Response {
	url := "http://" + entry.Addrs.Callers + "/services/" + Service + "/charge"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	for name, val := range header {
		req.Header.Set(name, val)
	}
	res, err := client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readFailure(res)
	}
	out, err := io.ReadAll(res.Body)
	return Response{Status: res.StatusCode, Text: string(out), Complete: err == nil, Err: err}
}
