package gateway

// This file defines how the body of a caller's request is read, within the time of the request and of
// the process.

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// defaultMaxBodyBytes limits a request body if the catalog sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// bodyShutdownMargin is how long before the end of the process a body that is not complete is
	// given up, so that its caller is told.
	bodyShutdownMargin = 300 * time.Millisecond
	// requestBytes is about what a request takes besides its head and body while it is served, with the
	// connection to its upstream. There is memory for more connections than for requests, so that others than those
	// that are in use can be closed for new ones.
	requestBytes = 24 << 10
	// A body that there is no memory for is read without keeping it, in pieces of discardBytes, so that its
	// caller can read the refusal and keep the connection: for maxDiscardTime, or until nothing has come
	// for discardStall.
	discardBytes   = 64 << 10
	maxDiscardTime = 500 * time.Millisecond
	discardStall   = 20 * time.Millisecond
	// minBodyTime is how long a body is read at least, however near the deadline is: one that has
	// arrived with its head is not late.
	minBodyTime = 200 * time.Millisecond
)

// bodyReads are the bodies that are being read. It is safe for concurrent use.
type bodyReads struct {
	mu    sync.Mutex
	until map[*http.ResponseController]time.Time
	end   time.Time // no body is read for longer; zero: not known
}

func newBodyReads() *bodyReads {
	return &bodyReads{until: make(map[*http.ResponseController]time.Time)}
}

// begin bounds the time for which the body of a request is read.
func (b *bodyReads) begin(c *http.ResponseController, deadline time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.end.IsZero() && b.end.Before(deadline) {
		deadline = b.end
	}
	b.until[c] = deadline
	return c.SetReadDeadline(deadline)
}

// finish ends the reading of a body. If it was read, nothing bounds further reads of its connection;
// otherwise the server must not wait for the rest.
func (b *bodyReads) finish(c *http.ResponseController, read bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.until, c)
	if !read {
		return nil
	}
	return c.SetReadDeadline(time.Time{})
}

// setEnd sets until when bodies are read at most, those included that are being read. It returns the
// errors of connections that are closed.
func (b *bodyReads) setEnd(end time.Time) (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = end
	for c, until := range b.until {
		if end.Before(until) {
			err = errors.Join(err, c.SetReadDeadline(end))
		}
	}
	return err
}

// reserve takes the memory for a request without its body. It returns a problem if there is none.
func (g *Gateway) reserve(w http.ResponseWriter, r *http.Request, req *request) *problem.Problem {
	req.share = g.deps.Memory.Requests.ShareLeaving(memory.Holder(req.workspace), memory.UrgencyReserve*float64(req.urgency))
	err := req.share.GrowTo(requestBytes + process.RequestHeadCost(r))
	if err == nil {
		process.ReleaseHead(r.Context())
		return nil
	}
	return memoryProblem(w, r, err)
}

// memoryProblem returns the problem of a request that there is no memory for.
func memoryProblem(w http.ResponseWriter, r *http.Request, err error) *problem.Problem {
	if discardErr := discardBody(w, r); discardErr != nil {
		w.Header().Set("Connection", "close")
	}
	return problem.New(problem.MemoryFull, problem.NotRun, http.StatusServiceUnavailable, "%v", err).WithRetryAfter(busyRetryAfter)
}

// errBodyUnread means that the rest of a body has not come in time.
var errBodyUnread = errors.New("the body is not read to its end")

// discardBody reads the rest of a body if it comes without a pause.
func discardBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(w)
	for began := time.Now(); time.Since(began) < maxDiscardTime; {
		if err := controller.SetReadDeadline(time.Now().Add(discardStall)); err != nil {
			return err
		}
		_, err := io.CopyN(io.Discard, r.Body, discardBytes)
		if errors.Is(err, io.EOF) {
			return controller.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return err
		}
	}
	return errBodyUnread
}

// boundUnreadBody bounds the time for which the server waits for the body of a request that is refused by its head.
func boundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		w.Header().Set("Connection", "close")
	}
}

// bodyLimit returns the size in bytes that the body of a request may have.
func (r *request) bodyLimit() int64 {
	if limit := r.catalog.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the body of a request. If the head announces how long it is, nothing is read that there
// is no memory for.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) *problem.Problem {
	if r.Body == http.NoBody {
		return nil
	}
	limit := req.bodyLimit()
	controller := http.NewResponseController(w)
	until := req.deadline
	if earliest := req.arrived.Add(minBodyTime); until.Before(earliest) {
		until = earliest
	}
	endWait := process.AwaitBody(r.Context(), time.Now())
	err := g.bodies.begin(controller, until)
	switch {
	case err != nil:
	case r.ContentLength > limit:
		err = memory.ErrTooLarge
	case r.ContentLength >= 0:
		req.body, err = req.share.ReadLength(r.Body, int(r.ContentLength))
	default:
		req.body, err = req.share.ReadBody(r.Body, int(limit))
	}
	if finishErr := g.bodies.finish(controller, err == nil); err == nil {
		err = finishErr
	}
	if !endWait() && err == nil {
		err = net.ErrClosed
	}
	if err != nil && !errors.Is(err, memory.ErrFull) {
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return problem.New(problem.BodyTooLarge, problem.NotRun, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, memory.ErrFull):
		return memoryProblem(w, r, err)
	case errors.Is(err, os.ErrDeadlineExceeded) && g.exceedsShutdown(req.deadline):
		return g.leavingProblem(req)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(problem.BodyLate, problem.NotRun, http.StatusRequestTimeout, "the body is not complete within the time set by the %s", req.deadlineSource)
	case err != nil:
		return problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "read the body: %v", err)
	}
	return nil
}

// leavingProblem returns the problem of a request that may outlast the process.
func (g *Gateway) leavingProblem(req *request) *problem.Problem {
	return problem.New(problem.Leaving, problem.NotRun, http.StatusServiceUnavailable,
		"the process ends before the time set by the %s", req.deadlineSource).WithRetryAfter(shutdownRetryAfter)
}
