package node

import (
	"fmt"
	"log"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// maxServerLine bounds what is logged of a server's complaint, in bytes: it
// may quote what a stranger sent.
const maxServerLine = 200

// serverLog writes what an HTTP server complains of, for example a failed
// handshake, as events of the node's log.
type serverLog struct {
	log    *logrus.Logger
	server string
}

var _ fasthttp.Logger = serverLog{}

// Printf logs one complaint.
func (slg serverLog) Printf(format string, args ...any) {
	txt := strings.TrimSpace(fmt.Sprintf(format, args...))
	if len(txt) > maxServerLine {
		txt = txt[:maxServerLine] + "..."
	}
	slg.log.WithFields(logrus.Fields{"event": "connection", "server": slg.server, "error": strings.ToValidUTF8(txt, "?")}).
		Warn("connection not served")
}

// Write logs one line of the standard library's logger.
func (slg serverLog) Write(lin []byte) (int, error) {
	slg.Printf("%s", lin)
	return len(lin), nil
}

// standard returns slg as the standard library's logger.
func (slg serverLog) standard() *log.Logger { return log.New(slg, "", 0) }
