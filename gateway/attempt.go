package gateway

// This file defines one attempt: a request is sent to one upstream, and its response
// is checked and relayed.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
)

// writeTracker tells whether any byte of an attempt was written to its connection.
type writeTracker struct {
	conn          *countingConn // nil: no connection yet
	reused        bool          // the connection was opened for an earlier request
	writtenBefore int64         // bytes written to the connection before the attempt
}

// connection returns which connection the attempt used, for the log: none, new or kept.
func (t *writeTracker) connection() string {
	switch {
	case t.conn == nil:
		return "none"
	case t.reused:
		return "kept"
	}
	return "new"
}

// written returns how many bytes the attempt has written.
func (t *writeTracker) written() int64 {
	if t.conn == nil {
		return 0
	}
	return t.conn.written.Load() - t.writtenBefore
}

// seenResponse is what the log says of the head of a response.
type seenResponse struct {
	status int
	id     id.Request // request that the response is for
	notRun bool
	signed bool
}

// String implements fmt.Stringer.
func (r *seenResponse) String() string {
	if r == nil {
		return "none"
	}
	return fmt.Sprintf("%d for=%.64q not_run=%t signed=%t", r.status, string(r.id), r.notRun, r.signed)
}

// wroteAny reports whether the attempt has written any byte.
func (t *writeTracker) wroteAny() bool {
	return t.written() > 0
}

// send sends the request to one upstream and relays the response.
func (f *forwarding) send(ctx context.Context, assignment *pool.Assignment) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.gateway.pending.add(f, cancel)
	defer f.gateway.pending.remove(f)
	if f.canRetry() {
		go cancelIfGone(ctx, cancel, assignment.Gone())
	}
	tracker := &writeTracker{}
	f.attemptStarted, f.tracker, f.firstEvent, f.survived, f.response = time.Now(), tracker, time.Time{}, false, nil
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if counted, ok := info.Conn.(*countingConn); ok {
			tracker.conn, tracker.reused, tracker.writtenBefore = counted, info.Reused, counted.written.Load()
		}
		if !info.Reused {
			assignment.Heard(time.Now())
			f.gateway.incrementCounter("upstream_connections")
		}
	}})
	upstreamReq, err := f.newUpstreamRequest(tracedCtx, assignment)
	if err != nil {
		return &notSent{err}
	}
	resp, err := f.gateway.deps.Client.Do(f.attemptStarted, upstreamReq, assignment)
	if err != nil {
		switch {
		case !tracker.wroteAny() && ctx.Err() == nil:
			return &notSent{err}
		case ctx.Err() == nil:
			f.meterOnce(time.Since(f.attemptStarted)) // the upstream most likely ran the request
			return &responseLost{problem.UpstreamCut, err}
		}
		if tracker.conn != nil { // a write may still have been in progress when ctx was done
			f.mayHaveRun = true
			f.meterUnlessStream()
		}
		return interrupted(ctx)
	}
	defer resp.Body.Close()
	return f.handleResponse(ctx, assignment, resp)
}

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

// interrupted returns the outcome of an attempt whose ctx is done.
func interrupted(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errUpstreamGone):
		return &responseLost{problem.UpstreamCut, cause}
	case errors.Is(cause, errPromptHeld):
		return &responseLost{problem.PromptHeld, cause}
	}
	return &abandoned{abandonReason(ctx)}
}

// singleUseBody hides the type of a body from the transport, which otherwise sends an
// idempotent request a second time by itself.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// newUpstreamRequest returns the request for the upstream.
func (f *forwarding) newUpstreamRequest(ctx context.Context, assignment *pool.Assignment) (*http.Request, error) {
	req := f.req
	upstreamReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+assignment.Upstream.Address+req.uri, singleUseBody{bytes.NewReader(req.body)})
	if err != nil {
		return nil, err
	}
	upstreamReq.ContentLength = int64(len(req.body))
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

// handleResponse checks an upstream's response and relays it if it is usable.
func (f *forwarding) handleResponse(ctx context.Context, assignment *pool.Assignment, resp *http.Response) outcome {
	info := f.gateway.deps.Codec.ParseResponse(resp)
	f.response = &seenResponse{resp.StatusCode, info.RequestID, info.NotRun, info.Signed}
	f.noteRemarks(time.Now(), assignment, info)
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case !info.Signed || info.NotRun:
	case success:
		f.meterUnlessStream()
	default:
		f.meterOnce(time.Since(f.attemptStarted)) // a failure without NotRun has run, also that of a stream
	}
	if !info.Misdirected {
		assignment.Heard(time.Now())
	}
	switch {
	case info.Misdirected:
		f.gateway.deps.Pool.MarkAddressReused(assignment.Upstream.ID)
		return &misdirected{}
	case info.NotRun && !success:
		return &rejected{resp.StatusCode}
	case info.RequestID != f.req.info.ID:
		f.gateway.incrementCounter("answer_crossed")
		return &responseLost{problem.AnswerCrossed, fmt.Errorf("response with status %d is for request %q", resp.StatusCode, info.RequestID)}
	case !info.Signed:
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("response with status %d is not signed", resp.StatusCode)}
	case success && resp.Header.Get("Content-Encoding") != "":
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("the response has a Content-Encoding, %q", resp.Header.Get("Content-Encoding"))}
	case !success && f.headSent:
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("the request for the rest of the stream got status %d", resp.StatusCode)}
	case !success && resp.StatusCode >= http.StatusInternalServerError && f.canRetry():
		return &responseLost{problem.UpstreamFailed, fmt.Errorf("response with status %d", resp.StatusCode)}
	}
	if success && f.req.route.Kind.Streams() {
		return f.relayStream(ctx, assignment, resp)
	}
	return f.relayBuffered(ctx, resp)
}

// noteRemarks passes on to the pool what an upstream says of itself in a response. One from
// another upstream than the requested one says nothing about that.
func (f *forwarding) noteRemarks(now time.Time, assignment *pool.Assignment, info ResponseInfo) {
	if info.Misdirected {
		return
	}
	u := &assignment.Upstream
	if info.Leaving && f.gateway.deps.Pool.MarkLeaving(now, u) {
		f.gateway.incrementCounter("upstream_leaving")
		_ = f.gateway.logRequest(f.req, "event", "upstream_leaving", "upstream", u.ID, "born", u.StartUnixMS, "listed_draining", u.Draining)
	}
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
	if ctx.Err() != nil {
		return &abandoned{abandonReason(ctx)}
	}
	return &abandoned{problem.CallerGone}
}
