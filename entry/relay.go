package entry

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
)

// initialRelayBuffer is the initial buffer size of a relay in bytes. Events are
// some hundred bytes long.
const initialRelayBuffer = 2048

// uncountedRelayBuffer is the size in bytes up to which the buffer of a relay does not count
// as held.
const uncountedRelayBuffer = 64 << 10

// maxEventSize is the largest event in bytes that is forwarded. A server that
// sends more without the end of an event has failed.
const maxEventSize = 256 << 10

// streamRelay is the body of a streamed response. It forwards only whole
// events, and resumes the stream on another server if the route allows it. The
// response header may therefore come from another server than the last event.
type streamRelay struct {
	forwarder *forwarder
	call      *call
	attempt   *attempt
	// buffer holds data that is not forwarded yet, from readPos on. completeLen
	// is the length of the part of buffer that consists of whole events.
	buffer      []byte
	completeLen int
	readPos     int
	eof         bool
	// skipUntilID is the ID of the last forwarded event after a change of the
	// server, until a later event arrives. Events up to this ID are dropped.
	skipUntilID string
	eventCount  int
	onFinish    func(err error, events int)
}

var _ io.ReadCloser = (*streamRelay)(nil)

func newStreamRelay(fwd *forwarder, call *call, attempt *attempt, onFinish func(error, int)) *streamRelay {
	return &streamRelay{forwarder: fwd, call: call, attempt: attempt, buffer: make([]byte, 0, initialRelayBuffer), onFinish: onFinish}
}

// waitFirstEvent waits for the first event, so that a server that fails before
// it can be replaced without an effect on the caller.
func (relay *streamRelay) waitFirstEvent() error {
	for relay.completeLen == 0 && !relay.eof {
		err := relay.fill()
		if err != nil {
			return err
		}
	}
	return nil
}

// Read implements io.Reader. It returns data of whole events only.
func (relay *streamRelay) Read(dst []byte) (num int, err error) {
	defer recoverPanic(relay.forwarder.log, relay.forwarder.metrics, "stream", func() { err = errPanicked })
	for relay.readPos == relay.completeLen {
		if relay.eof {
			return 0, io.EOF
		}
		relay.compact()
		err = relay.fill()
		if err != nil {
			relay.end(err)
			return 0, err
		}
	}
	num = copy(dst, relay.buffer[relay.readPos:relay.completeLen])
	relay.readPos += num
	return num, nil
}

// Close ends the response. If it was not read to its end, the caller has closed
// the connection.
func (relay *streamRelay) Close() error {
	err := error(nil)
	if !relay.eof || relay.readPos < relay.completeLen {
		err = errCallerGone
	}
	relay.end(err)
	return nil
}

// end closes the attempt and calls onFinish with err. Only the first call has
// an effect.
func (relay *streamRelay) end(err error) {
	if relay.onFinish == nil {
		return
	}
	relay.attempt.close()
	relay.onFinish(err, relay.eventCount)
	relay.onFinish = nil
}

// compact removes forwarded data from the buffer.
func (relay *streamRelay) compact() {
	num := copy(relay.buffer, relay.buffer[relay.readPos:])
	relay.buffer = relay.buffer[:num]
	relay.readPos, relay.completeLen = 0, 0
}

// fill reads once from the server into the buffer. If the server fails, fill
// resumes the stream on another one.
func (relay *streamRelay) fill() error {
	if len(relay.buffer)-relay.completeLen > maxEventSize {
		relay.attempt.body.Abort()
		return relay.resume(core.Errorf(core.CodeCutAnswer, "event of more than %d bytes from %v", maxEventSize, relay.attempt.target))
	}
	if len(relay.buffer) == cap(relay.buffer) && !relay.holdMore() {
		relay.attempt.body.Abort()
		return relay.resume(core.Errorf(core.CodeCutAnswer, "an event of more than %d bytes from %v, and no memory left", cap(relay.buffer), relay.attempt.target))
	}
	if len(relay.buffer) == cap(relay.buffer) {
		relay.buffer = append(relay.buffer, make([]byte, cap(relay.buffer))...)[:len(relay.buffer)]
	}
	num, err := relay.attempt.body.Read(relay.buffer[len(relay.buffer):cap(relay.buffer)])
	if num > 0 {
		relay.forwarder.recordProgress(relay.call, relay.attempt.server)
		relay.appendRead(num)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && relay.brokenOff():
		return relay.resume(core.Errorf(core.CodeCutAnswer, "stream from %v ended inside an event", relay.attempt.target))
	case errors.Is(err, io.EOF):
		relay.eof = true
		relay.completeLen = len(relay.buffer)
		if relay.call.attemptEvents.Load() > 0 {
			relay.attempt.recordProof()
		}
		relay.attempt.close()
		return nil
	}
	return relay.resume(err)
}

// holdMore reserves the memory for a buffer of twice the size. Buffers up to
// uncountedRelayBuffer are not counted.
func (relay *streamRelay) holdMore() bool {
	size := int64(cap(relay.buffer))
	if 2*size <= uncountedRelayBuffer {
		return true
	}
	if !relay.forwarder.quota.Reserve(size) {
		return false
	}
	relay.call.heldBytes.Add(size)
	return true
}

// brokenOff reports whether the stream, which has ended, is incomplete: it ended
// inside an event, or, where only the connection shows the end, before the first
// event.
func (relay *streamRelay) brokenOff() bool {
	if len(bytes.TrimSpace(relay.buffer[relay.completeLen:])) > 0 {
		return true
	}
	return relay.call.attemptEvents.Load() == 0 && !relay.attempt.body.Framed()
}

// appendRead adds num new bytes to the buffer and looks for the ends of events.
func (relay *streamRelay) appendRead(num int) {
	from := max(relay.completeLen, len(relay.buffer)-1)
	relay.buffer = relay.buffer[:len(relay.buffer)+num]
	pos := bytes.LastIndex(relay.buffer[from:], eventEnd)
	if pos < 0 {
		return
	}
	now := time.Now()
	relay.attempt.recordEvent(relay.call.recordEvent(now))
	if now.Sub(relay.attempt.answeredAt) >= provedTime {
		relay.attempt.recordProof()
	}
	start := relay.completeLen
	relay.completeLen = from + pos + len(eventEnd)
	num = bytes.Count(relay.buffer[start:relay.completeLen], eventEnd)
	relay.eventCount += num
	relay.call.attemptEvents.Add(int32(num))
	if relay.skipUntilID != "" {
		relay.dropDelivered(start)
	}
	if id := lastEventID(relay.buffer[start:relay.completeLen]); id != "" {
		relay.call.lastEventID = id
	}
}

// dropDelivered removes the events up to skipUntilID from the whole events of
// the buffer that begin at start. The caller has received them from the
// previous server.
func (relay *streamRelay) dropDelivered(start int) {
	for start < relay.completeLen {
		end := start + bytes.Index(relay.buffer[start:relay.completeLen], eventEnd) + len(eventEnd)
		id := lastEventID(relay.buffer[start:end])
		if id == "" {
			return
		}
		if idAfter(id, relay.skipUntilID) {
			relay.skipUntilID = ""
			return
		}
		relay.buffer = append(relay.buffer[:start], relay.buffer[end:]...)
		relay.completeLen -= end - start
	}
}

var (
	eventEnd     = []byte("\n\n")
	idPrefix     = []byte("id:")
	idLinePrefix = []byte("\nid:")
)

// lastEventID returns the ID of the last event in raw that has one, or an empty
// string.
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

// idAfter reports whether the decimal event ID a is greater than b.
func idAfter(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// resume continues the stream on another server after the last whole event.
func (relay *streamRelay) resume(cause error) error {
	call := relay.call
	relay.buffer = relay.buffer[:relay.completeLen]
	before := relay.attempt.target
	relay.attempt.close()
	relay.forwarder.recordBroken(call, before, cause)
	if !relay.forwarder.mayRepeat(call) {
		return cause
	}
	err := relay.forwarder.checkRetry(call, before, outcomeUnknown, cause)
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
		return core.Errorf(core.CodeCutAnswer, "resuming the stream: status %d from %v", attempt.body.Status(), attempt.target)
	}
	relay.skipUntilID = call.lastEventID
	relay.forwarder.log.WithFields(logrus.Fields{
		"event": "stream_resumed", "request": call.id, "server": attempt.target, "before": before, "after_event": call.lastEventID,
	}).Info("stream resumed on another server")
	return nil
}
