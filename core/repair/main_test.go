package repair_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomised tests unless one is given on the
// command line.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "70")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
