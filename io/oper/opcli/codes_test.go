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

// codesOf returns the names and numbers of the constants of type Code.
func codesOf(t *testing.T) map[string]core.Code {
	t.Helper()
	fil, err := parser.ParseFile(token.NewFileSet(), codeFile, nil, 0)
	assert.NilError(t, err)
	out := make(map[string]core.Code)
	ast.Inspect(fil, func(nod ast.Node) bool {
		spc, ok := nod.(*ast.ValueSpec)
		if !ok || len(spc.Values) != 1 || !strings.HasPrefix(spc.Names[0].Name, "Code") {
			return true
		}
		lit, ok := spc.Values[0].(*ast.BasicLit)
		assert.Assert(t, ok, spc.Names[0].Name)
		num, err := strconv.Atoi(lit.Value)
		assert.NilError(t, err)
		out[strings.TrimPrefix(spc.Names[0].Name, "Code")] = core.Code(num)
		return true
	})
	return out
}

// TestCodes holds the constants, the explanations and the document together.
func TestCodes(t *testing.T) {
	want := codesOf(t)
	assert.Assert(t, len(want) > 0)
	doc, err := os.ReadFile(codeDoc)
	assert.NilError(t, err)
	var rows int
	for _, lin := range strings.Split(string(doc), "\n") {
		if strings.HasPrefix(lin, "| ") && !strings.HasPrefix(lin, "| code") {
			rows++
		}
	}
	assert.Equal(t, rows, len(want))
	seen := core.NewSet[core.Code]()
	for _, inf := range opcli.CodeInfos() {
		assert.Equal(t, inf.Code, want[inf.Name], inf.Name)
		assert.Assert(t, !seen.Has(inf.Code) && inf.Meaning != "" && inf.Action != "", inf.Name)
		seen.Add(inf.Code)
		row := fmt.Sprintf("\n| %d | %s | %d | %s | %s |\n", inf.Code, inf.Name, opcli.ExitCode(inf.Code), inf.Meaning, inf.Action)
		assert.Assert(t, strings.Contains(string(doc), row), "missing in %s:%s", codeDoc, row)
	}
	assert.Equal(t, seen.Len(), len(want))
}

func TestExitCode(t *testing.T) {
	for cod, want := range map[core.Code]int{
		core.CodeOK: 0, core.CodeBadRequest: 10, core.CodeUnknownOutcome: 20, core.CodeSettingRaced: 30,
		core.CodeLogDown: 40, core.CodeRuleUnknown: 50, core.CodeStopBound: 60,
	} {
		assert.Equal(t, opcli.ExitCode(cod), want)
	}
}
