package strict

import (
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status code (RFC 9110, section 15).
const maxStatus = 599

// Transport is a transport of net/http that rejects invalid responses. It is safe for
// concurrent use.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that sends requests with base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// RoundTrip sends a request and returns the response. An invalid response is an error, and
// its connection is closed.
func (tra *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := tra.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	err = check(resp)
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (tra *Transport) CloseIdleConnections() { tra.base.CloseIdleConnections() }

// check returns an error if the status code or a field name (RFC 9110, section 5.1) of a
// response is invalid.
func check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return eris.Errorf("response with the invalid status code %03d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("response with the invalid field name %q", name)
		}
	}
	return nil
}
