package serve

import (
	"errors"
	"time"

	"kumquathinge/core"
)

// failure is a result code with the time after which a retry may succeed.
type failure struct {
	err   *core.Error
	after time.Duration
}

var _ error = (*failure)(nil)

// Error returns the code and the detail.
func (fai *failure) Error() string { return fai.err.Error() }

// Unwrap returns the error with the code.
func (fai *failure) Unwrap() error { return fai.err }

// After returns the time after which a retry may succeed, zero if err does not
// tell.
func After(err error) time.Duration {
	var fai *failure
	if errors.As(err, &fai) {
		return fai.after
	}
	return 0
}

// fail returns nil for core.CodeOK and else an error with the code.
func fail(code core.Code, after time.Duration, detail string) error {
	if code == core.CodeOK {
		return nil
	}
	return &failure{err: core.Errorf(code, "%s", detail), after: after}
}
