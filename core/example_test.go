package core_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// An error keeps its result code however often it is wrapped.
func ExampleErrorf() {
	err := error(core.AfterError(core.Errorf(core.CodeQueueFull, "%d wait", 40), 2*time.Second))
	err = fmt.Errorf("completion: %w", err)
	cod := core.CodeOf(err)
	fmt.Println(uint16(cod), cod.NotRun(), core.AfterOf(err))
	fmt.Println(core.CodeOf(fmt.Errorf("no code")).NotRun())
	// Output:
	// 104 true 2s
	// false
}
