package gateway

// This file defines the choice of an upstream for an attempt, and how long a request waits for one.

import (
	"context"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
)

// maxSlotWait returns how long a request may wait for a slot of limited upstreams: until its latency
// objective is missed, as its caller does better elsewhere then, but not for long if its deadline is near.
func maxSlotWait(objective, left time.Duration) time.Duration {
	return max(minSlotWait, min(objective, time.Duration(maxSlotWaitFraction*float64(left))))
}

// query returns what the choice of an upstream for the next attempt depends on.
func (f *forwarding) query(now time.Time) *pool.Request {
	return &pool.Request{
		Service: f.req.service, Prompt: f.req.info.Prompt, Avoid: f.avoid, RunsOnce: !f.req.route.Kind.Retryable(), Urgency: f.req.urgency, ArrivedAt: f.req.arrived, MaxWait: f.maxEngineWait(now),
	}
}

// chooseUpstream chooses an upstream for the next attempt. It waits for a while if the
// limits of the upstreams, or a wait that they have asked for, require it.
func (f *forwarding) chooseUpstream(ctx context.Context) (*pool.Assignment, *problem.Problem) {
	query := f.query(time.Now())
	defer f.gateway.deps.Pool.Leave(query)
	began, waits := time.Now(), false
	f.waited = 0
	for {
		now := time.Now()
		assignment, refusal, turn := f.tryChoice(now, began, query)
		switch {
		case refusal != nil:
			return nil, refusal
		case assignment != nil:
			if waits {
				f.waited = now.Sub(began)
			}
			return assignment, nil
		}
		f.gateway.deps.Pool.Wait(query)
		waits = true
		wake := turn.Until
		if check := now.Add(slotCheckInterval); check.Before(wake) {
			wake = check
		}
		if !sleepUntil(ctx, wake) {
			return nil, f.abandonProblem(abandonReason(ctx))
		}
	}
}

// tryChoice returns the upstream for an attempt that has been sought since a time, why the request is refused, or what
// it is to wait for.
func (f *forwarding) tryChoice(now, began time.Time, query *pool.Request) (*pool.Assignment, *problem.Problem, *pool.Throttled) {
	switch choice := f.choose(now, query).(type) {
	case *pool.Assignment:
		if p := f.shutdownProblem(); p != nil {
			choice.Unsent()
			choice.End(now)
			return nil, p, nil
		}
		return choice, nil, nil
	case *pool.NoUpstream:
		retryAfter := busyRetryAfter
		if !choice.RetryAt.IsZero() {
			retryAfter = choice.RetryAt.Sub(now)
		}
		return nil, problem.New(problem.NoUpstream, f.runState(), http.StatusServiceUnavailable,
			"none of %d upstreams of %s takes requests", choice.Known, f.req.service).WithRetryAfter(retryAfter), nil
	case *pool.Overloaded:
		return nil, f.overloadProblem(now, choice), nil
	case *pool.Throttled:
		latestStart := began.Add(minSlotWait)
		if choice.Limited {
			latestStart = began.Add(maxSlotWait(f.req.route.LatencyObjective, f.req.deadline.Sub(began)))
		}
		if choice.Until.After(latestStart) {
			return nil, f.throttledProblem(now, query, choice), nil
		}
		return nil, f.shutdownProblem(), choice
	default:
		return nil, problem.New(problem.Internal, f.runState(), http.StatusInternalServerError, "unknown decision %T", choice), nil
	}
}
