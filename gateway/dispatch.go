package gateway

// This file defines dispatch: attempts of one request at one upstream after the
// other until the caller has its answer.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	// busyAdvice is when a caller should come back to upstreams that were all full or
	// out of reach: about the time in which a batch ends some of its requests.
	busyAdvice = 300 * time.Millisecond
	// statusCallerGone is logged for a caller that has left; nobody receives it.
	statusCallerGone = 499
	// maxUnsent bounds the upstreams that did not even take a connection; they do not
	// count as attempts.
	maxUnsent = 3
	// maxHold is how long a request waits for its turn at a cold upstream.
	maxHold = 400 * time.Millisecond
)

// outcome is how one attempt ended: *whole, *unsent, *moved, *rejected, *lost or *gone.
type outcome interface{ outcome() }

type (
	// whole says that the caller has the upstream's answer.
	whole struct{ status int }
	// unsent says that no byte of the request has left.
	unsent struct{ err error }
	// moved says that another upstream is at the address, which did not run the request.
	moved struct{}
	// rejected says that the upstream did not run the request and never will.
	rejected struct{ status int }
	// lost says that the request may have run, and its answer is missing or cut.
	lost struct {
		reason problem.Reason
		err    error
	}
	// gone says that the caller has left or its time is over.
	gone struct{ reason problem.Reason }
)

func (*whole) outcome()    {}
func (*unsent) outcome()   {}
func (*moved) outcome()    {}
func (*rejected) outcome() {}
func (*lost) outcome()     {}
func (*gone) outcome()     {}

// run is the attempts of one request.
type run struct {
	g       *Gateway
	rq      *request
	w       http.ResponseWriter
	avoid   []id.Upstream
	sends   int       // attempts of which a byte may have reached an upstream
	unsent  int       // attempts at upstreams that could not be reached or were others
	arrived bool      // something has reached an upstream: a further attempt is a repeat
	mayRun  bool      // some attempt may have run
	started bool      // the caller has the head of an answer
	after   uint64    // the last event that the caller has, if resumes
	resumes bool      // the caller has a part of the stream
	counted bool      // the request was metered
	sentAt  time.Time // when the last attempt began
}

// dispatch runs attempts until one is whole or the request is given up.
func (g *Gateway) dispatch(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	n := &run{g: g, rq: rq, w: w, after: rq.ask.After, resumes: rq.ask.Resumes}
	g.deps.Budget.Earn(rq.arrived, rq.service)
	if p := n.attempts(ctx); p != nil {
		n.end(p)
	}
}

// attempts returns why the request is given up, or nil if the caller has its answer.
func (n *run) attempts(ctx context.Context) *problem.Problem {
	for {
		c, p := n.choose(ctx)
		if p != nil {
			return p
		}
		n.note(c)
		res := n.attempt(ctx, c)
		c.End()
		var failed *problem.Problem
		switch res := res.(type) {
		case *whole:
			n.g.count("answered")
			n.g.observe("whole_answer_ms", time.Since(n.rq.arrived))
			_ = n.g.log(n.rq, "event", "answered", "status", res.status, "upstream", c.Upstream.ID, "attempts", n.sends+n.unsent+1)
			return nil
		case *gone:
			return n.given(res.reason)
		case *unsent:
			n.unsent++
			n.g.deps.Pool.Unreachable(time.Now(), c.Upstream.ID)
			failed = problem.New(problem.UpstreamFailed, n.ran(), http.StatusServiceUnavailable, "upstream %s: %v", c.Upstream.ID, res.err)
		case *moved:
			n.unsent++
			n.arrived = true
			failed = problem.New(problem.UpstreamFailed, n.ran(), http.StatusServiceUnavailable, "another upstream is at the address of %s", c.Upstream.ID)
		case *rejected:
			n.sends++
			n.arrived = true
			failed = problem.New(problem.UpstreamBusy, n.ran(), http.StatusServiceUnavailable, "upstream %s answered %d without running it", c.Upstream.ID, res.status)
		case *lost:
			n.sends++
			n.mayRun, n.arrived = true, true
			failed = problem.New(res.reason, problem.RunUnknown, http.StatusBadGateway, "upstream %s: %v", c.Upstream.ID, res.err)
		}
		if p := n.again(ctx, c, failed); p != nil {
			return p
		}
	}
}

// note logs which upstream was chosen, and why. Of a request whose process ends before it
// does, this line is all that is left.
func (n *run) note(c *pool.Chosen) {
	_ = n.g.log(n.rq, "event", "sent", "upstream", c.Upstream.ID, "choice", c.Reason, "running", c.Running,
		"listed_age", c.Age.Round(time.Millisecond), "urgency", n.rq.urgency, "limit", n.rq.limit, "left", time.Until(n.rq.deadline).Round(time.Millisecond))
}

// choose waits for an upstream that takes the request.
func (n *run) choose(ctx context.Context) (*pool.Chosen, *problem.Problem) {
	ask := &pool.Ask{Service: n.rq.service, Prompt: n.rq.ask.Prompt, Avoid: n.avoid}
	hold := time.Now().Add(maxHold)
	for {
		now := time.Now()
		switch d := n.g.deps.Pool.Choose(now, ask).(type) {
		case *pool.Chosen:
			return d, nil
		case *pool.None:
			return nil, problem.New(problem.NoUpstream, n.ran(), http.StatusServiceUnavailable,
				"none of %d upstreams of %s takes requests", d.Known, n.rq.service).WithRetryAfter(busyAdvice)
		case *pool.Paced:
			if d.Until.After(hold) {
				return nil, problem.New(problem.UpstreamBusy, n.ran(), http.StatusServiceUnavailable,
					"the upstreams of %s are cold", n.rq.service).WithRetryAfter(d.Until.Sub(now))
			}
			if !sleepUntil(ctx, d.Until) {
				return nil, n.given(goneReason(ctx))
			}
		}
	}
}

// sleepUntil waits; it reports false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ran returns what can be said of whether the request has run.
func (n *run) ran() problem.RunStatus {
	if n.mayRun {
		return problem.RunUnknown
	}
	return problem.NotRun
}

// again decides whether another upstream is tried after a failed attempt; it returns
// the final problem if not.
func (n *run) again(ctx context.Context, c *pool.Chosen, failed *problem.Problem) *problem.Problem {
	n.avoid = append(n.avoid, c.Upstream.ID)
	why := n.stop(ctx)
	_ = n.g.log(n.rq, "event", "attempt_failed", "reason", failed.Reason, "run", failed.Run, "upstream", c.Upstream.ID,
		"detail", failed.Detail, "sends", n.sends, "started", n.started, "stop", why)
	if why == "" {
		n.g.count("retried_" + string(failed.Reason))
		return nil
	}
	n.g.count("stopped_" + why)
	return failed.WithRetryAfter(busyAdvice)
}

// stop returns why there is no further attempt, or nothing if there is one.
func (n *run) stop(ctx context.Context) string {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return "time"
	case n.mayRun && !n.rq.route.Kind.Repeatable():
		return "once"
	case n.started && n.rq.route.Kind != catalog.Resumable:
		return "started"
	case n.sends >= n.rq.route.Attempts, n.unsent >= maxUnsent:
		return "attempts"
	case n.arrived && !n.g.deps.Budget.Spend(now, n.rq.service):
		return "budget"
	}
	return ""
}

// goneReason tells a caller that has left from one whose time is over.
func goneReason(ctx context.Context) problem.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.DeadlineExceeded
	}
	return problem.CallerGone
}

func (n *run) given(reason problem.Reason) *problem.Problem {
	if reason == problem.CallerGone {
		return problem.New(reason, n.ran(), statusCallerGone, "the caller has left")
	}
	return problem.New(reason, n.ran(), http.StatusGatewayTimeout, "the time set by the %s is over", n.rq.limit)
}

// end gives the request its final answer.
func (n *run) end(p *problem.Problem) {
	if n.mayRun && p.Run == problem.NotRun {
		p.Run = problem.RunUnknown
	}
	if p.Run == problem.RunUnknown {
		p.RetryAfter = 0 // nothing is gained by waiting
		if p.Status == http.StatusServiceUnavailable {
			p.Status = http.StatusBadGateway // 503 promises that it has not run
		}
	}
	if p.Run == problem.NotRun && p.Status == http.StatusGatewayTimeout {
		p.Status, p.RetryAfter = http.StatusServiceUnavailable, busyAdvice
	}
	if !n.started && p.Reason != problem.CallerGone {
		n.g.refuse(n.w, n.rq, p)
		return
	}
	n.g.count("cut_" + string(p.Reason))
	_ = n.g.log(n.rq, "event", "cut", "reason", p.Reason, "run", p.Run, "detail", p.Detail, "started", n.started, "after", n.after)
	panic(http.ErrAbortHandler) // an answer that ends early must not look complete
}
