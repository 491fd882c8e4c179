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
	given := map[string]bool{}
	flag.Visit(func(flg *flag.Flag) { given[flg.Name] = true })
	for nam, val := range map[string]string{"rapid.seed": "4", "rapid.nofailfile": "true"} {
		if given[nam] {
			continue
		}
		err := flag.Set(nam, val)
		if err != nil {
			panic(err)
		}
	}
	os.Exit(man.Run())
}
