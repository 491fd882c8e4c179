package entry

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// logQueueSize is the number of lines that wait for the writer. At some 200
	// bytes a line they take a few megabytes.
	logQueueSize = 8192
	// logFlushDelay is the time for which lines are gathered, so that few system
	// calls write them.
	logFlushDelay = 50 * time.Millisecond
	// logBatchSize is the size at which gathered lines are written at once, in
	// bytes: a pipe takes a page whole or not at all.
	logBatchSize = 4 << 10
)

// logWriter hands lines to a task that writes them. It never blocks: a line
// that finds the buffer full is dropped and counted.
type logWriter struct {
	lines  chan []byte
	out    io.Writer
	onDrop func()
}

// newLogger returns a logger of the node whose lines go to out through the
// writer.
func newLogger(out io.Writer, node string, drop func()) (*logrus.Logger, *logWriter) {
	writer := &logWriter{lines: make(chan []byte, logQueueSize), out: out, onDrop: drop}
	log := logrus.New()
	log.SetOutput(writer)
	log.SetFormatter(&nodeFormatter{
		text:   logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		suffix: []byte(" node=" + node + "\n"),
	})
	return log, writer
}

// nodeFormatter ends each line with the name of the node, so that lines of several
// nodes can be told apart.
type nodeFormatter struct {
	text   logrus.TextFormatter
	suffix []byte
}

// Format implements logrus.Formatter.
func (formatter *nodeFormatter) Format(logEntry *logrus.Entry) ([]byte, error) {
	out, err := formatter.text.Format(logEntry)
	if err != nil {
		return nil, err
	}
	return append(bytes.TrimSuffix(out, []byte("\n")), formatter.suffix...), nil
}

// Write queues one line.
func (writer *logWriter) Write(line []byte) (int, error) {
	dup := append([]byte(nil), line...)
	select {
	case writer.lines <- dup:
	default:
		writer.onDrop()
	}
	return len(line), nil
}

// run writes lines until ctx ends, and then those that are left.
func (writer *logWriter) run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			writer.flush(writer.drain(buf))
			return nil
		case line := <-writer.lines:
			buf = append(buf[:0], line...)
			sleep(ctx, logFlushDelay)
			writer.flush(writer.drain(buf))
			buf = buf[:0]
		}
	}
}

// drain appends the lines that wait to buf.
func (writer *logWriter) drain(buf []byte) []byte {
	for {
		select {
		case line := <-writer.lines:
			if len(buf)+len(line) > logBatchSize {
				writer.flush(buf)
				buf = buf[:0]
			}
			buf = append(buf, line...)
		default:
			return buf
		}
	}
}

// flush writes buf. A standard output that is gone leaves nobody to tell.
func (writer *logWriter) flush(buf []byte) {
	if len(buf) > 0 {
		_, _ = writer.out.Write(buf)
	}
}
