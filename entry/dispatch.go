package entry

// This file defines dispatch: attempts of one request until it is answered or
// refused.

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/retry"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// maxAvoid is how many upstreams a request remembers that failed it.
const maxAvoid = 4

// run is the attempts of one request.
type run struct {
	e       *Entry
	a       *answer
	budget  *retry.Budget
	avoid   []id.Upstream // failed the request, the latest last
	call    retry.Call
	arrived bool // an attempt may have run
}

// dispatch runs attempts until one answers.
func (e *Entry) dispatch(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx, cancel := withDeadline(r.Context(), rq.deadline)
	defer cancel()
	now := time.Now()
	n := &run{e: e, a: &answer{w: w, rq: rq}, budget: e.budgets.ForClass(now, rq.class.Name)}
	n.call.AtMostOnce = rq.once()
	n.budget.Earn(now)
	got, p := n.attempts(ctx)
	if p != nil {
		n.end(r, p)
		return
	}
	e.meter(rq, got)
	e.decide(time.Now(), rq.id, "relay", "answered", fmt.Sprintf("output_tokens=%d", got.output))
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// attempts runs attempts until the answer is whole or the request is given up.
func (n *run) attempts(ctx context.Context) (used, *problem.Problem) {
	for attempt := 1; ; attempt++ {
		u, p := n.e.admit(ctx, n.a.rq, n.avoid)
		if p != nil {
			return used{}, p
		}
		before := n.a.output
		switch res := n.e.attempt(ctx, n.a, u, attempt).(type) {
		case *answered:
			return res.used, nil
		case *refused:
			n.call.RefusedAttempts++
			p = n.again(ctx, u, res.problem)
		case *broken:
			n.failed(res.problem, before)
			p = n.again(ctx, u, res.problem)
		}
		if p != nil {
			return used{}, p
		}
		if n.a.exhausted() {
			n.a.event(n.a.finishChunk("length"))
			return n.e.complete(n.a, "", n.a.output).(*answered).used, nil
		}
	}
}

// failed counts an attempt that may have run.
func (n *run) failed(p *problem.Problem, before id.Tokens) {
	n.arrived = true
	switch {
	case n.a.output > before:
		n.call.UnproductiveAttempts, n.call.RefusedAttempts = 0, 0
	case p.Reason == problem.Preempted:
		n.call.RefusedAttempts++
	default:
		n.call.UnproductiveAttempts++
	}
}

// again prepares the next attempt after one at u failed with p; it returns the
// final refusal if there is none.
func (n *run) again(ctx context.Context, u *upstream.View, p *problem.Problem) *problem.Problem {
	now, rq := time.Now(), n.a.rq
	n.call.Relayed, n.call.Resumable = n.a.started, n.a.resumable()
	switch d := n.budget.Decide(now, n.call, retry.Failure{Reason: p.Reason, Run: p.Run}).(type) {
	case *retry.GiveUp:
		n.e.decide(now, rq.id, "retry", "stop", fmt.Sprintf("upstream=%s failure=%s run=%s detail=%q", u.ID, p.Reason, p.Run, p.Detail))
		final := *p
		final.Reason, final.RetryAfter = d.Reason, d.RetryAfter
		if d.RetryAfter > 0 && final.Status == http.StatusBadGateway {
			final.Status = http.StatusServiceUnavailable
		}
		return &final
	case *retry.Resend:
		n.e.count("retried_" + string(p.Reason))
		n.e.decide(now, rq.id, "retry", "again", fmt.Sprintf("upstream=%s failure=%s run=%s resume=%t charged=%t output_tokens=%d", u.ID, p.Reason, p.Run, n.a.started, d.Charged, n.a.output))
		n.avoid = append(n.avoid, u.ID)
		n.avoid = n.avoid[max(0, len(n.avoid)-maxAvoid):]
		if n.a.started {
			rq.startBy = now.Add(rq.class.MaxWait) // the wait for the rest counts anew
		}
		pause(ctx, d.Delay)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// end finishes an answer that could not be completed: with a refusal if nothing
// was relayed, else with an explicit error event. What was relayed is billed.
func (n *run) end(r *http.Request, p *problem.Problem) {
	final := *cause(r.Context(), p)
	if n.arrived {
		final.Run = problem.RunUnknown // of an earlier attempt
	}
	if !n.a.started {
		n.e.refuse(n.a.w, r, &final)
		return
	}
	final.Request = string(n.a.rq.id)
	n.e.meterPart(n.a.rq, used{output: n.a.output})
	n.e.count("cut_" + string(final.Reason))
	n.e.decide(time.Now(), n.a.rq.id, "relay", "cut", "reason="+string(final.Reason))
	if !n.a.rq.stream {
		panic(http.ErrAbortHandler)
	}
	n.a.fail(&final)
}
