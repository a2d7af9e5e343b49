package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/duty"
)

// TestUnreportedWindowsAreKept counts in many windows while nothing is reported, as in a
// long outage of the store. Windows that may still be reported must be kept, and
// reported ones must no longer be sent to peers.
func TestUnreportedWindowsAreKept(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	u := newUsageCounter(time.Second, func() time.Time { return now })
	const windowCount = 2 * duty.BacklogWindows
	for range windowCount {
		u.CountRequest(0, "ws")
		now = now.Add(time.Second)
	}
	unreported := func(reported duty.WindowSet) (windows []int64) {
		for _, use := range u.unreportedWindows(reported) {
			require.Equal(t, uint64(1), use.GetRequests()["ws"])
			windows = append(windows, use.GetWindow())
		}
		return windows
	}
	newest := u.windowAt(now) - 1
	require.Len(t, unreported(duty.WindowSet{}), duty.BacklogWindows)
	var reported duty.WindowSet
	for w := newest - duty.BacklogWindows; w <= newest-3; w++ {
		reported = reported.With(w)
	}
	reported = reported.With(newest - 1) // a newer window may be reported before an older one
	require.ElementsMatch(t, []int64{int64(newest) - 2, int64(newest)}, unreported(reported))
	require.Empty(t, unreported(reported.With(newest).With(newest-2)))
}

// TestGatewayWithoutUsageWindows guards against a gateway without the usage duty, whose settings name
// no length of windows: it must not divide by it.
func TestGatewayWithoutUsageWindows(t *testing.T) {
	u := newUsageCounter(0, time.Now)
	require.NotPanics(t, func() { u.CountRequest(time.Second, "ws") })
	require.Empty(t, u.unreportedWindows(duty.WindowSet{}))
}
