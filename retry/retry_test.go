package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/problem"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

var t0 = time.Unix(1_800_000_000, 0)

func TestJudge(t *testing.T) {
	notRun := Failure{problem.UpstreamBusy, problem.NotRun}
	cut := Failure{problem.UpstreamCut, problem.RunUnknown}
	preempted := Failure{problem.Preempted, problem.RunUnknown}
	cases := []struct {
		name string
		call Call
		f    Failure
		want Decision
	}{
		{"refused", Call{RefusedAttempts: 1}, notRun, &Resend{}},
		{"refused often", Call{RefusedAttempts: promptly + 1}, notRun, &Resend{Delay: backoffFrom}},
		{"refused for good", Call{RefusedAttempts: maxRefused}, notRun, &GiveUp{Reason: problem.UpstreamBusy, RetryAfter: comeBack}},
		{"once, refused", Call{AtMostOnce: true, RefusedAttempts: 1}, notRun, &Resend{}},
		{"once, cut", Call{AtMostOnce: true, UnproductiveAttempts: 1}, cut, &GiveUp{Reason: problem.UpstreamCut}},
		{"cut", Call{UnproductiveAttempts: 1}, cut, &Resend{Charged: true}},
		{"cut again and again", Call{UnproductiveAttempts: maxFruitless}, cut, &GiveUp{Reason: problem.UpstreamCut, RetryAfter: comeBack}},
		{"cut late", Call{Relayed: true, Resumable: true}, cut, &Resend{Charged: true}},
		{"cut for good", Call{Relayed: true}, cut, &GiveUp{Reason: problem.UpstreamCut}},
		{"preempted", Call{Relayed: true, Resumable: true}, preempted, &Resend{}},
		{"preempted for good", Call{Relayed: true}, preempted, &GiveUp{Reason: problem.Preempted}},
		{"caller gone", Call{}, Failure{problem.CallerGone, problem.RunUnknown}, &GiveUp{Reason: problem.CallerGone}},
		{"too late", Call{}, Failure{problem.DeadlineExceeded, problem.RunUnknown}, &GiveUp{Reason: problem.DeadlineExceeded, RetryAfter: comeBack}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, NewBudget(t0).Decide(t0, c.call, c.f)) })
	}
}

func TestBackoffIsBounded(t *testing.T) {
	for n := range maxRefused {
		require.LessOrEqual(t, backoff(n), backoff(n+1))
		require.LessOrEqual(t, backoff(n), backoffMax)
	}
}

// When every attempt fails, the attempts stay within one for each request plus
// what the requests, the reserve and the time have earned.
func TestStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(t0)
		now := t0
		requests, attempts := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap_ms")) * time.Millisecond)
			requests++
			b.Earn(now)
			for fruitless := 1; ; fruitless++ {
				attempts++
				again, ok := b.Decide(now, Call{UnproductiveAttempts: fruitless}, Failure{problem.UpstreamFailed, problem.RunUnknown}).(*Resend)
				if !ok {
					break
				}
				require.True(t, again.Charged)
			}
		}
		earned := reserve + ratio*float64(requests) + refill*now.Sub(t0).Seconds()
		require.LessOrEqual(t, float64(attempts), float64(requests)+earned+1e-6)
	})
}

// The bucket must agree with one that recounts its whole history.
func TestBudgetAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			at   time.Time
			earn bool
		}
		var history []step
		naive := func() float64 {
			tokens, at := reserve, t0
			for _, s := range history {
				tokens = min(reserve, tokens+refill*s.at.Sub(at).Seconds())
				at = s.at
				switch {
				case s.earn:
					tokens = min(reserve, tokens+ratio)
				case tokens >= 1:
					tokens--
				}
			}
			return tokens
		}
		b := NewBudget(t0)
		now := t0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			earn := rapid.IntRange(0, 3).Draw(t, "kind") == 0
			history = append(history, step{now, earn})
			if earn {
				b.Earn(now)
			} else {
				b.Spend(now)
			}
			require.InDelta(t, naive(), b.tokens, 1e-6)
		}
	})
}
