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
	"kumquathinge/stand"
)

// Length of the answers that the demonstration asks for, in tokens.
const answerTokens = 12

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// demo runs the checks.
type demo struct {
	opt options
	cli *http.Client
}

// newDemo returns a demo over one HTTP client.
func newDemo(opt options) *demo {
	return &demo{opt: opt, cli: &http.Client{Timeout: opt.Wait}}
}

// checks returns the steps in order.
func (dem *demo) checks() []check {
	return []check{
		{"every entry VM answers for both deployments", dem.allServe},
		{"Huellas Andinas: streamed completion", dem.streamed},
		{"Huellas Andinas: chat completion, not streamed", dem.chat},
		{"Kallergis: completion in another availability zone", dem.forwarded},
		{"Huellas Andinas: fee charge sent twice, run once", dem.chargeTwice},
		{"a changed setting in force on all 4 entry VMs", dem.setting},
		{"a request without a key is refused", dem.unauthorised},
		{"a setting with a wrong unit is refused", dem.wrongUnit},
	}
}

// until repeats fun until it succeeds or the wait is over.
func (dem *demo) until(fun func() error) error {
	end := time.Now().Add(dem.opt.Wait)
	pau := backoff.NewConstantBackOff(pollInterval)
	for {
		err := fun()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(pau.NextBackOff())
	}
}

// post sends a request of a caller and returns status, body and header.
func (dem *demo) post(addr, path, key string, body any, hdr map[string]string) (int, []byte, error) {
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
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	return dem.do(req)
}

// do sends a request and reads the whole answer.
func (dem *demo) do(req *http.Request) (int, []byte, error) {
	res, err := dem.cli.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	return res.StatusCode, out, err
}

// completion is the part of an answer that is checked.
type completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// ask is a completion request.
func ask(model, prompt string, stream bool) map[string]any {
	return map[string]any{"model": model, "prompt": prompt, "max_tokens": answerTokens, "stream": stream}
}

// complete asks for a completion and checks that it is the prompt's.
func (dem *demo) complete(addr, key, model, prompt string) error {
	sta, out, err := dem.post(addr, "/v1/completions", key, ask(model, prompt, false), nil)
	if err != nil {
		return err
	}
	var got completion
	err = json.Unmarshal(out, &got)
	if err != nil || sta != http.StatusOK || len(got.Choices) != 1 {
		return fmt.Errorf("status %d: %s", sta, out)
	}
	return same(got.Choices[0].Text, stand.Answer(prompt, answerTokens))
}

// same returns an error unless the texts are equal.
func same(got, want string) error {
	if got != want {
		return fmt.Errorf("answer is %q, want %q", got, want)
	}
	return nil
}

// allServe waits until every entry VM completes a request of each deployment.
func (dem *demo) allServe() (string, error) {
	for _, addr := range dem.opt.Entries {
		err := dem.until(func() error { return dem.complete(addr, dem.opt.AndesKey, "alerts", "warm "+addr) })
		if err != nil {
			return "", fmt.Errorf("entry VM %s, alerts: %w", addr, err)
		}
		err = dem.until(func() error { return dem.complete(addr, dem.opt.GreekKey, "notes", "warm "+addr) })
		if err != nil {
			return "", fmt.Errorf("entry VM %s, notes: %w", addr, err)
		}
	}
	return fmt.Sprintf("%d entry VMs", len(dem.opt.Entries)), nil
}

// streamed checks a streamed completion with its end mark.
func (dem *demo) streamed() (string, error) {
	prompt := "Lost in Miraflores: brown dog, red collar"
	sta, out, err := dem.post(dem.opt.Entries[0], "/v1/completions", dem.opt.AndesKey, ask("alerts", prompt, true), nil)
	if err != nil || sta != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %w", sta, out, err)
	}
	txt, done := readEvents(out)
	if !done {
		return "", fmt.Errorf("no end mark in %q", out)
	}
	return strings.TrimSpace(txt), same(txt, stand.Answer(prompt, answerTokens))
}

// readEvents returns the text of server-sent events and whether the end mark
// came.
func readEvents(out []byte) (string, bool) {
	var sbu strings.Builder
	scn := bufio.NewScanner(bytes.NewReader(out))
	for scn.Scan() {
		data, ok := strings.CutPrefix(scn.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return sbu.String(), true
		}
		var got completion
		if json.Unmarshal([]byte(data), &got) == nil && len(got.Choices) == 1 {
			sbu.WriteString(got.Choices[0].Text)
		}
	}
	return sbu.String(), false
}

// chat checks a chat completion.
func (dem *demo) chat() (string, error) {
	body := map[string]any{
		"model":      "alerts",
		"max_tokens": answerTokens,
		"messages":   []map[string]string{{"role": "user", "content": "Describe the dog"}},
	}
	sta, out, err := dem.post(dem.opt.Entries[1], "/v1/chat/completions", dem.opt.AndesKey, body, nil)
	if err != nil || sta != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %w", sta, out, err)
	}
	var got completion
	err = json.Unmarshal(out, &got)
	if err != nil {
		return "", err
	}
	txt := got.Choices[0].Message.Content
	return strings.TrimSpace(txt), same(txt, stand.Answer("user: Describe the dog\nassistant: ", answerTokens))
}

// forwarded checks a completion whose model has no group in the first entry
// VM's zone.
func (dem *demo) forwarded() (string, error) {
	prompt := "Shift log, kiosk 12: soap low, lock stuck"
	return "asked in zone z1, served in another", dem.complete(dem.opt.Entries[0], dem.opt.GreekKey, "notes", prompt)
}

// chargeTwice sends one charge through two entry VMs and looks at what the
// service counted.
func (dem *demo) chargeTwice() (string, error) {
	charge := map[string]string{"case": uuid.NewString(), "fee": "20.00 PEN"}
	hdr := map[string]string{
		front.HeaderIdempotencyKey:    uuid.NewString(),
		front.HeaderIdempotencyIssued: time.Now().UTC().Format(time.RFC3339Nano),
	}
	var first []byte
	for _, addr := range []string{dem.opt.Entries[0], dem.opt.Entries[2]} {
		out, err := dem.charge(addr, charge, hdr)
		if err != nil {
			return "", err
		}
		if first != nil && !bytes.Equal(first, out) {
			return "", fmt.Errorf("answers differ: %s and %s", first, out)
		}
		first = out
	}
	num, err := dem.runs(charge)
	if err != nil || num != 1 {
		return "", fmt.Errorf("the service ran the charge %d times: %w", num, err)
	}
	return "the service counted 1 run", nil
}

// charge sends a charge. While an earlier try is in progress it sends it again.
func (dem *demo) charge(addr string, charge map[string]string, hdr map[string]string) ([]byte, error) {
	var out []byte
	err := dem.until(func() error {
		sta, got, err := dem.post(addr, "/services/fees/charge", dem.opt.AndesKey, charge, hdr)
		if err != nil {
			return err
		}
		if sta != http.StatusOK {
			return fmt.Errorf("entry VM %s: status %d: %s", addr, sta, got)
		}
		out = got
		return nil
	})
	return out, err
}

// runs returns how often the service ran the body.
func (dem *demo) runs(body any) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+dem.opt.Fees+"/count", nil)
	if err != nil {
		return 0, err
	}
	_, out, err := dem.do(req)
	if err != nil {
		return 0, err
	}
	var cnt stand.PlainCount
	err = json.Unmarshal(out, &cnt)
	if err != nil {
		return 0, err
	}
	key, err := json.Marshal(body)
	return cnt.ByBody[string(key)], err
}

// settingPath is the settings node that the demonstration changes.
const settingPath = "/orgs/kallergis"

// setting changes a setting at one entry VM and waits until it is in force at
// all of them.
func (dem *demo) setting() (string, error) {
	beg := time.Now()
	sta, out, err := dem.put("org.priority", "2")
	if err != nil || sta != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %w", sta, out, err)
	}
	txt := fmt.Sprintf("accepted after %s, in force after", time.Since(beg).Round(time.Millisecond/10))
	for _, addr := range dem.opt.Operators {
		err = dem.until(func() error { return dem.inForce(addr) })
		if err != nil {
			return "", err
		}
		txt += " " + time.Since(beg).Round(time.Millisecond/10).String()
	}
	return txt, nil
}

// settings is the part of an operators' answer that is looked at.
type settings struct {
	Version uint64 `json:"version"`
	Values  []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	} `json:"values"`
}

// read returns the settings in force at an entry VM.
func (dem *demo) read(addr string) (settings, error) {
	var got settings
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/settings?path="+url.QueryEscape(settingPath), nil)
	if err != nil {
		return got, err
	}
	_, out, err := dem.do(req)
	if err != nil {
		return got, err
	}
	return got, json.Unmarshal(out, &got)
}

// put changes a key of the settings node.
func (dem *demo) put(key, raw string) (int, []byte, error) {
	cur, err := dem.read(dem.opt.Operators[0])
	if err != nil {
		return 0, nil, err
	}
	body := fmt.Sprintf(`{"path":%q,"key":%q,"value":%s,"base":%d}`, settingPath, key, raw, cur.Version)
	req, err := http.NewRequest(http.MethodPut, "http://"+dem.opt.Operators[0]+"/v1/settings", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return dem.do(req)
}

// inForce returns an error unless the entry VM shows the changed setting.
func (dem *demo) inForce(addr string) error {
	got, err := dem.read(addr)
	if err != nil {
		return err
	}
	for _, val := range got.Values {
		if val.Key == "org.priority" && string(val.Value) == "2" {
			return nil
		}
	}
	return fmt.Errorf("entry VM %s does not show the change", addr)
}

// unauthorised checks that a request without a key does not run.
func (dem *demo) unauthorised() (string, error) {
	sta, out, err := dem.post(dem.opt.Entries[0], "/v1/completions", "", ask("alerts", "x", false), nil)
	if err != nil || sta != http.StatusUnauthorized {
		return "", fmt.Errorf("status %d: %s %w", sta, out, err)
	}
	return strings.TrimSpace(string(out)), nil
}

// wrongUnit checks that a value that breaks the schema is refused.
func (dem *demo) wrongUnit() (string, error) {
	sta, out, err := dem.put("org.weight", `"2 kg"`)
	if err != nil || sta != http.StatusBadRequest {
		return "", fmt.Errorf("status %d: %s %w", sta, out, err)
	}
	return strings.TrimSpace(string(out)), nil
}
