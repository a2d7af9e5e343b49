package entry

// This file defines bufferedResponse, which withholds a response until its outcome is
// on the log.

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// bufferedResponse is a response writer that keeps the response in memory.
type bufferedResponse struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	refusal *problem.Problem // nil: answered or aborted
	aborted bool             // the response was cut off
}

var (
	_ http.ResponseWriter = (*bufferedResponse)(nil)
	_ refusalRecorder     = (*bufferedResponse)(nil)
)

// refusalRecorder is a response writer that is passed a refusal before it is also written
// as the response.
type refusalRecorder interface{ recordRefusal(p *problem.Problem) }

func newBufferedResponse() *bufferedResponse { return &bufferedResponse{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(p)
}

func (b *bufferedResponse) recordRefusal(p *problem.Problem) { b.refusal = p }

// dispatchBuffered dispatches rq and records in b how it ended.
func (e *Entry) dispatchBuffered(b *bufferedResponse, r *http.Request, rq *request) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		b.aborted = true // dispatch panics to abort an incomplete response
		if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			e.count("booking_panicked")
			_ = e.deps.Logger.Log("event", "booking_panicked", "panic", recovered, "request", rq.id)
		}
	}()
	e.dispatch(b, r, rq)
}

// settlement returns the record of the outcome. Anything but a complete response or a
// refusal that proves that the call did not run has an unknown outcome.
func (b *bufferedResponse) settlement() *ragwortv1.BookingSettled {
	switch {
	case b.refusal != nil && b.refusal.Run == problem.NotRun:
		return &ragwortv1.BookingSettled{Outcome: string(booking.NotRun)}
	case b.refusal != nil || b.aborted || b.status == 0:
		return &ragwortv1.BookingSettled{Outcome: string(booking.Unknown)}
	}
	s := &ragwortv1.BookingSettled{
		Outcome: string(booking.Answered), Status: int32(b.status), ContentType: b.header.Get("Content-Type"),
		BodyBytes: uint64(b.body.Len()),
	}
	if b.body.Len() <= booking.MaxBodyBytes {
		s.Body = bytes.Clone(b.body.Bytes())
	}
	return s
}

// writeTo sends the buffered response; it aborts w if the response was aborted.
func (b *bufferedResponse) writeTo(w http.ResponseWriter) {
	if b.aborted || b.status == 0 {
		panic(http.ErrAbortHandler)
	}
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}
