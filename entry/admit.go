package entry

// This file defines admit: a request waits until an upstream has room for it.

import (
	"context"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/route"
	"github.com/ragwortpass/ragwortpass/upstream"
)

const (
	admitPoll  = 20 * time.Millisecond
	retryAfter = time.Second
)

// admit returns the upstream for the next attempt of rq, which it counts as
// started there.
func (e *Entry) admit(ctx context.Context, rq *request, avoid []id.Upstream) (*upstream.View, *problem.Problem) {
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	ask := route.Ask{Model: rq.model, Service: rq.service, Prefix: rq.prefix, Avoid: avoid}
	for {
		changed := e.upstreams.Changed()
		now := time.Now()
		d := route.Choose(now, e.deps.State.Rules(), e.upstreams, ask)
		if c, ok := d.(route.Chosen); ok {
			e.upstreams.Start(c.Upstream.ID)
			e.decide(now, rq.id, "route", "chosen", "upstream="+string(c.Upstream.ID))
			return c.Upstream, nil
		}
		if !now.Before(rq.startBy) {
			return nil, waitedTooLong(d, rq)
		}
		select {
		case <-ctx.Done():
			return nil, problem.New(problem.CallerGone, problem.NotRun, 499, "the caller has left")
		case <-changed:
		case <-time.After(admitPoll):
		}
	}
}

// waitedTooLong returns the refusal of a request that found no room in time.
func waitedTooLong(d route.Decision, rq *request) *problem.Problem {
	reason := problem.NoUpstream
	if _, full := d.(*route.Full); full {
		reason = problem.DeadlineExceeded
	}
	return problem.New(reason, problem.NotRun, http.StatusServiceUnavailable,
		"no upstream had room within %v", rq.class.Wait).WithRetryAfter(retryAfter)
}
