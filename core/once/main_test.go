package once_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of property checks, unless
// command-line flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, val := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, val)
		}
	}
	os.Exit(m.Run())
}
