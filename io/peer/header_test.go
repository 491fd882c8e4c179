package peer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/peer"
	"kumquathinge/stand"
)

// TestInvalidHeaders guards against an answer of a peer with an invalid status or an invalid
// header that counts: as a heartbeat, as a state, or as a part of a response to a caller.
func TestInvalidHeaders(t *testing.T) {
	backend := &fakeBackend{run: func(_ context.Context, sink core.Sink) error { return sink.WritePart(core.Part{End: true}) }}
	requireCodes := func(edit func(lines, body string) string, unary, forward core.Code, what string) {
		srv, err := stand.StartEdited(peer.Handler(backend, time.Minute), edit)
		assert.NilError(t, err)
		defer srv.Close()
		client := peer.New("http://"+srv.Addr(), peer.Config{DialTimeout: time.Second, CallTimeout: time.Minute, StreamIdleTimeout: time.Minute})
		defer client.Close()
		_, err = client.Exchange(t.Context(), core.Heartbeat{})
		assert.Check(t, core.CodeOf(err) == unary, "heartbeat, %s: %v", what, err)
		_, err = client.State(t.Context())
		assert.Check(t, core.CodeOf(err) == unary, "state, %s: %v", what, err)
		err = client.Forward(t.Context(), core.Job{ID: "j"}, &recordingSink{})
		assert.Check(t, core.CodeOf(err) == forward, "forward, %s: %v", what, err)
	}
	requireCodes(stand.ValidAnswer, core.CodeOK, core.CodeOK, "valid")
	for what := range stand.InvalidHeaders("", "") {
		edit := func(lines, body string) string { return stand.InvalidHeaders(lines, body)[what] }
		requireCodes(edit, core.CodePeerUnreachable, core.CodeUnknownOutcome, what)
	}
}
