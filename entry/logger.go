package entry

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// logLines is the number of lines that wait for the writer. At some 200
	// bytes a line they take a few megabytes.
	logLines = 8192
	// logPause is the time for which lines are gathered, so that few system
	// calls write them.
	logPause = 50 * time.Millisecond
	// logBatch is the size at which gathered lines are written at once, in
	// bytes: a pipe takes a page whole or not at all.
	logBatch = 4 << 10
)

// logWriter hands lines to a task that writes them. It never blocks: a line
// that finds the buffer full is dropped and counted.
type logWriter struct {
	lines chan []byte
	out   io.Writer
	drop  func()
}

// newLogger returns a logger of the node whose lines go to out through the
// writer.
func newLogger(out io.Writer, node string, drop func()) (*logrus.Logger, *logWriter) {
	wtr := &logWriter{lines: make(chan []byte, logLines), out: out, drop: drop}
	log := logrus.New()
	log.SetOutput(wtr)
	log.SetFormatter(&formatter{
		text: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		tail: []byte(" node=" + node + "\n"),
	})
	return log, wtr
}

// formatter ends each line with the name of the node, so that lines of several
// nodes can be told apart.
type formatter struct {
	text logrus.TextFormatter
	tail []byte
}

// Format implements logrus.Formatter.
func (fmr *formatter) Format(ent *logrus.Entry) ([]byte, error) {
	out, err := fmr.text.Format(ent)
	if err != nil {
		return nil, err
	}
	return append(bytes.TrimSuffix(out, []byte("\n")), fmr.tail...), nil
}

// Write queues one line.
func (wtr *logWriter) Write(line []byte) (int, error) {
	cpy := append([]byte(nil), line...)
	select {
	case wtr.lines <- cpy:
	default:
		wtr.drop()
	}
	return len(line), nil
}

// run writes lines until ctx ends, and then those that are left.
func (wtr *logWriter) run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			wtr.flush(wtr.gather(buf))
			return nil
		case line := <-wtr.lines:
			buf = append(buf[:0], line...)
			sleep(ctx, logPause)
			wtr.flush(wtr.gather(buf))
			buf = buf[:0]
		}
	}
}

// gather appends the lines that wait to buf.
func (wtr *logWriter) gather(buf []byte) []byte {
	for {
		select {
		case line := <-wtr.lines:
			if len(buf)+len(line) > logBatch {
				wtr.flush(buf)
				buf = buf[:0]
			}
			buf = append(buf, line...)
		default:
			return buf
		}
	}
}

// flush writes buf. A standard output that is gone leaves nobody to tell.
func (wtr *logWriter) flush(buf []byte) {
	if len(buf) > 0 {
		_, _ = wtr.out.Write(buf)
	}
}
