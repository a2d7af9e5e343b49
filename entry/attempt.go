package entry

// This file defines a single attempt to run a request at an upstream.

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

// statusClientClosedRequest is the status of problems of callers that have
// disconnected. No caller receives it.
const statusClientClosedRequest = 499

// attemptResult is the outcome of an attempt: *attemptAnswered, *attemptNotRun or
// *attemptFailed.
type attemptResult interface{ attemptResult() }

// attemptAnswered means that the caller received the whole answer.
type attemptAnswered struct{ used tokenUsage }

// attemptNotRun means that the attempt was refused before it ran.
type attemptNotRun struct{ problem *problem.Problem }

// attemptFailed means that the attempt may have run but gave no complete answer.
type attemptFailed struct{ problem *problem.Problem }

func (*attemptAnswered) attemptResult() {}
func (*attemptNotRun) attemptResult()   {}
func (*attemptFailed) attemptResult()   {}

// attempt sends the request to the sidecar of an upstream and relays the answer. N is the
// number of the attempt, from 1.
func (e *Entry) attempt(ctx context.Context, a *answer, u *upstream.View, n int) attemptResult {
	defer e.upstreams.RequestEnded(u.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rq := a.rq
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+u.Address+rq.uri, bytes.NewReader(a.attemptBody()))
	if err != nil {
		return &attemptNotRun{problem.New(problem.Internal, problem.NotRun, http.StatusInternalServerError, "%v", err)}
	}
	hr.Header = rq.header.Clone()
	if rq.atMostOnce() {
		hr.GetBody = nil // otherwise the transport may send the request twice
	}
	e.envelope(rq, n).SetHeaders(hr.Header)
	rs, err := e.deps.PeerClient.Do(hr)
	if err != nil {
		return e.sendFailure(ctx, u, err)
	}
	defer rs.Body.Close()
	if l, ok := loadOf(u, rs.Header); ok {
		e.upstreams.UpdateLoad(u.ID, l, time.Now())
	}
	result := withTrailerRefusal(u, rs, e.relay(a, u, rs))
	if failure, ok := result.(*attemptFailed); ok {
		return withContextCause(ctx, u, failure)
	}
	return result
}

// loadOf returns the load that the sidecar of u reports in its response, if it is that sidecar:
// the address may have passed to another one.
func loadOf(u *upstream.View, h http.Header) (wire.Load, bool) {
	if h.Get(wire.HeaderUpstream) != string(u.ID) {
		return wire.Load{}, false
	}
	return wire.ParseLoad(h.Get(wire.HeaderLoad))
}

// sendFailure classifies a request that received no response. A failed dial proves that nothing
// was sent: over HTTP/2 the transport sends a request on a second connection only if the sidecar
// has refused its stream on the first, unprocessed. The upstream then gets no requests until it
// is heard from.
func (e *Entry) sendFailure(ctx context.Context, u *upstream.View, err error) attemptResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.upstreams.MarkUnreachable(u.ID)
		return &attemptNotRun{problem.New(problem.UpstreamFailed, problem.NotRun, http.StatusBadGateway, "upstream %s: %v", u.ID, err)}
	}
	return withContextCause(ctx, u, failedAttempt(problem.UpstreamFailed, u, err.Error()))
}

// withContextCause replaces a failure by its cause if the request was cancelled or its
// deadline passed.
func withContextCause(ctx context.Context, u *upstream.View, failure *attemptFailed) attemptResult {
	if requestCancelled(ctx) {
		return &attemptFailed{problem.New(problem.CallerGone, problem.RunUnknown, statusClientClosedRequest, "the caller has disconnected")}
	}
	if ctx.Err() != nil {
		return &attemptFailed{problem.New(problem.DeadlineExceeded, problem.RunUnknown, http.StatusGatewayTimeout, "deadline passed at upstream %s", u.ID)}
	}
	return failure
}

// envelope returns what the sidecar is told about an attempt, in headers.
func (e *Entry) envelope(rq *request, attempt int) wire.Envelope {
	return wire.Envelope{
		Request: rq.id, Key: rq.key.ID, Workspace: rq.workspace(), Class: rq.class.Name, Tier: rq.class.Tier,
		Deadline: rq.deadline, Attempt: attempt, ConfigOffset: e.deps.State.Offset(), AtMostOnce: rq.atMostOnce(), Resumable: rq.resumable,
	}
}
