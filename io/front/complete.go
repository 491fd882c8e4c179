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

// completions serves POST /v1/completions.
func (srv *Server) completions(rqc *fasthttp.RequestCtx) { srv.complete(rqc, parseCompletion) }

// chat serves POST /v1/chat/completions.
func (srv *Server) chat(rqc *fasthttp.RequestCtx) { srv.complete(rqc, parseChat) }

// models serves GET /v1/models.
func (srv *Server) models(rqc *fasthttp.RequestCtx) {
	if _, err := srv.authorise(rqc); err != nil {
		writeError(rqc, err)
		return
	}
	lst := modelList{Object: "list", Data: []modelInfo{}}
	for _, mod := range srv.bck.Models() {
		lst.Data = append(lst.Data, modelInfo{ID: string(mod), Object: "model", OwnedBy: "kumquathinge"})
	}
	writeJSON(rqc, lst)
}

// complete serves a completion of either kind.
func (srv *Server) complete(rqc *fasthttp.RequestCtx, parse func([]byte) (ask, error)) {
	beg := srv.now()
	job, err := srv.newJob(rqc)
	if err != nil {
		srv.refuse(rqc, job, beg, err)
		return
	}
	req, err := parse(rqc.PostBody())
	if err == nil {
		err = srv.fill(rqc, &job, req)
	}
	if err != nil {
		srv.refuse(rqc, job, beg, err)
		return
	}
	req.created = beg.Unix()
	run := srv.start(job)
	if req.stream {
		srv.stream(rqc, run, req, beg)
		return
	}
	srv.whole(rqc, run, req, beg)
}

// refuse answers a request that never became a job.
func (srv *Server) refuse(rqc *fasthttp.RequestCtx, job core.Job, beg time.Time, err error) {
	fail(rqc, job, err)
	srv.finish(job, beg, err)
}

// fill puts a completion request into job.
func (srv *Server) fill(rqc *fasthttp.RequestCtx, job *core.Job, req ask) error {
	if len(req.prompt) > srv.cfg.MaxPrompt {
		return core.Errorf(core.CodeTooLarge, "prompt has %d bytes, the limit is %d", len(req.prompt), srv.cfg.MaxPrompt)
	}
	if req.maxTokens > srv.cfg.MaxTokens {
		return core.Errorf(core.CodeTooLarge, "max_tokens is %d, the limit is %d", req.maxTokens, srv.cfg.MaxTokens)
	}
	job.Model = core.ModelName(req.model)
	job.Adapter = req.adapter
	job.Prompt = strings.Clone(req.prompt)
	job.MaxTokens = req.maxTokens
	last := string(rqc.Request.Header.Peek(headerLastEvent))
	if last == "" {
		return nil
	}
	pos, err := strconv.Atoi(last)
	if err != nil || pos < 0 {
		return core.Errorf(core.CodeBadRequest, "header %s is not a position: %q", headerLastEvent, last)
	}
	job.StartPos = pos + 1
	return nil
}

// running is a job on its way.
type running struct {
	job    core.Job
	parts  chan core.Part
	ended  chan error
	ctx    context.Context
	cancel context.CancelFunc
}

// partBuffer is the number of parts that may wait for a slow caller.
const partBuffer = 64

// start runs job in a task of its own, bounded by its deadline.
func (srv *Server) start(job core.Job) *running {
	ctx, cancel := context.WithDeadline(srv.ctx, job.Deadline)
	run := &running{
		job:    job,
		parts:  make(chan core.Part, partBuffer),
		ended:  make(chan error, 1),
		ctx:    ctx,
		cancel: cancel,
	}
	go func() {
		err := srv.bck.Run(ctx, job, run)
		close(run.parts)
		run.ended <- err
	}()
	return run
}

var _ core.Sink = (*running)(nil)

// WritePart hands a part to the task that writes the response. It returns the
// context's error if the caller is gone or the deadline has passed.
func (run *running) WritePart(prt core.Part) error {
	select {
	case run.parts <- prt:
		return nil
	case <-run.ctx.Done():
		return run.ctx.Err()
	}
}

// errNoEnd states that a job ended well without a last part.
var errNoEnd = core.Errorf(core.CodeCutAnswer, "the answer has no end")

// outcome returns the job's error. It must be called once, after parts closed.
func (run *running) outcome(sawEnd bool) error {
	err := <-run.ended
	run.cancel()
	if err != nil {
		return err
	}
	if !sawEnd {
		return errNoEnd
	}
	return nil
}

// whole collects the answer and writes it in one response.
func (srv *Server) whole(rqc *fasthttp.RequestCtx, run *running, req ask, beg time.Time) {
	var sbu strings.Builder
	var last core.Part
	for prt := range run.parts {
		sbu.WriteString(prt.Text)
		last = prt
	}
	err := run.outcome(last.End)
	if err == nil && last.Reply != nil {
		sbu.Write(last.Reply.Body)
	}
	srv.finish(run.job, beg, err)
	if err != nil {
		fail(rqc, run.job, err)
		return
	}
	rqc.Response.Header.Set(HeaderRequestID, run.job.ID)
	writeJSON(rqc, wholeAnswer(run.job, req, sbu.String(), last))
}

// wholeAnswer returns the body of an answer that is not streamed.
func wholeAnswer(job core.Job, req ask, txt string, last core.Part) answer {
	fin := last.FinishReason
	cho := choice{Finish: &fin}
	ans := answer{ID: job.ID, Object: "text_completion", Created: req.created, Model: string(job.Model)}
	if req.chat {
		ans.Object = "chat.completion"
		cho.Message = &replyOrPart{Role: "assistant", Content: txt}
	} else {
		cho.Text = &txt
	}
	ans.Choices = []choice{cho}
	ans.Usage = &usage{Completion: last.Tokens, Total: last.Tokens}
	return ans
}

// stream writes the answer as server-sent events. The status is decided by
// the first part.
func (srv *Server) stream(rqc *fasthttp.RequestCtx, run *running, req ask, beg time.Time) {
	first, ok := <-run.parts
	if !ok {
		err := run.outcome(false)
		srv.finish(run.job, beg, err)
		fail(rqc, run.job, err)
		return
	}
	rqc.SetContentType("text/event-stream")
	rqc.Response.Header.Set("Cache-Control", "no-cache")
	rqc.Response.Header.Set(HeaderRequestID, run.job.ID)
	rqc.SetBodyStreamWriter(func(wri *bufio.Writer) {
		err := srv.events(wri, run, req, first)
		srv.finish(run.job, beg, err)
	})
}

// errCallerGone states that the caller closed the connection.
var errCallerGone = core.Errorf(core.CodeCallerGone, "the caller closed the connection")

// events writes the events of a streamed answer and returns the job's error.
func (srv *Server) events(wri *bufio.Writer, run *running, req ask, first core.Part) error {
	end := false
	gone := false
	for prt, ok := first, true; ok; prt, ok = <-run.parts {
		end = end || prt.End
		if gone {
			continue
		}
		if writeEvent(wri, run.job, req, prt) != nil {
			gone = true
			run.cancel()
		}
	}
	err := run.outcome(end)
	if gone {
		return errCallerGone
	}
	if err != nil {
		writeFailure(wri, err)
		return err
	}
	_, _ = wri.WriteString("data: [DONE]\n\n")
	_ = wri.Flush()
	return nil
}

// writeEvent writes one part as an event and flushes it.
func writeEvent(wri *bufio.Writer, job core.Job, req ask, prt core.Part) error {
	ans := answer{ID: job.ID, Object: "text_completion", Created: req.created, Model: string(job.Model)}
	txt := prt.Text
	if prt.Reply != nil {
		txt = string(prt.Reply.Body)
	}
	cho := choice{}
	if req.chat {
		ans.Object = "chat.completion.chunk"
		cho.Delta = &replyOrPart{Content: txt}
	} else {
		cho.Text = &txt
	}
	if prt.End {
		cho.Finish = &prt.FinishReason
		ans.Usage = &usage{Completion: prt.Tokens, Total: prt.Tokens}
	}
	ans.Choices = []choice{cho}
	if !prt.End {
		_, _ = wri.WriteString("id: ")
		_, _ = wri.WriteString(strconv.Itoa(prt.Pos))
		_ = wri.WriteByte('\n')
	}
	_, _ = wri.WriteString("data: ")
	_, _ = wri.Write(mustJSON(ans))
	_, err := wri.WriteString("\n\n")
	return errors.Join(err, wri.Flush())
}

// writeFailure ends a streamed answer that did not come whole. It carries no
// end mark.
func writeFailure(wri *bufio.Writer, err error) {
	_, _ = wri.WriteString("event: error\ndata: ")
	_, _ = wri.Write(mustJSON(describe(err)))
	_, _ = wri.WriteString("\n\n")
	_ = wri.Flush()
}
