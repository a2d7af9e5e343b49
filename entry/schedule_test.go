package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeartbeatsKeepTheirBudget lets a minute pass over fleets of several sizes.
func TestHeartbeatsKeepTheirBudget(t *testing.T) {
	const (
		minute  = 60 * time.Second
		control = 6000 // bytes a second that control may take
		others  = 1300 // of them for the log and the VM list
	)
	start := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		entries, sidecars int
		everyTick         bool
	}{
		{1, 3, true}, // more than a tick allows from here on
		{2, 5, true},
		{5, 60, false},
		{5, 280, false}, // what an entry watches of 400 entries and 2,700 sidecars
	} {
		t.Run(fmt.Sprintf("%d entries, %d sidecars", c.entries, c.sidecars), func(t *testing.T) {
			s := newSchedule()
			var entries, sidecars []string
			for i := range c.entries {
				entries = append(entries, fmt.Sprint("e", i))
			}
			for i := range c.sidecars {
				sidecars = append(sidecars, fmt.Sprint("s", i))
			}
			s.set(start, entries, sidecars)
			asked := make(map[string]int)
			last := make(map[string]time.Time)
			total, ticks := 0, 0
			for now := start; now.Before(start.Add(minute)); now = now.Add(heartbeatEvery) {
				ticks++
				for _, a := range s.due(now, false) {
					asked[a]++
					total++
					if at, ok := last[a]; ok {
						require.LessOrEqual(t, now.Sub(at), s.interval(a[0] == 'e')+heartbeatEvery)
					}
					last[a] = now
				}
			}
			require.Len(t, asked, c.entries+c.sidecars, "everyone is asked")
			for a, n := range asked {
				require.True(t, !c.everyTick || n == ticks, "%s is asked at every tick: %d of %d", a, n, ticks)
			}
			first := c.entries + c.sidecars // asked at once when they were new
			rate := float64((total-first)*heartbeatBytes) / minute.Seconds()
			require.LessOrEqual(t, rate, float64(control-others))
		})
	}
}

func TestScheduleKeepsTimesAndAsksAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newSchedule()
	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint("s", i))
	}
	s.set(now, []string{"e"}, append(many, "e"))
	require.Equal(t, 1, s.entries, "an address in both lists is an entry's")
	require.Len(t, s.due(now, false), 101)
	s.set(now, []string{"e"}, append(many, "new"))
	require.Equal(t, []string{"new"}, s.due(now, false))
	s.failed(now, "s7")
	require.NotContains(t, s.due(now.Add(askAgain-1), false), "s7")
	require.Contains(t, s.due(now.Add(askAgain), false), "s7")
	require.Len(t, s.due(now.Add(askAgain), true), 102, "all, if asked for all")
}
