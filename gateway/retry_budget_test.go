package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

// TestFleetKeepsRetryBudget fails every request of a fleet. In any window, the retries
// of all gateways together must stay within the limit of the fleet.
func TestFleetKeepsRetryBudget(t *testing.T) {
	cfg := gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		gatewayCount := rapid.IntRange(1, 8).Draw(t, "gateways")
		var fleet []*gateway.RetryBudgets
		var nodes []id.Node
		for i := range gatewayCount {
			nodes = append(nodes, id.Node(fmt.Sprint("gateway-", i)))
		}
		start := time.Unix(1_800_000_000, 0)
		for _, node := range nodes {
			b := gateway.NewRetryBudgets(cfg)
			b.SetFleet(quota.NewFleet(node, nodes, start, start))
			fleet = append(fleet, b)
		}
		var sent, retried []time.Time
		for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(50 * time.Millisecond) {
			for n := rapid.IntRange(0, 12).Draw(t, "requests"); n > 0; n-- {
				b := rapid.SampledFrom(fleet).Draw(t, "gateway")
				b.CountRequest(at, "s")
				sent = append(sent, at)
				if b.TakeRetry(at, "s") {
					retried = append(retried, at)
				}
			}
		}
		countInWindow := func(times []time.Time, from time.Time) (n int) {
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(cfg.Window)) {
					n++
				}
			}
			return n
		}
		for from := start; from.Before(start.Add(20 * time.Second)); from = from.Add(500 * time.Millisecond) {
			require.LessOrEqual(t, float64(countInWindow(retried, from)), cfg.Ratio*float64(countInWindow(sent, from))+cfg.Slack)
		}
	})
}

func TestRetryBudgetRecovers(t *testing.T) {
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
