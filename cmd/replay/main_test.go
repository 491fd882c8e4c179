package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTracesAreAsGenerated compares the stored traces with the generator's
// output, so that no trace is edited by hand in favour of a policy.
func TestTracesAreAsGenerated(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "run", ".", "--generate", "--traces", dir).CombinedOutput()
	assert.NilError(t, err, string(out))
	paths, err := filepath.Glob(filepath.Join("testdata", "*.jsonl"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 10)
	for _, path := range paths {
		want, err := os.ReadFile(filepath.Join(dir, filepath.Base(path)))
		assert.NilError(t, err)
		got, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, string(got) == string(want), "%s differs from the generated trace", path)
	}
}
