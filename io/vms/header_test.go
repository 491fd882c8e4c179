package vms_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/vms"
	"kumquathinge/stand"
)

// TestInvalidHeaders guards against an answer with status 000, another invalid status or an
// invalid field name that counts as a list of VMs.
func TestInvalidHeaders(t *testing.T) {
	const body = `{"vms":[]}`
	requireCode := func(answer string, want core.Code, what string) {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		lister := vms.New(srv.Addr())
		defer lister.Close()
		_, err = lister.VMs(t.Context())
		assert.Check(t, core.CodeOf(err) == want, "%s: %v", what, err)
	}
	requireCode(stand.ValidAnswer("", body), core.CodeOK, "valid")
	for what, answer := range stand.InvalidHeaders("Other: x\r\n", body) {
		requireCode(answer, core.CodeLogDown, what)
	}
}
