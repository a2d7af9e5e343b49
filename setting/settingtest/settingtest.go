// Package settingtest compares a program's flags with the operators' page.
package settingtest

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/setting"
)

// updateVariable names the environment variable that makes Compare rewrite the page.
const updateVariable = "UPDATE_DOCS"

// Compare requires the page to hold the program's settings table between its two
// markers, <!-- settings NAME --> and <!-- end -->.
func Compare(t *testing.T, page, name string, settings setting.Settings) {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	start := "<!-- settings " + name + " -->\n"
	before, rest, ok := strings.Cut(string(text), start)
	require.True(t, ok, "no marker for %s", name)
	have, after, ok := strings.Cut(rest, "<!-- end -->")
	require.True(t, ok, "no end marker for %s", name)
	want := setting.MarkdownTable(setting.NewParser(settings, name, ""))
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.WriteFile(page, []byte(before+start+want+"<!-- end -->"+after), 0o644))
		return
	}
	require.Equal(t, want, have, "run the test again with %s=1 to rewrite %s", updateVariable, page)
}
