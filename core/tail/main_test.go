package tail_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random interleavings unless a flag sets
// another.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(fl *flag.Flag) { given[fl.Name] = true })
	for name, val := range map[string]string{"rapid.seed": "4", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		err := flag.Set(name, val)
		if err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
