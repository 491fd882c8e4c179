package front

import (
	"encoding/json"
	"strings"

	"kumquathinge/core"
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	N         int             `json:"n"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   int           `json:"n"`
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

// completionResponse is a whole response or one event of a streamed response.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

// responseChoice is the only choice in a response: n > 1 is not supported.
type responseChoice struct {
	Index        int               `json:"index"`
	Text         *string           `json:"text,omitempty"`
	Message      *assistantMessage `json:"message,omitempty"`
	Delta        *assistantMessage `json:"delta,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

// assistantMessage is a chat message of the assistant, or a fragment of one in
// a streamed response.
type assistantMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage holds token counts. PromptTokens is always zero, because an entry VM
// does not tokenise prompts.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

// modelInfo describes one model in a modelList.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// completionParams holds the parameters that both kinds of completion request
// are reduced to. created is a Unix time in seconds.
type completionParams struct {
	model     string
	adapter   string
	prompt    string
	maxTokens int
	stream    bool
	chat      bool
	created   int64
}

// defaultMaxTokens limits a response if the request has no max_tokens.
const defaultMaxTokens = 256

// parseCompletion decodes the body of a completion request. Its errors carry
// core.CodeBadRequest.
func parseCompletion(body []byte) (completionParams, error) {
	var req completionRequest
	err := json.Unmarshal(body, &req)
	if err != nil {
		return completionParams{}, core.Errorf(core.CodeBadRequest, "body is not a completion request: %v", err)
	}
	txt, err := promptText(req.Prompt)
	if err != nil {
		return completionParams{}, err
	}
	return newCompletionParams(req.Model, txt, req.MaxTokens, req.N, req.Stream, false)
}

// promptText decodes a prompt: a string or a list with exactly one string.
func promptText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", core.Errorf(core.CodeBadRequest, "prompt is neither a string nor a list of one string")
}

// parseChat decodes the body of a chat request and joins the messages into one
// prompt. Its errors carry core.CodeBadRequest.
func parseChat(body []byte) (completionParams, error) {
	var req chatRequest
	err := json.Unmarshal(body, &req)
	if err != nil {
		return completionParams{}, core.Errorf(core.CodeBadRequest, "body is not a chat request: %v", err)
	}
	if len(req.Messages) == 0 {
		return completionParams{}, core.Errorf(core.CodeBadRequest, "messages must not be empty")
	}
	var buf strings.Builder
	for idx, msg := range req.Messages {
		txt, err := contentText(msg.Content)
		if err != nil {
			return completionParams{}, core.Errorf(core.CodeBadRequest, "messages[%d]: %v", idx, err)
		}
		buf.WriteString(msg.Role)
		buf.WriteString(": ")
		buf.WriteString(txt)
		buf.WriteString("\n")
	}
	buf.WriteString("assistant: ")
	return newCompletionParams(req.Model, buf.String(), max(req.MaxTokens, req.MaxCompletionTokens), req.N, req.Stream, true)
}

// contentText decodes the content of a message: a string or a list of text
// parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []textPart
	err := json.Unmarshal(raw, &parts)
	if err != nil {
		return "", core.Errorf(core.CodeBadRequest, "content is neither a string nor a list of parts")
	}
	var buf strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", core.Errorf(core.CodeBadRequest, "content part of type %q is not supported", part.Type)
		}
		buf.WriteString(part.Text)
	}
	return buf.String(), nil
}

// newCompletionParams validates the fields that both kinds of request share.
// The model is named "model" or "model:adapter".
func newCompletionParams(model, prompt string, maxTokens, count int, stream, chat bool) (completionParams, error) {
	if model == "" {
		return completionParams{}, core.Errorf(core.CodeBadRequest, "model is missing")
	}
	if count > 1 {
		return completionParams{}, core.Errorf(core.CodeBadRequest, "n is %d, only 1 is supported", count)
	}
	if maxTokens < 0 {
		return completionParams{}, core.Errorf(core.CodeBadRequest, "max_tokens is negative")
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	name, adapter, _ := strings.Cut(model, ":")
	return completionParams{
		model:     name,
		adapter:   adapter,
		prompt:    prompt,
		maxTokens: maxTokens,
		stream:    stream,
		chat:      chat,
	}, nil
}
