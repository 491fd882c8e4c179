package front

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// handleService serves calls to plain services, that is, to backend services
// that do not run a model.
func (srv *Server) handleService(reqCtx *fasthttp.RequestCtx) {
	startedAt := srv.now()
	job, err := srv.newJob(reqCtx)
	if err != nil {
		srv.rejectRequest(reqCtx, job, startedAt, err)
		return
	}
	err = fillService(reqCtx, &job)
	if err != nil {
		srv.rejectRequest(reqCtx, job, startedAt, err)
		return
	}
	running := srv.startJob(job)
	var last core.Part
	for part := range running.parts {
		last = part
	}
	err = running.wait(last.End && last.Reply != nil)
	srv.recordResult(job, startedAt, err)
	if err != nil {
		writeJobError(reqCtx, job, err)
		return
	}
	reqCtx.SetStatusCode(last.Reply.Status)
	reqCtx.SetContentType(last.Reply.Type)
	reqCtx.Response.Header.Set(HeaderRequestID, job.ID)
	reqCtx.Response.Header.Set(HeaderResultCode, core.CodeOK.String())
	reqCtx.SetBody(last.Reply.Body)
}

// fillService copies a call to a plain service into job. Its errors carry
// core.CodeBadRequest.
func fillService(reqCtx *fasthttp.RequestCtx, job *core.Job) error {
	name, ok := reqCtx.UserValue("service").(string)
	if !ok || name == "" {
		return core.Errorf(core.CodeBadRequest, "the path has no service name")
	}
	path, _ := reqCtx.UserValue("path").(string)
	job.Service = strings.Clone(name)
	job.Method = string(reqCtx.Method())
	job.Path = "/" + strings.Clone(path)
	if query := reqCtx.QueryArgs().QueryString(); len(query) > 0 {
		job.Path += "?" + string(query)
	}
	job.Type = string(reqCtx.Request.Header.ContentType())
	job.Body = bytes.Clone(reqCtx.PostBody())
	return nil
}
