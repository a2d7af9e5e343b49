// Package retry decides whether a request that got no whole answer is sent
// again.
//
// An attempt that was refused before it ran costs an upstream nothing, so it is
// tried again without charge, at growing intervals and a bounded number of times.
// An attempt that may have run is tried again only if the call is idempotent and
// nothing irreversible has reached the caller, and only while its class has
// retry budget: a failure of every upstream must not multiply the load.
package retry

import (
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	maxFruitless = 4  // attempts in a row that may have run and delivered nothing
	maxRefused   = 32 // attempts that were refused as not run, or preempted
	promptly     = 3  // refused attempts that are followed by the next at once; of those that may have run, one

	backoffFrom = 20 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Failure is how an attempt ended without a whole answer.
type Failure struct {
	Reason problem.Reason
	Run    problem.RunStatus
}

// Call is what a decision needs to know of the request.
type Call struct {
	AtMostOnce           bool // must run at most once
	Relayed              bool // a part of the answer has reached the caller
	Resumable            bool // the answer can go on from what has reached the caller
	UnproductiveAttempts int  // attempts in a row that may have run and delivered nothing
	RefusedAttempts      int  // attempts that were refused as not run or preempted, since one delivered something
}

// Decision is what to do after a failed attempt: *Resend or *GiveUp.
type Decision interface{ decision() }

// Resend says that the request is sent again.
type Resend struct {
	Delay   time.Duration
	Charged bool // the attempt was paid from the budget
}

// GiveUp says that the request gets its final refusal.
type GiveUp struct {
	Reason     problem.Reason
	RetryAfter time.Duration // zero: no advice
}

func (*Resend) decision() {}
func (*GiveUp) decision() {}

var (
	_ Decision = (*Resend)(nil)
	_ Decision = (*GiveUp)(nil)
)

// Decide decides after failure f of a request of the budget's class.
func (b *Budget) Decide(now time.Time, c Call, f Failure) Decision {
	stop := &GiveUp{Reason: f.Reason}
	free := f.Run == problem.NotRun || f.Reason == problem.Preempted
	switch {
	case f.Reason == problem.CallerGone || f.Reason == problem.KeyWithdrawn:
		return stop
	case f.Reason == problem.DeadlineExceeded:
		stop.RetryAfter = comeBack
		return stop
	case c.Relayed && !c.Resumable:
		return stop
	case c.AtMostOnce && f.Run != problem.NotRun:
		return stop
	case free && c.RefusedAttempts >= maxRefused, !free && c.UnproductiveAttempts >= maxFruitless:
		stop.RetryAfter = comeBack
		return stop
	case free:
		return &Resend{Delay: backoff(c.RefusedAttempts)}
	case !b.Spend(now):
		return &GiveUp{Reason: problem.RetryBudget, RetryAfter: comeBack}
	}
	return &Resend{Delay: backoff(promptly + c.UnproductiveAttempts - 1), Charged: true}
}

// backoff returns the time to wait after the given number of failed attempts.
func backoff(failed int) time.Duration {
	if failed <= promptly {
		return 0
	}
	d := backoffFrom
	for range failed - promptly - 1 {
		d = min(2*d, backoffMax)
	}
	return d
}
