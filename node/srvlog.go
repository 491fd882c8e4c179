package node

import (
	"fmt"
	"log"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// maxServerLineBytes bounds what is logged of a server's complaint, in bytes: it
// may quote what a stranger sent.
const maxServerLineBytes = 200

// serverLog writes what an HTTP server complains of, for example a failed
// handshake, as events of the node's log.
type serverLog struct {
	log    *logrus.Logger
	server string
}

var _ fasthttp.Logger = serverLog{}

// Printf logs one complaint.
func (logger serverLog) Printf(format string, args ...any) {
	text := strings.TrimSpace(fmt.Sprintf(format, args...))
	if len(text) > maxServerLineBytes {
		text = text[:maxServerLineBytes] + "..."
	}
	logger.log.WithFields(logrus.Fields{"event": "connection", "server": logger.server, "error": strings.ToValidUTF8(text, "?")}).
		Warn("connection not served")
}

// Write logs one line of the standard library's logger.
func (logger serverLog) Write(line []byte) (int, error) {
	logger.Printf("%s", line)
	return len(line), nil
}

// stdLogger returns slg as the standard library's logger.
func (logger serverLog) stdLogger() *log.Logger { return log.New(logger, "", 0) }
