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
	"syscall"
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
	// restShutdownMargin is the same for the rest of a body whose caller was answered: it is read until the process has ended.
	restShutdownMargin = -shutdownAnswerPeriod
	// requestBytes is about what a request takes besides its head and body while it is served, with the
	// connection to its upstream. There is memory for more connections than for requests, so that others than those
	// that are in use can be closed for new ones.
	requestBytes = 24 << 10
	// minBodyTime is how long a body is read at least, however near the deadline is: one that has
	// arrived with its head is not late.
	minBodyTime = 200 * time.Millisecond
)

// bodyReads are the bodies that are being read. It is safe for concurrent use.
type bodyReads struct {
	mu    sync.Mutex
	reads map[*http.ResponseController]bodyRead
	end   time.Time // of the process; zero: not known
}

// bodyRead is a body that is being read.
type bodyRead struct {
	until    time.Time
	answered bool // the request was answered, and what is read of its body is thrown away
}

// within returns the read as the end of the process bounds it; zero: that is not known.
func (r bodyRead) within(end time.Time) bodyRead {
	margin := bodyShutdownMargin
	if r.answered {
		margin = restShutdownMargin
	}
	if latest := end.Add(-margin); !end.IsZero() && latest.Before(r.until) {
		r.until = latest
	}
	return r
}

func newBodyReads() *bodyReads {
	return &bodyReads{reads: make(map[*http.ResponseController]bodyRead)}
}

// begin bounds the time for which a body is read.
func (b *bodyReads) begin(c *http.ResponseController, r bodyRead) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r = r.within(b.end)
	b.reads[c] = r
	return c.SetReadDeadline(r.until)
}

// finish ends the reading of a body. If it was read, nothing bounds further reads of its connection;
// otherwise the server must not wait for the rest.
func (b *bodyReads) finish(c *http.ResponseController, read bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reads, c)
	if !read {
		return nil
	}
	return c.SetReadDeadline(time.Time{})
}

// discard reads what is left of a body without keeping it.
func (b *bodyReads) discard(c *http.ResponseController, r *http.Request, limit int64) error {
	err := process.DiscardBody(r, limit, func(until time.Time) error { return b.begin(c, bodyRead{until, true}) })
	return errors.Join(err, b.finish(c, err == nil))
}

// setEnd sets when the process ends, which bounds also the bodies that are being read. It returns the errors of
// connections that are closed.
func (b *bodyReads) setEnd(end time.Time) (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = end
	for c, r := range b.reads {
		if bound := r.within(end); bound != r {
			err = errors.Join(err, c.SetReadDeadline(bound.until))
		}
	}
	return err
}

// requestShare returns the share of memory that a request gets, which has reserved nothing yet.
func (g *Gateway) requestShare(req *request) *memory.Share {
	return g.deps.Memory.Requests.ShareLeaving(memory.Holder(req.workspace), memory.UrgencyReserve*float64(req.urgency))
}

// reserve takes the memory for a request without its body. It returns a problem if there is none.
func (g *Gateway) reserve(r *http.Request, req *request) *problem.Problem {
	req.share = g.requestShare(req)
	err := req.share.GrowTo(requestBytes + process.RequestHeadCost(r))
	if err == nil {
		process.ReleaseHead(r.Context())
		return nil
	}
	return memoryProblem(err)
}

// memoryProblem returns the problem of a request that there is no memory for.
func memoryProblem(err error) *problem.Problem {
	return problem.New(problem.MemoryFull, problem.NotRun, http.StatusServiceUnavailable, "%v", err).WithRetryAfter(busyRetryAfter)
}

// refuseUnread refuses a request whose body was not read to its end. The answer does not wait for the rest, which is read
// without keeping it: the connection of a caller that sends all before it reads would be reset otherwise, and the answer lost.
func (g *Gateway) refuseUnread(w http.ResponseWriter, r *http.Request, req *request, p *problem.Problem) {
	if r.Body == http.NoBody {
		g.refuse(w, req, p)
		return
	}
	if req.share != nil {
		req.body = nil
		req.share.Release()
	}
	controller := http.NewResponseController(w)
	err := controller.EnableFullDuplex() // the server would read a part of the body first
	g.refuse(w, req, p)
	if err == nil {
		err = controller.Flush()
	}
	if err == nil {
		err = g.bodies.discard(controller, r, req.bodyLimit())
	}
	if err == nil {
		return
	}
	if !hungUp(err) {
		g.incrementCounter("bodies_cut")
		_ = g.logRequest(req, "event", "body_cut", "reason", p.Reason, "err", err)
	}
	panic(http.ErrAbortHandler) // the server would take what comes next for a request
}

// hungUp reports whether a body was not read to its end as its caller has closed the connection: many do once they have read a refusal.
func hungUp(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// bodyLimit returns the size in bytes that the body of a request may have.
func (r *request) bodyLimit() int64 {
	if r.catalog != nil && r.catalog.Limits.BodyBytes > 0 {
		return r.catalog.Limits.BodyBytes
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
	err := g.bodies.begin(controller, bodyRead{until, false})
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
		return memoryProblem(err)
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
