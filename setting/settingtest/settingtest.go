// Package settingtest checks that the operators' manual documents a program's flags.
package settingtest

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/setting"
)

// updateDocsEnv is the environment variable that makes Compare rewrite the page.
const updateDocsEnv = "UPDATE_DOCS"

// Compare requires that the page contains the program's settings table between the
// markers <!-- settings NAME --> and <!-- end -->.
func Compare(t *testing.T, page, name string, settings setting.Settings) {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	start := "<!-- settings " + name + " -->\n"
	before, rest, ok := strings.Cut(string(text), start)
	require.True(t, ok, "%s has no marker <!-- settings %s -->", page, name)
	have, after, ok := strings.Cut(rest, "<!-- end -->")
	require.True(t, ok, "%s has no <!-- end --> marker after the settings of %s", page, name)
	want := setting.MarkdownTable(setting.NewParser(settings, name, ""))
	if os.Getenv(updateDocsEnv) != "" {
		require.NoError(t, os.WriteFile(page, []byte(before+start+want+"<!-- end -->"+after), 0o644))
		return
	}
	require.Equal(t, want, have, "run the test again with %s=1 to rewrite %s", updateDocsEnv, page)
}
