package engine_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/engine"
	"kumquathinge/stand"
)

// TestInvalidFieldNames guards against a response of an engine with an invalid field name
// that counts.
func TestInvalidFieldNames(t *testing.T) {
	requireCode := func(answer string, want core.Code, what string) {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		eng := engine.New(srv.Addr(), engine.Config{})
		defer eng.Close()
		_, err = eng.Probe(t.Context())
		assert.Equal(t, core.CodeOf(err), want, "probe, %s", what)
		_, err = eng.Order(t.Context(), core.Order{Action: core.ActionLoad})
		assert.Equal(t, core.CodeOf(err), want, "order, %s", what)
		_, err = eng.Generate(t.Context(), core.GenerateRequest{Attempt: "a"})
		assert.Equal(t, core.CodeOf(err), want, "stream, %s", what)
	}
	requireCode(stand.ValidAnswer("", "{}"), core.CodeOK, "valid")
	for what, answer := range stand.InvalidFieldNames("Other: x\r\n", "{}") {
		requireCode(answer, core.CodeCutAnswer, what)
	}
}
