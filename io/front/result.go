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

// errorBody is the body of an error response.
type errorBody struct {
	Error errorInfo `json:"error"`
}

// errorInfo describes an error. NotRun is true only if the request definitely
// did not run, so that the client may safely retry it.
type errorInfo struct {
	Message string    `json:"message"`
	Type    string    `json:"type"`
	Code    core.Code `json:"code"`
	NotRun  bool      `json:"not_run"`
}

// newErrorBody returns the body of the error response for err.
func newErrorBody(err error) errorBody {
	code := core.CodeOf(err)
	msg := err.Error()
	var coreErr *core.Error
	if errors.As(err, &coreErr) {
		msg = coreErr.Detail()
	}
	typ := "server_error"
	if httpStatus(code) < fasthttp.StatusInternalServerError {
		typ = "invalid_request_error"
	}
	return errorBody{Error: errorInfo{Message: msg, Type: typ, Code: code, NotRun: code.NotRun()}}
}

// httpStatus returns the HTTP status for a result code.
func httpStatus(code core.Code) int {
	switch code {
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
	if code.NotRun() {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// writeError replaces the response with an error response for err.
func writeError(reqCtx *fasthttp.RequestCtx, err error) {
	code := core.CodeOf(err)
	reqCtx.Response.Reset()
	reqCtx.SetStatusCode(httpStatus(code))
	reqCtx.Response.Header.Set(HeaderResultCode, code.String())
	if retryAfter := core.RetryAfterOf(err); retryAfter > 0 {
		reqCtx.Response.Header.Set("Retry-After", strconv.Itoa(ceilSeconds(retryAfter)))
	}
	writeJSON(reqCtx, newErrorBody(err))
}

// writeJobError writes the error response for a job that ended with err. It sets
// the request ID, by which operators find the request in the log.
func writeJobError(reqCtx *fasthttp.RequestCtx, job core.Job, err error) {
	writeError(reqCtx, err)
	if job.ID != "" {
		reqCtx.Response.Header.Set(HeaderRequestID, job.ID)
	}
}

// ceilSeconds returns dur in seconds, rounded up.
func ceilSeconds(dur time.Duration) int {
	return int(math.Ceil(dur.Seconds()))
}

// writeJSON sets the response body to val in JSON. It panics if val cannot be
// encoded; the response types of this package always can.
func writeJSON(reqCtx *fasthttp.RequestCtx, val any) {
	reqCtx.SetContentType("application/json")
	reqCtx.SetBody(mustJSON(val))
}

// mustJSON returns val in JSON. It panics if val cannot be encoded.
func mustJSON(val any) []byte {
	data, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	return data
}
