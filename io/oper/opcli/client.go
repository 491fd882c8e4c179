package opcli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/certs"
	"kumquathinge/io/oper"
	"kumquathinge/io/wire"
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

// client sends requests to its servers in order until one returns a final
// response.
type client struct {
	servers []string
	key     string
	timeout time.Duration
	pools   *wire.Pools
}

func newClient(opts *globalFlags) (*client, error) {
	wireCfg := wire.Config{DialTimeout: opts.Timeout, IOTimeout: opts.Timeout, MaxBody: maxResponseBytes}
	if opts.TLS.enabled() {
		tlsCfg, err := certs.Load(certs.Files{Cert: opts.TLS.Cert, Key: opts.TLS.Key, CA: opts.TLS.CA}, time.Now())
		if err != nil {
			return nil, err
		}
		wireCfg.Dial = (&tls.Dialer{Config: tlsCfg}).DialContext
	}
	return &client{servers: opts.Server, key: opts.Key, timeout: opts.Timeout, pools: wire.NewPools(wireCfg)}, nil
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
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := cl.call(srv, fasthttp.MethodGet, path, nil, out)
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
		err = cl.call(srv, method, path, raw, out)
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

// call sends one request to the server and decodes the response into out. Its error is a
// *resultError if the server responded with a result code, and has core.CodeDialFailed if
// no byte of the request was sent.
func (cl *client) call(srv, method, uri string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	if cl.key != "" {
		req.Header.Set("Authorization", "Bearer "+cl.key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cl.timeout)
	defer cancel()
	res, _, err := cl.pools.Get(srv).Do(ctx, wire.Exchange{Req: req})
	if err != nil {
		return err
	}
	if res.Status() == fasthttp.StatusOK {
		return json.Unmarshal(res.Body(), out)
	}
	var resErr resultError
	err = json.Unmarshal(res.Body(), &resErr.Failure)
	if err != nil || resErr.Code == core.CodeOK {
		return fmt.Errorf("HTTP status %d without a result code", res.Status())
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
	if core.CodeOf(err) == core.CodeDialFailed {
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
