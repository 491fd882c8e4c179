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

const maxAnswerBytes = 64 << 20

// failure is an error that the interface answered, or that the client found
// in its place.
type failure struct {
	oper.Failure
}

func (flr *failure) Error() string {
	txt := fmt.Sprintf("code %d: %s", flr.Code, clean(flr.Failure.Error))
	if flr.State != "" {
		txt += fmt.Sprintf(" [%s]", flr.State)
	}
	if flr.State == oper.StateUnknown && flr.ID != "" && flr.Offset == 0 {
		txt += fmt.Sprintf("\nask for it by: kumctl outcome %s", flr.ID)
	}
	return txt
}

func failf(cod core.Code, format string, args ...any) *failure {
	return &failure{oper.Failure{Code: cod, Error: fmt.Sprintf(format, args...)}}
}

// dialError states that no byte of a request left.
type dialError struct {
	err error
}

func (der *dialError) Error() string { return der.err.Error() }

func (der *dialError) Unwrap() error { return der.err }

// client calls the first of its servers that can answer.
type client struct {
	servers []string
	key     string
	timeout time.Duration
	tls     *tls.Config
	cli     *fasthttp.Client
}

func newClient(glo *globals) (*client, error) {
	cln := &client{servers: glo.Server, key: glo.Key, timeout: glo.Timeout}
	if glo.TLS.enabled() {
		cfg, err := certs.Load(certs.Files{Cert: glo.TLS.Cert, Key: glo.TLS.Key, CA: glo.TLS.CA}, time.Now())
		if err != nil {
			return nil, err
		}
		cln.tls = cfg
	}
	cln.cli = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		Dial:                      cln.dial,
	}
	return cln, nil
}

// dial connects to addr, with TLS if certificates are given. Its error is a
// *dialError.
func (cln *client) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cln.timeout)
	defer cancel()
	var dia interface {
		DialContext(ctx context.Context, network, addr string) (net.Conn, error)
	} = &net.Dialer{}
	if cln.tls != nil {
		dia = &tls.Dialer{Config: cln.tls}
	}
	con, err := dia.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return con, nil
}

// get reads the answer of the first server that can give one into out.
func (cln *client) get(path string, query url.Values, out any) error {
	var last error
	for _, srv := range cln.servers {
		last = cln.getFrom(srv, path, query, out)
		if last == nil {
			return nil
		}
		if cod := codeOf(last); cod != core.CodeNotReady && cod != core.CodePeerUnreachable {
			return last
		}
	}
	return last
}

func (cln *client) getFrom(srv, path string, query url.Values, out any) error {
	uri := "http://" + srv + path
	if len(query) > 0 {
		uri += "?" + query.Encode()
	}
	err := cln.call(fasthttp.MethodGet, uri, nil, out)
	if err != nil {
		return onServer(srv, err)
	}
	return nil
}

// change sends a change with the ID id and reads the receipt into out. It
// returns an error with oper.StateNotAccepted only if no server can have
// appended the change.
func (cln *client) change(method, path string, id core.RecordID, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return failf(core.CodeBadRequest, "the change can't be written as JSON: %v", err)
	}
	var last error
	var maybe bool
	for _, srv := range cln.servers {
		err = cln.call(method, "http://"+srv+path, raw, out)
		if err == nil {
			return nil
		}
		last = onServer(srv, err)
		if rejected(err) || settled(err) && !maybe {
			return last
		}
		maybe = maybe || !notAccepted(err)
	}
	if maybe {
		return uncertain(last, id)
	}
	return last
}

// uncertain returns an error that states that the change may be appended.
func uncertain(last error, id core.RecordID) error {
	var flr *failure
	if errors.As(last, &flr) && flr.State == oper.StateUnknown {
		return flr
	}
	txt := last.Error()
	if flr != nil {
		txt = flr.Failure.Error
	}
	out := failf(core.CodeSettingUncertain, "not known whether accepted: %s", txt)
	out.ID = id
	out.State = oper.StateUnknown
	return out
}

// call makes one call. Its error is a *failure if the server answered.
func (cln *client) call(method, uri string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	if cln.key != "" {
		req.Header.Set("Authorization", "Bearer "+cln.key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	err := cln.cli.DoTimeout(req, res, cln.timeout)
	if err != nil {
		return err
	}
	if res.StatusCode() == fasthttp.StatusOK {
		return json.Unmarshal(res.Body(), out)
	}
	var flr failure
	err = json.Unmarshal(res.Body(), &flr.Failure)
	if err != nil || flr.Code == core.CodeOK {
		return fmt.Errorf("HTTP status %d without a result code", res.StatusCode())
	}
	return &flr
}

// answered reports whether err is what the server answered.
func answered(err error) bool {
	var flr *failure
	return errors.As(err, &flr)
}

// notAccepted reports whether err states that the change was surely not
// appended.
func notAccepted(err error) bool {
	var der *dialError
	if errors.As(err, &der) {
		return true
	}
	var flr *failure
	return errors.As(err, &flr) && flr.State != oper.StateUnknown
}

// rejected reports whether the fold rejected the change, which is final.
func rejected(err error) bool {
	var flr *failure
	return errors.As(err, &flr) && flr.State == oper.StateRejected
}

// settled reports whether no other server would answer otherwise than with
// err.
func settled(err error) bool {
	var flr *failure
	if !errors.As(err, &flr) {
		return false
	}
	return flr.State != oper.StateNotAccepted && flr.State != oper.StateUnknown && flr.Code != core.CodeNotReady
}

// onServer gives err a code if it has none, and names the server.
func onServer(srv string, err error) error {
	if answered(err) {
		return err
	}
	return failf(core.CodePeerUnreachable, "no answer from %s: %v", srv, err)
}

func codeOf(err error) core.Code {
	var flr *failure
	if errors.As(err, &flr) {
		return flr.Code
	}
	return core.CodeOf(err)
}
