package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"kumquathinge/io/front"
	"kumquathinge/io/strict"
	"kumquathinge/stand"
)

// answerTokens is the length of the requested completions, in tokens.
const answerTokens = 12

// pollInterval is the interval between retries.
const pollInterval = 20 * time.Millisecond

// checker sends requests to the running processes and checks the responses.
type checker struct {
	opt options
	cli *http.Client
}

// newChecker returns a checker with a single HTTP client.
func newChecker(opt options) *checker {
	return &checker{opt: opt, cli: &http.Client{Timeout: opt.Timeout, Transport: strict.NewTransport(&http.Transport{})}}
}

// checks returns the checks in the order in which they run.
func (chk *checker) checks() []check {
	return []check{
		{"every entry VM answers for both deployments", chk.entriesServe},
		{"Huellas Andinas: streamed completion", chk.streamedCompletion},
		{"Huellas Andinas: chat completion, not streamed", chk.chatCompletion},
		{"Kallergis: completion in another availability zone", chk.forwardedCompletion},
		{"Huellas Andinas: fee charge sent twice, run once", chk.chargeTwice},
		{"a changed setting in force on all 4 entry VMs", chk.changeSetting},
		{"a request without a key is refused", chk.unauthorised},
		{"a setting with a wrong unit is refused", chk.wrongUnit},
	}
}

// retry repeats call until it succeeds or the timeout has passed, and returns its
// last error.
func (chk *checker) retry(call func() error) error {
	end := time.Now().Add(chk.opt.Timeout)
	interval := backoff.NewConstantBackOff(pollInterval)
	for {
		err := call()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(interval.NextBackOff())
	}
}

// post sends a caller's request with a JSON body and returns the status and body
// of the response.
func (chk *checker) post(addr, path, key string, body any, header map[string]string) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, val := range header {
		req.Header.Set(name, val)
	}
	return chk.do(req)
}

// do sends a request and returns the status and body of the response.
func (chk *checker) do(req *http.Request) (int, []byte, error) {
	res, err := chk.cli.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	return res.StatusCode, out, err
}

// completion is the part of a completion response that is checked.
type completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// completionBody returns the JSON body of a completion request.
func completionBody(model, prompt string, stream bool) map[string]any {
	return map[string]any{"model": model, "prompt": prompt, "max_tokens": answerTokens, "stream": stream}
}

// complete requests a completion and compares it with the text that the stand-in
// engine generates for the prompt.
func (chk *checker) complete(addr, key, model, prompt string) error {
	status, out, err := chk.post(addr, "/v1/completions", key, completionBody(model, prompt, false), nil)
	if err != nil {
		return err
	}
	var got completion
	err = json.Unmarshal(out, &got)
	if err != nil || status != http.StatusOK || len(got.Choices) != 1 {
		return fmt.Errorf("status %d: %s", status, out)
	}
	return checkText(got.Choices[0].Text, stand.Answer(prompt, answerTokens))
}

// checkText returns an error unless the texts are equal.
func checkText(got, want string) error {
	if got != want {
		return fmt.Errorf("completion is %q, want %q", got, want)
	}
	return nil
}

// entriesServe waits until every entry VM completes a request of each deployment.
func (chk *checker) entriesServe() (string, error) {
	for _, addr := range chk.opt.Entries {
		err := chk.retry(func() error { return chk.complete(addr, chk.opt.AndesKey, "alerts", "warm "+addr) })
		if err != nil {
			return "", fmt.Errorf("entry VM %s, alerts: %w", addr, err)
		}
		err = chk.retry(func() error { return chk.complete(addr, chk.opt.KallergisKey, "notes", "warm "+addr) })
		if err != nil {
			return "", fmt.Errorf("entry VM %s, notes: %w", addr, err)
		}
	}
	return fmt.Sprintf("%d entry VMs", len(chk.opt.Entries)), nil
}

// streamedCompletion checks a streamed completion and its end marker.
func (chk *checker) streamedCompletion() (string, error) {
	prompt := "Lost in Miraflores: brown dog, red collar"
	status, out, err := chk.post(chk.opt.Entries[0], "/v1/completions", chk.opt.AndesKey, completionBody("alerts", prompt, true), nil)
	if err != nil || status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %w", status, out, err)
	}
	text, done := readEvents(out)
	if !done {
		return "", fmt.Errorf("no end marker in %q", out)
	}
	return strings.TrimSpace(text), checkText(text, stand.Answer(prompt, answerTokens))
}

// readEvents returns the text of a stream of server-sent events and whether it
// has an end marker.
func readEvents(out []byte) (string, bool) {
	var text strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(out))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var got completion
		if json.Unmarshal([]byte(data), &got) == nil && len(got.Choices) == 1 {
			text.WriteString(got.Choices[0].Text)
		}
	}
	return text.String(), false
}

// chatCompletion checks a chat completion.
func (chk *checker) chatCompletion() (string, error) {
	body := map[string]any{
		"model":      "alerts",
		"max_tokens": answerTokens,
		"messages":   []map[string]string{{"role": "user", "content": "Describe the dog"}},
	}
	status, out, err := chk.post(chk.opt.Entries[1], "/v1/chat/completions", chk.opt.AndesKey, body, nil)
	if err != nil || status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %w", status, out, err)
	}
	var got completion
	err = json.Unmarshal(out, &got)
	if err != nil {
		return "", err
	}
	text := got.Choices[0].Message.Content
	return strings.TrimSpace(text), checkText(text, stand.Answer("user: Describe the dog\nassistant: ", answerTokens))
}

// forwardedCompletion checks a completion whose model has no group in the first entry
// VM's zone.
func (chk *checker) forwardedCompletion() (string, error) {
	prompt := "Shift log, kiosk 12: soap low, lock stuck"
	return "asked in zone z1, served in another", chk.complete(chk.opt.Entries[0], chk.opt.KallergisKey, "notes", prompt)
}

// chargeTwice sends the same charge through two entry VMs and checks that the
// service ran it once.
func (chk *checker) chargeTwice() (string, error) {
	charge := map[string]string{"case": uuid.NewString(), "fee": "20.00 PEN"}
	header := map[string]string{
		front.HeaderIdempotencyKey:    uuid.NewString(),
		front.HeaderIdempotencyIssued: time.Now().UTC().Format(time.RFC3339Nano),
	}
	var first []byte
	for _, addr := range []string{chk.opt.Entries[0], chk.opt.Entries[2]} {
		out, err := chk.charge(addr, charge, header)
		if err != nil {
			return "", err
		}
		if first != nil && !bytes.Equal(first, out) {
			return "", fmt.Errorf("answers differ: %s and %s", first, out)
		}
		first = out
	}
	num, err := chk.runCount(charge)
	if err != nil || num != 1 {
		return "", fmt.Errorf("service ran the charge %d times, want 1: %w", num, err)
	}
	return "the service counted 1 run", nil
}

// charge sends a charge and retries until it succeeds, for example while an
// earlier attempt is in progress.
func (chk *checker) charge(addr string, charge map[string]string, header map[string]string) ([]byte, error) {
	var out []byte
	err := chk.retry(func() error {
		status, got, err := chk.post(addr, "/services/fees/charge", chk.opt.AndesKey, charge, header)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("entry VM %s: status %d: %s", addr, status, got)
		}
		out = got
		return nil
	})
	return out, err
}

// runCount returns how often the service ran a charge with this body.
func (chk *checker) runCount(body any) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+chk.opt.Fees+"/count", nil)
	if err != nil {
		return 0, err
	}
	_, out, err := chk.do(req)
	if err != nil {
		return 0, err
	}
	var counts stand.PlainCount
	err = json.Unmarshal(out, &counts)
	if err != nil {
		return 0, err
	}
	key, err := json.Marshal(body)
	return counts.ByBody[string(key)], err
}

// settingPath is the path of the setting that the demonstration changes.
const settingPath = "/orgs/kallergis"

// changeSetting changes a setting at one entry VM and waits until it is in force
// on all of them.
func (chk *checker) changeSetting() (string, error) {
	begin := time.Now()
	status, out, err := chk.putSetting("org.priority", "2")
	if err != nil || status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %w", status, out, err)
	}
	text := fmt.Sprintf("accepted after %s, in force after", time.Since(begin).Round(time.Millisecond/10))
	for _, addr := range chk.opt.Operators {
		err = chk.retry(func() error { return chk.checkInForce(addr) })
		if err != nil {
			return "", err
		}
		text += " " + time.Since(begin).Round(time.Millisecond/10).String()
	}
	return text, nil
}

// settings is the part of an operators' settings response that is used.
type settings struct {
	Version uint64 `json:"version"`
	Values  []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	} `json:"values"`
}

// readSettings returns the settings in force on an entry VM.
func (chk *checker) readSettings(addr string) (settings, error) {
	var got settings
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/settings?path="+url.QueryEscape(settingPath), nil)
	if err != nil {
		return got, err
	}
	_, out, err := chk.do(req)
	if err != nil {
		return got, err
	}
	return got, json.Unmarshal(out, &got)
}

// putSetting sets a key at settingPath, based on the current version.
func (chk *checker) putSetting(key, raw string) (int, []byte, error) {
	cur, err := chk.readSettings(chk.opt.Operators[0])
	if err != nil {
		return 0, nil, err
	}
	body := fmt.Sprintf(`{"path":%q,"key":%q,"value":%s,"base":%d}`, settingPath, key, raw, cur.Version)
	req, err := http.NewRequest(http.MethodPut, "http://"+chk.opt.Operators[0]+"/v1/settings", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return chk.do(req)
}

// checkInForce returns an error unless the changed setting is in force on the
// entry VM.
func (chk *checker) checkInForce(addr string) error {
	got, err := chk.readSettings(addr)
	if err != nil {
		return err
	}
	for _, val := range got.Values {
		if val.Key == "org.priority" && string(val.Value) == "2" {
			return nil
		}
	}
	return fmt.Errorf("change is not in force on entry VM %s", addr)
}

// unauthorised checks that a request without an API key is rejected.
func (chk *checker) unauthorised() (string, error) {
	status, out, err := chk.post(chk.opt.Entries[0], "/v1/completions", "", completionBody("alerts", "x", false), nil)
	if err != nil || status != http.StatusUnauthorized {
		return "", fmt.Errorf("status %d: %s %w", status, out, err)
	}
	return strings.TrimSpace(string(out)), nil
}

// wrongUnit checks that a setting with an invalid value is rejected.
func (chk *checker) wrongUnit() (string, error) {
	status, out, err := chk.putSetting("org.weight", `"2 kg"`)
	if err != nil || status != http.StatusBadRequest {
		return "", fmt.Errorf("status %d: %s %w", status, out, err)
	}
	return strings.TrimSpace(string(out)), nil
}
