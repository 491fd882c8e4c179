package serve

import (
	"time"

	"kumquathinge/core"
)

// resultError returns nil for core.CodeOK and else an error with the code and the
// time after which a retry may succeed.
func resultError(code core.Code, after time.Duration, detail string) error {
	if code == core.CodeOK {
		return nil
	}
	return core.WithRetryAfter(core.Errorf(code, "%s", detail), after)
}
