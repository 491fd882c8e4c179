package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"

	"kumquathinge/core"
	"kumquathinge/core/flight"
	"kumquathinge/io/wire"
)

// stream is an answer to Generate. It has one owner.
type stream struct {
	ctx context.Context
	eng *Engine
	bod *wire.Body
	rdr *bufio.Reader
	grd flight.ChunkValidator
	err error
}

var _ core.Stream = (*stream)(nil)

func newStream(ctx context.Context, eng *Engine, bod *wire.Body, gen core.GenerateRequest) *stream {
	return &stream{
		ctx: ctx,
		eng: eng,
		bod: bod,
		rdr: bufio.NewReaderSize(bod, eng.maxLine),
		grd: flight.NewChunkValidator(gen.Attempt, gen.StartPos),
	}
}

// Next returns the next chunk. After the chunk with End it returns io.EOF, and
// after an error the same error again. A ctx other than that of Generate ends
// the stream if it ends during the call.
func (stm *stream) Next(ctx context.Context) (core.Chunk, error) {
	if stm.err != nil {
		return core.Chunk{}, stm.err
	}
	if ctx != stm.ctx && ctx.Done() != nil {
		stop := context.AfterFunc(ctx, stm.bod.Abort)
		defer stop()
	}
	chk, err := stm.read()
	if err != nil {
		stm.fail(err)
		return core.Chunk{}, err
	}
	if chk.End {
		stm.err = io.EOF
	}
	return chk, nil
}

// Close gives up the stream. The connection is kept only if the answer was
// read to its end and the response ends there.
func (stm *stream) Close() error {
	if errors.Is(stm.err, io.EOF) && stm.rdr.Buffered() == 0 {
		stm.bod.AwaitEOF()
	}
	if stm.err == nil {
		stm.err = core.Errorf(core.CodeCutAnswer, "stream is closed")
	}
	return stm.bod.Close()
}

func (stm *stream) read() (core.Chunk, error) {
	line, err := stm.rdr.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "line exceeds %d bytes", stm.eng.maxLine)
	case errors.Is(err, io.EOF):
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "answer ended at position %d without an end", stm.grd.NextPos())
	case err != nil:
		return core.Chunk{}, err
	}
	chk, err := DecodeChunk(line)
	if err != nil {
		return core.Chunk{}, err
	}
	return chk, stm.grd.Check(chk)
}

func (stm *stream) fail(err error) {
	stm.err = err
	stm.bod.Abort()
	_ = stm.bod.Close()
	stm.eng.poo.ResetOnTimeout(err)
}

// DecodeChunk reads one line of an answer. It returns an error with
// core.CodeCutAnswer if the line is not one chunk.
func DecodeChunk(line []byte) (core.Chunk, error) {
	var chk core.Chunk
	err := json.Unmarshal(line, &chk)
	if err != nil {
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "line is not a chunk: %v", err)
	}
	if chk.Pos < 0 || chk.Tokens < 0 {
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "negative position or count")
	}
	return chk, nil
}
