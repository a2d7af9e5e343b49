package entry

// This file defines how the body of a caller's request is read, within the time of the request and the
// memory for requests.

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// maxBodyTime limits the time in which a caller sends its body, if the request has no deadline.
	maxBodyTime = time.Minute
	// requestBytes is about what a request takes besides its body, and bodyFactor the memory that a body
	// takes, which is kept as received and as it is sent.
	requestBytes = 24 << 10
	bodyFactor   = 2
	// discardTime limits for how long a body that is not kept is read, so that its caller, which may hear
	// nothing before it has sent all, is told.
	discardTime = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a request that there is no memory for.
	memoryRetryAfter = time.Second
)

// readBody reads the body of a request within the request's time. It takes the memory for the request, which
// the caller releases.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, rq *request) ([]byte, *problem.Problem) {
	until := rq.deadline
	if until.IsZero() {
		until = rq.arrived.Add(maxBodyTime)
	}
	rq.share = e.deps.Memory.Requests.ShareLeaving(memory.Holder(rq.workspace()), memory.UrgencyReserve*float64(rq.class.Tier))
	controller := http.NewResponseController(w)
	err := controller.SetReadDeadline(until)
	var body []byte
	endWait := process.AwaitBody(r.Context(), time.Now())
	if err == nil {
		if body, err = e.readAll(rq.share, r); err == nil {
			err = controller.SetReadDeadline(time.Time{})
		}
	}
	if !endWait() && err == nil {
		err = net.ErrClosed
	}
	var tooLarge *http.MaxBytesError
	if err != nil {
		w.Header().Set("Connection", "close")
		if errors.Is(err, memory.ErrFull) || errors.As(err, &tooLarge) {
			if controller.SetReadDeadline(time.Now().Add(discardTime)) == nil {
				_, _ = io.Copy(io.Discard, r.Body) // fails at the limit that accept has set, which the server must see
			}
		}
	}
	switch {
	case errors.Is(err, memory.ErrFull):
		return nil, problem.New(problem.MemoryFull, problem.NotRun, http.StatusServiceUnavailable, "%v", err).WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, problem.New(problem.BodyLate, problem.NotRun, http.StatusRequestTimeout, "body: not complete within %v", until.Sub(rq.arrived))
	case errors.As(err, &tooLarge):
		return nil, problem.New(problem.BodyTooLarge, problem.NotRun, http.StatusRequestEntityTooLarge, "body: more than %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, badRequest("body: " + err.Error())
	}
	return body, nil
}

// readAll reads the body of a request into the memory of a share, which it takes first if the length of the
// body is known.
func (e *Entry) readAll(share *memory.Share, r *http.Request) ([]byte, error) {
	if r.ContentLength > e.cfg.MaxBodyBytes {
		return nil, &http.MaxBytesError{Limit: e.cfg.MaxBodyBytes}
	}
	own := requestBytes + process.RequestHeadCost(r)
	if err := share.GrowTo(own + (bodyFactor-1)*max(0, r.ContentLength)); err != nil {
		return nil, err
	}
	process.ReleaseHead(r.Context())
	if r.ContentLength >= 0 {
		buffer, err := share.ReadLength(r.Body, int(r.ContentLength))
		return buffer.Bytes(), err
	}
	buffer, err := share.ReadBody(r.Body, math.MaxInt) // accept has limited it
	if err != nil {
		return nil, err
	}
	return buffer.Bytes(), share.GrowTo(own + bodyFactor*int64(buffer.Len()))
}
