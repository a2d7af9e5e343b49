package entry

// This file defines eventReader, which reads an upstream's stream for relayEvents.

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// eventReader reads an upstream's stream. Before it waits for more, it flushes what has
// been written to the caller, so that events received together are sent together. If
// the answer can be resumed elsewhere, it closes a stream that stalls.
type eventReader struct {
	from         io.ReadCloser // body of the upstream's response
	a            *answer
	stallTimeout time.Duration // zero: none

	timer   *time.Timer
	stalled atomic.Bool
}

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	r.a.flush()
	if r.stallTimeout > 0 && r.a.started && r.a.resumable() {
		r.resetStallTimer()
	}
	return r.from.Read(p)
}

// resetStallTimer restarts the timer that closes a stalled stream.
func (r *eventReader) resetStallTimer() {
	if r.timer != nil {
		r.timer.Reset(r.stallTimeout)
		return
	}
	r.timer = time.AfterFunc(r.stallTimeout, func() {
		r.stalled.Store(true)
		_ = r.from.Close()
	})
}

func (r *eventReader) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// endCause describes why a stream ended with err.
func (r *eventReader) endCause(err error) string {
	if r.stalled.Load() {
		return fmt.Sprintf("no event for %v", r.stallTimeout)
	}
	return err.Error()
}
