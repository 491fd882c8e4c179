package press

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// LineKind is the kind of a line of a response.
type LineKind uint8

// Kinds of lines.
const (
	LineOther LineKind = iota
	LineToken
	LineEnd
)

// Target is a server that accepts completion requests. FillRequest fills in the
// request with the sequence number seq, and ClassifyLine returns the kind of a
// line of the response.
type Target interface {
	Addr() string
	FillRequest(req *fasthttp.Request, seq int)
	ClassifyLine(line []byte) LineKind
}

// Prompt describes the requested completions.
type Prompt struct {
	Model     core.ModelName
	Text      string // followed by the sequence number
	MaxTokens int
}

// EntryVM is an entry VM as a target. Without Stream, responses are not streamed
// and have no token times.
type EntryVM struct {
	Host   string // host:port
	APIKey string
	Prompt Prompt
	Stream bool
}

// Engine is a model engine as a target. Use NewEngine to create one.
type Engine struct {
	host          string
	prompt        Prompt
	group         core.GroupName
	fencingToken  core.Offset
	attemptPrefix string
}

var (
	_ Target = (*EntryVM)(nil)
	_ Target = (*Engine)(nil)
)

// completionRequest is the JSON body of a request to an entry VM.
type completionRequest struct {
	Model     core.ModelName `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// Addr returns the address.
func (vm *EntryVM) Addr() string { return vm.Host }

// FillRequest fills in a completion request.
func (vm *EntryVM) FillRequest(req *fasthttp.Request, seq int) {
	fillPost(req, vm.Host, "/v1/completions", completionRequest{
		Model: vm.Prompt.Model, Prompt: fmt.Sprint(vm.Prompt.Text, seq),
		MaxTokens: vm.Prompt.MaxTokens, Stream: vm.Stream,
	})
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+vm.APIKey)
}

// fillPost fills in a POST request. It panics if body can't be encoded as JSON.
func fillPost(req *fasthttp.Request, host, path string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + host + path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(data)
}

var (
	dataPrefix = []byte("data: ")
	streamEnd  = []byte("[DONE]")
)

// completionResponse is an event of a streamed response.
type completionResponse struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// ClassifyLine classifies a line of server-sent events. Without Stream, every
// line is an end marker.
func (vm *EntryVM) ClassifyLine(line []byte) LineKind {
	if !vm.Stream {
		return LineEnd
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return LineOther
	}
	if bytes.Equal(data, streamEnd) {
		return LineEnd
	}
	var evt completionResponse
	if json.Unmarshal(data, &evt) != nil || len(evt.Choices) != 1 || evt.Choices[0].Text == "" {
		return LineOther
	}
	return LineToken
}

// NewEngine probes the engine at host:port for its group and fencing token. The
// attemptPrefix makes attempt IDs unique. The error has CodeDialFailed if the
// probe fails, and CodeRefused if the engine is not ready.
func NewEngine(host, attemptPrefix string, prompt Prompt) (*Engine, error) {
	status, body, err := fasthttp.Get(nil, "http://"+host+"/v1/probe")
	if err != nil || status != fasthttp.StatusOK {
		return nil, core.Errorf(core.CodeDialFailed, "probe %s: status %d, %v", host, status, err)
	}
	var probe core.ProbeResult
	if err = json.Unmarshal(body, &probe); err != nil {
		return nil, eris.Wrap(err, "decode probe")
	}
	if probe.State != core.EngineReady {
		return nil, core.Errorf(core.CodeRefused, "engine %s is %s", host, probe.State)
	}
	return &Engine{host: host, attemptPrefix: attemptPrefix, prompt: prompt, group: probe.Group, fencingToken: probe.FencingToken}, nil
}

// Addr returns the address.
func (eng *Engine) Addr() string { return eng.host }

// FillRequest fills in a generate request.
func (eng *Engine) FillRequest(req *fasthttp.Request, seq int) {
	id := fmt.Sprint(eng.attemptPrefix, "-", seq)
	fillPost(req, eng.host, "/v1/generate", core.GenerateRequest{
		Attempt: core.AttemptID(id), Request: id, Group: eng.group, FencingToken: eng.fencingToken,
		Prompt: fmt.Sprint(eng.prompt.Text, seq), MaxTokens: eng.prompt.MaxTokens,
	})
}

// ClassifyLine classifies a JSON-encoded chunk.
func (eng *Engine) ClassifyLine(line []byte) LineKind {
	var chk core.Chunk
	switch err := json.Unmarshal(line, &chk); {
	case err != nil:
		return LineOther
	case chk.End:
		return LineEnd
	case chk.Text != "":
		return LineToken
	default:
		return LineOther
	}
}
