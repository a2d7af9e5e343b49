// Package retry decides whether a request that got no complete answer is sent again.
//
// An attempt that was refused before it ran costs an upstream nothing, so it is
// retried without charging the retry budget, with a growing backoff and up to a
// maximum number of times. An attempt that may have run is retried only if the call
// may run twice, if no part of the answer has reached the caller or the answer can be
// resumed, and while its class has retry budget, because a failure of every upstream
// must not multiply the load. A preempted attempt may have run as well, but is retried
// without charging the budget, like a refused one.
package retry

import (
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	maxSilentCuts    = 2  // consecutive attempts that delivered nothing before the upstream broke off, as one that crashes under the request does
	maxUnproductive  = 4  // consecutive attempts that may have run but delivered nothing
	maxRefused       = 32 // attempts that were refused before they ran, or preempted
	immediateRetries = 3  // refused attempts without a backoff; of those that may have run, only the first has none

	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Failure describes how an attempt ended without a complete answer.
type Failure struct {
	Reason problem.Reason
	Run    problem.RunStatus
}

// Call holds the properties of a request that a retry decision depends on.
type Call struct {
	AtMostOnce           bool // the request must not run twice
	Relayed              bool // part of the answer has reached the caller
	Resumable            bool // the answer can be continued from what has reached the caller
	UnproductiveAttempts int  // consecutive attempts that may have run but delivered nothing
	RefusedAttempts      int  // attempts that were refused before they ran, or preempted, since the last attempt that delivered something
}

// Decision is the result of Budget.Decide: *Resend or *GiveUp.
type Decision interface{ decision() }

// Resend means that the request is sent again.
type Resend struct {
	Delay   time.Duration // backoff before the next attempt
	Charged bool          // the next attempt was charged to the retry budget
}

// GiveUp means that the request is refused for good.
type GiveUp struct {
	Reason     problem.Reason
	RetryAfter time.Duration // zero: no Retry-After header
}

func (*Resend) decision() {}
func (*GiveUp) decision() {}

var (
	_ Decision = (*Resend)(nil)
	_ Decision = (*GiveUp)(nil)
)

// Decide returns whether to retry a request of the budget's class after failure f.
func (b *Budget) Decide(now time.Time, c Call, f Failure) Decision {
	giveUp := &GiveUp{Reason: f.Reason}
	uncharged := f.Run == problem.NotRun || f.Reason == problem.Preempted
	switch {
	case f.Reason == problem.CallerGone || f.Reason == problem.KeyWithdrawn:
		return giveUp
	case f.Reason == problem.DeadlineExceeded:
		giveUp.RetryAfter = retryAfterAdvice
		return giveUp
	case c.Relayed && !c.Resumable:
		return giveUp
	case c.AtMostOnce && f.Run != problem.NotRun:
		return giveUp
	case f.Reason == problem.UpstreamCut && c.UnproductiveAttempts >= maxSilentCuts:
		giveUp.RetryAfter = retryAfterAdvice
		return giveUp
	case uncharged && c.RefusedAttempts >= maxRefused, !uncharged && c.UnproductiveAttempts >= maxUnproductive:
		giveUp.RetryAfter = retryAfterAdvice
		return giveUp
	case uncharged:
		return &Resend{Delay: backoff(c.RefusedAttempts)}
	case !b.Spend(now):
		return &GiveUp{Reason: problem.RetryBudget, RetryAfter: retryAfterAdvice}
	}
	return &Resend{Delay: backoff(immediateRetries + c.UnproductiveAttempts - 1), Charged: true}
}

// backoff returns the delay after the given number of failed attempts. It is zero up
// to immediateRetries and then doubles from minBackoff to maxBackoff.
func backoff(failed int) time.Duration {
	if failed <= immediateRetries {
		return 0
	}
	delay := minBackoff
	for range failed - immediateRetries - 1 {
		delay = min(2*delay, maxBackoff)
	}
	return delay
}
