package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTracesAreAsGenerated holds the recorded traces against their generator,
// so that none is changed by hand to suit a policy.
func TestTracesAreAsGenerated(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "run", ".", "--generate", "--traces", dir).CombinedOutput()
	assert.NilError(t, err, string(out))
	paths, err := filepath.Glob(filepath.Join("testdata", "*.jsonl"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 10)
	for _, pth := range paths {
		want, err := os.ReadFile(filepath.Join(dir, filepath.Base(pth)))
		assert.NilError(t, err)
		got, err := os.ReadFile(pth)
		assert.NilError(t, err)
		assert.Assert(t, string(got) == string(want), "%s differs from what the generator writes", pth)
	}
}
