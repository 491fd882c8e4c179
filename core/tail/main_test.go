package tail_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random interleavings unless the command line
// names another.
func TestMain(man *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		err := flag.Set("rapid.seed", "4")
		if err != nil {
			panic(err)
		}
	}
	os.Exit(man.Run())
}
