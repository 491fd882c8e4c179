package flight

import "kumquathinge/core"

// reasonCancelled is the reason of an end that the engine reached because the
// attempt was cancelled: the answer is not whole.
const reasonCancelled = "cancelled"

// Guard checks that the chunks of one answer are whole and belong to one
// attempt: every chunk echoes the attempt, the head comes first and once, the
// positions follow each other without gap or repeat, and the end states the
// position behind the last token. The zero Guard is not ready for use; NewGuard makes one.
type Guard struct {
	attempt core.AttemptID
	next    int
	head    bool
	end     bool
}

// NewGuard returns a guard of the answer to an attempt that was asked for the
// tokens from position from on.
func NewGuard(attempt core.AttemptID, from int) Guard {
	return Guard{attempt: attempt, next: from}
}

// Next returns the position that the next token must have.
func (grd *Guard) Next() int { return grd.next }

// Ended reports whether the end was seen.
func (grd *Guard) Ended() bool { return grd.end }

// Check accepts the next chunk or returns an error with
// core.CodeCrossedAnswer if it belongs to another answer, and with
// core.CodeCutAnswer if a part is missing or repeated. After an error the
// answer must not be used further.
func (grd *Guard) Check(chk core.Chunk) error {
	switch {
	case chk.Attempt != grd.attempt:
		return core.Errorf(core.CodeCrossedAnswer, "answer echoes attempt %q instead of %q", chk.Attempt, grd.attempt)
	case grd.end:
		return core.Errorf(core.CodeCrossedAnswer, "chunk after the end")
	case chk.Head && grd.head:
		return core.Errorf(core.CodeCrossedAnswer, "second head")
	case !chk.Head && !grd.head:
		return core.Errorf(core.CodeCutAnswer, "answer without head")
	case chk.Head && chk.End:
		return core.Errorf(core.CodeCutAnswer, "head and end in one chunk")
	case chk.Head:
		grd.head = true
		return nil
	case chk.End:
		return grd.checkEnd(chk)
	case chk.Pos != grd.next:
		return core.Errorf(core.CodeCutAnswer, "token at position %d instead of %d", chk.Pos, grd.next)
	}
	grd.next++
	return nil
}

func (grd *Guard) checkEnd(chk core.Chunk) error {
	if chk.Tokens != grd.next {
		return core.Errorf(core.CodeCutAnswer, "end states %d tokens, got %d", chk.Tokens, grd.next)
	}
	if chk.FinishReason == reasonCancelled {
		return core.Errorf(core.CodeCutAnswer, "engine cancelled the answer at position %d", grd.next)
	}
	grd.end = true
	return nil
}
