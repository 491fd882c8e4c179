package base_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests. Command-line flags override
// it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
