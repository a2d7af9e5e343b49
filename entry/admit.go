package entry

// This file defines the admit filter: a request waits in the queue of its model or
// service until an upstream has capacity.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/route"
	"github.com/ragwortpass/ragwortpass/tier"
	"github.com/ragwortpass/ragwortpass/upstream"
)

const minRetryAfter = time.Second // lower bound of Retry-After

// pendingRequest is a request in a queue. Its result is sent once, or never if the request
// is removed from the queue by cancel.
type pendingRequest struct {
	waiter       tier.Waiter
	rq           *request
	requirements route.Requirements
	result       chan admission
}

// admission is either the upstream chosen for a request, on which the request
// already counts as started, or a refusal.
type admission struct {
	upstream *upstream.View
	problem  *problem.Problem
}

// admit waits for an upstream for the next attempt of rq and counts the request as
// started there. A retried request keeps its queue position by its time of arrival.
func (e *Entry) admit(ctx context.Context, rq *request, avoid []id.Upstream) (*upstream.View, *problem.Problem) {
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	pending := e.newPendingRequest(rq, avoid)
	rq.queuedBefore = true
	q := e.queues.get(target{model: rq.model, service: rq.service})
	q.push(time.Now(), pending)
	select {
	case o := <-pending.result:
		return o.upstream, o.problem
	case <-ctx.Done():
		q.cancel(time.Now(), pending)
		return nil, waitEndedProblem(ctx, rq)
	}
}

func (e *Entry) newPendingRequest(rq *request, avoid []id.Upstream) *pendingRequest {
	p := &pendingRequest{
		rq:           rq,
		requirements: route.Requirements{Model: rq.model, Service: rq.service, Prefix: rq.prefixHash, Avoid: avoid},
		result:       make(chan admission, 1),
	}
	p.waiter = tier.Waiter{
		Request: rq.id, Workspace: rq.workspace(), Class: rq.class.Name, Tier: rq.class.Tier, Floor: rq.class.Floor,
		Cost: rq.cost(), Arrived: rq.arrived, StartBy: rq.startBy, Requeued: rq.queuedBefore, Owner: p,
	}
	if ws := e.deps.State.Rules().Workspaces[rq.workspace()]; ws != nil {
		p.waiter.Share = ws.Weight
	}
	if !rq.deadline.IsZero() && rq.deadline.Before(rq.startBy) {
		p.waiter.StartBy = rq.deadline
	}
	return p
}

// cost returns the expected work of the request for an upstream, in tokens; it is 1 for a
// request to a plain service.
func (rq *request) cost() id.Tokens {
	if rq.service != "" {
		return 1
	}
	return max(1, rq.expectedOutput)
}

// waitEndedProblem returns the refusal of a request whose context ended in the queue.
func waitEndedProblem(ctx context.Context, rq *request) *problem.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(problem.DeadlineExceeded, problem.NotRun, http.StatusServiceUnavailable,
			"not dispatched within %v", rq.class.Deadline).WithRetryAfter(minRetryAfter)
	}
	return problem.New(problem.CallerGone, problem.NotRun, 499, "the caller has disconnected")
}

// refuseWaiter refuses a waiter that has been removed from the queue.
func (q *queue) refuseWaiter(now time.Time, w *tier.Waiter, reason problem.Reason, format string, args ...any) {
	pending := w.Owner.(*pendingRequest)
	p := problem.New(reason, problem.NotRun, http.StatusServiceUnavailable, format, args...)
	q.e.traceDecision(now, pending.rq.id, "admit", string(reason), fmt.Sprintf("%s tier=%v waited=%v queue=%d", p.Detail, w.Tier, now.Sub(w.Arrived), q.waiters.Len()))
	pending.result <- admission{problem: p.WithRetryAfter(q.retryAfter(now))}
}

// retryAfter returns how long a refused caller should wait, which is about the time
// it takes to serve the present queue.
func (q *queue) retryAfter(now time.Time) time.Duration {
	wait, known := q.waiters.ExpectedWait(now)
	if !known {
		return minRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
