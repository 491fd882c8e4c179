package strict_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/io/strict"
	"kumquathinge/stand"
)

// TestTransport guards against an invalid response that is passed on, and a valid one that
// is rejected.
func TestTransport(t *testing.T) {
	get := func(answer string) error {
		srv, err := stand.StartRaw(func(*http.Request) string { return answer })
		assert.NilError(t, err)
		defer srv.Close()
		client := http.Client{Transport: strict.NewTransport(&http.Transport{DisableKeepAlives: true})}
		resp, err := client.Get("http://" + srv.Addr())
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	for _, lines := range []string{"", "a:x\r\n", "A-1!#$%&'*+-.^_`|~: a b\tc: d \r\n", "Empty:\r\n", "High: \xe4\r\n"} {
		assert.NilError(t, get(stand.ValidAnswer(lines, "ok")), "%q", lines)
	}
	for _, lines := range []string{"Value: a\x00b\r\n", "Value: a\x01b\r\n", "Value: a\x7fb\r\n", "Value: a\rb\r\n", "Bad Name: x\r\n", "Badname : x\r\n", "Bad\x01name: x\r\n"} {
		assert.Check(t, get(stand.ValidAnswer(lines, "ok")) != nil, "%q", lines)
	}
	for status, answer := range stand.InvalidStatuses("", "ok") {
		assert.Check(t, get(answer) != nil, status)
	}
}
