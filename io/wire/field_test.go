package wire_test

import (
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/stand"
)

// TestInvalidFieldNames guards against a response with an invalid field name that counts as
// an answer: after an interim response and in one, in one piece and byte by byte, on new
// and on kept connections.
func TestInvalidFieldNames(t *testing.T) {
	withoutBody := stand.InvalidFieldNames("Other: x\r\n", "")
	for what, answer := range stand.InvalidFieldNames("Other: x\r\n", "bad") {
		for name, text := range map[string]string{
			"final":         answer,
			"after interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer,
			"interim":       strings.Replace(withoutBody[what], "200 OK", "103 Early Hints", 1) + okResponse,
		} {
			for _, kept := range []bool{false, true} {
				t.Run(what+", "+name, func(t *testing.T) {
					t.Parallel()
					for _, part := range []string{text, ""} {
						got, err := cutExchange(t, part, kept, func(raw net.Conn) { writeBytes(raw, text[len(part):]) })
						assert.Equal(t, core.CodeOf(err), core.CodeCutAnswer, "kept %t: %v, a body of %q", kept, err, got)
					}
				})
			}
		}
	}
}

// writeBytes writes each byte of the text by itself.
func writeBytes(raw net.Conn, text string) {
	for idx := range len(text) {
		_, _ = raw.Write([]byte{text[idx]})
	}
}

// TestValidFieldNames guards against the rejection of valid fields.
func TestValidFieldNames(t *testing.T) {
	for _, lines := range []string{
		"", "a:x\r\n", "A-1!#$%&'*+-.^_`|~: a b\tc: d \r\n", "Empty:\r\nBlank:   \r\n", "Colon: a:b\r\n", "High: \xe4\r\n", "Line-Feed: x\n",
		"Long: " + strings.Repeat("x", 3<<10) + "\r\n",
	} {
		got, err := cutExchange(t, stand.ValidAnswer(lines, "ok"), true, func(net.Conn) {})
		assert.NilError(t, err, "%.40q", lines)
		assert.Equal(t, got, "ok")
	}
}
