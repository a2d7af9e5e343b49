package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/gateway"
)

// TestFleetKeepsTheBudget lets every request of a fleet fail: in any window, the
// repeats of all entries stay within the bound of the fleet.
func TestFleetKeepsTheBudget(t *testing.T) {
	cfg := gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		var all []*gateway.RetryBudgets
		for range entries {
			b := gateway.NewRetryBudgets(cfg)
			b.SetGateways(entries)
			all = append(all, b)
		}
		start := time.Unix(1_800_000_000, 0)
		var sent, repeated []time.Time
		for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(50 * time.Millisecond) {
			for n := rapid.IntRange(0, 12).Draw(t, "requests"); n > 0; n-- {
				b := rapid.SampledFrom(all).Draw(t, "entry")
				b.CountRequest(at, "s")
				sent = append(sent, at)
				if b.TakeRetry(at, "s") {
					repeated = append(repeated, at)
				}
			}
		}
		in := func(times []time.Time, from time.Time) (n int) {
			for _, x := range times {
				if !x.Before(from) && x.Before(from.Add(cfg.Window)) {
					n++
				}
			}
			return n
		}
		for from := start; from.Before(start.Add(20 * time.Second)); from = from.Add(500 * time.Millisecond) {
			require.LessOrEqual(t, float64(in(repeated, from)), cfg.Ratio*float64(in(sent, from))+cfg.Slack)
		}
	})
}

func TestBudgetRecovers(t *testing.T) {
	b := gateway.NewRetryBudgets(gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 4, Window: 10 * time.Second})
	now := time.Unix(1_800_000_000, 0)
	n := 0
	for b.TakeRetry(now, "s") {
		n++
	}
	require.Positive(t, n)
	require.False(t, b.TakeRetry(now.Add(5*time.Second), "s"))
	require.True(t, b.TakeRetry(now.Add(12*time.Second), "s"))
	require.True(t, b.TakeRetry(now, "other"))
}
