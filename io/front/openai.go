package front

import (
	"encoding/json"
	"strings"

	"kumquathinge/core"
)

// completionAsk is the body of a completion request.
type completionAsk struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	N         int             `json:"n"`
}

// chatAsk is the body of a chat request.
type chatAsk struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	MaxCompletion int           `json:"max_completion_tokens"`
	Stream        bool          `json:"stream"`
	N             int           `json:"n"`
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// textPart is one part of a message's content.
type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// answer is a whole answer or one event of a streamed one.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the only choice of an answer.
type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Message *replyOrPart `json:"message,omitempty"`
	Delta   *replyOrPart `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

// replyOrPart is a chat message of the assistant or a piece of it.
type replyOrPart struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage counts tokens. The prompt's tokens are not known to an entry VM.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// modelList is the answer to a request for the models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

// modelInfo is one model of the list.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ask is what both kinds of request come down to.
type ask struct {
	model     string
	adapter   string
	prompt    string
	maxTokens int
	stream    bool
	chat      bool
	created   int64
}

// defaultMaxTokens is the length of an answer whose request states none.
const defaultMaxTokens = 256

// parseCompletion reads the body of a completion request. Its errors carry
// core.CodeBadRequest.
func parseCompletion(body []byte) (ask, error) {
	var req completionAsk
	err := json.Unmarshal(body, &req)
	if err != nil {
		return ask{}, core.Errorf(core.CodeBadRequest, "body is not a completion request: %v", err)
	}
	txt, err := promptText(req.Prompt)
	if err != nil {
		return ask{}, err
	}
	return newAsk(req.Model, txt, req.MaxTokens, req.N, req.Stream, false)
}

// promptText reads a prompt, which is a string or a list of one string.
func promptText(raw json.RawMessage) (string, error) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, nil
	}
	var lst []string
	if json.Unmarshal(raw, &lst) == nil && len(lst) == 1 {
		return lst[0], nil
	}
	return "", core.Errorf(core.CodeBadRequest, "prompt is neither a string nor a list of one string")
}

// parseChat reads the body of a chat request. Its errors carry
// core.CodeBadRequest.
func parseChat(body []byte) (ask, error) {
	var req chatAsk
	err := json.Unmarshal(body, &req)
	if err != nil {
		return ask{}, core.Errorf(core.CodeBadRequest, "body is not a chat request: %v", err)
	}
	if len(req.Messages) == 0 {
		return ask{}, core.Errorf(core.CodeBadRequest, "messages is empty")
	}
	var sbu strings.Builder
	for idx, msg := range req.Messages {
		txt, err := contentText(msg.Content)
		if err != nil {
			return ask{}, core.Errorf(core.CodeBadRequest, "messages[%d]: %v", idx, err)
		}
		sbu.WriteString(msg.Role)
		sbu.WriteString(": ")
		sbu.WriteString(txt)
		sbu.WriteString("\n")
	}
	sbu.WriteString("assistant: ")
	return newAsk(req.Model, sbu.String(), max(req.MaxTokens, req.MaxCompletion), req.N, req.Stream, true)
}

// contentText reads a message's content, a string or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, nil
	}
	var prts []textPart
	err := json.Unmarshal(raw, &prts)
	if err != nil {
		return "", core.Errorf(core.CodeBadRequest, "content is neither a string nor a list of parts")
	}
	var sbu strings.Builder
	for _, prt := range prts {
		if prt.Type != "text" {
			return "", core.Errorf(core.CodeBadRequest, "content part of type %q is not supported", prt.Type)
		}
		sbu.WriteString(prt.Text)
	}
	return sbu.String(), nil
}

// newAsk checks what both kinds of request have in common. The model's name
// may name an adapter behind a colon.
func newAsk(model, prompt string, maxTokens, num int, stream, chat bool) (ask, error) {
	if model == "" {
		return ask{}, core.Errorf(core.CodeBadRequest, "model is missing")
	}
	if num > 1 {
		return ask{}, core.Errorf(core.CodeBadRequest, "n is %d, only 1 is supported", num)
	}
	if maxTokens < 0 {
		return ask{}, core.Errorf(core.CodeBadRequest, "max_tokens is negative")
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	nam, ada, _ := strings.Cut(model, ":")
	return ask{
		model:     nam,
		adapter:   ada,
		prompt:    prompt,
		maxTokens: maxTokens,
		stream:    stream,
		chat:      chat,
	}, nil
}
