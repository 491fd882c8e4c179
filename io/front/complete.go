package front

import (
	"bufio"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// handleCompletions serves POST /v1/completions.
func (srv *Server) handleCompletions(reqCtx *fasthttp.RequestCtx) {
	srv.serveCompletion(reqCtx, parseCompletion)
}

// handleChat serves POST /v1/chat/completions.
func (srv *Server) handleChat(reqCtx *fasthttp.RequestCtx) { srv.serveCompletion(reqCtx, parseChat) }

// handleModels serves GET /v1/models.
func (srv *Server) handleModels(reqCtx *fasthttp.RequestCtx) {
	if _, err := srv.authorise(reqCtx); err != nil {
		writeError(reqCtx, err)
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, model := range srv.backend.Models() {
		list.Data = append(list.Data, modelInfo{ID: string(model), Object: "model", OwnedBy: "kumquathinge"})
	}
	writeJSON(reqCtx, list)
}

// serveCompletion serves both kinds of completion; parse decodes the request
// body.
func (srv *Server) serveCompletion(reqCtx *fasthttp.RequestCtx, parse func([]byte) (completionParams, error)) {
	startedAt := srv.now()
	job, err := srv.newJob(reqCtx)
	if err != nil {
		srv.rejectRequest(reqCtx, job, startedAt, err)
		return
	}
	params, err := parse(reqCtx.PostBody())
	if err == nil {
		err = srv.fillCompletion(reqCtx, &job, params)
	}
	if err != nil {
		srv.rejectRequest(reqCtx, job, startedAt, err)
		return
	}
	params.created = startedAt.Unix()
	running := srv.startJob(job)
	if params.stream {
		srv.writeStream(reqCtx, running, params, startedAt)
		return
	}
	srv.writeWhole(reqCtx, running, params, startedAt)
}

// rejectRequest responds to a request that was rejected before its job started.
func (srv *Server) rejectRequest(reqCtx *fasthttp.RequestCtx, job core.Job, startedAt time.Time, err error) {
	writeJobError(reqCtx, job, err)
	srv.recordResult(job, startedAt, err)
}

// fillCompletion copies the completion parameters and Last-Event-ID into job.
// Its errors carry core.CodeTooLarge or core.CodeBadRequest.
func (srv *Server) fillCompletion(reqCtx *fasthttp.RequestCtx, job *core.Job, params completionParams) error {
	if len(params.prompt) > srv.cfg.MaxPromptBytes {
		return core.Errorf(core.CodeTooLarge, "prompt has %d bytes, the limit is %d", len(params.prompt), srv.cfg.MaxPromptBytes)
	}
	if params.maxTokens > srv.cfg.MaxTokens {
		return core.Errorf(core.CodeTooLarge, "max_tokens is %d, the limit is %d", params.maxTokens, srv.cfg.MaxTokens)
	}
	job.Model = core.ModelName(params.model)
	job.Adapter = params.adapter
	job.Prompt = strings.Clone(params.prompt)
	job.MaxTokens = params.maxTokens
	lastEventID := string(reqCtx.Request.Header.Peek(headerLastEventID))
	if lastEventID == "" {
		return nil
	}
	pos, err := strconv.Atoi(lastEventID)
	if err != nil || pos < 0 {
		return core.Errorf(core.CodeBadRequest, "header %s is not an event position: %q", headerLastEventID, lastEventID)
	}
	job.StartPos = pos + 1
	return nil
}

// runningJob is a job that was started. It receives the parts of the response.
type runningJob struct {
	job    core.Job
	parts  chan core.Part
	result chan error
	ctx    context.Context
	cancel context.CancelFunc
}

// partBufferSize is the number of parts buffered for a slow client.
const partBufferSize = 64

// startJob runs job in its own goroutine until the job's deadline at the latest.
func (srv *Server) startJob(job core.Job) *runningJob {
	ctx, cancel := context.WithDeadline(srv.ctx, job.Deadline)
	running := &runningJob{
		job:    job,
		parts:  make(chan core.Part, partBufferSize),
		result: make(chan error, 1),
		ctx:    ctx,
		cancel: cancel,
	}
	go func() {
		err := srv.backend.Run(ctx, job, running)
		close(running.parts)
		running.result <- err
	}()
	return running
}

var _ core.Sink = (*runningJob)(nil)

// WritePart passes a part to the goroutine that writes the response. It returns
// the context's error if the client disconnected or the deadline has passed.
func (running *runningJob) WritePart(part core.Part) error {
	select {
	case running.parts <- part:
		return nil
	case <-running.ctx.Done():
		return running.ctx.Err()
	}
}

// errTruncated is the result of a job that returned no error and no last part.
var errTruncated = core.Errorf(core.CodeCutAnswer, "the response ended without its last part")

// wait returns the job's error, or errTruncated if sawEnd is false. It must be
// called once, after parts was closed.
func (running *runningJob) wait(sawEnd bool) error {
	err := <-running.result
	running.cancel()
	if err != nil {
		return err
	}
	if !sawEnd {
		return errTruncated
	}
	return nil
}

// writeWhole collects all parts and writes a response that is not streamed.
func (srv *Server) writeWhole(reqCtx *fasthttp.RequestCtx, running *runningJob, params completionParams, startedAt time.Time) {
	var buf strings.Builder
	var last core.Part
	for part := range running.parts {
		buf.WriteString(part.Text)
		last = part
	}
	err := running.wait(last.End)
	if err == nil && last.Reply != nil {
		buf.Write(last.Reply.Body)
	}
	srv.recordResult(running.job, startedAt, err)
	if err != nil {
		writeJobError(reqCtx, running.job, err)
		return
	}
	reqCtx.Response.Header.Set(HeaderRequestID, running.job.ID)
	writeJSON(reqCtx, newCompletionResponse(running.job, params, buf.String(), last))
}

// newCompletionResponse returns the body of a response that is not streamed.
func newCompletionResponse(job core.Job, params completionParams, txt string, last core.Part) completionResponse {
	finishReason := last.FinishReason
	choice := responseChoice{FinishReason: &finishReason}
	resp := completionResponse{ID: job.ID, Object: "text_completion", Created: params.created, Model: string(job.Model)}
	if params.chat {
		resp.Object = "chat.completion"
		choice.Message = &assistantMessage{Role: "assistant", Content: txt}
	} else {
		choice.Text = &txt
	}
	resp.Choices = []responseChoice{choice}
	resp.Usage = &usage{CompletionTokens: last.Tokens, TotalTokens: last.Tokens}
	return resp
}

// writeStream writes the response as server-sent events. The HTTP status is 200
// once the first part arrives, and that of the job's error otherwise.
func (srv *Server) writeStream(reqCtx *fasthttp.RequestCtx, running *runningJob, params completionParams, startedAt time.Time) {
	first, ok := <-running.parts
	if !ok {
		err := running.wait(false)
		srv.recordResult(running.job, startedAt, err)
		writeJobError(reqCtx, running.job, err)
		return
	}
	reqCtx.SetContentType("text/event-stream")
	reqCtx.Response.Header.Set("Cache-Control", "no-cache")
	reqCtx.Response.Header.Set(HeaderRequestID, running.job.ID)
	reqCtx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := srv.writeEvents(w, running, params, first)
		srv.recordResult(running.job, startedAt, err)
	})
}

// errCallerGone is the result of a job whose client closed the connection.
var errCallerGone = core.Errorf(core.CodeCallerGone, "the client closed the connection")

// writeEvents writes the events of a streamed response and returns the job's
// error. If a write fails, it cancels the job, drains the remaining parts and
// returns errCallerGone.
func (srv *Server) writeEvents(w *bufio.Writer, running *runningJob, params completionParams, first core.Part) error {
	sawEnd := false
	callerGone := false
	for part, ok := first, true; ok; part, ok = <-running.parts {
		sawEnd = sawEnd || part.End
		if callerGone {
			continue
		}
		if writeEvent(w, running.job, params, part) != nil {
			callerGone = true
			running.cancel()
		}
	}
	err := running.wait(sawEnd)
	if callerGone {
		return errCallerGone
	}
	if err != nil {
		writeErrorEvent(w, err)
		return err
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
	return nil
}

// writeEvent writes one part as a server-sent event and flushes it. The last
// event has no ID.
func writeEvent(w *bufio.Writer, job core.Job, params completionParams, part core.Part) error {
	resp := completionResponse{ID: job.ID, Object: "text_completion", Created: params.created, Model: string(job.Model)}
	txt := part.Text
	if part.Reply != nil {
		txt = string(part.Reply.Body)
	}
	choice := responseChoice{}
	if params.chat {
		resp.Object = "chat.completion.chunk"
		choice.Delta = &assistantMessage{Content: txt}
	} else {
		choice.Text = &txt
	}
	if part.End {
		choice.FinishReason = &part.FinishReason
		resp.Usage = &usage{CompletionTokens: part.Tokens, TotalTokens: part.Tokens}
	}
	resp.Choices = []responseChoice{choice}
	if !part.End {
		_, _ = w.WriteString("id: ")
		_, _ = w.WriteString(strconv.Itoa(part.Pos))
		_ = w.WriteByte('\n')
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(mustJSON(resp))
	_, err := w.WriteString("\n\n")
	return errors.Join(err, w.Flush())
}

// writeErrorEvent ends an incomplete streamed response with an error event. The
// [DONE] marker is left out.
func writeErrorEvent(w *bufio.Writer, err error) {
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(mustJSON(newErrorBody(err)))
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}
