package serve

import (
	"encoding/json"

	"kumquathinge/core"
)

// completion is the recorded answer of a completion that must not be repeated.
type completion struct {
	Tokens []string `json:"tokens"`
	Reason string   `json:"reason"`
}

// pass passes the tokens from position from on to snk, and the end.
func (cmp completion) pass(from int, snk core.Sink) error {
	for pos := max(from, 0); pos < len(cmp.Tokens); pos++ {
		err := snk.WritePart(core.Part{Pos: pos, Text: cmp.Tokens[pos]})
		if err != nil {
			return err
		}
	}
	num := len(cmp.Tokens)
	return snk.WritePart(core.Part{Pos: num, End: true, Tokens: num, FinishReason: cmp.Reason})
}

// collector keeps the answer of a job.
type collector struct {
	cmp completion
	rep *core.Reply
}

var _ core.Sink = (*collector)(nil)

// WritePart takes one part.
func (col *collector) WritePart(prt core.Part) error {
	switch {
	case prt.Reply != nil:
		col.rep = prt.Reply
	case prt.End:
		col.cmp.Reason = prt.FinishReason
	default:
		col.cmp.Tokens = append(col.cmp.Tokens, prt.Text)
	}
	return nil
}

// reply returns the answer in the form in which it is recorded.
func (col *collector) reply() core.Reply {
	if col.rep != nil {
		return *col.rep
	}
	data, err := json.Marshal(col.cmp)
	if err != nil {
		panic(err)
	}
	return core.Reply{Status: completionState, Type: completionType, Body: data}
}
