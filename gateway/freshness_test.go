package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
)

// longest returns the longest time from the publication of a configuration until it is in force: at a
// gateway that reads for itself, at one that reads for its group, and at one that takes over views.
func (f freshness) longest() (reader, groupReader, follower time.Duration) {
	return f.operatorReadWait + lateRead, f.groupReadWait + lateRead, max(f.maxPeerViewAge, f.maxGroupViewAge) + feed.ViewCheckInterval + lateRead
}

// TestReadsOutlastTheirBound guards against time limits of reads and views that together exceed the bound on
// configurations.
func TestReadsOutlastTheirBound(t *testing.T) {
	for _, bound := range []time.Duration{800 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 14 * time.Second} {
		f := newFreshness(bound)
		reader, groupReader, follower := f.longest()
		for _, longest := range []time.Duration{reader, groupReader, follower} {
			require.Positive(t, longest)
			require.LessOrEqual(t, float64(longest), (1-boundReserve)*float64(bound))
		}
		require.LessOrEqual(t, f.maxPeerViewAge, f.maxGroupViewAge)
	}
}
