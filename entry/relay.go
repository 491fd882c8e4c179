package entry

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
)

// relaySize is the first size of a relay's buffer in bytes; events are some
// hundred bytes long.
const relaySize = 2048

// relay is the body of a streamed answer. It hands on whole events as they
// arrive and goes on at another server where the route allows it. The server
// of the response's header may be another one than that of the last event.
type relay struct {
	fwd *forwarder
	cal *call
	leg *leg
	// buf holds what was read and not handed on; whole is the length of its
	// part that ends with an event.
	buf   []byte
	whole int
	out   int
	ended bool
	// skip is the ID of the last event handed on, until the first event after
	// a change of the server has been looked at.
	skip   string
	events int
	finish func(err error, events int)
}

var _ io.ReadCloser = (*relay)(nil)

func newRelay(fwd *forwarder, cal *call, led *leg, finish func(error, int)) *relay {
	return &relay{fwd: fwd, cal: cal, leg: led, buf: make([]byte, 0, relaySize), finish: finish}
}

// first waits for the first event, so that a server that fails before it can
// be replaced without a trace.
func (rel *relay) first() error {
	for rel.whole == 0 && !rel.ended {
		err := rel.fill()
		if err != nil {
			return err
		}
	}
	return nil
}

// Read returns bytes of whole events.
func (rel *relay) Read(dst []byte) (int, error) {
	for rel.out == rel.whole {
		if rel.ended {
			return 0, io.EOF
		}
		rel.compact()
		err := rel.fill()
		if err != nil {
			rel.Fail(err)
			return 0, err
		}
	}
	num := copy(dst, rel.buf[rel.out:rel.whole])
	rel.out += num
	return num, nil
}

// Close ends the answer. If its end was not read, the caller has left.
func (rel *relay) Close() error {
	err := error(nil)
	if !rel.ended || rel.out < rel.whole {
		err = errCallerGone
	}
	rel.Fail(err)
	return nil
}

// Fail ends the answer with err, once.
func (rel *relay) Fail(err error) {
	if rel.finish == nil {
		return
	}
	rel.leg.close()
	rel.finish(err, rel.events)
	rel.finish = nil
}

// compact drops what was handed on.
func (rel *relay) compact() {
	num := copy(rel.buf, rel.buf[rel.out:])
	rel.buf = rel.buf[:num]
	rel.out, rel.whole = 0, 0
}

// fill reads once from the server. If the server fails, it goes on at another.
func (rel *relay) fill() error {
	if len(rel.buf) == cap(rel.buf) {
		rel.buf = append(rel.buf, make([]byte, cap(rel.buf))...)[:len(rel.buf)]
	}
	num, err := rel.leg.body.Read(rel.buf[len(rel.buf):cap(rel.buf)])
	if num > 0 {
		rel.fwd.advanced(rel.cal, rel.leg.srv.ID)
		rel.grow(num)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		rel.ended = true
		rel.whole = len(rel.buf)
		rel.leg.close()
		return nil
	}
	return rel.resume(err)
}

// grow takes num new bytes and looks for the ends of events.
func (rel *relay) grow(num int) {
	from := max(rel.whole, len(rel.buf)-1)
	rel.buf = rel.buf[:len(rel.buf)+num]
	pos := bytes.LastIndex(rel.buf[from:], eventEnd)
	if pos < 0 {
		return
	}
	rel.leg.event(rel.cal.noteEvent(time.Now()))
	old := rel.whole
	rel.whole = from + pos + len(eventEnd)
	rel.events += bytes.Count(rel.buf[old:rel.whole], eventEnd)
	if rel.skip != "" {
		rel.dropSeen(old)
	}
	if id := lastID(rel.buf[old:rel.whole]); id != "" {
		rel.cal.lastEvent = id
	}
}

// dropSeen removes events that the caller has, up to the ID skip, from the
// part of the buffer that begins at old.
func (rel *relay) dropSeen(old int) {
	for old < rel.whole {
		end := old + bytes.Index(rel.buf[old:rel.whole], eventEnd) + len(eventEnd)
		id := lastID(rel.buf[old:end])
		if id == "" {
			return
		}
		if laterID(id, rel.skip) {
			rel.skip = ""
			return
		}
		rel.buf = append(rel.buf[:old], rel.buf[end:]...)
		rel.whole -= end - old
	}
}

var (
	eventEnd  = []byte("\n\n")
	eventID   = []byte("id:")
	eventLine = []byte("\nid:")
)

// lastID returns the ID of the last event of raw that has one, empty if none.
func lastID(raw []byte) string {
	pos := bytes.LastIndex(raw, eventLine)
	switch {
	case pos >= 0:
		raw = raw[pos+len(eventLine):]
	case bytes.HasPrefix(raw, eventID):
		raw = raw[len(eventID):]
	default:
		return ""
	}
	end := bytes.IndexByte(raw, '\n')
	if end < 0 {
		return ""
	}
	return string(bytes.TrimSpace(raw[:end]))
}

// laterID reports whether the decimal ID one comes after two.
func laterID(one, two string) bool {
	if len(one) != len(two) {
		return len(one) > len(two)
	}
	return one > two
}

// resume goes on at another server after the last whole event.
func (rel *relay) resume(cause error) error {
	cal := rel.cal
	rel.buf = rel.buf[:rel.whole]
	srv := rel.leg.srv
	rel.leg.close()
	if cal.ctx.Err() == nil {
		rel.fwd.failed(cal, srv, cause)
	}
	if !cal.route.Retryable() {
		return cause
	}
	err := rel.fwd.again(cal, srv, outcomeUnknown, cause)
	if err != nil {
		return err
	}
	led, err := rel.fwd.open(cal)
	if err != nil {
		return err
	}
	rel.leg = led
	if led.body.Status() != 200 {
		led.close()
		return core.Errorf(core.CodeCutAnswer, "resumed stream got status %d of %s", led.body.Status(), led.srv.ID)
	}
	rel.skip = cal.lastEvent
	rel.fwd.log.WithFields(logrus.Fields{
		"event": "stream_resumed", "request": cal.id, "server": led.srv.ID, "before": srv.ID, "after_event": cal.lastEvent,
	}).Info("stream goes on at another server")
	return nil
}
