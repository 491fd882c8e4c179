package serve

import (
	"encoding/json"

	"kumquathinge/core"
)

// completion is the recorded response of a completion that must not be repeated.
type completion struct {
	Tokens       []string `json:"tokens"`
	FinishReason string   `json:"reason"`
}

// writeTo writes the tokens from position from on, and the end, to the sink.
func (comp completion) writeTo(from int, sink core.Sink) error {
	for pos := max(from, 0); pos < len(comp.Tokens); pos++ {
		err := sink.WritePart(core.Part{Pos: pos, Text: comp.Tokens[pos]})
		if err != nil {
			return err
		}
	}
	num := len(comp.Tokens)
	return sink.WritePart(core.Part{Pos: num, End: true, Tokens: num, FinishReason: comp.FinishReason})
}

// collector collects the response of a job.
type collector struct {
	completion completion
	plainReply *core.Reply
}

var _ core.Sink = (*collector)(nil)

// WritePart adds one part.
func (col *collector) WritePart(part core.Part) error {
	switch {
	case part.Reply != nil:
		col.plainReply = part.Reply
	case part.End:
		col.completion.FinishReason = part.FinishReason
	default:
		col.completion.Tokens = append(col.completion.Tokens, part.Text)
	}
	return nil
}

// reply returns the response in the form in which it is recorded.
func (col *collector) reply() core.Reply {
	if col.plainReply != nil {
		return *col.plainReply
	}
	data, err := json.Marshal(col.completion)
	if err != nil {
		panic(err)
	}
	return core.Reply{Status: completionStatus, Type: completionContentType, Body: data}
}
