package entry

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// logQueueSize is the number of lines that can wait for the writer. At
	// about 200 bytes per line they take a few megabytes.
	logQueueSize = 8192
	// logFlushDelay is how long lines are batched, to reduce the number of
	// system calls.
	logFlushDelay = 50 * time.Millisecond
	// logBatchSize is the largest batch in bytes. A write of up to one page to
	// a pipe is atomic.
	logBatchSize = 4 << 10
	// logEndTimeout limits the time in which the last lines are written at the end of
	// the process.
	logEndTimeout = 200 * time.Millisecond
)

// logWriter is an io.Writer that queues lines for a goroutine that writes them.
// It never blocks: if the queue is full, the line is dropped and onDrop is
// called.
type logWriter struct {
	lines  chan []byte
	out    io.Writer
	onDrop func()
}

// newLogger returns a logger for the node and the logWriter through which its
// lines are written to out.
func newLogger(out io.Writer, node string, onDrop func()) (*logrus.Logger, *logWriter) {
	writer := &logWriter{lines: make(chan []byte, logQueueSize), out: out, onDrop: onDrop}
	log := logrus.New()
	log.SetOutput(writer)
	log.SetFormatter(&nodeFormatter{
		text:   logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		suffix: []byte(" node=" + node + "\n"),
	})
	return log, writer
}

// nodeFormatter appends the name of the node to each line, to distinguish the
// lines of several nodes.
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

// run writes lines until ctx is done, and then the lines that are still queued. It does
// not wait longer than logEndTimeout for an output that does not take them.
func (writer *logWriter) run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		writer.writeLines(ctx)
	}()
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(logEndTimeout):
		writer.onDrop()
	}
	return nil
}

// writeLines writes lines until ctx is done, and then the lines that are still queued.
func (writer *logWriter) writeLines(ctx context.Context) {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			writer.flush(writer.drain(buf))
			return
		case line := <-writer.lines:
			buf = append(buf[:0], line...)
			sleep(ctx, logFlushDelay)
			writer.flush(writer.drain(buf))
			buf = buf[:0]
		}
	}
}

// drain appends the queued lines to buf. It flushes buf whenever the next line
// would exceed logBatchSize.
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

// flush writes buf. Errors are ignored: if the log output fails, there is no
// place to report it.
func (writer *logWriter) flush(buf []byte) {
	if len(buf) > 0 {
		_, _ = writer.out.Write(buf)
	}
}
