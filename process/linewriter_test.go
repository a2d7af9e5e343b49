package process

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLogGoesOnWithNewReader lets the reader of a named pipe go away and another come. No write may fail,
// the lost lines must be counted, and the new reader must be told how many are missing.
func TestLogGoesOnWithNewReader(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	openReader := func() *os.File {
		reader, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
		require.NoError(t, err)
		return reader
	}
	first := openReader()
	out, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	w := &lineWriter{out: out}
	write := func(line string) {
		n, err := w.Write([]byte(line))
		require.NoError(t, err)
		require.Len(t, line, n)
	}
	write("event=a\n")
	_, err = io.ReadFull(first, make([]byte, len("event=a\n")))
	require.NoError(t, err)
	require.NoError(t, first.Close())
	before := lostLines.Count()
	write("event=b\n")
	write("event=c\nevent=d\n")
	require.Equal(t, int64(3), lostLines.Count()-before)
	second := openReader()
	write("event=e\n")
	write("event=f\n")
	require.NoError(t, out.Close())
	text, err := io.ReadAll(second)
	require.NoError(t, err)
	require.Equal(t, "event=log_lines_lost count=3\nevent=e\nevent=f\n", string(text))
}

// tornWriter writes at most room bytes.
type tornWriter struct {
	strings.Builder
	room int
}

func (w *tornWriter) Write(p []byte) (int, error) {
	n, err := w.Builder.Write(p[:min(len(p), w.room)])
	w.room -= n
	if n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

// TestTornLogLines fills a disk within a line. The lines after it must be whole.
func TestTornLogLines(t *testing.T) {
	disk := &tornWriter{room: 10}
	w := &lineWriter{out: disk}
	_, err := w.Write([]byte("event=a\nevent=b\nevent=c\n"))
	require.NoError(t, err)
	disk.room = 100
	_, err = w.Write([]byte("event=d\n"))
	require.NoError(t, err)
	require.Equal(t, "event=a\nev\nevent=log_lines_lost count=2\nevent=d\n", disk.String())
}
