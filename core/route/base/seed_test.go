package base_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, which the command line may
// set to another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
