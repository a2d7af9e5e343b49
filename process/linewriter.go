package process

// This file defines lineWriter, which keeps a log going when its lines cannot be written.

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// lostLines counts the lines of this process's logs that were not written: dropped while the reader
// was slow, or failed to be written.
var lostLines = metrics.NewCounter()

// lineWriter writes lines of a log and counts those that could not be written. The log is not needed to
// serve, so that a failure stays here, and the next lines are tried all the same: a named pipe may get another
// reader, and a disk space. The first line that is written then says how many are missing.
type lineWriter struct {
	mu      sync.Mutex
	out     io.Writer
	missing int  // lines lost since the last that was written
	torn    bool // only a part of the last line was written
}

// Write implements io.Writer. The argument must be whole lines. It never fails.
func (w *lineWriter) Write(lines []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var head []byte
	if w.torn {
		head = append(head, '\n')
	}
	if w.missing > 0 {
		head = fmt.Appendf(head, "event=log_lines_lost count=%d\n", w.missing)
	}
	text := append(head, lines...)
	n, err := w.out.Write(text)
	if n > 0 {
		w.torn = text[n-1] != '\n'
	}
	if n >= len(head) {
		w.missing = 0
	}
	if err != nil {
		lost := bytes.Count(lines[max(0, n-len(head)):], []byte{'\n'})
		w.missing += lost
		lostLines.Inc(int64(lost))
	}
	return len(lines), nil
}
