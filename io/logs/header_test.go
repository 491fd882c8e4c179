package logs_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/logs"
	"kumquathinge/stand"
)

// TestInvalidHeaders guards against an answer of the log service with status 000, another
// invalid status or an invalid field name that counts as an append, a page or a refusal.
func TestInvalidHeaders(t *testing.T) {
	const body = `{"offset":3,"first":1,"next":4,"refused":true}`
	requireCodes := func(answer string, appended, read core.Code, what string) {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		_, err = logs.New("http://"+srv.Addr()).Append(t.Context(), 0, "id", []byte("x"))
		assert.Check(t, core.CodeOf(err) == appended, "append, %s: %v", what, err)
		_, err = logs.New("http://"+srv.Addr()).Read(t.Context(), 1, 1, time.Second)
		assert.Check(t, core.CodeOf(err) == read, "read, %s: %v", what, err)
	}
	requireCodes(stand.ValidAnswer("", body), core.CodeOK, core.CodeOK, "valid")
	for what, answer := range stand.InvalidHeaders("Other: x\r\n", body) {
		requireCodes(answer, core.CodeLogUnknown, core.CodeLogDown, what)
	}
}
