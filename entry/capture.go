package entry

// This file defines capture, which holds an answer back until its outcome is on the
// log.

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// capture is a response writer that sends nothing.
type capture struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	refusal *problem.Problem // nil: answered, or cut
	cut     bool             // the answer was given up half-way
}

var (
	_ http.ResponseWriter = (*capture)(nil)
	_ refusalTaker        = (*capture)(nil)
)

// refusalTaker is a response writer that wants to know of a refusal as it is.
type refusalTaker interface{ refused(p *problem.Problem) }

func newCapture() *capture { return &capture{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (c *capture) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
	}
}

// Write implements http.ResponseWriter.
func (c *capture) Write(p []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	return c.body.Write(p)
}

func (c *capture) refused(p *problem.Problem) { c.refusal = p }

// dispatchInto dispatches rq and captures how it ended.
func (e *Entry) dispatchInto(c *capture, r *http.Request, rq *request) {
	defer func() {
		x := recover()
		if x == nil {
			return
		}
		c.cut = true // dispatch gives up a cut answer with a panic
		if err, ok := x.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			e.count("booking_panicked")
			_ = e.deps.Logger.Log("event", "booking_panicked", "panic", x, "request", rq.id)
		}
	}()
	e.dispatch(c, r, rq)
}

// settlement returns the record of the captured outcome. Anything but a whole
// answer or a true refusal counts as unknown.
func (c *capture) settlement() *ragwortv1.BookingSettled {
	switch {
	case c.refusal != nil && c.refusal.Run == problem.NotRun:
		return &ragwortv1.BookingSettled{Outcome: string(booking.NotRun)}
	case c.refusal != nil || c.cut || c.status == 0:
		return &ragwortv1.BookingSettled{Outcome: string(booking.Unknown)}
	}
	s := &ragwortv1.BookingSettled{
		Outcome: string(booking.Answered), Status: int32(c.status), ContentType: c.header.Get("Content-Type"),
		BodyBytes: uint64(c.body.Len()),
	}
	if c.body.Len() <= booking.MaxBodyBytes {
		s.Body = bytes.Clone(c.body.Bytes())
	}
	return s
}

// send passes the captured answer on; a cut one is cut again.
func (c *capture) send(w http.ResponseWriter) {
	if c.cut || c.status == 0 {
		panic(http.ErrAbortHandler)
	}
	for name, values := range c.header {
		w.Header()[name] = values
	}
	w.WriteHeader(c.status)
	_, _ = w.Write(c.body.Bytes())
}
