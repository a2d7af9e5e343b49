package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplainFromLogs explains a request with lines in two log files, one of which has an
// incomplete last line. The lines must be merged by time. A request without lines must be
// reported as unknown.
func TestExplainFromLogs(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := write("a.log", "ts=1 node=a event=config_in_force config=3\nts=4 node=a request=rq event=refused reason=leaving\nts=5 x=\"torn\n")
	second := write("b.log", "ts=2 node=b request=rq event=sent upstream=i-1\nts=3 node=b event=start\n")
	var out bytes.Buffer
	c := &explainCommand{Request: "rq", Logs: []string{first, second}}
	require.NoError(t, c.Run(&commandEnv{out: &out}))
	require.Equal(t, []string{
		"[ts=1 node=a event=config_in_force config=3]", "ts=2 node=b request=rq event=sent upstream=i-1",
		"[ts=3 node=b event=start]", "ts=4 node=a request=rq event=refused reason=leaving", "",
	}, strings.Split(out.String(), "\n"))

	c.Request = "other"
	var unknownRequest *unknownRequestError
	require.ErrorAs(t, c.Run(&commandEnv{out: &out}), &unknownRequest)
}
