package flight

import "kumquathinge/core"

// finishReasonCancelled is the reason of an end that the engine reached because the
// attempt was cancelled: the answer is not whole.
const finishReasonCancelled = "cancelled"

// ChunkValidator checks that the chunks of one answer are whole and belong to one
// attempt: every chunk echoes the attempt, the head comes first and once, the
// positions follow each other without gap or repeat, and the end states the
// position behind the last token. The zero Guard is not ready for use; NewGuard makes one.
type ChunkValidator struct {
	attempt  core.AttemptID
	nextPos  int
	headSeen bool
	ended    bool
}

// NewChunkValidator returns a guard of the answer to an attempt that was asked for the
// tokens from position from on.
func NewChunkValidator(attempt core.AttemptID, from int) ChunkValidator {
	return ChunkValidator{attempt: attempt, nextPos: from}
}

// NextPos returns the position that the next token must have.
func (cv *ChunkValidator) NextPos() int { return cv.nextPos }

// Ended reports whether the end was seen.
func (cv *ChunkValidator) Ended() bool { return cv.ended }

// Check accepts the next chunk or returns an error with
// core.CodeCrossedAnswer if it belongs to another answer, and with
// core.CodeCutAnswer if a part is missing or repeated. After an error the
// answer must not be used further.
func (cv *ChunkValidator) Check(chunk core.Chunk) error {
	switch {
	case chunk.Attempt != cv.attempt:
		return core.Errorf(core.CodeCrossedAnswer, "answer echoes attempt %q instead of %q", chunk.Attempt, cv.attempt)
	case cv.ended:
		return core.Errorf(core.CodeCrossedAnswer, "chunk after the end")
	case chunk.Head && cv.headSeen:
		return core.Errorf(core.CodeCrossedAnswer, "second head")
	case !chunk.Head && !cv.headSeen:
		return core.Errorf(core.CodeCutAnswer, "answer without head")
	case chunk.Head && chunk.End:
		return core.Errorf(core.CodeCutAnswer, "head and end in one chunk")
	case chunk.Head:
		cv.headSeen = true
		return nil
	case chunk.End:
		return cv.checkEnd(chunk)
	case chunk.Pos != cv.nextPos:
		return core.Errorf(core.CodeCutAnswer, "token at position %d instead of %d", chunk.Pos, cv.nextPos)
	}
	cv.nextPos++
	return nil
}

func (cv *ChunkValidator) checkEnd(chunk core.Chunk) error {
	if chunk.Tokens != cv.nextPos {
		return core.Errorf(core.CodeCutAnswer, "end states %d tokens, got %d", chunk.Tokens, cv.nextPos)
	}
	if chunk.FinishReason == finishReasonCancelled {
		return core.Errorf(core.CodeCutAnswer, "engine cancelled the answer at position %d", cv.nextPos)
	}
	cv.ended = true
	return nil
}
