package stand

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// rawHeaderTimeout limits the time for the header of a request to a Raw.
const rawHeaderTimeout = 10 * time.Second

// Raw is an HTTP server that answers each request with bytes that need not be a valid
// response, and closes the connection.
type Raw struct {
	lis net.Listener
	srv *http.Server
}

// StartRaw starts a Raw on a loopback port. It calls answer for each request, once the
// body has arrived.
func StartRaw(answer func(req *http.Request) string) (*Raw, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw := &Raw{lis: lis}
	raw.srv = &http.Server{ReadHeaderTimeout: rawHeaderTimeout, Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(req))
		_ = conn.Close()
	})}
	go func() { _ = raw.srv.Serve(lis) }()
	return raw, nil
}

// Addr returns the address of the server in the form host:port.
func (raw *Raw) Addr() string { return raw.lis.Addr().String() }

// Close stops the server.
func (raw *Raw) Close() error { return raw.srv.Close() }

// StartEdited starts a Raw that answers each request with the edited response of a handler:
// edit gets its header lines, without a length, and its body.
func StartEdited(handler http.Handler, edit func(lines, body string) string) (*Raw, error) {
	return StartRaw(func(req *http.Request) string {
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, req)
		header := rec.Result().Header
		header.Del("Content-Length")
		var lines strings.Builder
		_ = header.Write(&lines)
		return edit(lines.String(), rec.Body.String())
	})
}

// ValidAnswer returns a response with status 200, the header lines, each of which ends
// with a line break, and the body.
func ValidAnswer(lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", lines, len(body), body)
}

// InvalidFieldNames returns responses like that of ValidAnswer, each with a field name
// that is no token (RFC 9110, section 5.1). The keys describe the name.
func InvalidFieldNames(lines, body string) map[string]string {
	answers := map[string]string{}
	for what, line := range map[string]string{
		"inner blank":         "Bad Name: x",
		"trailing blank":      "Badname : x",
		"trailing tab":        "Badname\t: x",
		"leading blank":       " Badname: x",
		"leading tab":         "\tBadname: x",
		"inner tab":           "Bad\tname: x",
		"NUL":                 "Bad\x00name: x",
		"control byte 01":     "Bad\x01name: x",
		"escape":              "Bad\x1bname: x",
		"delete":              "Bad\x7fname: x",
		"carriage return":     "Bad\rname: x",
		"byte above 7F":       "Bad\xe4name: x",
		"separator":           "Bad(name): x",
		"empty":               ": x",
		"no colon":            "Badname",
		"known, inner blank":  "Transfer Encoding: gzip",
		"known, leading":      " Content-Type: text/html",
		"several, the last":   "Good: x\r\nAlso-Good: x\r\nBad Name: x",
		"bare line feeds":     "Good: x\nBad Name: x",
		"blank before a fold": "Bad Name: x\r\n y",
	} {
		answers[what] = ValidAnswer(lines+line+"\r\n", body)
	}
	for what, name := range map[string]string{"length, inner blank": "Content -Length", "length, trailing blank": "Content-Length "} {
		answers[what] = strings.Replace(ValidAnswer(lines, body), "Content-Length", name, 1)
	}
	return answers
}

// InvalidStatuses returns responses like that of ValidAnswer, each with a status that is
// none of a final response (RFC 9110, section 15). The keys are the statuses.
func InvalidStatuses(lines, body string) map[string]string {
	answers := map[string]string{}
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "-01", "abc"} {
		answers[status] = strings.Replace(ValidAnswer(lines, body), "200", status, 1)
	}
	return answers
}

// InvalidHeaders returns the responses of InvalidFieldNames and of InvalidStatuses.
func InvalidHeaders(lines, body string) map[string]string {
	answers := InvalidFieldNames(lines, body)
	maps.Copy(answers, InvalidStatuses(lines, body))
	return answers
}
