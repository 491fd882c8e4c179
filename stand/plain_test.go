package stand_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/stand"
)

func TestPlain(t *testing.T) {
	tests := []struct {
		name   string
		fault  stand.PlainFault
		status int
		runs   int
		echo   string
		cut    bool
	}{
		{name: "whole", status: http.StatusOK, runs: 1, echo: "a"},
		{name: "refused", fault: stand.PlainFault{Fault: stand.Fault{Refuse: true}}, status: http.StatusServiceUnavailable},
		{name: "lost", fault: stand.PlainFault{Fault: stand.Fault{LoseAnswers: 1}}, runs: 1, cut: true},
		{name: "down", fault: stand.PlainFault{Fault: stand.Fault{Down: true}}, cut: true},
		{name: "short", fault: stand.PlainFault{ShortBody: true}, status: http.StatusOK, runs: 1, echo: "a", cut: true},
		{name: "crossed", fault: stand.PlainFault{WrongAttempt: true}, status: http.StatusOK, runs: 1, echo: "attempt-of-another-request"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plain := stand.NewPlain("app-1")
			assert.NilError(t, plain.Start("127.0.0.1:0"))
			defer plain.Close()
			plain.SetFault(tt.fault)
			req, err := http.NewRequest(http.MethodPost, "http://"+plain.Addr()+"/charge", strings.NewReader("fee 7"))
			assert.NilError(t, err)
			req.Header.Set("X-Attempt-Id", "a")
			resp, err := http.DefaultClient.Do(req)
			cut := err != nil
			if err == nil {
				defer resp.Body.Close()
				assert.Equal(t, resp.StatusCode, tt.status)
				assert.Equal(t, resp.Header.Get("X-Attempt-Id"), tt.echo)
				body, readErr := io.ReadAll(resp.Body)
				cut = readErr != nil
				assert.Equal(t, strings.Contains(string(body), `"body":"fee 7"`), tt.runs == 1 && !cut)
			}
			assert.Equal(t, cut, tt.cut)
			assert.Equal(t, plain.Count().ByAttempt["a"], tt.runs)
			assert.Equal(t, plain.Count().ByBody["fee 7"], tt.runs)
		})
	}
}
