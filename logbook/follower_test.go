package logbook_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock/clocktest"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// TestClockStepKeepsLogAvailable steps the system time after a read of the log: whether it was read lately
// must not depend on that.
func TestClockStepKeepsLogAvailable(t *testing.T) {
	const within = 10 * time.Second
	f := logbook.NewFollower(&memoryLog{first: 1}, logbook.NewState(), log.NewNopLogger(), metrics.NewRegistry())
	require.False(t, f.LogAvailable(time.Now(), within))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	ragworttest.Eventually(t, func() bool { return f.LogAvailable(time.Now(), within) }, "the log is read")
	cancel()
	for _, step := range []time.Duration{-time.Minute, time.Minute} {
		now := clocktest.Step(time.Now(), step)
		require.True(t, f.LogAvailable(now, within))
		require.False(t, f.LogAvailable(now.Add(within+time.Second), within))
	}
}
