package opcli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/certs"
	"kumquathinge/io/oper"
)

const maxResponseBytes = 64 << 20

// resultError is an error with a result code, returned by a server or created by
// the client.
type resultError struct {
	oper.Failure
}

func (resErr *resultError) Error() string {
	text := fmt.Sprintf("code %d: %s", resErr.Code, replaceUnprintable(resErr.Failure.Error))
	if resErr.State != "" {
		text += fmt.Sprintf(" [%s]", resErr.State)
	}
	if resErr.State == oper.StateUnknown && resErr.ID != "" && resErr.Offset == 0 {
		text += fmt.Sprintf("\nask for it by: kumctl outcome %s", resErr.ID)
	}
	return text
}

func resultErrorf(code core.Code, format string, args ...any) *resultError {
	return &resultError{oper.Failure{Code: code, Error: fmt.Sprintf(format, args...)}}
}

// dialError is a failed connection attempt: no byte of the request was sent.
type dialError struct {
	err error
}

func (dialErr *dialError) Error() string { return dialErr.err.Error() }

func (dialErr *dialError) Unwrap() error { return dialErr.err }

// client sends requests to its servers in order until one returns a final
// response.
type client struct {
	servers []string
	key     string
	timeout time.Duration
	tls     *tls.Config
	http    *fasthttp.Client
}

func newClient(opts *globalFlags) (*client, error) {
	cl := &client{servers: opts.Server, key: opts.Key, timeout: opts.Timeout}
	if opts.TLS.enabled() {
		cfg, err := certs.Load(certs.Files{Cert: opts.TLS.Cert, Key: opts.TLS.Key, CA: opts.TLS.CA}, time.Now())
		if err != nil {
			return nil, err
		}
		cl.tls = cfg
	}
	cl.http = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		Dial:                      cl.dial,
	}
	return cl, nil
}

// dial connects to addr, with TLS if certificates are given. Its error is a
// *dialError.
func (cl *client) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cl.timeout)
	defer cancel()
	var dialer interface {
		DialContext(ctx context.Context, network, addr string) (net.Conn, error)
	} = &net.Dialer{}
	if cl.tls != nil {
		dialer = &tls.Dialer{Config: cl.tls}
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

// get decodes the response of the first server that is reachable and ready into
// out.
func (cl *client) get(path string, query url.Values, out any) error {
	var lastErr error
	for _, srv := range cl.servers {
		lastErr = cl.getFrom(srv, path, query, out)
		if lastErr == nil {
			return nil
		}
		if code := codeOf(lastErr); code != core.CodeNotReady && code != core.CodePeerUnreachable {
			return lastErr
		}
	}
	return lastErr
}

func (cl *client) getFrom(srv, path string, query url.Values, out any) error {
	uri := "http://" + srv + path
	if len(query) > 0 {
		uri += "?" + query.Encode()
	}
	err := cl.call(fasthttp.MethodGet, uri, nil, out)
	if err != nil {
		return wrapCallError(srv, err)
	}
	return nil
}

// sendChange sends a change with the given ID and decodes the receipt into out.
// It tries the next server unless the error is final. It returns an error with
// oper.StateNotAccepted only if no server can have appended the change.
func (cl *client) sendChange(method, path string, id core.RecordID, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return resultErrorf(core.CodeBadRequest, "the change can't be written as JSON: %v", err)
	}
	var lastErr error
	var maybeAppended bool
	for _, srv := range cl.servers {
		err = cl.call(method, "http://"+srv+path, raw, out)
		if err == nil {
			return nil
		}
		lastErr = wrapCallError(srv, err)
		if rejected(err) || isFinal(err) && !maybeAppended {
			return lastErr
		}
		maybeAppended = maybeAppended || !notAppended(err)
	}
	if maybeAppended {
		return newUncertainError(lastErr, id)
	}
	return lastErr
}

// newUncertainError returns an error with oper.StateUnknown: a server may have
// appended the change.
func newUncertainError(lastErr error, id core.RecordID) error {
	var resErr *resultError
	if errors.As(lastErr, &resErr) && resErr.State == oper.StateUnknown {
		return resErr
	}
	text := lastErr.Error()
	if resErr != nil {
		text = resErr.Failure.Error
	}
	out := resultErrorf(core.CodeSettingUncertain, "not known whether accepted: %s", text)
	out.ID = id
	out.State = oper.StateUnknown
	return out
}

// call sends one request and decodes the response into out. Its error is a
// *resultError if the server responded with a result code.
func (cl *client) call(method, uri string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	if cl.key != "" {
		req.Header.Set("Authorization", "Bearer "+cl.key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	err := cl.http.DoTimeout(req, res, cl.timeout)
	if err != nil {
		return err
	}
	if res.StatusCode() == fasthttp.StatusOK {
		return json.Unmarshal(res.Body(), out)
	}
	var resErr resultError
	err = json.Unmarshal(res.Body(), &resErr.Failure)
	if err != nil || resErr.Code == core.CodeOK {
		return fmt.Errorf("HTTP status %d without a result code", res.StatusCode())
	}
	return &resErr
}

// isResultError reports whether err is a *resultError, so that the server
// responded with a result code.
func isResultError(err error) bool {
	var resErr *resultError
	return errors.As(err, &resErr)
}

// notAppended reports whether err guarantees that the server did not append the
// change.
func notAppended(err error) bool {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		return true
	}
	var resErr *resultError
	return errors.As(err, &resErr) && resErr.State != oper.StateUnknown
}

// rejected reports whether the fold rejected the change, which is final on every
// server.
func rejected(err error) bool {
	var resErr *resultError
	return errors.As(err, &resErr) && resErr.State == oper.StateRejected
}

// isFinal reports whether every other server would return the same error, so
// that trying them is pointless.
func isFinal(err error) bool {
	var resErr *resultError
	if !errors.As(err, &resErr) {
		return false
	}
	return resErr.State != oper.StateNotAccepted && resErr.State != oper.StateUnknown && resErr.Code != core.CodeNotReady
}

// wrapCallError returns err if it carries a result code, or else an error with
// core.CodePeerUnreachable that names the server.
func wrapCallError(srv string, err error) error {
	if isResultError(err) {
		return err
	}
	return resultErrorf(core.CodePeerUnreachable, "no answer from %s: %v", srv, err)
}

func codeOf(err error) core.Code {
	var resErr *resultError
	if errors.As(err, &resErr) {
		return resErr.Code
	}
	return core.CodeOf(err)
}
