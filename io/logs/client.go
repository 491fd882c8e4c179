package logs

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

const (
	maxBodyBytes    = 64 << 20
	maxIdleConns    = 8
	idleConnTimeout = 10 * time.Second
	dialTimeout     = time.Second
	defaultTimeout  = 5 * time.Second
)

// Client is a client for one log service. It is safe for concurrent use.
type Client struct {
	pool *wire.Pool
}

var _ core.Log = (*Client)(nil)

// New returns a Client for the log service at the base URL, for example
// "http://10.0.0.7:8080".
func New(base string) *Client {
	return &Client{pool: wire.New(strings.TrimPrefix(base, "http://"), wire.Config{
		DialTimeout: dialTimeout, IdleTimeout: idleConnTimeout, MaxIdle: maxIdleConns, MaxBody: maxBodyBytes,
	})}
}

// responseBody is the body of every response of the log service.
type responseBody struct {
	Refused bool        `json:"refused"`
	Offset  core.Offset `json:"offset"`
	First   core.Offset `json:"first"`
	Next    core.Offset `json:"next"`
	Era     core.Era    `json:"era"`
	Entries []entry     `json:"entries"`
}

type entry struct {
	Offset core.Offset   `json:"offset"`
	ID     core.RecordID `json:"id"`
	At     time.Time     `json:"at"`
	Data   []byte        `json:"data"`
}

// Append appends data as one entry and returns its offset. A service that states
// eras refuses it in another era than the given one, unless that is zero. Append
// waits until the deadline of ctx, or 5 seconds if ctx has none. The error carries
// core.CodeLogRefused if ctx had ended, no connection could be made or the
// service refused the append, and core.CodeLogUnknown otherwise.
func (client *Client) Append(ctx context.Context, era core.Era, id core.RecordID, data []byte) (core.Offset, error) {
	if ctx.Err() != nil {
		return 0, core.Errorf(core.CodeLogRefused, "append %s: context ended before the call", id)
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(appendURI(era, id))
	req.Header.SetContentType("application/octet-stream")
	req.SetBody(data)
	status, body, err := client.do(ctx, req)
	switch {
	case core.CodeOf(err) == core.CodeDialFailed:
		return 0, core.Errorf(core.CodeLogRefused, "append %s: %v", id, err)
	case err != nil:
		return 0, core.Errorf(core.CodeLogUnknown, "append %s: %v", id, err)
	case status == fasthttp.StatusServiceUnavailable && body.Refused:
		return 0, core.Errorf(core.CodeLogRefused, "append %s: the log service refused the append", id)
	case status != fasthttp.StatusOK || body.Offset == 0:
		return 0, core.Errorf(core.CodeLogUnknown, "append %s: status %d, offset %d", id, status, body.Offset)
	}
	return body.Offset, nil
}

// Read returns at most limit entries from offset from. It waits up to wait for the
// first entry. See core.Log for the errors.
func (client *Client) Read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (core.Page, error) {
	if ctx.Err() != nil {
		return core.Page{}, core.Errorf(core.CodeLogDown, "read from %d: context ended before the call", from)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+defaultTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(readURI(from, limit, wait))
	status, body, err := client.do(ctx, req)
	page := core.Page{First: body.First, Next: body.Next, Era: body.Era}
	switch {
	case err != nil:
		return core.Page{}, core.Errorf(core.CodeLogDown, "read from %d: %v", from, err)
	case status == fasthttp.StatusGone:
		return page, core.Errorf(core.CodeLogGap, "the oldest entry has offset %d, not %d", body.First, from)
	case status != fasthttp.StatusOK || body.Next == 0:
		return core.Page{}, core.Errorf(core.CodeLogDown, "read from %d: status %d, next %d", from, status, body.Next)
	}
	for _, entry := range body.Entries {
		page.Entries = append(page.Entries, core.Entry(entry))
	}
	return page, nil
}

func appendURI(era core.Era, id core.RecordID) string {
	query := url.Values{}
	query.Set("id", string(id))
	if era != 0 {
		query.Set("era", strconv.FormatUint(uint64(era), 10))
	}
	return "/v1/append?" + query.Encode()
}

func readURI(from core.Offset, limit int, wait time.Duration) string {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return "/v1/read?" + query.Encode()
}

// do sends req, which it takes over, and decodes the response. It waits until the deadline
// of ctx, or 5 seconds if ctx has none. After an error it closes the idle connections,
// since they may be unresponsive too.
func (client *Client) do(ctx context.Context, req *fasthttp.Request) (int, responseBody, error) {
	defer fasthttp.ReleaseRequest(req)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	resp, _, err := client.pool.Do(ctx, wire.Exchange{Req: req, IOTimeout: time.Until(deadline)})
	var body responseBody
	if err == nil {
		body, err = decode(resp)
	}
	if err != nil {
		client.pool.Reset()
		return 0, responseBody{}, eris.Wrap(err, "call the log service")
	}
	return resp.Status(), body, nil
}

// decode decodes the body of a response. One that is not JSON is an error only with
// status 200.
func decode(resp wire.Response) (responseBody, error) {
	var body responseBody
	err := json.Unmarshal(resp.Body(), &body)
	if err != nil && resp.Status() == fasthttp.StatusOK {
		return responseBody{}, err
	}
	return body, nil
}
