package press_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/cmd/exper/press"
	"kumquathinge/stand"
)

// TestInvalidHeaders guards against a response with an invalid status or an invalid field
// name that counts as complete, or as refused.
func TestInvalidHeaders(t *testing.T) {
	run := func(answer string) *press.Report {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		return press.Run(context.Background(), press.Config{
			Target: &press.EntryVM{Host: srv.Addr(), Prompt: press.Prompt{Model: "m"}}, Rate: 1000, Duration: time.Microsecond, MaxInFlight: 1, Timeout: time.Minute,
		})
	}
	const body = `{"choices":[{"text":"a b"}]}`
	assert.Equal(t, run(stand.ValidAnswer("", body)).Complete, 1)
	for what, answer := range stand.InvalidHeaders("Other: x\r\n", body) {
		assert.Check(t, run(answer).Incomplete == 1, what)
	}
}
