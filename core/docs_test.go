package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	packageHeading  = regexp.MustCompile("^## `([a-z/]+)`$")
	packageTableRow = regexp.MustCompile("^\\| `([a-z/]+)` \\| [^|]+ \\| (yes|no|by interface) \\|$")
)

// testFilesByPackage returns the paths of the test files of each package of
// the module, keyed by the package's directory.
func testFilesByPackage(t *testing.T) map[string][]string {
	t.Helper()
	root := os.DirFS("..")
	tests := map[string][]string{}
	found := map[string][]string{}
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			_, err := fs.Stat(root, path+"/go.mod")
			if path != "." && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata" || err == nil) {
				return fs.SkipDir
			}
			return nil
		}
		dir := filepath.Dir(path)
		switch {
		case strings.HasSuffix(path, "_test.go"):
			tests[dir] = append(tests[dir], filepath.Join("..", path))
		case strings.HasSuffix(path, ".go"):
			found[dir] = nil
		}
		return nil
	})
	assert.NilError(t, err)
	for dir := range found {
		found[dir] = tests[dir]
	}
	return found
}

// exampleBodies returns the bodies of the package's examples that declare an
// output, without their indentation.
func exampleBodies(t *testing.T, files []string) []string {
	t.Helper()
	var out []string
	for _, path := range files {
		src, err := os.ReadFile(path)
		assert.NilError(t, err)
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, src, parser.ParseComments)
		assert.NilError(t, err)
		for _, decl := range file.Decls {
			fn, ok := decl.(*ast.FuncDecl)
			if !ok || fn.Recv != nil || !strings.HasPrefix(fn.Name.Name, "Example") {
				continue
			}
			body := string(src[fset.Position(fn.Body.Lbrace).Offset+1 : fset.Position(fn.Body.Rbrace).Offset])
			if strings.Contains(body, "// Output:") {
				out = append(out, strings.ReplaceAll(body, "\n\t", "\n"))
			}
		}
	}
	return out
}

// TestEmbeddingDoc checks that each snippet in docs/EMBEDDING.md is the body
// of an example in the package that its section describes.
func TestEmbeddingDoc(t *testing.T) {
	data, err := os.ReadFile("../docs/EMBEDDING.md")
	assert.NilError(t, err)
	dirs := testFilesByPackage(t)
	snippets := map[string]int{}
	for _, section := range strings.Split("\n"+string(data), "\n## ")[1:] {
		head, text, _ := strings.Cut(section, "\n")
		parts := strings.Split(text, "```go")[1:]
		heading := packageHeading.FindStringSubmatch("## " + head)
		if heading == nil {
			assert.Equal(t, len(parts), 0, "section %q has a snippet but names no package", head)
			continue
		}
		bodies := exampleBodies(t, dirs[heading[1]])
		for _, part := range parts {
			body, _, closed := strings.Cut(part, "```")
			assert.Assert(t, closed, "unterminated snippet in section %q", head)
			assert.Assert(t, slices.Contains(bodies, body), "no example in %s has the body:%s", heading[1], body)
			snippets[heading[1]]++
		}
	}
	for _, pkg := range []string{
		"core", "core/recd", "core/tree", "core/fold", "core/tail", "store", "core/gate", "core/membr", "core/order",
		"core/repair", "core/flight", "core/once", "core/crash", "core/admit", "core/route", "queue", "serve",
	} {
		assert.Assert(t, snippets[pkg] > 0, "no snippet for %s", pkg)
	}
}

// TestLayoutDoc checks that the package table in docs/LAYOUT.md lists exactly
// the packages of the module.
func TestLayoutDoc(t *testing.T) {
	data, err := os.ReadFile("../docs/LAYOUT.md")
	assert.NilError(t, err)
	var rows []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| `") {
			row := packageTableRow.FindStringSubmatch(line)
			assert.Assert(t, row != nil, "malformed row %q", line)
			rows = append(rows, row[1])
		}
	}
	slices.Sort(rows)
	var dirs []string
	for dir := range testFilesByPackage(t) {
		dirs = append(dirs, dir)
	}
	slices.Sort(dirs)
	assert.DeepEqual(t, rows, dirs)
}
