package process_test

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
)

// TestAsyncLogWriterWritesLines closes the writer directly after two log calls. Close must
// write the lines that are still queued.
func TestAsyncLogWriterWritesLines(t *testing.T) {
	var out bytes.Buffer
	w := process.NewAsyncLogWriter(&out)
	logger := process.NewAsyncLogger(w, "entry", "n1")
	require.NoError(t, logger.Log("event", "start"))
	require.NoError(t, logger.Log("event", "stop"))
	w.Close()
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "program=entry node=n1 event=stop\n")
}

// TestBlockedLogReaderDoesNotBlockWrites writes far more than the queue holds while the
// log is not read. Every Write must return, and once the log is read, every line must
// have been written or counted as dropped.
func TestBlockedLogReaderDoesNotBlockWrites(t *testing.T) {
	const lines = 4096
	in, out := io.Pipe()
	w := process.NewAsyncLogWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range lines {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Len(t, line, n)
	}
	var written, dropped atomic.Int64
	go func() {
		for scanner := bufio.NewScanner(in); scanner.Scan(); { // ends when the pipe is closed
			if n, ok := strings.CutPrefix(scanner.Text(), "event=log_lines_dropped count="); ok {
				count, err := strconv.ParseInt(n, 10, 64)
				if err != nil {
					t.Errorf("count of dropped lines: %v", err)
				}
				dropped.Add(count)
			} else {
				written.Add(1)
			}
		}
	}()
	require.Eventually(t, func() bool { return written.Load()+dropped.Load() == lines }, 30*time.Second, time.Millisecond)
	require.Positive(t, dropped.Load())
	require.Zero(t, w.Dropped(), "the counter was not reset when its value was written")
	w.Close()
	require.NoError(t, out.Close())
}

// TestFullLogLosesLastLines fills the queue while the log is not read. The lines that tell how the process has
// ended are written last and must be kept.
func TestFullLogLosesLastLines(t *testing.T) {
	in, out := io.Pipe()
	w := process.NewAsyncLogWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4096 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	_, err := w.Write([]byte("event=exit\n"))
	require.NoError(t, err)
	text := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(in) // ends when the pipe is closed
		text <- string(all)
	}()
	w.Close()
	require.NoError(t, out.Close())
	require.True(t, strings.HasSuffix(<-text, "\nevent=exit\n"))
}
