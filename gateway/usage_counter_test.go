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
	u := newUsageCounter(time.Second, func() time.Time { return now }, func() time.Duration { return 0 })
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
	u := newUsageCounter(0, time.Now, func() time.Duration { return 0 })
	require.NotPanics(t, func() { u.CountRequest(time.Second, "ws") })
	require.Empty(t, u.unreportedWindows(duty.WindowSet{}))
}

// TestCountsOfAWrongClockAreCorrected guards against windows that are reported with requests of
// other windows after a restart of every gateway: until a gateway has measured the clocks of
// others, its own sets the fleet time.
func TestCountsOfAWrongClockAreCorrected(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const length = time.Second
	type counts map[duty.Window]uint64
	for name, tc := range map[string]struct {
		corrections []time.Duration // of the own clock, one after each span of 300 ms with 10 requests
		reported    []int           // windows after the first
		want        map[int]uint64  // by windows after the first
	}{
		"clock is right":               {[]time.Duration{0, 0, 0, 0, 0, 0}, nil, map[int]uint64{0: 34, 1: 26}},
		"clock is fast":                {[]time.Duration{0, -4 * length, -4 * length}, nil, map[int]uint64{-4: 30}},
		"clock is slow":                {[]time.Duration{0, 4 * length, 4 * length}, nil, map[int]uint64{4: 30}},
		"measured twice":               {[]time.Duration{0, -2 * length, -4 * length}, nil, map[int]uint64{-4: 30}},
		"over the end of a window":     {[]time.Duration{0, -length / 2, -length / 2, -length / 2}, nil, map[int]uint64{-1: 17, 0: 23}},
		"errors of measurement":        {[]time.Duration{0, 9 * time.Millisecond, -9 * time.Millisecond, 9 * time.Millisecond}, nil, map[int]uint64{0: 34, 1: 6}},
		"wrong window reported before": {[]time.Duration{0, 4 * length, 4 * length}, []int{0}, map[int]uint64{4: 30}},
	} {
		t.Run(name, func(t *testing.T) {
			ownTime, correction := start, time.Duration(0)
			u := newUsageCounter(length, func() time.Time { return ownTime }, func() time.Duration { return correction })
			var reported duty.WindowSet
			for _, w := range tc.reported {
				reported = reported.With(u.windowAt(start) + duty.Window(w))
			}
			for _, c := range tc.corrections {
				correction = c
				for range 10 {
					u.CountRequest(0, "ws")
					ownTime = ownTime.Add(30 * time.Millisecond)
				}
				u.unreportedWindows(reported)
			}
			got, want := counts{}, counts{}
			for _, use := range u.unreportedWindows(reported) {
				got[duty.Window(use.GetWindow())] = use.GetRequests()["ws"]
			}
			for w, n := range tc.want {
				want[u.windowAt(start)+duty.Window(w)] = n
			}
			require.Equal(t, want, got)
		})
	}
}
