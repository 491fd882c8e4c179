package flight

import "kumquathinge/core"

// finishReasonCancelled is the finish reason that an engine reports when the
// attempt was cancelled. Such a response is incomplete.
const finishReasonCancelled = "cancelled"

// ChunkValidator checks that the chunks of a response are complete and belong
// to one attempt: every chunk echoes the attempt ID, exactly one head comes
// first, positions are contiguous, and the end states the position after the
// last token. Use NewChunkValidator; the zero value is not usable.
type ChunkValidator struct {
	attempt  core.AttemptID
	nextPos  int
	headSeen bool
	ended    bool
}

// NewChunkValidator returns a validator for the response to an attempt that
// requested the tokens starting at position from.
func NewChunkValidator(attempt core.AttemptID, from int) ChunkValidator {
	return ChunkValidator{attempt: attempt, nextPos: from}
}

// NextPos returns the position that the next token must have.
func (cv *ChunkValidator) NextPos() int { return cv.nextPos }

// Ended reports whether a valid end was received.
func (cv *ChunkValidator) Ended() bool { return cv.ended }

// Check validates the next chunk. It returns an error with
// core.CodeCrossedAnswer if the chunk belongs to another response, and with
// core.CodeCutAnswer if a chunk is missing or repeated. After an error the
// response must be discarded.
func (cv *ChunkValidator) Check(chunk core.Chunk) error {
	switch {
	case chunk.Attempt != cv.attempt:
		return core.Errorf(core.CodeCrossedAnswer, "response has attempt ID %q, want %q", chunk.Attempt, cv.attempt)
	case cv.ended:
		return core.Errorf(core.CodeCrossedAnswer, "chunk after the end of the response")
	case chunk.Head && cv.headSeen:
		return core.Errorf(core.CodeCrossedAnswer, "response has a second head")
	case !chunk.Head && !cv.headSeen:
		return core.Errorf(core.CodeCutAnswer, "response does not start with a head")
	case chunk.Head && chunk.End:
		return core.Errorf(core.CodeCutAnswer, "chunk is both head and end")
	case chunk.Head:
		cv.headSeen = true
		return nil
	case chunk.End:
		return cv.checkEnd(chunk)
	case chunk.Pos != cv.nextPos:
		return core.Errorf(core.CodeCutAnswer, "token has position %d, want %d", chunk.Pos, cv.nextPos)
	}
	cv.nextPos++
	return nil
}

func (cv *ChunkValidator) checkEnd(chunk core.Chunk) error {
	if chunk.Tokens != cv.nextPos {
		return core.Errorf(core.CodeCutAnswer, "end states %d tokens, received up to position %d", chunk.Tokens, cv.nextPos)
	}
	if chunk.FinishReason == finishReasonCancelled {
		return core.Errorf(core.CodeCutAnswer, "engine cancelled the attempt at position %d", cv.nextPos)
	}
	cv.ended = true
	return nil
}
