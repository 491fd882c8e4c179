package opcli_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/stand"
)

// TestInvalidHeaders guards against an answer of an entry VM with status 000, another invalid
// status or an invalid field name that counts as the receipt of a change or as settings.
func TestInvalidHeaders(t *testing.T) {
	const body = `{"id":"` + changeID + `","state":"applied","offset":3,"applied":3}`
	requireExits := func(answer string, set, get int, what string) {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		code, _, stderr := kumctl("", "-s", srv.Addr(), "set", "/", "group.size", "4", "--base", "0", "--id", changeID)
		assert.Check(t, code == set, "set, %s: exit code %d: %s", what, code, stderr)
		code, _, stderr = kumctl("", "-s", srv.Addr(), "get", "/")
		assert.Check(t, code == get, "get, %s: exit code %d: %s", what, code, stderr)
	}
	requireExits(stand.ValidAnswer("", body), 0, 0, "valid")
	for what, answer := range stand.InvalidHeaders("Other: x\r\n", body) {
		requireExits(answer, 30, 10, what)
	}
}
