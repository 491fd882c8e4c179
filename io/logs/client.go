package logs

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

const (
	maxBodyBytes    = 64 << 20
	maxConnsPerHost = 8
	idleConnBound   = 10 * time.Second
	dialBound       = time.Second
	defaultBound    = 5 * time.Second
)

// Client is the connection to one log service. Its methods may be called from
// several goroutines.
type Client struct {
	base string
	cli  *fasthttp.Client
}

var _ core.Log = (*Client)(nil)

// New returns a Client for the service at base, for example
// "http://10.0.0.7:8080".
func New(base string) *Client {
	return &Client{base: base, cli: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       idleConnBound,
		MaxResponseBodySize:       maxBodyBytes,
		NoDefaultUserAgentHeader:  true,
		Dial: func(addr string) (net.Conn, error) {
			con, err := fasthttp.DialTimeout(addr, dialBound)
			if err != nil {
				return nil, &dialError{err: err}
			}
			return con, nil
		},
	}}
}

// dialError marks the errors after which nothing was sent.
type dialError struct{ err error }

func (der *dialError) Error() string { return "dial: " + der.err.Error() }
func (der *dialError) Unwrap() error { return der.err }

// answer is the body of every answer of the service.
type answer struct {
	Refused bool        `json:"refused"`
	Offset  core.Offset `json:"offset"`
	First   core.Offset `json:"first"`
	Next    core.Offset `json:"next"`
	Entries []entry     `json:"entries"`
}

type entry struct {
	Offset core.Offset   `json:"offset"`
	ID     core.RecordID `json:"id"`
	At     time.Time     `json:"at"`
	Data   []byte        `json:"data"`
}

// Append appends data as one entry. The error carries core.CodeLogRefused if
// no connection could be made or the service refused, and else
// core.CodeLogUnknown. The call ends with ctx, whose deadline bounds it.
func (cli *Client) Append(ctx context.Context, id core.RecordID, data []byte) (core.Offset, error) {
	if ctx.Err() != nil {
		return 0, core.Errorf(core.CodeLogRefused, "append %s: the call had ended before it was made", id)
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(cli.base + "/v1/append?id=" + url.QueryEscape(string(id)))
	req.Header.SetContentType("application/octet-stream")
	req.SetBody(data)
	cod, ans, err := cli.do(ctx, req)
	switch {
	case notSent(err):
		return 0, core.Errorf(core.CodeLogRefused, "append %s: %v", id, err)
	case err != nil:
		return 0, core.Errorf(core.CodeLogUnknown, "append %s: %v", id, err)
	case cod == fasthttp.StatusServiceUnavailable && ans.Refused:
		return 0, core.Errorf(core.CodeLogRefused, "append %s: the log service refused", id)
	case cod != fasthttp.StatusOK || ans.Offset == 0:
		return 0, core.Errorf(core.CodeLogUnknown, "append %s: status %d, offset %d", id, cod, ans.Offset)
	}
	return ans.Offset, nil
}

// Read returns at most max entries from offset from on and waits up to wait for
// the first. Errors are those of core.Log.
func (cli *Client) Read(ctx context.Context, from core.Offset, max int, wait time.Duration) (core.Page, error) {
	if ctx.Err() != nil {
		return core.Page{}, core.Errorf(core.CodeLogDown, "read from %d: the call had ended before it was made", from)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+defaultBound)
	defer cancel()
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(cli.readURL(from, max, wait))
	cod, ans, err := cli.do(ctx, req)
	pag := core.Page{First: ans.First, Next: ans.Next}
	switch {
	case err != nil:
		return core.Page{}, core.Errorf(core.CodeLogDown, "read from %d: %v", from, err)
	case cod == fasthttp.StatusGone:
		return pag, core.Errorf(core.CodeLogGap, "the oldest entry has offset %d, not %d", ans.First, from)
	case cod != fasthttp.StatusOK || ans.Next == 0:
		return core.Page{}, core.Errorf(core.CodeLogDown, "read from %d: status %d, next %d", from, cod, ans.Next)
	}
	for _, ent := range ans.Entries {
		pag.Entries = append(pag.Entries, core.Entry(ent))
	}
	return pag, nil
}

func (cli *Client) readURL(from core.Offset, max int, wait time.Duration) string {
	qry := url.Values{}
	qry.Set("from", strconv.FormatUint(uint64(from), 10))
	qry.Set("max", strconv.Itoa(max))
	qry.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return cli.base + "/v1/read?" + qry.Encode()
}

type result struct {
	status int
	ans    answer
	err    error
}

// do performs one call, which owns req, and gives up waiting for it when ctx
// ends. After a call that failed, no connection that was open is used again:
// it may be silent for good.
func (cli *Client) do(ctx context.Context, req *fasthttp.Request) (int, answer, error) {
	got := make(chan result, 1)
	end := deadline(ctx)
	go func() { got <- cli.call(req, end) }()
	var res result
	select {
	case res = <-got:
	case <-ctx.Done():
		res.err = eris.Wrap(ctx.Err(), "call of the log service")
	}
	if res.err != nil {
		cli.cli.CloseIdleConnections()
	}
	return res.status, res.ans, res.err
}

// call performs one call and decodes its answer. A status with a body that is
// not JSON is no error: the status decides.
func (cli *Client) call(req *fasthttp.Request, end time.Time) result {
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	defer fasthttp.ReleaseRequest(req)
	err := cli.cli.DoDeadline(req, res, end)
	if err != nil {
		return result{err: eris.Wrap(err, "call of the log service")}
	}
	out := result{status: res.StatusCode()}
	err = json.Unmarshal(res.Body(), &out.ans)
	if err != nil && out.status == fasthttp.StatusOK {
		return result{err: eris.Wrap(err, "answer of the log service")}
	}
	return out
}

func deadline(ctx context.Context) time.Time {
	if end, ok := ctx.Deadline(); ok {
		return end
	}
	return time.Now().Add(defaultBound)
}

// notSent reports whether the call failed before any byte of it left.
func notSent(err error) bool {
	var der *dialError
	return errors.As(err, &der)
}
