package rule_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/rule"
)

// TestFaults reads testdata/faults.txt: blocks separated by ---, each a rules
// file, a line ==, and the faults that are expected of it.
func TestFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.txt")
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

func TestExamplesHaveNoFaults(t *testing.T) {
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
