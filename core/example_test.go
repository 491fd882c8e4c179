package core_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// The result code and the retry delay survive wrapping.
func ExampleErrorf() {
	err := error(core.WithRetryAfter(core.Errorf(core.CodeQueueFull, "%d wait", 40), 2*time.Second))
	err = fmt.Errorf("completion: %w", err)
	code := core.CodeOf(err)
	fmt.Println(uint16(code), code.NotRun(), core.RetryAfterOf(err))
	fmt.Println(core.CodeOf(fmt.Errorf("no code")).NotRun())
	// Output:
	// 104 true 2s
	// false
}
