package press

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// Line is what a line of an answer holds.
type Line uint8

// Kinds of lines.
const (
	LineOther Line = iota
	LineToken
	LineEnd
)

// Target is a server that takes completions. Fill writes the request with a
// sequence number; Line tells what a line of the answer holds.
type Target interface {
	Addr() string
	Fill(req *fasthttp.Request, seq int)
	Line(line []byte) Line
}

// Prompt describes the completions to ask for.
type Prompt struct {
	Model     core.ModelName
	Text      string // followed by the sequence number
	MaxTokens int
}

// Front is an entry VM. Without Stream, an answer comes in one piece and has
// no times of tokens.
type Front struct {
	Host   string // host:port
	Key    string
	Prompt Prompt
	Stream bool
}

// Engine is a model engine. NewEngine makes one.
type Engine struct {
	host   string
	prompt Prompt
	group  core.GroupName
	order  core.Offset
	run    string
}

var (
	_ Target = (*Front)(nil)
	_ Target = (*Engine)(nil)
)

// completion is the body of a request to an entry VM.
type completion struct {
	Model     core.ModelName `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// Addr returns the address.
func (fro *Front) Addr() string { return fro.Host }

// Fill writes a completion request.
func (fro *Front) Fill(req *fasthttp.Request, seq int) {
	fill(req, fro.Host, "/v1/completions", completion{
		Model: fro.Prompt.Model, Prompt: fmt.Sprint(fro.Prompt.Text, seq),
		MaxTokens: fro.Prompt.MaxTokens, Stream: fro.Stream,
	})
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+fro.Key)
}

// fill writes a POST request. It panics if the body has no JSON encoding.
func fill(req *fasthttp.Request, host, path string, body any) {
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
	dataMark = []byte("data: ")
	doneMark = []byte("[DONE]")
)

// streamed is an event of a streamed answer, or a whole answer.
type streamed struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// Line reads a line of server-sent events, or a whole answer.
func (fro *Front) Line(line []byte) Line {
	if !fro.Stream {
		return LineEnd
	}
	data, ok := bytes.CutPrefix(line, dataMark)
	if !ok {
		return LineOther
	}
	if bytes.Equal(data, doneMark) {
		return LineEnd
	}
	var evt streamed
	if json.Unmarshal(data, &evt) != nil || len(evt.Choices) != 1 || evt.Choices[0].Text == "" {
		return LineOther
	}
	return LineToken
}

// NewEngine probes the engine at host:port for its group and order number. The
// name run makes the IDs of its attempts unique. The error carries
// CodeDialFailed if the engine doesn't answer, and CodeRefused if it is not
// ready.
func NewEngine(host, run string, pmt Prompt) (*Engine, error) {
	status, body, err := fasthttp.Get(nil, "http://"+host+"/v1/probe")
	if err != nil || status != fasthttp.StatusOK {
		return nil, core.Errorf(core.CodeDialFailed, "probe %s: status %d, %v", host, status, err)
	}
	var prb core.ProbeResult
	if err = json.Unmarshal(body, &prb); err != nil {
		return nil, eris.Wrap(err, "decode probe")
	}
	if prb.State != core.EngineReady {
		return nil, core.Errorf(core.CodeRefused, "engine %s is %s", host, prb.State)
	}
	return &Engine{host: host, run: run, prompt: pmt, group: prb.Group, order: prb.FencingToken}, nil
}

// Addr returns the address.
func (eng *Engine) Addr() string { return eng.host }

// Fill writes a request to generate.
func (eng *Engine) Fill(req *fasthttp.Request, seq int) {
	id := fmt.Sprint(eng.run, "-", seq)
	fill(req, eng.host, "/v1/generate", core.GenerateRequest{
		Attempt: core.AttemptID(id), Request: id, Group: eng.group, FencingToken: eng.order,
		Prompt: fmt.Sprint(eng.prompt.Text, seq), MaxTokens: eng.prompt.MaxTokens,
	})
}

// Line reads a chunk.
func (eng *Engine) Line(line []byte) Line {
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
