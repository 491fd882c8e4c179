package serve

import (
	"time"

	"kumquathinge/core"
)

// resultError returns an error with the code and the retry delay, or nil for
// core.CodeOK.
func resultError(code core.Code, after time.Duration, detail string) error {
	if code == core.CodeOK {
		return nil
	}
	return core.WithRetryAfter(core.Errorf(code, "%s", detail), after)
}
