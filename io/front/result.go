package front

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

// errorBody is the body of an answer that reports an error.
type errorBody struct {
	Error errorInfo `json:"error"`
}

// errorInfo tells what went wrong. NotRun is true only if the request surely
// did not run.
type errorInfo struct {
	Message string    `json:"message"`
	Type    string    `json:"type"`
	Code    core.Code `json:"code"`
	NotRun  bool      `json:"not_run"`
}

// describe returns the body for err.
func describe(err error) errorBody {
	cod := core.CodeOf(err)
	msg := err.Error()
	var cer *core.Error
	if errors.As(err, &cer) {
		msg = cer.Detail()
	}
	typ := "server_error"
	if status(cod) < fasthttp.StatusInternalServerError {
		typ = "invalid_request_error"
	}
	return errorBody{Error: errorInfo{Message: msg, Type: typ, Code: cod, NotRun: cod.NotRun()}}
}

// status returns the HTTP status for a result code.
func status(cod core.Code) int {
	switch cod {
	case core.CodeOK:
		return fasthttp.StatusOK
	case core.CodeBadRequest, core.CodeKeyExpired:
		return fasthttp.StatusBadRequest
	case core.CodeUnauthorized:
		return fasthttp.StatusUnauthorized
	case core.CodeNoModel, core.CodeNoService:
		return fasthttp.StatusNotFound
	case core.CodeKeyInProgress:
		return fasthttp.StatusConflict
	case core.CodeKeyMismatch, core.CodeQuarantined:
		return fasthttp.StatusUnprocessableEntity
	case core.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case core.CodeQueueFull, core.CodeOrgLimit:
		return fasthttp.StatusTooManyRequests
	case core.CodeDeadline:
		return fasthttp.StatusGatewayTimeout
	}
	if cod.NotRun() {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// writeError replaces the response by one that reports err.
func writeError(rqc *fasthttp.RequestCtx, err error) {
	cod := core.CodeOf(err)
	rqc.Response.Reset()
	rqc.SetStatusCode(status(cod))
	rqc.Response.Header.Set(HeaderResult, cod.String())
	if aft := core.RetryAfterOf(err); aft > 0 {
		rqc.Response.Header.Set("Retry-After", strconv.Itoa(wholeSeconds(aft)))
	}
	writeJSON(rqc, describe(err))
}

// fail answers that the job ended with err. The request's ID lets operators
// find it in the log.
func fail(rqc *fasthttp.RequestCtx, job core.Job, err error) {
	writeError(rqc, err)
	if job.ID != "" {
		rqc.Response.Header.Set(HeaderRequestID, job.ID)
	}
}

// wholeSeconds rounds up to whole seconds.
func wholeSeconds(dur time.Duration) int {
	return int(math.Ceil(dur.Seconds()))
}

// writeJSON sets the body. It panics if val can't be encoded, which no type of
// this package causes.
func writeJSON(rqc *fasthttp.RequestCtx, val any) {
	rqc.SetContentType("application/json")
	rqc.SetBody(mustJSON(val))
}

// mustJSON encodes val and panics if it can't be encoded.
func mustJSON(val any) []byte {
	out, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	return out
}
