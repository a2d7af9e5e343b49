package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/duty"
)

// TestUseIsToldUntilItIsReported counts in each of many windows while nothing is reported,
// as in a long outage of the store: what may still be reported is kept, and what is
// reported is told no more.
func TestUseIsToldUntilItIsReported(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	u := newUseCounter(time.Second, func() time.Time { return now })
	const windows = 2 * duty.Backlog
	for range windows {
		u.CountRequest(0, "ws")
		now = now.Add(time.Second)
	}
	told := func(reported duty.Window) (got []int64) {
		for _, use := range u.rows(reported) {
			require.Equal(t, uint64(1), use.GetRequests()["ws"])
			got = append(got, use.GetWindow())
		}
		return got
	}
	newest := u.at(now) - 1
	require.Len(t, told(0), duty.Backlog)
	require.ElementsMatch(t, []int64{int64(newest) - 1, int64(newest)}, told(newest-2))
	require.Empty(t, told(newest))
}
