package entry

// This file defines eventReader, which reads an upstream's stream for relayEvents.

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// eventReader sends the caller what was written before it waits for more, so that
// events which came together leave together. It closes a stream that has stalled
// if the answer can go on elsewhere.
type eventReader struct {
	from     io.ReadCloser
	a        *answer
	patience time.Duration // zero: without bound

	timer   *time.Timer
	stalled atomic.Bool
}

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	r.a.flush()
	if r.patience > 0 && r.a.started && r.a.resumable() {
		r.watch()
	}
	return r.from.Read(p)
}

// watch starts to wait anew.
func (r *eventReader) watch() {
	if r.timer != nil {
		r.timer.Reset(r.patience)
		return
	}
	r.timer = time.AfterFunc(r.patience, func() {
		r.stalled.Store(true)
		_ = r.from.Close()
	})
}

func (r *eventReader) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// why returns the detail of a stream that ended with err.
func (r *eventReader) why(err error) string {
	if r.stalled.Load() {
		return fmt.Sprintf("no event for %v", r.patience)
	}
	return err.Error()
}
