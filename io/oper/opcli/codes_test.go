package opcli_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/oper/opcli"
)

const (
	codeFile = "../../../core/code.go"
	codeDoc  = "../../../docs/RESULT-CODES.md"
)

// parseCodes returns the numbers of the Code constants in the source of package
// core, by name without the prefix.
func parseCodes(t *testing.T) map[string]core.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), codeFile, nil, 0)
	assert.NilError(t, err)
	out := make(map[string]core.Code)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Code") {
			return true
		}
		lit, ok := spec.Values[0].(*ast.BasicLit)
		assert.Assert(t, ok, spec.Names[0].Name)
		n, err := strconv.Atoi(lit.Value)
		assert.NilError(t, err)
		out[strings.TrimPrefix(spec.Names[0].Name, "Code")] = core.Code(n)
		return true
	})
	return out
}

// TestCodes checks that the constants, their explanations and
// docs/RESULT-CODES.md agree.
func TestCodes(t *testing.T) {
	want := parseCodes(t)
	assert.Assert(t, len(want) > 0)
	doc, err := os.ReadFile(codeDoc)
	assert.NilError(t, err)
	var rows int
	for _, line := range strings.Split(string(doc), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") {
			rows++
		}
	}
	assert.Equal(t, rows, len(want))
	seen := core.NewSet[core.Code]()
	for _, info := range opcli.CodeInfos() {
		assert.Equal(t, info.Code, want[info.Name], info.Name)
		assert.Assert(t, !seen.Has(info.Code) && info.Meaning != "" && info.Action != "", info.Name)
		seen.Add(info.Code)
		row := fmt.Sprintf("\n| %d | %s | %d | %s | %s |\n", info.Code, info.Name, opcli.ExitCode(info.Code), info.Meaning, info.Action)
		assert.Assert(t, strings.Contains(string(doc), row), "missing in %s:%s", codeDoc, row)
	}
	assert.Equal(t, seen.Len(), len(want))
}

func TestExitCode(t *testing.T) {
	for code, want := range map[core.Code]int{
		core.CodeOK: 0, core.CodeBadRequest: 10, core.CodeUnknownOutcome: 20, core.CodeSettingRaced: 30,
		core.CodeLogDown: 40, core.CodeRuleUnknown: 50, core.CodeStopBound: 60,
	} {
		assert.Equal(t, opcli.ExitCode(code), want)
	}
}
