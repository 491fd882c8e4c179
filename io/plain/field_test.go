package plain_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/plain"
	"kumquathinge/stand"
)

// TestInvalidFieldNames guards against a reply, or a refusal, with an invalid field name that
// counts.
func TestInvalidFieldNames(t *testing.T) {
	const echo = "X-Attempt-Id: a\r\n"
	call := func(answer string) error {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		client := plain.New(srv.Addr(), plain.Config{})
		defer client.Close()
		_, err = client.Call(t.Context(), core.Call{Attempt: "a", Method: http.MethodPost, Path: "/x"})
		return err
	}
	assert.NilError(t, call(stand.ValidAnswer(echo, "good")))
	for _, lines := range []string{echo, echo + "X-Refused: 1\r\n"} {
		for what, answer := range stand.InvalidFieldNames(lines, "bad") {
			assert.Equal(t, core.CodeOf(call(answer)), core.CodeCutAnswer, what)
		}
	}
}
