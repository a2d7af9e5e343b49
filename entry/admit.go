package entry

// This file defines admit: a request waits in the queue of its model or service
// until an upstream has room for it.

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

const retryAfter = time.Second // the least advice

// ticket is one request in a queue. Its outcome is sent once.
type ticket struct {
	waiter  tier.Waiter
	rq      *request
	ask     route.Requirements
	outcome chan outcome
}

// outcome is an upstream, on which the request is counted as started, or a
// refusal.
type outcome struct {
	upstream *upstream.View
	problem  *problem.Problem
}

// admit returns the upstream for the next attempt of rq, which it counts as
// started there. A request that comes back keeps the place of its arrival.
func (e *Entry) admit(ctx context.Context, rq *request, avoid []id.Upstream) (*upstream.View, *problem.Problem) {
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	t := e.newTicket(rq, avoid)
	rq.admitted = true
	q := e.queues.of(target{model: rq.model, service: rq.service})
	q.push(time.Now(), t)
	select {
	case o := <-t.outcome:
		return o.upstream, o.problem
	case <-ctx.Done():
		q.leave(time.Now(), t)
		return nil, leftQueue(ctx, rq)
	}
}

func (e *Entry) newTicket(rq *request, avoid []id.Upstream) *ticket {
	t := &ticket{
		rq:      rq,
		ask:     route.Requirements{Model: rq.model, Service: rq.service, Prefix: rq.prefix, Avoid: avoid},
		outcome: make(chan outcome, 1),
	}
	t.waiter = tier.Waiter{
		Request: rq.id, Workspace: rq.workspace(), Class: rq.class.Name, Tier: rq.class.Tier, Floor: rq.class.Floor,
		Cost: rq.cost(), Arrived: rq.arrived, StartBy: rq.startBy, Requeued: rq.admitted, Owner: t,
	}
	if ws := e.deps.State.Rules().Workspaces[rq.workspace()]; ws != nil {
		t.waiter.Share = ws.Weight
	}
	if !rq.deadline.IsZero() && rq.deadline.Before(rq.startBy) {
		t.waiter.StartBy = rq.deadline
	}
	return t
}

// cost returns the tokens that the request is expected to keep an upstream busy
// with.
func (rq *request) cost() id.Tokens {
	if rq.service != "" {
		return 1
	}
	return max(1, rq.expected)
}

// leftQueue returns the refusal of a request whose context ended while it waited.
func leftQueue(ctx context.Context, rq *request) *problem.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(problem.DeadlineExceeded, problem.NotRun, http.StatusServiceUnavailable,
			"not dispatched within %v", rq.class.Deadline).WithRetryAfter(retryAfter)
	}
	return problem.New(problem.CallerGone, problem.NotRun, 499, "the caller has left")
}

// refuseWaiter sends the final refusal of a waiter that is in no queue any more.
func (q *queue) refuseWaiter(now time.Time, w *tier.Waiter, reason problem.Reason, format string, args ...any) {
	t := w.Owner.(*ticket)
	p := problem.New(reason, problem.NotRun, http.StatusServiceUnavailable, format, args...)
	q.e.decide(now, t.rq.id, "admit", string(reason), fmt.Sprintf("%s tier=%v waited=%v queue=%d", p.Detail, w.Tier, now.Sub(w.Arrived), q.waiters.Len()))
	t.outcome <- outcome{problem: p.WithRetryAfter(q.advice(now))}
}

// advice returns how long a refused caller should wait: about as long as it takes
// to serve those who wait now.
func (q *queue) advice(now time.Time) time.Duration {
	wait, known := q.waiters.ExpectedWait(now)
	if !known {
		return retryAfter
	}
	return min(max(wait, retryAfter), maxRetryAfter)
}
