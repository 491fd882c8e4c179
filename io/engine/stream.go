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

// chunkStream is the response to Generate. It is not safe for concurrent use.
type chunkStream struct {
	ctx       context.Context
	engine    *Engine
	body      *wire.Body
	reader    *bufio.Reader
	validator flight.ChunkValidator
	err       error
}

var _ core.Stream = (*chunkStream)(nil)

func newChunkStream(ctx context.Context, eng *Engine, body *wire.Body, genReq core.GenerateRequest) *chunkStream {
	return &chunkStream{
		ctx:       ctx,
		engine:    eng,
		body:      body,
		reader:    bufio.NewReaderSize(body, eng.maxLineBytes),
		validator: flight.NewChunkValidator(genReq.Attempt, genReq.StartPos),
	}
}

// Next returns the next chunk. After the chunk with End set it returns io.EOF, and
// after an error the same error again. If ctx is not the context of Generate and
// ends during the call, the stream is aborted.
func (stream *chunkStream) Next(ctx context.Context) (core.Chunk, error) {
	if stream.err != nil {
		return core.Chunk{}, stream.err
	}
	if ctx != stream.ctx && ctx.Done() != nil {
		stop := context.AfterFunc(ctx, stream.body.Abort)
		defer stop()
	}
	chunk, err := stream.readChunk()
	if err != nil {
		stream.fail(err)
		return core.Chunk{}, err
	}
	if chunk.End {
		stream.err = io.EOF
	}
	return chunk, nil
}

// Close closes the stream. The connection is reused only if the chunk with End
// was read and the HTTP response ends after it.
func (stream *chunkStream) Close() error {
	if errors.Is(stream.err, io.EOF) && stream.reader.Buffered() == 0 {
		stream.body.AwaitEOF()
	}
	if stream.err == nil {
		stream.err = core.Errorf(core.CodeCutAnswer, "stream was closed")
	}
	return stream.body.Close()
}

func (stream *chunkStream) readChunk() (core.Chunk, error) {
	line, err := stream.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "line of a streamed response exceeds %d bytes", stream.engine.maxLineBytes)
	case errors.Is(err, io.EOF):
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "response ended at position %d without an end chunk", stream.validator.NextPos())
	case err != nil:
		return core.Chunk{}, err
	}
	chunk, err := DecodeChunk(line)
	if err != nil {
		return core.Chunk{}, err
	}
	return chunk, stream.validator.Check(chunk)
}

func (stream *chunkStream) fail(err error) {
	stream.err = err
	stream.body.Abort()
	_ = stream.body.Close()
	stream.engine.pool.ResetOnTimeout(err)
}

// DecodeChunk decodes one line of a streamed response. It returns an error with
// core.CodeCutAnswer if the line is not exactly one chunk.
func DecodeChunk(line []byte) (core.Chunk, error) {
	var chunk core.Chunk
	err := json.Unmarshal(line, &chunk)
	if err != nil {
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "line is not a chunk: %v", err)
	}
	if chunk.Pos < 0 || chunk.Tokens < 0 {
		return core.Chunk{}, core.Errorf(core.CodeCutAnswer, "chunk has a negative position or token count")
	}
	return chunk, nil
}
