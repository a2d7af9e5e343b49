package gateway

// This file defines one attempt: a request is sent to one upstream, and its response
// is checked and relayed.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/response"
)

// String returns what the log says of the head of a response.
func (r *ownResponse) String() string {
	if r == nil {
		return "none"
	}
	said := fmt.Sprintf("%d not_run=%t signed=%t", r.StatusCode, r.NotRun, r.Signed)
	switch {
	case r.Limited:
		said += fmt.Sprintf(" limit=%v", r.Limit)
	case r.InvalidLimit != "":
		said += " invalid_limit=" + r.InvalidLimit
	}
	return said
}

// A request that has got the response to another one waits for its own for ownResponseObjectives
// latency objectives of its route, and for minOwnResponseWait at least.
const (
	minOwnResponseWait    = time.Second
	ownResponseObjectives = 2
)

// send sends the request to one upstream and relays the response.
func (f *forwarding) send(ctx context.Context, assignment *pool.Assignment) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.gateway.pending.add(f, cancel)
	defer f.gateway.pending.remove(f)
	f.gateway.attempts.add(f, cancel)
	defer f.gateway.attempts.remove(f)
	if f.canRetry() {
		go f.gateway.guard.Do("cancel_if_gone", func() { cancelIfGone(ctx, cancel, assignment.Gone()) })
	}
	f.attemptStarted, f.exchange, f.firstEvent, f.survived, f.response = time.Now(), nil, time.Time{}, false, nil
	upstreamReq, err := f.newUpstreamRequest(ctx, assignment)
	if err != nil {
		return &notSent{err: err}
	}
	observer := &attemptObserver{forwarding: f, assignment: assignment, cancel: cancel}
	defer observer.stop()
	resp, err := f.gateway.deps.Client.do(upstreamReq, f.req.info.ID, &assignment.Upstream, assignment.NewConnection, observer)
	observer.stop()
	if err != nil {
		return f.sendFailed(ctx, err)
	}
	defer resp.Body.Close()
	return f.handleResponse(ctx, assignment, resp)
}

// sendFailed returns the outcome of an attempt without a response.
func (f *forwarding) sendFailed(ctx context.Context, err error) outcome {
	var unsent *UnsentError
	var crossed *CrossedError
	switch {
	case errors.As(err, &unsent) && ctx.Err() == nil:
		return &notSent{err: err, unreachable: !isOwnShortage(err)}
	case errors.As(err, &unsent):
		return interruptedUnsent(ctx)
	case ctx.Err() != nil:
		f.meterUnlessStream()
		return interrupted(ctx)
	}
	f.meterOnce(time.Since(f.attemptStarted)) // the upstream most likely ran the request
	if errors.As(err, &crossed) {
		return &responseLost{problem.AnswerCrossed, err}
	}
	return &responseLost{lossReason(err), err}
}

// lossReason returns the reason for a response that was not read to its end. An upstream that sends a line that HTTP
// does not allow has not broken off.
func lossReason(err error) problem.Reason {
	var invalid *response.HeadError
	if errors.As(err, &invalid) {
		return problem.UpstreamFailed
	}
	return problem.UpstreamCut
}

// isOwnShortage reports whether a connection failed for want of what this process or its VM has, which says nothing of the
// upstream.
func isOwnShortage(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}, func(shortage error) bool {
		return errors.Is(err, shortage)
	})
}

// attemptObserver implements exchangeObserver for one attempt.
type attemptObserver struct {
	forwarding *forwarding
	assignment *pool.Assignment
	cancel     context.CancelCauseFunc
	timer      *time.Timer // ends the wait for the own response; nil: not started
}

var _ exchangeObserver = (*attemptObserver)(nil)

// connected implements exchangeObserver.
func (o *attemptObserver) connected(x *exchange) {
	o.forwarding.exchange = x
	if !x.kept {
		o.assignment.Heard(time.Now())
		o.forwarding.gateway.incrementCounter("upstream_connections")
	}
}

// foreignResponse implements exchangeObserver.
func (o *attemptObserver) foreignResponse(x *exchange, crossed *CrossedError) {
	f := o.forwarding
	_ = f.gateway.logRequest(f.req, "event", "foreign_response", "upstream", o.assignment.Upstream.ID, "status", crossed.Status,
		"for", fmt.Sprintf("%.64s", string(crossed.Got)), "connection", x.connection())
	if o.timer == nil {
		wait := max(minOwnResponseWait, ownResponseObjectives*f.req.route.LatencyObjective)
		o.timer = time.AfterFunc(wait, func() { o.cancel(errOwnResponseMissing) })
	}
}

// stop ends the wait for the own response.
func (o *attemptObserver) stop() {
	if o.timer != nil {
		o.timer.Stop()
	}
}

// errOwnResponseMissing is why an attempt ends that has got only responses to other requests.
var errOwnResponseMissing = errors.New("only responses to other requests have come")

// errUpstreamGone is why an attempt ends whose upstream has gone without a word.
var errUpstreamGone = errors.New("the upstream is silent and cannot be connected to")

// cancelIfGone cancels an attempt when its upstream is found to have gone.
func cancelIfGone(ctx context.Context, cancel context.CancelCauseFunc, gone <-chan struct{}) {
	select {
	case <-gone:
		cancel(errUpstreamGone)
	case <-ctx.Done():
	}
}

// interrupted returns the outcome of an attempt whose ctx is done and which may have reached its
// upstream.
func interrupted(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errUpstreamGone):
		return &responseLost{problem.UpstreamCut, cause}
	case errors.Is(cause, errOwnResponseMissing):
		return &responseLost{problem.AnswerCrossed, cause}
	case errors.Is(cause, errPromptHeld):
		return &responseLost{problem.PromptHeld, cause}
	case errors.Is(cause, errProcessEnds):
		return &responseLost{problem.Leaving, cause}
	}
	return &abandoned{reason: abandonReason(ctx)}
}

// interruptedUnsent returns the outcome of an attempt whose ctx is done and of which nothing was
// sent.
func interruptedUnsent(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errUpstreamGone):
		return &notSent{err: cause, unreachable: true}
	case errors.Is(cause, errPromptHeld), errors.Is(cause, errOwnResponseMissing), errors.Is(cause, errProcessEnds):
		return &notSent{err: cause}
	}
	return &abandoned{reason: abandonReason(ctx), unsent: true}
}

// newUpstreamRequest returns the request for the upstream.
func (f *forwarding) newUpstreamRequest(ctx context.Context, assignment *pool.Assignment) (*http.Request, error) {
	req := f.req
	upstreamReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+assignment.Upstream.Address+req.uri, http.NoBody)
	if err != nil {
		return nil, err
	}
	if req.body != nil && req.body.Len() > 0 {
		upstreamReq.Body, upstreamReq.ContentLength = io.NopCloser(req.body.Reader()), int64(req.body.Len())
	}
	upstreamReq.Host = req.host
	upstreamReq.Header = req.header.Clone()
	removeHopByHopHeaders(upstreamReq.Header)
	f.gateway.deps.Codec.SetUpstreamHeaders(upstreamReq.Header, UpstreamRequestInfo{
		Upstream: assignment.Upstream.ID, Workspace: req.workspace, Timeout: time.Until(req.deadline), Urgency: req.urgency,
		LastEventID: f.lastEventID, Resumes: f.resuming,
	})
	if _, present := upstreamReq.Header["User-Agent"]; !present {
		upstreamReq.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return upstreamReq, nil
}

// handleResponse judges the response to the request and relays it if it is usable.
func (f *forwarding) handleResponse(ctx context.Context, assignment *pool.Assignment, resp *ownResponse) outcome {
	f.response = resp
	f.noteRemarks(time.Now(), assignment, resp)
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case !resp.Signed || resp.NotRun:
	case success:
		f.meterUnlessStream()
	default:
		f.meterOnce(time.Since(f.attemptStarted)) // a failure without NotRun has run, also that of a stream
	}
	if !resp.Misdirected {
		assignment.Heard(time.Now())
	}
	switch {
	case resp.Misdirected:
		f.gateway.deps.Pool.MarkAddressReused(assignment.Upstream.ID)
		return &misdirected{}
	case resp.NotRun && !success:
		return &rejected{resp.StatusCode}
	case !resp.Signed:
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("response with status %d is not signed", resp.StatusCode)}
	case success && resp.Header.Get("Content-Encoding") != "":
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("the response has a Content-Encoding, %q", resp.Header.Get("Content-Encoding"))}
	case !success && f.headSent:
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("the request for the rest of the stream got status %d", resp.StatusCode)}
	case problem.PromisesNotRun(resp.StatusCode):
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("response with status %d does not say that the request was not run", resp.StatusCode)}
	case !success && resp.StatusCode >= http.StatusInternalServerError && f.canRetry():
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("response with status %d", resp.StatusCode)}
	}
	if success && f.req.route.Kind.Streams() {
		return f.relayStream(ctx, assignment, resp.Response)
	}
	return f.relayBuffered(ctx, assignment, resp.Response)
}

// noteRemarks passes on to the pool what an upstream says of itself in a response. One from
// another upstream than the requested one says nothing about that.
func (f *forwarding) noteRemarks(now time.Time, assignment *pool.Assignment, info *ownResponse) {
	if info.Misdirected {
		return
	}
	u := &assignment.Upstream
	if info.Leaving && f.gateway.deps.Pool.MarkLeaving(now, u) {
		f.gateway.incrementCounter("upstream_leaving")
		_ = f.gateway.logRequest(f.req, "event", "upstream_leaving", "upstream", u.ID, "born", u.StartUnixMS, "listed_draining", u.Draining)
	}
	f.noteLimit(now, u, info)
	switch {
	case info.Wait > 0:
		until := f.gateway.deps.Pool.AskWait(now, u, info.Wait)
		f.gateway.incrementCounter("upstream_asked_wait")
		_ = f.gateway.logRequest(f.req, "event", "upstream_asked_wait", "upstream", u.ID, "asked", info.Wait, "granted", until.Sub(now))
	case info.InvalidWait != "":
		f.gateway.incrementCounter("upstream_wait_invalid")
		_ = f.gateway.logRequest(f.req, "event", "upstream_wait_invalid", "upstream", u.ID, "retry_after", info.InvalidWait)
	}
}

// canRetry reports whether the attempt may be followed by another one, whatever it comes to.
func (f *forwarding) canRetry() bool {
	return f.req.route.Kind.Retryable() && f.countedAttempts+1 < f.req.route.MaxAttempts
}

// meterOnce counts the request as usage that started the given time ago, unless it has
// been counted already.
func (f *forwarding) meterOnce(age time.Duration) {
	if !f.metered {
		f.metered = true
		f.gateway.deps.Meter.CountRequest(age, f.req.workspace)
	}
}

// meterUnlessStream counts a request whose response is not a stream. Such a request starts
// to run about when it arrives at the upstream, even if the caller no longer waits for it.
// A stream starts with its first token, which it may never reach once its caller has left,
// so that relayStream counts it at its first event.
func (f *forwarding) meterUnlessStream() {
	if !f.req.route.Kind.Streams() {
		f.meterOnce(time.Since(f.attemptStarted))
	}
}

// callerWriteFailed returns the outcome of a failed write to the caller.
func callerWriteFailed(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errProcessEnds):
		return &responseLost{problem.Leaving, cause}
	case ctx.Err() != nil:
		return &abandoned{reason: abandonReason(ctx)}
	}
	return &abandoned{reason: problem.CallerGone}
}
