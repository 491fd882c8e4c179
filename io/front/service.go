package front

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// service serves calls of plain services.
func (srv *Server) service(rqc *fasthttp.RequestCtx) {
	beg := srv.now()
	job, err := srv.newJob(rqc)
	if err != nil {
		srv.refuse(rqc, job, beg, err)
		return
	}
	err = fillService(rqc, &job)
	if err != nil {
		srv.refuse(rqc, job, beg, err)
		return
	}
	run := srv.start(job)
	var last core.Part
	for prt := range run.parts {
		last = prt
	}
	err = run.outcome(last.End && last.Reply != nil)
	srv.finish(job, beg, err)
	if err != nil {
		fail(rqc, job, err)
		return
	}
	rqc.SetStatusCode(last.Reply.Status)
	rqc.SetContentType(last.Reply.Type)
	rqc.Response.Header.Set(HeaderRequestID, job.ID)
	rqc.Response.Header.Set(HeaderResult, core.CodeOK.String())
	rqc.SetBody(last.Reply.Body)
}

// fillService puts a call of a plain service into job. Its errors carry
// core.CodeBadRequest.
func fillService(rqc *fasthttp.RequestCtx, job *core.Job) error {
	nam, ok := rqc.UserValue("service").(string)
	if !ok || nam == "" {
		return core.Errorf(core.CodeBadRequest, "the path names no service")
	}
	path, _ := rqc.UserValue("path").(string)
	job.Service = strings.Clone(nam)
	job.Method = string(rqc.Method())
	job.Path = "/" + strings.Clone(path)
	if qry := rqc.QueryArgs().QueryString(); len(qry) > 0 {
		job.Path += "?" + string(qry)
	}
	job.Type = string(rqc.Request.Header.ContentType())
	job.Body = bytes.Clone(rqc.PostBody())
	return nil
}
