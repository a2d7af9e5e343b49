package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/rule"
)

// skippedDirs names directories, at any depth, that define no reasons or metrics of
// the router's programs.
var skippedDirs = map[string]bool{"standin": true, "bench": true, "ragworttest": true, "wire": true, "tools": true, ".git": true, "bin": true, "out": true}

// TestOperatorsPageNamesEveryReasonAndMetric checks that OPERATORS.md lists every
// constant of a type named Reason and every metric found in the source. A metric whose
// name is a literal prefix followed by a variable must be listed as `prefix_<...>`.
func TestOperatorsPageNamesEveryReasonAndMetric(t *testing.T) {
	page, err := os.ReadFile("OPERATORS.md")
	require.NoError(t, err)
	names := make(map[string]string)
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && skippedDirs[d.Name()]:
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			return collectNames(path, names)
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, len(names), 20, "too few reasons and metrics found; the source search is probably broken")
	var missing []string
	for name, position := range names {
		if !strings.Contains(string(page), "`"+name) {
			missing = append(missing, name+" at "+position)
		}
	}
	slices.Sort(missing)
	require.Empty(t, missing, "reasons and metrics missing from OPERATORS.md")
}

// collectNames adds the reasons and metric names in the Go file at path to names, which
// maps each to its position in the source.
func collectNames(path string, names map[string]string) error {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		name := ""
		switch n := n.(type) {
		case *ast.ValueSpec:
			name = reasonValue(n)
		case *ast.CallExpr:
			name = metricName(n)
		}
		if name != "" {
			names[name] = fset.Position(n.Pos()).String()
		}
		return true
	})
	return nil
}

// reasonValue returns the string value of a constant declared with type Reason, or ""
// for any other declaration.
func reasonValue(spec *ast.ValueSpec) string {
	if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "Reason" || len(spec.Values) != 1 {
		return ""
	}
	return stringLiteral(spec.Values[0])
}

// metricName returns the name of the metric that a call increments or registers, or ""
// for any other call. If the name is a concatenation, it returns the leading literal
// followed by "<".
func metricName(call *ast.CallExpr) string {
	funcName := ""
	switch f := call.Fun.(type) {
	case *ast.Ident:
		funcName = f.Name
	case *ast.SelectorExpr:
		funcName = f.Sel.Name
	}
	if funcName != "count" && funcName != "add" && !strings.HasPrefix(funcName, "GetOrRegister") || len(call.Args) == 0 {
		return ""
	}
	leftmost, isComplete := call.Args[0], true
	for concat, ok := leftmost.(*ast.BinaryExpr); ok; concat, ok = leftmost.(*ast.BinaryExpr) {
		leftmost, isComplete = concat.X, false
	}
	name := stringLiteral(leftmost)
	if name == "" || isComplete {
		return name
	}
	return name + "<"
}

// stringLiteral returns the value of a string literal, or "" for any other expression.
func stringLiteral(expr ast.Expr) string {
	lit, ok := expr.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return text
}

// TestRulesReferenceHasNoFaults checks that the first rules block in OPERATORS.md parses
// without errors.
func TestRulesReferenceHasNoFaults(t *testing.T) {
	page, err := os.ReadFile("OPERATORS.md")
	require.NoError(t, err)
	_, afterFence, ok := strings.Cut(string(page), "```rules\n")
	require.True(t, ok)
	rules, _, ok := strings.Cut(afterFence, "```")
	require.True(t, ok)
	_, err = rule.Parse("rules", rules)
	require.NoError(t, err)
}
