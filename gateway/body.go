package gateway

// This file defines how the body of a caller's request is read, within the time of the request and of
// the process.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	// defaultMaxBodyBytes limits a request body if the catalog sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// bodyShutdownMargin is how long before the end of the process a body that is not complete is
	// given up, so that its caller is told.
	bodyShutdownMargin = 300 * time.Millisecond
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

// readBody reads the body of a request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) *problem.Problem {
	if r.Body == http.NoBody {
		return nil
	}
	limit := req.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(w)
	until := req.deadline
	if earliest := req.arrived.Add(minBodyTime); until.Before(earliest) {
		until = earliest
	}
	err := g.bodies.begin(controller, until)
	if err == nil {
		req.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if finishErr := g.bodies.finish(controller, err == nil); err == nil {
		err = finishErr
	}
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.BodyTooLarge, problem.NotRun, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
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
