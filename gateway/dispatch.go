package gateway

// This file defines the dispatch of a request: it is sent to one upstream after the
// other until one has answered or the request is given up.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rollout"
)

const (
	// maxEngineWaitFraction is the part of its latency objective for which a request may wait for an
	// engine to read other prompts. The rest is for its own prompt, and for what is not foreseen.
	maxEngineWaitFraction = 0.5
	// busyRetryAfter is the Retry-After if all upstreams were full or unreachable. In
	// about this time some requests of an engine's batch finish.
	busyRetryAfter = 300 * time.Millisecond
	// statusCallerGone is the status of a request whose caller has disconnected. It is
	// never sent.
	statusCallerGone = 499
	// maxUncountedAttempts limits the attempts that do not count towards the route's
	// MaxAttempts, because the upstream could not be reached or another one had its address.
	maxUncountedAttempts = 3
	// maxLoggedParts and maxLoggedPartBytes bound what the log names of a prompt, which callers
	// choose.
	maxLoggedParts, maxLoggedPartBytes = 8, 16
	// maxErrorRunes bounds what callers and the log are told of an upstream's error, which may repeat
	// what the upstream has sent.
	maxErrorRunes = 256
	// minSlotWait is how long any request may wait for upstreams that are cold, have named a limit or
	// have asked for a wait, and maxSlotWaitFraction the part of its time for which one may wait for
	// limited upstreams whose route has a longer latency objective.
	minSlotWait         = 400 * time.Millisecond
	maxSlotWaitFraction = 1.0 / 4
	// slotCheckInterval is how often a request that waits looks for an upstream that has become free
	// sooner than expected.
	slotCheckInterval = 250 * time.Millisecond
)

// outcome is the result of one attempt: *answered, *notSent, *misdirected, *rejected,
// *responseLost or *abandoned.
type outcome interface {
	// mayHaveRun reports whether the upstream may have run the request, or may still run it.
	// Only evidence to the contrary makes it false.
	mayHaveRun() bool
}

type (
	// answered means that the caller has received the upstream's whole response.
	answered struct{ status int }
	// notSent means that no byte of the request was written to an upstream.
	notSent struct {
		err         error
		unreachable bool // the upstream could not be connected to, or its connection was broken
	}
	// misdirected means that another upstream has the address and did not run the request.
	misdirected struct{}
	// rejected means that the upstream did not run the request and never will.
	rejected struct{ status int }
	// responseLost means that the request may have run, but its response is missing,
	// incomplete or unusable.
	responseLost struct {
		reason problem.Reason
		err    error
	}
	// abandoned means that the caller has disconnected or the deadline has passed.
	abandoned struct {
		reason problem.Reason
		unsent bool // no byte of the request was written to the upstream
	}
)

func (*answered) mayHaveRun() bool     { return true }
func (*notSent) mayHaveRun() bool      { return false }
func (*misdirected) mayHaveRun() bool  { return false }
func (*rejected) mayHaveRun() bool     { return false }
func (*responseLost) mayHaveRun() bool { return true }
func (a *abandoned) mayHaveRun() bool  { return !a.unsent }

// forwarding is the state of forwarding one request to upstreams.
type forwarding struct {
	streamProgress
	gateway           *Gateway
	req               *request
	w                 http.ResponseWriter
	avoid             []id.Upstream   // upstreams of failed attempts
	countedAttempts   int             // failed attempts of which a byte may have reached the chosen upstream
	uncountedAttempts int             // failed attempts at an upstream that was unreachable or whose address another one has
	reachedUpstream   bool            // an upstream has received something, so that a further attempt uses the retry budget
	mayHaveRun        bool            // an upstream may have run the request
	headSent          bool            // the caller has the status and headers of a response
	metered           bool            // the request has been counted as usage
	parts             []id.PromptPart // parts of the prompt that other requests may have
	crashes           int             // upstreams that have crashed under the request before they had shown to survive it
	attemptStarted    time.Time       // start of the latest attempt
	waited            time.Duration   // for a slot, before the latest attempt
	exchange          *exchange       // of the latest attempt; nil: no connection
	firstEvent        time.Time       // of the latest attempt; zero: none yet
	survived          bool            // the upstream of the latest attempt has survived the request
	response          *ownResponse    // of the latest attempt; nil: none yet
	plan              *rollout.Plan   // of the latest attempt; nil: its service has no order
}

// dispatch sends a request to upstreams until the caller has a response.
func (g *Gateway) dispatch(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	f := &forwarding{gateway: g, req: req, w: w, streamProgress: streamProgress{lastEventID: req.info.LastEventID, resuming: req.info.Resumes}, parts: partIDs(&req.info.Prompt)}
	g.deps.Quarantine.CountRequest(f.parts)
	g.deps.RetryBudgets.CountRequest(req.arrived, req.service)
	if p := f.runAttempts(ctx); p != nil {
		f.finish(p)
	}
}

// runAttempts makes attempts until one succeeds. It returns why the request is given
// up, or nil if the caller has the upstream's response.
func (f *forwarding) runAttempts(ctx context.Context) *problem.Problem {
	for {
		if p := f.heldProblem(); p != nil {
			return p
		}
		assignment, p := f.chooseUpstream(ctx)
		if p != nil {
			return p
		}
		f.logAssignment(assignment)
		result := f.send(ctx, assignment)
		assignment.End(time.Now())
		f.mayHaveRun = f.mayHaveRun || result.mayHaveRun()
		f.noteVersion(assignment, result)
		var failed *problem.Problem
		switch result := result.(type) {
		case *answered:
			f.gateway.incrementCounter("answered")
			f.gateway.observeDuration("whole_answer_ms", time.Since(f.req.arrived))
			_ = f.gateway.logRequest(f.req, "event", "answered", "status", result.status, "upstream", assignment.Upstream.ID, "attempts", f.countedAttempts+f.uncountedAttempts+1, "connection", f.exchange.connection(), "response", f.response)
			return nil
		case *abandoned:
			if result.unsent {
				assignment.Unsent()
			}
			f.logAbandoned(assignment, result.reason)
			return f.abandonProblem(result.reason)
		case *notSent:
			f.uncountedAttempts++
			assignment.Unsent()
			if result.unreachable {
				f.gateway.deps.Pool.MarkUnreachable(time.Now(), assignment.Upstream.ID)
			}
			failed = problem.New(problem.UpstreamFailed, f.runState(), http.StatusServiceUnavailable, "upstream %s: %.*v", assignment.Upstream.ID, maxErrorRunes, result.err)
		case *misdirected:
			f.uncountedAttempts++
			f.reachedUpstream = true
			failed = problem.New(problem.UpstreamFailed, f.runState(), http.StatusServiceUnavailable, "another upstream is at the address of %s", assignment.Upstream.ID)
		case *rejected:
			f.countedAttempts++
			f.reachedUpstream = true
			failed = problem.New(problem.UpstreamBusy, f.runState(), http.StatusServiceUnavailable, "upstream %s answered %d without running it", assignment.Upstream.ID, result.status)
		case *responseLost:
			f.countedAttempts++
			f.reachedUpstream = true
			if result.reason == problem.UpstreamCut && !f.survived && f.mindsCrashes() {
				f.noteCut(ctx, assignment)
			}
			failed = problem.New(result.reason, problem.RunUnknown, http.StatusBadGateway, "upstream %s: %.*v", assignment.Upstream.ID, maxErrorRunes, result.err)
			if result.reason == problem.PromptHeld || result.reason == problem.Leaving {
				return failed
			}
		}
		if p := f.retryOrStop(ctx, assignment, failed); p != nil {
			return p
		}
	}
}

// logAssignment logs which upstream was chosen, and why. If the process ends before the
// request does, this line is the only trace of where the request was sent.
func (f *forwarding) logAssignment(assignment *pool.Assignment) {
	fields := []any{"event", "sent", "upstream", assignment.Upstream.ID, "choice", assignment.Reason, "running", assignment.Running}
	if assignment.Limited {
		fields = append(fields, "part", assignment.Part)
	}
	if assignment.Expected > 0 {
		fields = append(fields, "expected", assignment.Expected.Round(time.Millisecond))
	}
	if f.plan != nil {
		fields = append(fields, "version", assignment.Upstream.Version, "rollout", f.plan.State, "canary", f.plan.Canary)
	}
	if assignment.ExpectedEnd > 0 {
		fields = append(fields, "expected_end", assignment.ExpectedEnd.Round(time.Millisecond))
	}
	if f.waited > 0 {
		f.gateway.incrementCounter("waited_for_slot")
		fields = append(fields, "waited", f.waited.Round(time.Millisecond))
	}
	_ = f.gateway.logRequest(f.req, append(fields, "heard", f.heardAge(assignment), "doubted", assignment.NewConnection, "listed_age", assignment.ListingAge.Round(time.Millisecond), "urgency", f.req.urgency, "limit", f.req.deadlineSource, "left", time.Until(f.req.deadline).Round(time.Millisecond), "parts", loggedParts(&f.req.info.Prompt))...)
}

// loggedParts returns the ids of the parts that a prompt may share with others, for the log.
func loggedParts(p *pool.Prompt) string {
	parts := p.SharedParts()
	ids := make([]string, 0, len(parts))
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, string(part.ID[:min(len(part.ID), maxLoggedPartBytes)]))
	}
	return strings.Join(ids, ",")
}

// logAbandoned logs where a request was that its caller or its deadline has ended. An upstream
// that was not heard from since the attempt began has given no sign that it received the request.
func (f *forwarding) logAbandoned(assignment *pool.Assignment, reason problem.Reason) {
	if assignment.LastHeard().Before(f.attemptStarted) {
		f.gateway.incrementCounter("abandoned_unheard")
	}
	_ = f.gateway.logRequest(f.req, "event", "attempt_abandoned", "reason", reason, "upstream", assignment.Upstream.ID,
		"connection", f.exchange.connection(), "written", f.exchange.bytesWritten(), "response", f.response, "heard", f.heardAge(assignment), "started", f.headSent)
}

// heardAge returns how long ago this gateway last heard from an upstream, for the log.
func (f *forwarding) heardAge(assignment *pool.Assignment) string {
	last := assignment.LastHeard()
	if last.IsZero() {
		return "never"
	}
	return time.Since(last).Round(time.Millisecond).String()
}

// shutdownProblem returns the problem of a request that may outlast the process, also one that has waited since
// it was accepted, or nil. The rest of a stream that has begun is sought for as long as the process runs.
func (f *forwarding) shutdownProblem() *problem.Problem {
	if f.headSent || !f.gateway.exceedsShutdown(f.req.deadline) {
		return nil
	}
	p := f.gateway.leavingProblem(f.req)
	p.Run = f.runState()
	return p
}

// maxEngineWait returns how long the next attempt may wait for an engine to read other prompts, so that
// the answer can still be in time, or zero if the caller has a part of the answer.
func (f *forwarding) maxEngineWait(now time.Time) time.Duration {
	if f.headSent || f.req.route.LatencyObjective == 0 {
		return 0
	}
	return MaxEngineWait(f.req.route.LatencyObjective, f.req.deadline.Sub(now))
}

// MaxEngineWait returns how long a request with a latency objective may wait for an engine to read other
// prompts, if some time is left until its deadline.
func MaxEngineWait(objective, left time.Duration) time.Duration {
	return time.Duration(maxEngineWaitFraction * float64(min(objective, left)))
}

// overloadProblem returns the problem of a request that no engine is expected to begin in time, or that is
// refused for the sake of more urgent ones.
func (f *forwarding) overloadProblem(now time.Time, choice *pool.Overloaded) *problem.Problem {
	wait := choice.Wait.Round(time.Millisecond)
	detail := fmt.Sprintf("the upstreams of %s would begin the answer after %v", f.req.service, wait)
	if shed := choice.Shed; shed != nil {
		why := "are refused"
		if shed.ForSlots {
			why = "need the slots"
		}
		detail = fmt.Sprintf("more urgent requests %s of %s, %d of %d in use, and %.2f of urgency %d begin; the wait would be %v",
			why, f.req.service, shed.Load.Running, shed.Slots, shed.Share, f.req.urgency, wait)
	}
	return problem.New(problem.UpstreamOverloaded, f.runState(), http.StatusServiceUnavailable, "%s", detail).WithRetryAfter(choice.RetryAt.Sub(now))
}

// throttledProblem returns the problem of a request that cannot wait for a slot of the upstreams.
func (f *forwarding) throttledProblem(now time.Time, query *pool.Request, choice *pool.Throttled) *problem.Problem {
	retryAfter := f.gateway.deps.Pool.Refuse(now, query, choice).Sub(now)
	if choice.Limited {
		return problem.New(problem.UpstreamLimited, f.runState(), http.StatusServiceUnavailable,
			"the upstreams of %s have named limits that are used up", f.req.service).WithRetryAfter(retryAfter)
	}
	return problem.New(problem.UpstreamBusy, f.runState(), http.StatusServiceUnavailable,
		"the upstreams of %s are cold or have asked for a wait", f.req.service).WithRetryAfter(retryAfter)
}

// sleepUntil waits until t. It returns false if ctx is done first.
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

// runState returns whether the attempts so far may have run the request.
func (f *forwarding) runState() problem.RunStatus {
	if f.mayHaveRun {
		return problem.RunUnknown
	}
	return problem.NotRun
}

// retryOrStop decides whether a failed attempt is followed by another one. It returns
// the final problem if it is not.
func (f *forwarding) retryOrStop(ctx context.Context, assignment *pool.Assignment, failed *problem.Problem) *problem.Problem {
	f.avoid = append(f.avoid, assignment.Upstream.ID)
	stop := f.stopReason(ctx)
	_ = f.gateway.logRequest(f.req, "event", "attempt_failed", "reason", failed.Reason, "run", failed.Run, "upstream", assignment.Upstream.ID,
		"detail", failed.Detail, "connection", f.exchange.connection(), "written", f.exchange.bytesWritten(), "response", f.response, "heard", f.heardAge(assignment), "sends", f.countedAttempts, "started", f.headSent, "stop", stop)
	if stop == "" {
		f.gateway.incrementCounter("retried_" + string(failed.Reason))
		return nil
	}
	f.gateway.incrementCounter("stopped_" + stop)
	return failed.WithRetryAfter(busyRetryAfter)
}

// stopReason returns why there is no further attempt, as in logs and counters, or "" if
// there is one. In that case it takes a retry from the budget, unless no attempt has reached
// an upstream.
func (f *forwarding) stopReason(ctx context.Context) string {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return "time"
	case f.mayHaveRun && !f.req.route.Kind.Retryable():
		return "once"
	case f.headSent && (f.req.route.Kind != catalog.KindResumable || f.unnumbered):
		return "started"
	case f.crashes >= maxCrashesPerRequest:
		return "crashes"
	case f.countedAttempts >= f.req.route.MaxAttempts, f.uncountedAttempts >= maxUncountedAttempts:
		return "attempts"
	case f.reachedUpstream && !f.gateway.deps.RetryBudgets.TakeRetry(now, f.req.service):
		return "budget"
	}
	return ""
}

// abandonReason returns whether the deadline has passed or the caller has
// disconnected. Ctx is done.
func abandonReason(ctx context.Context) problem.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.DeadlineExceeded
	}
	return problem.CallerGone
}

// abandonProblem returns the problem of a request that is abandoned for a reason.
func (f *forwarding) abandonProblem(reason problem.Reason) *problem.Problem {
	if reason == problem.CallerGone {
		return problem.New(reason, f.runState(), statusCallerGone, "the caller has left")
	}
	return problem.New(reason, f.runState(), http.StatusGatewayTimeout, "the time set by the %s is over", f.req.deadlineSource)
}

// finish ends a request that has failed: with a problem document, or by cutting the
// connection if the caller has disconnected or already has a part of the response.
func (f *forwarding) finish(p *problem.Problem) {
	if f.mayHaveRun && p.Run == problem.NotRun {
		p.Run = problem.RunUnknown
	}
	if p.Run == problem.RunUnknown {
		p.RetryAfter = 0 // waiting does not make a retry safe
		if problem.PromisesNotRun(p.Status) {
			p.Status = http.StatusBadGateway
		}
	}
	if p.Run == problem.NotRun && p.Status == http.StatusGatewayTimeout {
		p.Status, p.RetryAfter = http.StatusServiceUnavailable, busyRetryAfter
	}
	if !f.headSent && p.Reason != problem.CallerGone {
		f.gateway.refuse(f.w, f.req, p)
		return
	}
	f.gateway.incrementCounter("cut_" + string(p.Reason))
	_ = f.gateway.logRequest(f.req, "event", "cut", "reason", p.Reason, "run", p.Run, "detail", p.Detail, "started", f.headSent, "after", f.lastEventID)
	panic(http.ErrAbortHandler) // a truncated response must not look complete
}
