package process

// This file defines AsyncLogWriter, which keeps a program from blocking on its log when
// the reader of the log is slow or stuck.

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// maxQueuedBytes limits the lines that are queued between two writes or while the
	// reader is slow. It allows for about 10,000 lines per second, far more than an entry
	// logs in normal operation.
	maxQueuedBytes = 128 << 10
	// minDroppedBytes is how much is dropped at once, so that a full queue is not shortened for each line.
	minDroppedBytes = maxQueuedBytes / 8
	// writeInterval is the time between two writes, so that one write carries many lines.
	writeInterval = 50 * time.Millisecond
)

// AsyncLogWriter queues log lines and writes them in the background. If the queue is full,
// it drops the oldest lines and later writes a line with their number: the newest tell what
// is the matter, and how the process has ended.
type AsyncLogWriter struct {
	mu      sync.Mutex
	queued  bytes.Buffer
	dropped uint64
	closed  bool
	out     *lineWriter
	stop    chan struct{}
	done    chan struct{}
}

// NewAsyncLogWriter returns a writer to out. The caller must call Close at the end.
func NewAsyncLogWriter(out io.Writer) *AsyncLogWriter {
	w := &AsyncLogWriter{out: &lineWriter{out: out}, stop: make(chan struct{}), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write implements io.Writer. Each call must hold exactly one line, as each dropped call
// counts as one dropped line. It never blocks on out.
func (w *AsyncLogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(line) > maxQueuedBytes {
		w.countDropped(1)
		return len(line), nil
	}
	if excess := w.queued.Len() + len(line) - maxQueuedBytes; excess > 0 {
		w.dropOldest(max(excess, minDroppedBytes))
	}
	return w.queued.Write(line)
}

// dropOldest drops the oldest lines, of n bytes at least. The caller holds the lock.
func (w *AsyncLogWriter) dropOldest(n int) {
	oldest := w.queued.Next(n)
	w.countDropped(bytes.Count(oldest, []byte{'\n'}))
	if !bytes.HasSuffix(oldest, []byte{'\n'}) {
		_, _ = w.queued.ReadBytes('\n') // the rest of the last one; the queue has whole lines
		w.countDropped(1)
	}
}

// countDropped counts lines that are dropped. The caller holds the lock.
func (w *AsyncLogWriter) countDropped(lines int) {
	w.dropped += uint64(lines)
	lostLines.Inc(int64(lines))
}

// Dropped returns the number of lines dropped since it was last written to the log.
func (w *AsyncLogWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// closeTimeout limits how long a program waits at its end for the reader of its log.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, or gives up after closeTimeout. Later lines are dropped.
func (w *AsyncLogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}

func (w *AsyncLogWriter) writeLoop() {
	defer close(w.done)
	t := time.NewTicker(writeInterval)
	defer t.Stop()
	for stopping := false; !stopping; {
		select {
		case <-t.C:
		case <-w.stop:
			stopping = true
		}
		if lines := w.drainQueue(); len(lines) > 0 {
			_, _ = w.out.Write(lines) // counts the lines that could not be written, and returns no error
		}
	}
}

// drainQueue returns and clears the queued lines, after a line with the number of those that
// were dropped before them, if any.
func (w *AsyncLogWriter) drainQueue() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued.Len() == 0 && w.dropped == 0 {
		return nil
	}
	var lines []byte
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "event=log_lines_dropped count=%d\n", w.dropped)
		w.dropped = 0
	}
	lines = append(lines, w.queued.Bytes()...)
	w.queued.Reset()
	return lines
}

// NewAsyncLogger returns a logger that writes each event to w as one logfmt line.
func NewAsyncLogger(w *AsyncLogWriter, program, node string) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "program", program, "node", node)
}
