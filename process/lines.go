package process

// This file defines AsyncLogWriter, through which a program writes its log without ever
// waiting for who reads it.

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// maxQueued bounds the lines of one interval, and those that wait for a slow reader,
	// in bytes: about 10,000 lines a second, far above what an entry writes in its
	// steady work.
	maxQueued = 128 << 10
	// lineInterval is the pause between two writes: many lines share one.
	lineInterval = 50 * time.Millisecond
)

// AsyncLogWriter queues lines and writes them in the background. Lines that come while
// the queue is full are dropped; how many is said in a line of its own.
type AsyncLogWriter struct {
	mu      sync.Mutex
	queued  bytes.Buffer
	dropped uint64
	closed  bool
	out     io.Writer
	stop    chan struct{}
	ended   chan struct{}
}

// NewAsyncLogWriter returns a writer to out. Close must be called at the end.
func NewAsyncLogWriter(out io.Writer) *AsyncLogWriter {
	w := &AsyncLogWriter{out: out, stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes whole lines and never waits.
func (w *AsyncLogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.queued.Len()+len(line) > maxQueued {
		w.dropped++
		return len(line), nil
	}
	return w.queued.Write(line)
}

// Dropped returns how many lines were dropped since the last that said so.
func (w *AsyncLogWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// closeTimeout bounds how long the end of a program waits for the reader of its log.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued, unless the reader does not take it in time.
func (w *AsyncLogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.ended:
	case <-t.C:
	}
}

func (w *AsyncLogWriter) run() {
	defer close(w.ended)
	t := time.NewTicker(lineInterval)
	defer t.Stop()
	for stopping := false; !stopping; {
		select {
		case <-t.C:
		case <-w.stop:
			stopping = true
		}
		if lines := w.take(); len(lines) > 0 {
			_, _ = w.out.Write(lines) // nobody is left to be told that the log cannot be written
		}
	}
}

// take returns what is queued, with a line about what was dropped.
func (w *AsyncLogWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued.Len() == 0 && w.dropped == 0 {
		return nil
	}
	lines := append([]byte(nil), w.queued.Bytes()...)
	w.queued.Reset()
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "event=log_lines_dropped count=%d\n", w.dropped)
		w.dropped = 0
	}
	return lines
}

// NewAsyncLogger returns a logger that writes one line of key=value pairs an event.
func NewAsyncLogger(w *AsyncLogWriter, program, node string) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "program", program, "node", node)
}
