package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeartbeatBandwidth counts the heartbeats of one minute in fleets of several sizes. It
// guards against heartbeats that exceed the bandwidth for control traffic, and against peers
// that are left out or wait too long.
func TestHeartbeatBandwidth(t *testing.T) {
	const (
		minute                = 60 * time.Second
		controlBytesPerSecond = 6000 // bytes per second available to control traffic
		otherBytesPerSecond   = 1300 // of these, for the log and the VM list
	)
	start := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		entries, sidecars int
		everyTick         bool
	}{
		{1, 3, true}, // less than the budget allows at every tick
		{2, 5, true}, // as much as the budget allows at every tick
		{5, 60, false},
		{5, 280, false}, // what one entry watches in a fleet of 400 entries and 2,700 sidecars
	} {
		t.Run(fmt.Sprintf("%d entries, %d sidecars", c.entries, c.sidecars), func(t *testing.T) {
			s := newHeartbeatSchedule()
			var entries, sidecars []string
			for i := range c.entries {
				entries = append(entries, fmt.Sprint("e", i))
			}
			for i := range c.sidecars {
				sidecars = append(sidecars, fmt.Sprint("s", i))
			}
			s.setPeers(start, entries, sidecars)
			sent := make(map[string]int)
			last := make(map[string]time.Time)
			total, ticks := 0, 0
			for now := start; now.Before(start.Add(minute)); now = now.Add(heartbeatInterval) {
				ticks++
				for _, a := range s.due(now, false) {
					sent[a]++
					total++
					if at, ok := last[a]; ok {
						require.LessOrEqual(t, now.Sub(at), s.interval(a[0] == 'e')+heartbeatInterval)
					}
					last[a] = now
				}
			}
			require.Len(t, sent, c.entries+c.sidecars, "every peer should get a heartbeat")
			for a, n := range sent {
				require.True(t, !c.everyTick || n == ticks, "%s should get a heartbeat at every tick, but got %d in %d ticks", a, n, ticks)
			}
			initial := c.entries + c.sidecars // sent at once to new peers
			rate := float64((total-initial)*heartbeatExchangeBytes) / minute.Seconds()
			require.LessOrEqual(t, rate, float64(controlBytesPerSecond-otherBytesPerSecond))
		})
	}
}

// TestSetPeersKeepsDueTimes guards against heartbeats to every known peer at once whenever
// the VM list is read.
func TestSetPeersKeepsDueTimes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newHeartbeatSchedule()
	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint("s", i))
	}
	s.setPeers(now, []string{"e"}, append(many, "e"))
	require.Equal(t, 1, s.entries, "an address in both lists should count as an entry")
	require.Len(t, s.due(now, false), 101)
	s.setPeers(now, []string{"e"}, append(many, "new"))
	require.Equal(t, []string{"new"}, s.due(now, false))
	s.retrySoon(now, "s7")
	require.NotContains(t, s.due(now.Add(failedRetryDelay-1), false), "s7")
	require.Contains(t, s.due(now.Add(failedRetryDelay), false), "s7")
	require.Len(t, s.due(now.Add(failedRetryDelay), true), 102, "all peers should be due if all are requested")
}
