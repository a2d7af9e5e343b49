package bench_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/bench"
)

// TestFleet guards against calls that fail in a small fleet without faults, with each
// policy.
func TestFleet(t *testing.T) {
	for _, policy := range []bench.Policy{bench.PolicyRagwortpass, bench.PolicyNaive} {
		t.Run(string(policy), func(t *testing.T) {
			d, err := bench.FindDeployment("hingeworks")
			require.NoError(t, err)
			d.Services = 1
			set, err := d.RuleSet()
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			f, err := bench.StartFleet(ctx, bench.FleetConfig{Deployment: d, Policy: policy, Engines: 2, WarmEngines: true})
			require.NoError(t, err)
			defer f.Close()
			plan := bench.Plan{Deployment: d, Seed: 1, RateFactor: 0.1, Duration: 2 * time.Second}
			load := &bench.LoadGenerator{Balancer: bench.NewBalancer(f.Entries()), Keys: f.Keys, Model: d.Model}
			arrivals := plan.Arrivals(set)
			begin := time.Now()
			r := bench.NewReport(d, set, load.Run(ctx, arrivals), begin, plan.Duration)
			require.Len(t, arrivals, r.Total.Calls)
			require.True(t, r.AllResolved(), r.Notes)
			require.Equal(t, r.Total.Calls, r.Total.Outcomes[bench.Whole], r.Total.Reasons)
			require.NotEmpty(t, f.EngineRuns())
		})
	}
}
