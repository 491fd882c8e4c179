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
)

// client does not keep connections, so that a stopped entry VM is noticed.
var client = &http.Client{
	Timeout:   awaitBound,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Answer is what a caller got. Whole is set if the answer had its end mark.
// Code is the result code of a failure.
type Answer struct {
	ID     string
	Status int
	Text   string
	Whole  bool
	Code   core.Code
	NotRun bool
	Err    error
}

// Complete asks an entry VM for a streamed completion and reads it to its end.
// First is called when the first token came, if it is not nil.
func (sys *System) Complete(ctx context.Context, mem *Member, prompt string, tokens int, first func()) Answer {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, Model, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+mem.Addrs.Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	res, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return failure(res)
	}
	return readStream(res, first)
}

// errorBody is the body of a failed answer.
type errorBody struct {
	Error struct {
		Code   core.Code `json:"code"`
		NotRun bool      `json:"not_run"`
	} `json:"error"`
}

// failure reads the answer to a request that failed before its first part.
func failure(res *http.Response) Answer {
	var bod errorBody
	err := json.NewDecoder(res.Body).Decode(&bod)
	return Answer{
		ID:     res.Header.Get(front.HeaderRequestID),
		Status: res.StatusCode,
		Code:   bod.Error.Code,
		NotRun: bod.Error.NotRun,
		Err:    err,
	}
}

// readStream reads a streamed answer.
func readStream(res *http.Response, first func()) Answer {
	ans := Answer{ID: res.Header.Get(front.HeaderRequestID), Status: res.StatusCode}
	var sbu strings.Builder
	scn := bufio.NewScanner(res.Body)
	for scn.Scan() {
		data, ok := strings.CutPrefix(scn.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ans.Whole = true
			continue
		}
		var got struct {
			errorBody
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		ans.Err = json.Unmarshal([]byte(data), &got)
		ans.Code = got.Error.Code
		ans.NotRun = got.Error.NotRun
		if len(got.Choices) == 1 {
			sbu.WriteString(got.Choices[0].Text)
		}
		if first != nil {
			first()
			first = nil
		}
	}
	if ans.Err == nil {
		ans.Err = scn.Err()
	}
	ans.Text = sbu.String()
	return ans
}

// Charge calls the plain service with a key that must not be repeated.
func (sys *System) Charge(ctx context.Context, mem *Member, key, body string, issued time.Time) Answer {
	return sys.call(ctx, mem, body, map[string]string{
		front.HeaderKey:    key,
		front.HeaderIssued: issued.UTC().Format(time.RFC3339Nano),
	})
}

// CallInOrder calls the plain service with an ordering key.
func (sys *System) CallInOrder(ctx context.Context, mem *Member, key, body string) Answer {
	return sys.call(ctx, mem, body, map[string]string{front.HeaderOrderingKey: key})
}

// call calls the plain service once.
func (sys *System) call(ctx context.Context, mem *Member, body string, header map[string]string) Answer {
	adr := "http://" + mem.Addrs.Callers + "/services/" + Service + "/charge"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, adr, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	for nam, val := range header {
		req.Header.Set(nam, val)
	}
	res, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return failure(res)
	}
	out, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Text: string(out), Whole: err == nil, Err: err}
}
