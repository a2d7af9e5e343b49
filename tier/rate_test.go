package tier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock/clocktest"
)

// TestClockStepKeepsDispatchRate steps the system time while a queue is served: the measured rate must be
// that of the monotonic clock.
func TestClockStepKeepsDispatchRate(t *testing.T) {
	const interval = 100 * time.Millisecond
	for name, step := range map[string]time.Duration{"back": -time.Minute, "none": 0, "ahead": time.Minute} {
		t.Run(name, func(t *testing.T) {
			var r dispatchRate
			now := time.Now()
			r.start(now)
			for i := range 100 {
				now = now.Add(interval)
				if i == 50 {
					now = clocktest.Step(now, step)
				}
				r.countDispatch(now)
			}
			perSecond, known := r.perSecond(now)
			require.True(t, known)
			require.InEpsilon(t, float64(time.Second/interval), perSecond, 0.02)
		})
	}
}
