package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/problem"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestDecide checks which failures are retried, after which delay, and whether the retry
// budget is charged.
func TestDecide(t *testing.T) {
	notRun := Failure{problem.UpstreamBusy, problem.NotRun}
	cut := Failure{problem.UpstreamCut, problem.RunUnknown}
	failed := Failure{problem.UpstreamFailed, problem.RunUnknown}
	preempted := Failure{problem.Preempted, problem.RunUnknown}
	cases := []struct {
		name    string
		call    Call
		failure Failure
		want    Decision
	}{
		{"refused", Call{RefusedAttempts: 1}, notRun, &Resend{}},
		{"refused more often than is retried at once", Call{RefusedAttempts: immediateRetries + 1}, notRun, &Resend{Delay: minBackoff}},
		{"refused too often", Call{RefusedAttempts: maxRefused}, notRun, &GiveUp{Reason: problem.UpstreamBusy, RetryAfter: retryAfterAdvice}},
		{"at most once, refused", Call{AtMostOnce: true, RefusedAttempts: 1}, notRun, &Resend{}},
		{"at most once, connection cut", Call{AtMostOnce: true, UnproductiveAttempts: 1}, cut, &GiveUp{Reason: problem.UpstreamCut}},
		{"connection cut", Call{UnproductiveAttempts: 1}, cut, &Resend{Charged: true}},
		{"connection cut too often", Call{UnproductiveAttempts: maxSilentCuts}, cut, &GiveUp{Reason: problem.UpstreamCut, RetryAfter: retryAfterAdvice}},
		{"failed a second time", Call{UnproductiveAttempts: maxSilentCuts}, failed, &Resend{Delay: minBackoff, Charged: true}},
		{"failed too often", Call{UnproductiveAttempts: maxUnproductive}, failed, &GiveUp{Reason: problem.UpstreamFailed, RetryAfter: retryAfterAdvice}},
		{"connection cut in a resumable answer", Call{Relayed: true, Resumable: true}, cut, &Resend{Charged: true}},
		{"connection cut in an answer that cannot be resumed", Call{Relayed: true}, cut, &GiveUp{Reason: problem.UpstreamCut}},
		{"preempted in a resumable answer", Call{Relayed: true, Resumable: true}, preempted, &Resend{}},
		{"preempted in an answer that cannot be resumed", Call{Relayed: true}, preempted, &GiveUp{Reason: problem.Preempted}},
		{"caller gone", Call{}, Failure{problem.CallerGone, problem.RunUnknown}, &GiveUp{Reason: problem.CallerGone}},
		{"deadline exceeded", Call{}, Failure{problem.DeadlineExceeded, problem.RunUnknown}, &GiveUp{Reason: problem.DeadlineExceeded, RetryAfter: retryAfterAdvice}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, NewBudget(epoch).Decide(epoch, c.call, c.failure)) })
	}
}

// TestBackoffIsBounded checks that the backoff never falls from one attempt to the next
// and never exceeds maxBackoff.
func TestBackoffIsBounded(t *testing.T) {
	for n := range maxRefused {
		require.LessOrEqual(t, backoff(n), backoff(n+1))
		require.LessOrEqual(t, backoff(n), maxBackoff)
	}
}

// TestBudgetBoundsAttempts checks that, when every attempt fails, the number of
// attempts is at most one per request plus the retries that the initial budget, the
// requests and the elapsed time provide.
func TestBudgetBoundsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(epoch)
		now := epoch
		requests, attempts := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap_ms")) * time.Millisecond)
			requests++
			b.Earn(now)
			for unproductive := 1; ; unproductive++ {
				attempts++
				resend, ok := b.Decide(now, Call{UnproductiveAttempts: unproductive}, Failure{problem.UpstreamFailed, problem.RunUnknown}).(*Resend)
				if !ok {
					break
				}
				require.True(t, resend.Charged)
			}
		}
		earned := maxSavedRetries + retriesPerRequest*float64(requests) + refillPerSecond*now.Sub(epoch).Seconds()
		require.LessOrEqual(t, float64(attempts), float64(requests)+earned+1e-6)
	})
}

// TestBudgetMatchesReference compares the budget with an implementation that
// recomputes it from the whole history.
func TestBudgetMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			at   time.Time
			earn bool
		}
		var history []step
		reference := func() float64 {
			retries, at := maxSavedRetries, epoch
			for _, s := range history {
				retries = min(maxSavedRetries, retries+refillPerSecond*s.at.Sub(at).Seconds())
				at = s.at
				switch {
				case s.earn:
					retries = min(maxSavedRetries, retries+retriesPerRequest)
				case retries >= 1:
					retries--
				}
			}
			return retries
		}
		b := NewBudget(epoch)
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			earn := rapid.IntRange(0, 3).Draw(t, "kind") == 0
			history = append(history, step{now, earn})
			if earn {
				b.Earn(now)
			} else {
				b.Spend(now)
			}
			require.InDelta(t, reference(), b.retries, 1e-6)
		}
	})
}
