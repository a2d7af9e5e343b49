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

// skipped folders hold no metrics of the router's programs.
var skipped = map[string]bool{"standin": true, "bench": true, "ragworttest": true, "wire": true, "tools": true, ".git": true, "bin": true, "out": true}

// TestOperatorsPageNamesEveryReasonAndMetric collects the refusal reasons and the
// names of metrics from the source. A metric whose name ends in a variable must
// stand in the page as `prefix_<...>`.
func TestOperatorsPageNamesEveryReasonAndMetric(t *testing.T) {
	page, err := os.ReadFile("OPERATORS.md")
	require.NoError(t, err)
	names := make(map[string]string)
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && skipped[d.Name()]:
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			return collect(path, names)
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, len(names), 20, "the search found too little to be working")
	var missing []string
	for name, where := range names {
		if !strings.Contains(string(page), "`"+name) {
			missing = append(missing, name+" at "+where)
		}
	}
	slices.Sort(missing)
	require.Empty(t, missing, "names without a row in OPERATORS.md")
}

// collect notes the reasons and metrics of one file.
func collect(path string, names map[string]string) error {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		name := ""
		switch n := n.(type) {
		case *ast.ValueSpec:
			name = reason(n)
		case *ast.CallExpr:
			name = metric(n)
		}
		if name != "" {
			names[name] = set.Position(n.Pos()).String()
		}
		return true
	})
	return nil
}

// reason returns the text of a constant of type Reason.
func reason(v *ast.ValueSpec) string {
	if typ, ok := v.Type.(*ast.Ident); !ok || typ.Name != "Reason" || len(v.Values) != 1 {
		return ""
	}
	return literal(v.Values[0])
}

// metric returns the name of the metric that a call counts or registers.
func metric(c *ast.CallExpr) string {
	called := ""
	switch f := c.Fun.(type) {
	case *ast.Ident:
		called = f.Name
	case *ast.SelectorExpr:
		called = f.Sel.Name
	}
	if called != "count" && called != "add" && !strings.HasPrefix(called, "GetOrRegister") || len(c.Args) == 0 {
		return ""
	}
	first, whole := c.Args[0], true
	for sum, ok := first.(*ast.BinaryExpr); ok; sum, ok = first.(*ast.BinaryExpr) {
		first, whole = sum.X, false
	}
	name := literal(first)
	if name == "" || whole {
		return name
	}
	return name + "<"
}

func literal(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return text
}

// TestRulesReferenceHasNoFaults reads the examples of the operators' page.
func TestRulesReferenceHasNoFaults(t *testing.T) {
	page, err := os.ReadFile("OPERATORS.md")
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(page), "```rules\n")
	require.True(t, ok)
	text, _, ok := strings.Cut(rest, "```")
	require.True(t, ok)
	_, err = rule.Parse("rules", text)
	require.NoError(t, err)
}
