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
	sectionLine = regexp.MustCompile("^## `([a-z/]+)`$")
	packageRow  = regexp.MustCompile("^\\| `([a-z/]+)` \\| [^|]+ \\| (yes|no|by interface) \\|$")
)

// packages returns the folders of the module's packages, with the paths of
// their test files.
func packages(t *testing.T) map[string][]string {
	t.Helper()
	root := os.DirFS("..")
	tests := map[string][]string{}
	found := map[string][]string{}
	err := fs.WalkDir(root, ".", func(pth string, ent fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if ent.IsDir() {
			_, err := fs.Stat(root, pth+"/go.mod")
			if pth != "." && (strings.HasPrefix(ent.Name(), ".") || ent.Name() == "testdata" || err == nil) {
				return fs.SkipDir
			}
			return nil
		}
		dir := filepath.Dir(pth)
		switch {
		case strings.HasSuffix(pth, "_test.go"):
			tests[dir] = append(tests[dir], filepath.Join("..", pth))
		case strings.HasSuffix(pth, ".go"):
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

// examples returns the bodies of the package's example tests with a stated
// output, without their indentation.
func examples(t *testing.T, files []string) []string {
	t.Helper()
	var out []string
	for _, pth := range files {
		src, err := os.ReadFile(pth)
		assert.NilError(t, err)
		set := token.NewFileSet()
		fil, err := parser.ParseFile(set, pth, src, parser.ParseComments)
		assert.NilError(t, err)
		for _, dec := range fil.Decls {
			fun, ok := dec.(*ast.FuncDecl)
			if !ok || fun.Recv != nil || !strings.HasPrefix(fun.Name.Name, "Example") {
				continue
			}
			body := string(src[set.Position(fun.Body.Lbrace).Offset+1 : set.Position(fun.Body.Rbrace).Offset])
			if strings.Contains(body, "// Output:") {
				out = append(out, strings.ReplaceAll(body, "\n\t", "\n"))
			}
		}
	}
	return out
}

// TestEmbeddingPage holds each snippet of the page on embedding against the
// examples of its section's package.
func TestEmbeddingPage(t *testing.T) {
	data, err := os.ReadFile("../docs/EMBEDDING.md")
	assert.NilError(t, err)
	dirs := packages(t)
	snippets := map[string]int{}
	for _, sec := range strings.Split("\n"+string(data), "\n## ")[1:] {
		head, text, _ := strings.Cut(sec, "\n")
		parts := strings.Split(text, "```go")[1:]
		name := sectionLine.FindStringSubmatch("## " + head)
		if name == nil {
			assert.Equal(t, len(parts), 0, "a snippet in section %q, which is of no package", head)
			continue
		}
		exas := examples(t, dirs[name[1]])
		for _, part := range parts {
			body, _, closed := strings.Cut(part, "```")
			assert.Assert(t, closed, "%s", head)
			assert.Assert(t, slices.Contains(exas, body), "no example of %s has the body:%s", name[1], body)
			snippets[name[1]]++
		}
	}
	for _, pkg := range []string{
		"core", "core/recd", "core/tree", "core/fold", "core/tail", "store", "core/gate", "core/membr", "core/order",
		"core/repair", "core/flight", "core/once", "core/crash", "core/admit", "core/route", "queue", "serve",
	} {
		assert.Assert(t, snippets[pkg] > 0, "no snippet of %s", pkg)
	}
}

// TestLayoutPage holds the table of packages against the tree.
func TestLayoutPage(t *testing.T) {
	data, err := os.ReadFile("../docs/LAYOUT.md")
	assert.NilError(t, err)
	var rows []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| `") {
			row := packageRow.FindStringSubmatch(line)
			assert.Assert(t, row != nil, "row %q", line)
			rows = append(rows, row[1])
		}
	}
	slices.Sort(rows)
	var dirs []string
	for dir := range packages(t) {
		dirs = append(dirs, dir)
	}
	slices.Sort(dirs)
	assert.DeepEqual(t, rows, dirs)
}
