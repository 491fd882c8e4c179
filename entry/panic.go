package entry

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
)

// errPanicked ends a request whose handling panicked. Whether it ran is unknown.
var errPanicked = core.Errorf(core.CodeUnknownOutcome, "an internal error ended the request")

// recoverPanic, if deferred, ends a panic of the named task, logs and counts it,
// and calls onPanic, which may be nil. One request, record or datagram that
// causes an unexpected error then doesn't end the process.
func recoverPanic(log *logrus.Logger, metrics *nodeMetrics, task string, onPanic func()) {
	cause := recover()
	if cause == nil {
		return
	}
	metrics.panics.Inc()
	log.WithFields(logrus.Fields{"event": "panic", "task": task, "cause": cause, "stack": string(debug.Stack())}).Error("recovered from an unexpected error")
	if onPanic != nil {
		onPanic()
	}
}
