package entry

// This file defines dispatch, which makes attempts to run a request until it is
// answered or refused.

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

// maxAvoidedUpstreams is how many upstreams a request avoids after failed attempts.
const maxAvoidedUpstreams = 4

// retryLoop makes the attempts of one request.
type retryLoop struct {
	e          *Entry
	a          *answer
	budget     *retry.Budget
	avoid      []id.Upstream // upstreams of failed attempts, the latest last
	history    retry.Call    // outcomes of the attempts so far
	mayHaveRun bool          // an attempt may have run without a complete answer
}

// dispatch makes attempts until one is answered or the request is refused.
func (e *Entry) dispatch(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx, cancel := withDeadline(r.Context(), rq.deadline)
	defer cancel()
	now := time.Now()
	l := &retryLoop{e: e, a: &answer{w: w, rq: rq}, budget: e.retryBudgets.ForClass(now, rq.class.Name)}
	l.history.AtMostOnce = rq.atMostOnce()
	l.budget.Earn(now)
	used, p := l.run(ctx)
	if p != nil {
		l.finishFailed(r, p)
		return
	}
	e.recordAnswer(rq, used)
	e.traceDecision(time.Now(), rq.id, "relay", "answered", fmt.Sprintf("output_tokens=%d", used.output))
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// run makes attempts until the answer is complete or the request is given up.
func (l *retryLoop) run(ctx context.Context) (tokenUsage, *problem.Problem) {
	for attempt := 1; ; attempt++ {
		u, p := l.e.admit(ctx, l.a.rq, l.avoid)
		if p != nil {
			return tokenUsage{}, p
		}
		outputBefore := l.a.output
		switch result := l.e.attempt(ctx, l.a, u, attempt).(type) {
		case *attemptAnswered:
			return result.used, nil
		case *attemptNotRun:
			l.history.RefusedAttempts++
			p = l.prepareRetry(ctx, u, result.problem)
		case *attemptFailed:
			l.recordFailure(result.problem, outputBefore)
			p = l.prepareRetry(ctx, u, result.problem)
		}
		if p != nil {
			return tokenUsage{}, p
		}
		if l.a.exhausted() {
			l.a.event(l.a.finishChunk("length"))
			return l.e.completeStream(l.a, "", l.a.output).(*attemptAnswered).used, nil
		}
	}
}

// recordFailure counts a failed attempt that may have run. outputBefore is the output
// that had been delivered before it.
func (l *retryLoop) recordFailure(p *problem.Problem, outputBefore id.Tokens) {
	l.mayHaveRun = true
	switch {
	case l.a.output > outputBefore:
		l.history.UnproductiveAttempts, l.history.RefusedAttempts = 0, 0
	case p.Reason == problem.Preempted:
		l.history.RefusedAttempts++
	default:
		l.history.UnproductiveAttempts++
	}
}

// prepareRetry prepares the next attempt after one at u failed with p. It returns the
// final refusal if the request is not retried.
func (l *retryLoop) prepareRetry(ctx context.Context, u *upstream.View, p *problem.Problem) *problem.Problem {
	now, rq := time.Now(), l.a.rq
	l.history.Relayed, l.history.Resumable = l.a.started, l.a.resumable()
	switch d := l.budget.Decide(now, l.history, retry.Failure{Reason: p.Reason, Run: p.Run}).(type) {
	case *retry.GiveUp:
		l.e.traceDecision(now, rq.id, "retry", "stop", fmt.Sprintf("upstream=%s failure=%s run=%s detail=%q", u.ID, p.Reason, p.Run, p.Detail))
		final := *p
		final.Reason, final.RetryAfter = d.Reason, d.RetryAfter
		if d.RetryAfter > 0 && p.Run == problem.NotRun && !l.mayHaveRun && final.Status == http.StatusBadGateway {
			final.Status = http.StatusServiceUnavailable
		}
		return &final
	case *retry.Resend:
		l.e.count("retried_" + string(p.Reason))
		l.e.traceDecision(now, rq.id, "retry", "again", fmt.Sprintf("upstream=%s failure=%s run=%s resume=%t charged=%t output_tokens=%d", u.ID, p.Reason, p.Run, l.a.started, d.Charged, l.a.output))
		l.avoid = append(l.avoid, u.ID)
		l.avoid = l.avoid[max(0, len(l.avoid)-maxAvoidedUpstreams):]
		if l.a.started {
			rq.startBy = now.Add(rq.class.MaxWait) // the rest of the answer may wait for as long again
		}
		sleep(ctx, d.Delay)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
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

// finishFailed ends a request without a complete answer: with a refusal if nothing has been
// relayed, otherwise with an error event, or by aborting the connection if the answer is not
// a stream. The relayed part is billed.
func (l *retryLoop) finishFailed(r *http.Request, p *problem.Problem) {
	final := *withWithdrawal(r.Context(), p)
	final.Repeatable = !l.a.rq.atMostOnce()
	if l.mayHaveRun {
		final.Run = problem.RunUnknown // because of an earlier attempt
	}
	if !l.a.started {
		l.e.refuse(l.a.w, r, &final)
		return
	}
	final.Request = string(l.a.rq.id)
	l.e.recordPartialAnswer(l.a.rq, tokenUsage{output: l.a.output})
	l.e.count("cut_" + string(final.Reason))
	l.e.traceDecision(time.Now(), l.a.rq.id, "relay", "cut", "reason="+string(final.Reason))
	if !l.a.rq.stream {
		panic(http.ErrAbortHandler)
	}
	l.a.errorEvent(&final)
}
