package repair_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests unless the command line gives
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "70")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
