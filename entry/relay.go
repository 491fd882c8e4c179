package entry

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
)

// initialRelayBuffer is the first size of a relay's buffer in bytes; events are some
// hundred bytes long.
const initialRelayBuffer = 2048

// streamRelay is the body of a streamed answer. It hands on whole events as they
// arrive and goes on at another server where the route allows it. The server
// of the response's header may be another one than that of the last event.
type streamRelay struct {
	forwarder *forwarder
	call      *call
	attempt   *attempt
	// buffer holds what was read and not handed on; whole is the length of its
	// part that ends with an event.
	buffer      []byte
	completeLen int
	readPos     int
	eof         bool
	// skipUntilID is the ID of the last event handed on, until the first event after
	// a change of the server has been looked at.
	skipUntilID string
	eventCount  int
	onFinish    func(err error, events int)
}

var _ io.ReadCloser = (*streamRelay)(nil)

func newStreamRelay(fwd *forwarder, call *call, attempt *attempt, finish func(error, int)) *streamRelay {
	return &streamRelay{forwarder: fwd, call: call, attempt: attempt, buffer: make([]byte, 0, initialRelayBuffer), onFinish: finish}
}

// waitFirstEvent waits for the first event, so that a server that fails before it can
// be replaced without a trace.
func (relay *streamRelay) waitFirstEvent() error {
	for relay.completeLen == 0 && !relay.eof {
		err := relay.fill()
		if err != nil {
			return err
		}
	}
	return nil
}

// Read returns bytes of whole events.
func (relay *streamRelay) Read(dst []byte) (int, error) {
	for relay.readPos == relay.completeLen {
		if relay.eof {
			return 0, io.EOF
		}
		relay.compact()
		err := relay.fill()
		if err != nil {
			relay.end(err)
			return 0, err
		}
	}
	num := copy(dst, relay.buffer[relay.readPos:relay.completeLen])
	relay.readPos += num
	return num, nil
}

// Close ends the answer. If its end was not read, the caller has left.
func (relay *streamRelay) Close() error {
	err := error(nil)
	if !relay.eof || relay.readPos < relay.completeLen {
		err = errCallerGone
	}
	relay.end(err)
	return nil
}

// end ends the answer with err, once.
func (relay *streamRelay) end(err error) {
	if relay.onFinish == nil {
		return
	}
	relay.attempt.close()
	relay.onFinish(err, relay.eventCount)
	relay.onFinish = nil
}

// compact drops what was handed on.
func (relay *streamRelay) compact() {
	num := copy(relay.buffer, relay.buffer[relay.readPos:])
	relay.buffer = relay.buffer[:num]
	relay.readPos, relay.completeLen = 0, 0
}

// fill reads once from the server. If the server fails, it goes on at another.
func (relay *streamRelay) fill() error {
	if len(relay.buffer) == cap(relay.buffer) {
		relay.buffer = append(relay.buffer, make([]byte, cap(relay.buffer))...)[:len(relay.buffer)]
	}
	num, err := relay.attempt.body.Read(relay.buffer[len(relay.buffer):cap(relay.buffer)])
	if num > 0 {
		relay.forwarder.recordProgress(relay.call, relay.attempt.server.ID)
		relay.appendRead(num)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		relay.eof = true
		relay.completeLen = len(relay.buffer)
		relay.attempt.close()
		return nil
	}
	return relay.resume(err)
}

// appendRead takes num new bytes and looks for the ends of events.
func (relay *streamRelay) appendRead(num int) {
	from := max(relay.completeLen, len(relay.buffer)-1)
	relay.buffer = relay.buffer[:len(relay.buffer)+num]
	pos := bytes.LastIndex(relay.buffer[from:], eventEnd)
	if pos < 0 {
		return
	}
	relay.attempt.recordEvent(relay.call.recordEvent(time.Now()))
	old := relay.completeLen
	relay.completeLen = from + pos + len(eventEnd)
	relay.eventCount += bytes.Count(relay.buffer[old:relay.completeLen], eventEnd)
	if relay.skipUntilID != "" {
		relay.dropDelivered(old)
	}
	if id := lastEventID(relay.buffer[old:relay.completeLen]); id != "" {
		relay.call.lastEventID = id
	}
}

// dropDelivered removes events that the caller has, up to the ID skip, from the
// part of the buffer that begins at old.
func (relay *streamRelay) dropDelivered(old int) {
	for old < relay.completeLen {
		end := old + bytes.Index(relay.buffer[old:relay.completeLen], eventEnd) + len(eventEnd)
		id := lastEventID(relay.buffer[old:end])
		if id == "" {
			return
		}
		if idAfter(id, relay.skipUntilID) {
			relay.skipUntilID = ""
			return
		}
		relay.buffer = append(relay.buffer[:old], relay.buffer[end:]...)
		relay.completeLen -= end - old
	}
}

var (
	eventEnd     = []byte("\n\n")
	idPrefix     = []byte("id:")
	idLinePrefix = []byte("\nid:")
)

// lastEventID returns the ID of the last event of raw that has one, empty if none.
func lastEventID(raw []byte) string {
	pos := bytes.LastIndex(raw, idLinePrefix)
	switch {
	case pos >= 0:
		raw = raw[pos+len(idLinePrefix):]
	case bytes.HasPrefix(raw, idPrefix):
		raw = raw[len(idPrefix):]
	default:
		return ""
	}
	end := bytes.IndexByte(raw, '\n')
	if end < 0 {
		return ""
	}
	return string(bytes.TrimSpace(raw[:end]))
}

// idAfter reports whether the decimal ID one comes after two.
func idAfter(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// resume goes on at another server after the last whole event.
func (relay *streamRelay) resume(cause error) error {
	call := relay.call
	relay.buffer = relay.buffer[:relay.completeLen]
	srv := relay.attempt.server
	relay.attempt.close()
	if call.ctx.Err() == nil {
		relay.forwarder.recordFailure(call, srv, cause)
	}
	if !call.route.Retryable() {
		return cause
	}
	err := relay.forwarder.checkRetry(call, srv, outcomeUnknown, cause)
	if err != nil {
		return err
	}
	attempt, err := relay.forwarder.sendWithRetries(call)
	if err != nil {
		return err
	}
	relay.attempt = attempt
	if attempt.body.Status() != 200 {
		attempt.close()
		return core.Errorf(core.CodeCutAnswer, "resumed stream got status %d of %s", attempt.body.Status(), attempt.server.ID)
	}
	relay.skipUntilID = call.lastEventID
	relay.forwarder.log.WithFields(logrus.Fields{
		"event": "stream_resumed", "request": call.id, "server": attempt.server.ID, "before": srv.ID, "after_event": call.lastEventID,
	}).Info("stream goes on at another server")
	return nil
}
