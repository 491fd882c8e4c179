package nodets

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/front"
	"kumquathinge/io/oper"
)

// client does not keep connections, so that a stopped entry VM is noticed.
var client = &http.Client{
	Timeout:   awaitBound,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Status returns what an entry VM tells operators.
func (sys *System) Status(mem *Member) (oper.Status, error) {
	var sta oper.Status
	return sta, sys.oper.getJSON(mem, "/v1/status", &sta)
}

// Settings returns the settings in force at an entry VM.
func (sys *System) Settings(mem *Member, pth string) (oper.Settings, error) {
	var got oper.Settings
	return got, sys.oper.getJSON(mem, "/v1/settings?path="+url.QueryEscape(pth), &got)
}

// operator calls the operators' interface of entry VMs.
type operator struct {
	cli    *http.Client
	scheme string
}

// newOperator returns an operator with the system's certificate, if any.
func (sys *System) newOperator() operator {
	sys.tst.Helper()
	sec, err := sys.cfg.TLS.Load(time.Now())
	assert.NilError(sys.tst, err)
	if sec == nil {
		return operator{cli: client, scheme: "http://"}
	}
	tra := &http.Transport{DisableKeepAlives: true, TLSClientConfig: sec}
	return operator{cli: &http.Client{Timeout: awaitBound, Transport: tra}, scheme: "https://"}
}

// url returns the URL of a path at an entry VM.
func (opr operator) url(mem *Member, pth string) string {
	return opr.scheme + mem.Addrs.Operators + pth
}

// getJSON reads a JSON answer.
func (opr operator) getJSON(mem *Member, pth string, val any) error {
	res, err := opr.cli.Get(opr.url(mem, pth))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		out, _ := io.ReadAll(res.Body)
		return fmt.Errorf("status %d: %s", res.StatusCode, out)
	}
	return json.NewDecoder(res.Body).Decode(val)
}

// TrySet changes a setting once, on top of the node's present version.
func (sys *System) TrySet(mem *Member, pth, key string, raw []byte) error {
	cur, err := sys.Settings(mem, pth)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"path": pth, "key": key, "value": json.RawMessage(raw), "base": cur.Version})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, sys.oper.url(mem, "/v1/settings"), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := sys.oper.cli.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", res.StatusCode, out)
	}
	return err
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

// Charge calls the plain service once with a key that must not be repeated.
func (sys *System) Charge(ctx context.Context, mem *Member, key, body string, issued time.Time) Answer {
	adr := "http://" + mem.Addrs.Callers + "/services/" + Service + "/charge"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, adr, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set(front.HeaderKey, key)
	req.Header.Set(front.HeaderIssued, issued.UTC().Format(time.RFC3339Nano))
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
