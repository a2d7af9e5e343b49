package rule_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/rule"
)

// TestParseErrors runs the cases of testdata/errors.txt. Cases are separated by ---;
// each is a rules file, a line ==, and the errors that parsing it must report.
func TestParseErrors(t *testing.T) {
	data, err := os.ReadFile("testdata/errors.txt")
	require.NoError(t, err)
	for _, block := range strings.Split(string(data), "---\n") {
		text, want, found := strings.Cut(block, "==\n")
		require.True(t, found, block)
		_, err := rule.Parse("rules", text)
		got := ""
		if err != nil {
			got = err.Error()
		}
		require.Equal(t, strings.TrimSpace(want), got, text)
	}
}

// TestExamplesAreValid parses the rules files of the example deployments.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.rules")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		_, err = rule.Parse(f, string(text))
		require.NoError(t, err)
	}
}
