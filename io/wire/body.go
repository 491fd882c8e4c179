package wire

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

const finishSilence = 20 * time.Millisecond

// Body is a response whose body is read piece by piece. It has one owner.
type Body struct {
	ctx  context.Context
	poo  *Pool
	con  *conn
	stop func() bool
	resp fasthttp.Response
	done bool
	shut bool
	// closeEnds accepts the orderly close of the connection as the end.
	closeEnds bool
	// crossed tells that the connection brought a response to another request.
	crossed bool
}

var _ io.ReadCloser = (*Body)(nil)

// Status returns the response's status code.
func (bod *Body) Status() int { return bod.resp.StatusCode() }

// Header returns the value of a response header, or nil.
func (bod *Body) Header(name string) []byte { return bod.resp.Header.Peek(name) }

// VisitHeaders calls vis for each header of the response.
func (bod *Body) VisitHeaders(vis func(name, value []byte)) {
	for nam, val := range bod.resp.Header.All() {
		vis(nam, val)
	}
}

// Read reads from the body. It returns io.EOF only after the end that the
// response's framing states, and an error with core.CodeCutAnswer or
// core.CodeSilent otherwise.
func (bod *Body) Read(buf []byte) (int, error) {
	if bod.shut {
		return 0, core.Errorf(core.CodeCutAnswer, "read of a closed response")
	}
	if bod.resp.BodyStream() == nil {
		bod.done = true
		return 0, io.EOF
	}
	num, err := bod.resp.BodyStream().Read(buf)
	switch {
	case err == nil:
		return num, nil
	case errors.Is(err, io.EOF) && bod.resp.Header.ContentLength() >= -1:
		bod.done = true
		return num, io.EOF
	case errors.Is(err, io.EOF) && bod.closeEnds && bod.con.ended:
		return num, io.EOF
	}
	return num, bod.con.fault(bod.ctx, err, core.CodeCutAnswer)
}

// Close gives the connection back if the body was read to its end, and closes
// it otherwise. Close may be called more than once.
func (bod *Body) Close() error {
	if bod.shut {
		return nil
	}
	bod.shut = true
	if bod.done {
		_ = bod.resp.CloseBodyStream()
	}
	bod.poo.release(bod.con, bod.stop, bod.done && !bod.crossed && !bod.resp.ConnectionClose())
	return nil
}

// Abort closes the connection at once. It may be called from another
// goroutine than that of the owner.
func (bod *Body) Abort() { bod.con.close() }

// Finish waits a short time for the end of the response where its content is
// known to be complete, so that Close can keep the connection.
func (bod *Body) Finish() {
	if bod.shut || bod.done {
		return
	}
	bod.con.silence = finishSilence
	var one [1]byte
	_, _ = bod.Read(one[:])
}

// Whole reads the rest of the body. It returns an error with
// core.CodeCutAnswer if the body is larger than limit bytes.
func (bod *Body) Whole(limit int) (Answer, error) {
	ans := Answer{status: bod.Status(), header: &bod.resp.Header}
	size := bod.resp.Header.ContentLength()
	if size > limit {
		return ans, core.Errorf(core.CodeCutAnswer, "response of %d bytes exceeds %d", size, limit)
	}
	data, err := io.ReadAll(io.LimitReader(bod, int64(limit)+1))
	if err != nil {
		return ans, err
	}
	if len(data) > limit {
		return ans, core.Errorf(core.CodeCutAnswer, "response exceeds %d bytes", limit)
	}
	ans.body = data
	return ans, nil
}

// Answer is a whole response.
type Answer struct {
	status int
	header *fasthttp.ResponseHeader
	body   []byte
}

// Status returns the status code.
func (ans Answer) Status() int { return ans.status }

// Body returns the body.
func (ans Answer) Body() []byte { return ans.body }

// Header returns the value of a header, or "" if it is absent.
func (ans Answer) Header(name string) string { return string(ans.header.Peek(name)) }
