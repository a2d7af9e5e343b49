package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock/clocktest"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// TestClockStepMakesNoUpstreamStale steps the system time after a heartbeat: the upstream must not be lost,
// nor be used for longer than without the step.
func TestClockStepMakesNoUpstreamStale(t *testing.T) {
	for name, step := range map[string]time.Duration{"back": -time.Minute, "ahead": time.Minute} {
		t.Run(name, func(t *testing.T) {
			v := ready("u", 4, 0)
			v.LastHeard = time.Now()
			table := newTable(v)
			now := clocktest.Step(v.LastHeard, step)
			require.IsType(t, Chosen{}, Choose(now, &rule.Set{}, table, Requirements{Model: "m"}))
			require.Equal(t, none, Choose(now.Add(upstream.MinStaleAfter+1), &rule.Set{}, table, Requirements{Model: "m"}))
		})
	}
}
