package node

import (
	"fmt"
	"log"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// maxServerLineBytes limits how much of a server's error is logged, because it
// may quote what a client sent.
const maxServerLineBytes = 200

// serverLog writes the errors of an HTTP server, for example a failed
// handshake, to the node's log.
type serverLog struct {
	log    *logrus.Logger
	server string
}

var _ fasthttp.Logger = serverLog{}

// Printf logs one error.
func (logger serverLog) Printf(format string, args ...any) {
	text := strings.TrimSpace(fmt.Sprintf(format, args...))
	if len(text) > maxServerLineBytes {
		text = text[:maxServerLineBytes] + "..."
	}
	logger.log.WithFields(logrus.Fields{"event": "connection", "server": logger.server, "error": strings.ToValidUTF8(text, "?")}).
		Warn("HTTP server error")
}

// Write logs one line of the standard library's logger.
func (logger serverLog) Write(line []byte) (int, error) {
	logger.Printf("%s", line)
	return len(line), nil
}

// stdLogger returns a logger of the standard library that writes to this log.
func (logger serverLog) stdLogger() *log.Logger { return log.New(logger, "", 0) }
