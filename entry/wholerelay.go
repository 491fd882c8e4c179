package entry

import (
	"errors"
	"io"

	"kumquathinge/core"
	"kumquathinge/core/site"
)

const (
	// maxHeldResponse is the size in bytes up to which a response that is not a stream of
	// events is read whole before any of it is sent, so that another server can answer
	// instead if the first one fails. A larger one is sent as it arrives.
	maxHeldResponse = 256 << 10
	// responseChunk is the size of a read of a response, in bytes.
	responseChunk = 32 << 10
)

// wholeRelay is the body of a response that is sent as it arrives.
type wholeRelay struct {
	front   *frontend
	call    *call
	attempt *attempt
	// begin is what was read before the response began.
	begin []byte
	ended bool
}

var _ io.ReadCloser = (*wholeRelay)(nil)

// readHeld reads a response as far as it may be held. more is set if there is, or may be,
// more of it.
func (front *frontend) readHeld(call *call, attempt *attempt) (held []byte, more bool, err error) {
	size := attempt.body.ContentLength()
	if size >= 0 && size <= maxHeldResponse && front.hold(call, size) {
		held = make([]byte, size)
		_, err = io.ReadFull(attempt.body, held)
		if err == nil {
			err = attempt.body.ReadEOF()
		}
		return held, false, err
	}
	for len(held) < maxHeldResponse {
		if !front.hold(call, responseChunk) {
			return held, true, nil
		}
		buf := make([]byte, responseChunk)
		num, err := attempt.body.Read(buf)
		held = append(held, buf[:num]...)
		if errors.Is(err, io.EOF) {
			return held, false, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, true, nil
}

// Read implements io.Reader.
func (relay *wholeRelay) Read(dst []byte) (num int, err error) {
	defer recoverPanic(relay.front.log, relay.front.metrics, "response", func() { err = errPanicked })
	if len(relay.begin) > 0 {
		num = copy(dst, relay.begin)
		relay.begin = relay.begin[num:]
		return num, nil
	}
	num, err = relay.attempt.body.Read(dst)
	switch {
	case num > 0:
		relay.front.forwarder.recordProgress(relay.call, relay.attempt.server)
	case errors.Is(err, io.EOF):
		relay.end(nil)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		relay.end(err)
	}
	return num, err
}

// Close ends the response. If it was not read to its end, the caller has closed the
// connection.
func (relay *wholeRelay) Close() error {
	relay.end(errCallerGone)
	return nil
}

// end ends the call. Only the first call of end has an effect.
func (relay *wholeRelay) end(err error) {
	if relay.ended {
		return
	}
	relay.ended = true
	if srv := relay.attempt.server; srv != nil && err != nil && relay.call.ctx.Err() == nil && core.CodeOf(err) != core.CodeCallerGone {
		relay.front.forwarder.recordFailure(relay.call, srv, err)
	}
	status := relay.attempt.body.Status()
	relay.attempt.close()
	relay.front.finish(relay.call, status, err, 0)
}

// fixed reports whether the response to a call can't be continued by another server, since
// a part of it was sent and it is no stream of events.
func (call *call) fixed() bool {
	return call.route.Kind != site.KindStream && call.response.Load() == responseBegun
}
