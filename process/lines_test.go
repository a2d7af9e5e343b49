package process_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
)

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	w := process.NewLineWriter(&out)
	logger := process.NewLineLogger(w, "entry", "n1")
	require.NoError(t, logger.Log("event", "start"))
	require.NoError(t, logger.Log("event", "stop"))
	w.Close()
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "program=entry node=n1 event=stop\n")
}

// TestBlockedReaderBlocksNobody logs far more than fits while nobody reads: each call
// returns, and the lines that were dropped are counted.
func TestBlockedReaderBlocksNobody(t *testing.T) {
	in, out := io.Pipe()
	w := process.NewLineWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4096 {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Len(t, line, n)
	}
	require.Positive(t, w.Dropped())
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(in) // ends with the pipe
		read <- string(text)
	}()
	w.Close()
	require.NoError(t, out.Close())
	require.Contains(t, <-read, "event=log_lines_dropped count=")
}
