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

// refusalRecorder is a response writer that receives a refusal in unencoded form.
type refusalRecorder interface{ recordRefusal(p *problem.Problem) }

func newBufferedResponse() *bufferedResponse { return &bufferedResponse{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (c *bufferedResponse) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *bufferedResponse) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
	}
}

// Write implements http.ResponseWriter.
func (c *bufferedResponse) Write(p []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	return c.body.Write(p)
}

func (c *bufferedResponse) recordRefusal(p *problem.Problem) { c.refusal = p }

// dispatchBuffered dispatches rq and records in c how it ended.
func (e *Entry) dispatchBuffered(c *bufferedResponse, r *http.Request, rq *request) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		c.aborted = true // dispatch panics to abort an incomplete response
		if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			e.count("booking_panicked")
			_ = e.deps.Logger.Log("event", "booking_panicked", "panic", recovered, "request", rq.id)
		}
	}()
	e.dispatch(c, r, rq)
}

// settlement returns the record of the outcome. Anything but a complete response or a
// refusal that proves that the call did not run has an unknown outcome.
func (c *bufferedResponse) settlement() *ragwortv1.BookingSettled {
	switch {
	case c.refusal != nil && c.refusal.Run == problem.NotRun:
		return &ragwortv1.BookingSettled{Outcome: string(booking.NotRun)}
	case c.refusal != nil || c.aborted || c.status == 0:
		return &ragwortv1.BookingSettled{Outcome: string(booking.Unknown)}
	}
	s := &ragwortv1.BookingSettled{
		Outcome: string(booking.Answered), Status: int32(c.status), ContentType: c.header.Get("Content-Type"),
		BodyBytes: uint64(c.body.Len()),
	}
	if c.body.Len() <= booking.MaxBody {
		s.Body = bytes.Clone(c.body.Bytes())
	}
	return s
}

// writeTo sends the buffered response; it aborts w if the response was aborted.
func (c *bufferedResponse) writeTo(w http.ResponseWriter) {
	if c.aborted || c.status == 0 {
		panic(http.ErrAbortHandler)
	}
	for name, values := range c.header {
		w.Header()[name] = values
	}
	w.WriteHeader(c.status)
	_, _ = w.Write(c.body.Bytes())
}
